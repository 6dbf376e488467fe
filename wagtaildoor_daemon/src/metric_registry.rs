//! A daemon's instruments, by opentelemetry, as text for `/metrics`.

use opentelemetry::metrics::{
    Counter,
    Histogram,
    Meter,
    MeterProvider, //
};
use opentelemetry_sdk::{
    error::OTelSdkError,
    metrics::SdkMeterProvider,
    Resource, //
};
use prometheus::{
    Registry,
    TextEncoder, //
};

/// Result of building instruments.
pub type Result<T> = std::result::Result<T, OTelSdkError>;

/// Bounds of the histograms of time, in seconds.
const TIME_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.48, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Instruments of one daemon.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    /// Where the instruments are read.
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    /// Makes instruments.
    meter: Meter,
}

impl MetricRegistry {
    /// A registry of its own, for a program and its instruments' scope.
    pub fn new(program: &'static str, scope: &'static str) -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let resource = Resource::builder().with_service_name(program).build();
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        Ok(Self {
            meter: provider.meter(scope),
            registry,
            _provider: provider,
        })
    }

    /// Makes instruments of any kind.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// A counter.
    pub fn counter(&self, name: &'static str, about: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(about).build()
    }

    /// A histogram of times, in seconds.
    pub fn duration_histogram(&self, name: &'static str, about: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_unit("s")
            .with_description(about)
            .with_boundaries(TIME_BOUNDS_S.to_vec())
            .build()
    }

    /// All instruments as text.
    pub fn encode_text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
