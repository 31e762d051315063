//! Exports sampled spans to a collector (OTLP over HTTP).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error, From};
use hemlocktack_protocol::{NodeId, Outcome, ServiceName};
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{InstrumentationScope, KeyValue};
use opentelemetry_otlp::{ExporterBuildError, Protocol, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanExporter, SpanLinks};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::{Event, SpanName, SpanRecord, log_event};

const TRACES_PATH: &str = "/v1/traces";
const SCOPE: &str = "hemlocktack";
/// Capacity of the export queue. Further spans are dropped and counted, so that a slow collector
/// takes no further memory and does not slow down calls.
const QUEUE_SPANS: usize = 2_048;
const BATCH_SPANS: usize = 256;
/// Time after which an incomplete batch is exported.
const BATCH_WAIT: Duration = Duration::from_secs(1);
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of starting the export.
#[derive(Debug, Display, Error, From)]
#[display("spans cannot be exported: {_variant}")]
pub enum ExportError {
    /// The HTTP client could not be created.
    #[display("{_0}")]
    Client(reqwest::Error),
    /// The endpoint is invalid.
    #[display("{_0}")]
    Exporter(ExporterBuildError),
}

/// Queue of spans to be exported to the collector.
#[derive(Clone, Debug)]
pub struct ExportQueue {
    spans: mpsc::Sender<SpanRecord>,
    lost_spans: Arc<AtomicU64>,
}

impl ExportQueue {
    pub(crate) fn push(&self, record: SpanRecord) {
        if self.spans.try_send(record).is_err() {
            self.lost_spans.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub(crate) fn lost_span_count(&self) -> u64 {
        self.lost_spans.load(Ordering::Relaxed)
    }
}

/// Starts a task that exports spans until the queue and all its clones are dropped.
///
/// Must be called within a tokio runtime.
///
/// # Errors
/// Fails if the endpoint is not a URL, or if the HTTP client cannot be created on this machine.
pub fn start_export(
    endpoint: &str,
    node_id: &NodeId,
    service: &ServiceName,
) -> Result<ExportQueue, ExportError> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let mut exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_http_client(client)
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(traces_url(endpoint))
        .with_timeout(EXPORT_TIMEOUT)
        .build()?;
    exporter.set_resource(&resource(node_id, service));
    let (sender, receiver) = mpsc::channel(QUEUE_SPANS);
    let lost_spans = Arc::new(AtomicU64::new(0));
    tokio::spawn(export_all(exporter, receiver, lost_spans.clone()));
    Ok(ExportQueue {
        spans: sender,
        lost_spans,
    })
}

/// Returns the URL for traces; the endpoint may contain its path or not.
fn traces_url(endpoint: &str) -> String {
    let base = endpoint.trim_end_matches('/');
    if base.ends_with(TRACES_PATH) {
        return base.to_owned();
    }
    format!("{base}{TRACES_PATH}")
}

fn resource(node_id: &NodeId, service: &ServiceName) -> Resource {
    Resource::builder_empty()
        .with_service_name(service.to_string())
        .with_attribute(KeyValue::new("service.instance.id", node_id.to_string()))
        .build()
}

async fn export_all(
    exporter: opentelemetry_otlp::SpanExporter,
    mut spans: mpsc::Receiver<SpanRecord>,
    lost_spans: Arc<AtomicU64>,
) {
    let mut is_failing = false;
    while let Some(batch) = next_batch(&mut spans).await {
        let count = batch.len() as u64;
        let data = batch.iter().map(span_data).collect();
        let exported = timeout(EXPORT_TIMEOUT, exporter.export(data)).await;
        let failed = !matches!(exported, Ok(Ok(())));
        if failed {
            lost_spans.fetch_add(count, Ordering::Relaxed);
        }
        if failed && !is_failing {
            log_event!(Event::CollectorLost, lost_span_count = count);
        }
        if !failed && is_failing {
            log_event!(Event::CollectorBack);
        }
        is_failing = failed;
    }
}

/// Waits for a span, then for more until the batch is full or `BATCH_WAIT` has passed; `None` if
/// the queue is closed.
async fn next_batch(spans: &mut mpsc::Receiver<SpanRecord>) -> Option<Vec<SpanRecord>> {
    let mut batch = vec![spans.recv().await?];
    let fill = async {
        while batch.len() < BATCH_SPANS {
            let Some(span) = spans.recv().await else {
                return;
            };
            batch.push(span);
        }
    };
    let _ = timeout(BATCH_WAIT, fill).await;
    Some(batch)
}

fn span_data(record: &SpanRecord) -> SpanData {
    let start_time = SystemTime::UNIX_EPOCH + Duration::from_micros(record.started_unix_us);
    SpanData {
        span_context: SpanContext::new(
            TraceId::from(record.trace_id),
            SpanId::from(record.span_id),
            TraceFlags::SAMPLED,
            false,
            TraceState::default(),
        ),
        parent_span_id: SpanId::from(record.parent),
        parent_span_is_remote: matches!(record.name, SpanName::Entry | SpanName::Hop),
        span_kind: kind(record.name),
        name: <&'static str>::from(record.name).into(),
        start_time,
        end_time: start_time + Duration::from_micros(record.duration_us),
        attributes: attributes(record),
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: status(record),
        instrumentation_scope: InstrumentationScope::builder(SCOPE).build(),
    }
}

fn kind(name: SpanName) -> SpanKind {
    match name {
        SpanName::Entry | SpanName::Hop => SpanKind::Server,
        SpanName::Link | SpanName::Upstream => SpanKind::Client,
        SpanName::Queue => SpanKind::Internal,
    }
}

fn attributes(record: &SpanRecord) -> Vec<KeyValue> {
    let mut attributes = vec![KeyValue::new(
        "hemlocktack.detail",
        record.detail.to_string(),
    )];
    if record.end.outcome != Outcome::Unspecified {
        let outcome: &'static str = record.end.outcome.into();
        attributes.push(KeyValue::new("hemlocktack.outcome", outcome));
    }
    if record.end.is_failure() {
        let reason: &'static str = record.end.reason.into();
        attributes.push(KeyValue::new("hemlocktack.reason", reason));
    }
    attributes
}

fn status(record: &SpanRecord) -> Status {
    if !record.end.is_failure() {
        return Status::Unset;
    }
    let reason: &'static str = record.end.reason.into();
    Status::error(reason)
}
