//! Counters and latency histograms of the front.

use std::time::Duration;

use opentelemetry::{
    metrics::{
        Counter,
        Histogram, //
    },
    KeyValue,
};
use wagtaildoor_daemon::metric_registry::{
    self,
    MetricRegistry, //
};

/// Metrics of one host.
#[derive(Clone, Debug)]
pub struct FrontMetrics {
    /// Registry that renders the metrics.
    registry: MetricRegistry,
    /// Requests by outcome.
    requests: Counter<u64>,
    /// Sends to endpoints by result.
    sends: Counter<u64>,
    /// Answers that ended with their connection, by what was found out about their end.
    connection_ends: Counter<u64>,
    /// Calls to the platform's store by purpose and result.
    store_calls: Counter<u64>,
    /// Units of accounts' quotas by what became of them.
    quota_units: Counter<u64>,
    /// Orders to engines by verdict.
    orders: Counter<u64>,
    /// Time in line by result, in seconds.
    admissions: Histogram<f64>,
    /// Time that an engine took to load weights, in seconds.
    load: Histogram<f64>,
    /// Time to the first part of a response, in seconds.
    first_part: Histogram<f64>,
    /// Time to the end of a response, in seconds.
    whole: Histogram<f64>,
}

impl FrontMetrics {
    /// Registers the metrics under the name of the program.
    pub fn new(program: &'static str) -> metric_registry::Result<Self> {
        let registry = MetricRegistry::new(program, "wagtaildoor_front")?;
        Ok(Self {
            requests: registry.counter("front_requests", "Requests by outcome"),
            sends: registry.counter("front_sends", "Sends to endpoints by result"),
            connection_ends: registry.counter(
                "front_connection_ends",
                "Answers that ended with their connection by what was found out",
            ),
            store_calls: registry.counter(
                "front_store_calls",
                "Calls to the store by purpose and result",
            ),
            quota_units: registry.counter(
                "front_quota_units",
                "Units of accounts' quotas by what became of them",
            ),
            orders: registry.counter("front_orders", "Orders to engines by verdict"),
            admissions: registry
                .duration_histogram("front_admission_wait", "Time in line by result"),
            load: registry
                .duration_histogram("front_weights_load", "Time to load weights of an engine"),
            first_part: registry
                .duration_histogram("front_first_part", "Time to the first part of an answer"),
            whole: registry.duration_histogram("front_whole", "Time to the end of an answer"),
            registry,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render_text(&self) -> String {
        self.registry.encode_text()
    }

    /// Counts a finished request and records its latencies; `first` is `None` without a response.
    pub fn record_request(&self, outcome: &'static str, first: Option<Duration>, whole: Duration) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.whole.record(whole.as_secs_f64(), &[]);
        if let Some(first) = first {
            self.first_part.record(first.as_secs_f64(), &[]);
        }
    }

    /// Counts a send to an endpoint by its result.
    pub fn record_send(&self, result: &'static str) {
        self.sends.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts an answer that ended with its connection by what was found out about its end.
    pub fn record_connection_end(&self, finding: &'static str) {
        self.connection_ends
            .add(1, &[KeyValue::new("finding", finding)]);
    }

    /// Counts a call to the store by what it is for, and by its result.
    pub fn record_store_call(&self, purpose: &'static str, result: &'static str) {
        let labels = [
            KeyValue::new("purpose", purpose),
            KeyValue::new("result", result),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts units of an account's quota by what became of them.
    pub fn record_quota(&self, result: &'static str, units: u64) {
        self.quota_units
            .add(units, &[KeyValue::new("result", result)]);
    }

    /// Records how long a request stood in line, until it was sent or refused.
    pub fn record_admission(&self, result: &'static str, waited: Duration) {
        let labels = [KeyValue::new("result", result)];
        self.admissions.record(waited.as_secs_f64(), &labels);
    }

    /// Records how long an engine took to load weights.
    pub fn record_load(&self, took: Duration) {
        self.load.record(took.as_secs_f64(), &[]);
    }

    /// Counts a load order to an engine by its verdict.
    pub fn record_order(&self, verdict: &'static str) {
        self.orders.add(1, &[KeyValue::new("verdict", verdict)]);
    }
}
