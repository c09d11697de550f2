//! OpenTelemetry instruments and their export in the Prometheus text format.

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use thiserror::Error;

/// Exports the instruments of one process from a Prometheus registry.
pub struct MetricsExporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

/// The registry could not be set up or encoded.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
pub struct MetricsExporterError(String);

impl MetricsExporter {
    /// Creates an exporter with an empty registry.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<MetricsExporter, MetricsExporterError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| MetricsExporterError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(MetricsExporter { registry, provider })
    }

    /// Meter that creates instruments; they record for as long as this exporter lives.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("foxtailhoist")
    }

    /// Encodes the current values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric family cannot be encoded.
    pub fn page(&self) -> Result<Vec<u8>, MetricsExporterError> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|e| MetricsExporterError(e.to_string()))?;
        Ok(buf)
    }
}
