//! The active configuration and the values derived from it.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use hemlocktack_config::{AccountDirectory, ClientLimits, Document, RequestRanks, Service};
use hemlocktack_decide::FleetRetryLimits;
use hemlocktack_protocol::{ConfigurationDocument, Generation};
use hemlocktack_telemetry::{Event, log_event};
use tokio::sync::mpsc;

use super::Node;
use crate::configuration;

/// Body limit while no configuration is active.
const BODY_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 64 << 10;
/// Limit of answers of a service that the configuration does not declare.
const ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 1 << 20;

/// Connections that an upstream is assumed to accept if no limit is configured.
const DEFAULT_CONNECTION_LIMIT: u32 = 1_000;
/// The configuration that currently applies to calls.
pub(crate) struct ActiveConfiguration {
    pub(crate) generation: Generation,
    pub(crate) document: Document,
    pub(crate) accounts: AccountDirectory,
    pub(crate) ranks: RequestRanks,
    /// The stored form, sent to nodes that do not have this generation.
    pub(crate) stored: ConfigurationDocument,
}

const PER_MILLE_PER_PERCENT: u32 = 10;
/// Percentage of the configured fleet-wide limit that the nodes actually use. The rest is a
/// margin, because each node's time window begins at a different time and a restarted node
/// does not know what it has already used.
const USED_LIMIT_PERCENT: u32 = 80;

impl Node {
    pub(crate) fn active_configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active_configuration.load_full()
    }

    /// Activates a higher generation; a lower or equal one is ignored. The task that follows
    /// the configuration has already checked that the document can be parsed.
    pub(crate) fn install_configuration(&self, stored: ConfigurationDocument) {
        if stored.generation <= self.active_generation() {
            return;
        }
        let document = match self.read_configuration(&stored.document) {
            Ok(document) => document,
            Err(fault) => {
                let generation = stored.generation;
                log_event!(Event::ConfigurationUnreadable, generation, fault);
                return;
            }
        };
        let next = Arc::new(ActiveConfiguration {
            generation: stored.generation,
            accounts: AccountDirectory::new(&document.client_accounts),
            ranks: RequestRanks::new(&document.routes, &document.client_accounts),
            document,
            stored,
        });
        let before = self.active_configuration.rcu(|current| match current {
            Some(current) if current.generation >= next.generation => Some(current.clone()),
            _ => Some(next.clone()),
        });
        if before.is_none_or(|before| before.generation < next.generation) {
            self.configuration_changed(&next);
        }
    }

    /// Parses a document; the error describes what is wrong and where.
    pub(crate) fn read_configuration(&self, text: &str) -> std::result::Result<Document, String> {
        match self.interface {
            Some(interface) => (interface.read_configuration)(text),
            None => hemlocktack_config::parse(text).map_err(|error| error.to_string()),
        }
    }

    fn configuration_changed(&self, active: &ActiveConfiguration) {
        let generation = active.generation;
        log_event!(Event::ConfigurationInForce, generation);
        self.entry_counts.declare(&active.document);
        self.apply_limits(&active.document);
    }

    pub(super) fn apply_limits(&self, document: &Document) {
        let limits = &document.limits;
        self.tracer
            .set_sample_per_million(limits.trace_sample_per_million);
        self.services
            .set_retries(self.fleet_retries(limits.retry_share_percent));
        let kept_answers_bytes = usize::try_from(limits.kept_answers_bytes);
        self.home
            .set_kept_answer_bytes(kept_answers_bytes.unwrap_or(usize::MAX));
        if self.adjustable().stop_grace.is_none() {
            // Long enough for the longest caller timeout, unlike possibly the node's setting.
            let drain_limit = Duration::from_millis(limits.drain_limit_ms);
            self.update_lifecycle(|lifecycle, _| {
                lifecycle.set_hard_limit(drain_limit);
                Vec::new()
            });
        }
        let quarantine_time = Duration::from_millis(limits.quarantine_ms);
        let own_service = document.service(&self.settings.service);
        self.admission_queue.with_admission(|admission| {
            admission
                .quarantine()
                .set_limits(limits.quarantine_crashes, quarantine_time);
            if let Some(service) = own_service {
                admission.set_queue_limit(service.queue_limit_calls);
            }
        });
    }

    /// Returns the limits for the retries of a service's calls by all nodes together.
    fn fleet_retries(&self, configured_percent: u32) -> FleetRetryLimits {
        let with_margin = |limit: u32| limit.saturating_mul(USED_LIMIT_PERCENT) / 100;
        let settings = self.adjustable();
        let share_per_mille = settings.retry_share_per_mille.map(with_margin);
        let min_retries = settings.retries_beside_share.map(with_margin);
        FleetRetryLimits {
            share_per_mille: share_per_mille.unwrap_or(configured_percent * PER_MILLE_PER_PERCENT),
            min_retries: min_retries.unwrap_or(FleetRetryLimits::default().min_retries),
        }
    }

    /// Returns the number of classes in the active configuration.
    pub(crate) fn class_count(&self) -> usize {
        let active = self.active_configuration.load();
        active
            .as_ref()
            .map_or(0, |active| active.document.classes.len())
    }

    pub(crate) fn body_limit_bytes(&self, service: &str) -> usize {
        self.read_service(service, |service| service.body_limit_bytes)
            .unwrap_or(BODY_LIMIT_BEFORE_CONFIGURATION_BYTES)
    }

    /// Returns the size limits and timeouts for callers.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        let active = self.active_configuration.load();
        let active = active.as_ref();
        active.map_or_else(ClientLimits::default, |active| {
            active.document.client_limits
        })
    }

    /// Returns how many connections the upstream accepts, as configured or by default.
    pub(crate) fn connection_limit(&self) -> u32 {
        self.read_service(&self.settings.service, |service| service.connection_limit)
            .flatten()
            .unwrap_or(DEFAULT_CONNECTION_LIMIT)
    }

    /// Returns the path of the upstream's health check, as configured or `default`.
    pub(crate) fn health_path(&self, default: &str) -> String {
        self.read_service(&self.settings.service, |service| {
            service.health_path.clone()
        })
        .flatten()
        .unwrap_or_else(|| default.to_owned())
    }

    /// Returns the answer limit of this node's service.
    pub(crate) fn answer_limit_bytes(&self) -> usize {
        self.read_service(&self.settings.service, |service| service.answer_limit_bytes)
            .unwrap_or(ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES)
    }

    /// Reads a value of a service that the active configuration declares.
    fn read_service<T>(&self, name: &str, read: impl FnOnce(&Service) -> T) -> Option<T> {
        let active = self.active_configuration.load();
        let service = active.as_ref()?.document.service(name)?;
        Some(read(service))
    }

    pub(crate) fn active_generation(&self) -> Generation {
        let active = self.active_configuration.load();
        active.as_ref().map_or(0, |active| active.generation)
    }

    /// Sends an event to the task that follows the configuration, and waits while its queue is
    /// full. The task would wait for a dropped answer until the timeout of its request, which is
    /// long for a watch.
    pub(crate) async fn send_configuration_event(&self, event: configuration::Event) {
        // Fails only once the task has ended, with its node.
        let _ = self.configuration_events.send(event).await;
    }

    /// Reports a peer's active generation to the same task. If the queue is full, the report is
    /// dropped: each later message of the peer repeats it.
    pub(crate) fn report_peer_generation(&self, node_id: String, generation: Generation) {
        let event = configuration::Event::PeerGeneration {
            node_id,
            generation,
        };
        let _ = self.configuration_events.try_send(event);
    }

    /// Takes the event queue for that task; returns `None` after the first call.
    pub(crate) fn take_configuration_events(&self) -> Option<mpsc::Receiver<configuration::Event>> {
        let mut receiver = self
            .configuration_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        receiver.take()
    }
}
