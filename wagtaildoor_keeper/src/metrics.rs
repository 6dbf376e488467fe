//! Metrics of the keeper, as served at `/metrics`.

use std::time::Duration;

use opentelemetry::{
    metrics::{
        Counter,
        Gauge, //
    },
    KeyValue,
};
use wagtaildoor::schema::ClaimVerdict;
use wagtaildoor_daemon::metric_registry::{
    MetricRegistry,
    Result, //
};

/// OpenTelemetry instruments of the keeper.
#[derive(Clone, Debug)]
pub struct KeeperMetrics {
    registry: MetricRegistry,
    /// Claim calls of entries, by verdict.
    claims: Counter<u64>,
    /// Sequence number of the configuration in force.
    config_sequence: Gauge<u64>,
    /// Time since the log last answered, in seconds.
    platform_age: Gauge<f64>,
    endpoints: Gauge<u64>,
}

/// Gauge values, read at the time of the request for metrics.
#[derive(Clone, Copy, Debug)]
pub struct MetricReadings {
    /// Sequence number of the configuration in force.
    pub config_sequence: u64,
    /// Time since the log last answered, in milliseconds.
    pub platform_age_ms: u64,
    /// Number of known endpoints.
    pub endpoints: usize,
}

impl KeeperMetrics {
    /// Creates the instruments in a new registry.
    pub fn new() -> Result<Self> {
        let registry = MetricRegistry::new("wagtaildoor-keeper", "wagtaildoor_keeper")?;
        let meter = registry.meter();
        Ok(Self {
            claims: registry.counter("keeper_claims", "Claims of entries, by verdict"),
            config_sequence: meter
                .u64_gauge("keeper_config_sequence")
                .with_description("Sequence number of the configuration in force")
                .build(),
            platform_age: meter
                .f64_gauge("keeper_platform_age")
                .with_unit("s")
                .with_description("Time since the log last answered")
                .build(),
            endpoints: meter
                .u64_gauge("keeper_endpoints")
                .with_description("Endpoints known")
                .build(),
            registry,
        })
    }

    /// Counts the verdict on a claim.
    pub fn record_claim(&self, verdict: &ClaimVerdict) {
        let name = match verdict {
            ClaimVerdict::Won(_) => "won",
            ClaimVerdict::Done(_) => "done",
            ClaimVerdict::Busy(_) => "busy",
            ClaimVerdict::Mismatch(_) => "mismatch",
            ClaimVerdict::Settled(_) => "settled",
            ClaimVerdict::Refused(_) => "refused",
            ClaimVerdict::Uncertain(_) => "uncertain",
            ClaimVerdict::Expired(_) => "expired",
        };
        self.claims.add(1, &[KeyValue::new("verdict", name)]);
    }

    /// Sets the gauges to `readings` and encodes all instruments as Prometheus text.
    pub fn encode_text(&self, readings: MetricReadings) -> String {
        let age = Duration::from_millis(readings.platform_age_ms);
        self.config_sequence.record(readings.config_sequence, &[]);
        self.platform_age.record(age.as_secs_f64(), &[]);
        self.endpoints.record(readings.endpoints as u64, &[]);
        self.registry.encode_text()
    }
}
