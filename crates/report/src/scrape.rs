//! Instruments and the page on which they are scraped.

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use thiserror::Error;

/// Instruments of one process and their registry.
pub struct Scrape {
    registry: Registry,
    provider: SdkMeterProvider,
}

/// The instruments could not be set up or written.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
pub struct ScrapeError(String);

impl Scrape {
    /// Sets up the registry.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be registered.
    pub fn new() -> Result<Scrape, ScrapeError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| ScrapeError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Scrape { registry, provider })
    }

    /// Where instruments are made; they count for as long as this value lives.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("foxtailhoist")
    }

    /// The page, as text.
    ///
    /// # Errors
    ///
    /// Fails when a family cannot be encoded.
    pub fn page(&self) -> Result<Vec<u8>, ScrapeError> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|e| ScrapeError(e.to_string()))?;
        Ok(buf)
    }
}
