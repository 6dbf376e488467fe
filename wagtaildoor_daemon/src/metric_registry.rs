//! OpenTelemetry instruments of a daemon, encoded as Prometheus text for `/metrics`.

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

/// Result of creating a registry.
pub type Result<T> = std::result::Result<T, OTelSdkError>;

/// Bucket bounds of duration histograms, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.48, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Creates instruments, and encodes their values as text.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    /// Prometheus registry that collects the values.
    registry: Registry,
    /// Never read. Instruments stop recording when the provider is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl MetricRegistry {
    /// Creates a registry. `program` is the service name, and `scope` the instrumentation scope.
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

    /// Meter for instruments that have no method here, such as gauges.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Creates a monotonic counter.
    pub fn counter(&self, name: &'static str, about: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(about).build()
    }

    /// Creates a histogram of durations in seconds.
    pub fn duration_histogram(&self, name: &'static str, about: &'static str) -> Histogram<f64> {
        self.meter
            .f64_histogram(name)
            .with_unit("s")
            .with_description(about)
            .with_boundaries(DURATION_BUCKETS_S.to_vec())
            .build()
    }

    /// Encodes all instruments in the Prometheus text format. Empty if the encoding fails.
    pub fn encode_text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
