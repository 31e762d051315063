//! The configuration in force and what it says.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use hemlocktack_config::{ClientLimits, Document, Service};
use hemlocktack_decide::FleetRetryLimits;
use hemlocktack_protocol::{ConfigurationDocument, Generation};
use hemlocktack_telemetry::{Event, log_event};
use tokio::sync::mpsc;

use super::Node;
use crate::configuration;

/// Largest body read before any configuration is in force.
const BODY_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 64 << 10;
/// Largest answer passed on for a service that the configuration lacks.
const ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES: usize = 1 << 20;

/// Connections that an upstream is taken to accept where nobody says.
const CONNECTION_LIMIT_UNSAID: u32 = 1_000;
/// The configuration that decides about calls now.
pub(crate) struct ActiveConfiguration {
    pub(crate) generation: Generation,
    pub(crate) document: Document,
    /// As it is stored, for nodes that lack it.
    pub(crate) stored: ConfigurationDocument,
}

const MILLE_A_PERCENT: u32 = 10;
/// Part of what operators allow all nodes together that the nodes keep to. The rest
/// is for windows that begin at another time on each node, and for nodes that start
/// again and do not know what they had spent.
const KEPT_TO_PERCENT: u32 = 80;

impl Node {
    pub(crate) fn active_configuration(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active_configuration.load_full()
    }

    /// Puts a higher generation in force; a lower or equal one is left aside.
    /// The task that follows the configuration has found that it can be read.
    pub(crate) fn install_configuration(&self, stored: ConfigurationDocument) {
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

    /// Reads a document; the error says what is wrong and where.
    pub(crate) fn read_configuration(&self, text: &str) -> std::result::Result<Document, String> {
        match self.interface {
            Some(interface) => (interface.read_configuration)(text),
            None => hemlocktack_config::parse(text).map_err(|error| error.to_string()),
        }
    }

    fn configuration_changed(&self, in_force: &ActiveConfiguration) {
        let generation = in_force.generation;
        log_event!(Event::ConfigurationInForce, generation);
        self.entry_counts.declare(&in_force.document);
        self.apply_limits(&in_force.document);
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
            // Covers the most patient caller, which the node's own setting may not.
            let drain_limit = Duration::from_millis(limits.drain_limit_ms);
            self.update_lifecycle(|life, _| {
                life.set_hard_limit(drain_limit);
                Vec::new()
            });
        }
        let refused_for = Duration::from_millis(limits.quarantine_ms);
        let own_service = document.service(&self.settings.service);
        self.admission_queue.with_admission(|admission| {
            admission
                .quarantine()
                .set_limits(limits.quarantine_crashes, refused_for);
            if let Some(service) = own_service {
                admission.set_queue_limit(service.queue_limit_calls);
            }
        });
    }

    /// Retries of a service's calls that all nodes' edges together keep to.
    fn fleet_retries(&self, configured_percent: u32) -> FleetRetryLimits {
        let kept_to = |allowed: u32| allowed.saturating_mul(KEPT_TO_PERCENT) / 100;
        let settings = self.adjustable();
        let share_per_mille = settings.retry_share_per_mille.map(kept_to);
        let min_retries = settings.retries_beside_share.map(kept_to);
        FleetRetryLimits {
            share_per_mille: share_per_mille.unwrap_or(configured_percent * MILLE_A_PERCENT),
            min_retries: min_retries.unwrap_or(FleetRetryLimits::default().min_retries),
        }
    }

    /// Classes that the configuration in force declares.
    pub(crate) fn class_count(&self) -> usize {
        let in_force = self.active_configuration.load();
        in_force
            .as_ref()
            .map_or(0, |in_force| in_force.document.classes.len())
    }

    pub(crate) fn body_limit_bytes(&self, service: &str) -> usize {
        self.of_service(service, |service| service.body_limit_bytes)
            .unwrap_or(BODY_LIMIT_BEFORE_CONFIGURATION_BYTES)
    }

    /// What callers may send and how long they may take.
    pub(crate) fn client_limits(&self) -> ClientLimits {
        let in_force = self.active_configuration.load();
        let declared = in_force.as_ref();
        declared.map_or_else(ClientLimits::default, |in_force| {
            in_force.document.client_limits
        })
    }

    /// Connections that the upstream accepts, where the operators say so.
    pub(crate) fn connection_limit(&self) -> u32 {
        self.of_service(&self.settings.service, |service| service.connection_limit)
            .flatten()
            .unwrap_or(CONNECTION_LIMIT_UNSAID)
    }

    /// Where the upstream is asked for its health.
    pub(crate) fn health_path(&self, usual: &str) -> String {
        self.of_service(&self.settings.service, |service| {
            service.health_path.clone()
        })
        .flatten()
        .unwrap_or_else(|| usual.to_owned())
    }

    /// Of the service beside this node.
    pub(crate) fn answer_limit_bytes(&self) -> usize {
        self.of_service(&self.settings.service, |service| service.answer_limit_bytes)
            .unwrap_or(ANSWER_LIMIT_BEFORE_CONFIGURATION_BYTES)
    }

    /// What the configuration in force says of a service that it declares.
    fn of_service<T>(&self, name: &str, read: impl FnOnce(&Service) -> T) -> Option<T> {
        let in_force = self.active_configuration.load();
        let service = in_force.as_ref()?.document.service(name)?;
        Some(read(service))
    }

    pub(crate) fn active_generation(&self) -> Generation {
        let in_force = self.active_configuration.load();
        in_force.as_ref().map_or(0, |in_force| in_force.generation)
    }

    /// Tells the task that follows the configuration. An event that finds its
    /// queue full is dropped: the task asks again.
    pub(crate) fn send_configuration_event(&self, event: configuration::Event) {
        let _ = self.configuration_events.try_send(event);
    }

    /// The queue of that task, once.
    pub(crate) fn take_configuration_events(&self) -> Option<mpsc::Receiver<configuration::Event>> {
        let mut receiver = self
            .configuration_receiver
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        receiver.take()
    }
}
