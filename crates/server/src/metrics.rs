//! Metrics for the scrape page.

use foxtailhoist_model::ErrorKind;
use foxtailhoist_report::scrape::MetricsExporter;
use foxtailhoist_report::scrape::MetricsExporterError;
use foxtailhoist_route::event::Completion;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;

/// Counters and histograms of one process.
pub struct Metrics {
    scrape: MetricsExporter,
    completed: Counter<u64>,
    refused: Counter<u64>,
    first_byte: Histogram<f64>,
    total: Histogram<f64>,
    store_calls: Counter<u64>,
    peer_bytes: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Metrics, MetricsExporterError> {
        let scrape = MetricsExporter::new()?;
        let meter = scrape.meter();
        Ok(Metrics {
            completed: meter.u64_counter("requests_completed").build(),
            refused: meter.u64_counter("requests_refused").build(),
            first_byte: meter.f64_histogram("first_byte_seconds").build(),
            total: meter.f64_histogram("answer_seconds").build(),
            store_calls: meter.u64_counter("store_calls").build(),
            peer_bytes: meter.u64_counter("peer_bytes_sent").build(),
            scrape,
        })
    }

    pub fn completed(&self, completion: &Completion) {
        let version =
            completion.model_version.as_ref().map_or_else(String::new, ToString::to_string);
        let labels = [
            KeyValue::new("workspace", completion.workspace.clone()),
            KeyValue::new("version", version),
        ];
        self.completed.add(1, &labels);
        self.first_byte.record(completion.first_byte.as_secs_f64(), &labels);
        self.total.record(completion.total.as_secs_f64(), &labels);
    }

    pub fn refused(&self, kind: ErrorKind) {
        self.refused.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    pub fn store_call(&self, is_write: bool) {
        let kind = if is_write { "write" } else { "read" };
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub fn peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    /// Renders the scrape page.
    ///
    /// # Errors
    ///
    /// Fails when a metric family cannot be encoded.
    pub fn page(&self) -> Result<Vec<u8>, MetricsExporterError> {
        self.scrape.page()
    }
}
