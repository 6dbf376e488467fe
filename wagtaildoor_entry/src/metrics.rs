//! OpenTelemetry metrics of the entry, served at `/metrics`.

use std::time::Duration;

use opentelemetry::{
    metrics::{
        Counter,
        Histogram,
        UpDownCounter, //
    },
    KeyValue,
};
use wagtaildoor::error::ErrorKind;
use wagtaildoor_daemon::metric_registry::{
    MetricRegistry,
    Result, //
};

/// Metric instruments of the entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Registry that collects and renders the instruments.
    registry: MetricRegistry,
    requests: Counter<u64>,
    /// Requests that ended in an error, by kind.
    refusals: Counter<u64>,
    /// Attempts after the first of a request.
    retries: Counter<u64>,
    /// Chunks that belonged to another request or attempt.
    crossed: Counter<u64>,
    /// Prompt tokens, split into cached and computed ones.
    prompt_tokens: Counter<u64>,
    /// Requests received and not yet ended.
    in_flight: UpDownCounter<i64>,
    /// Time from the request to the first token, in seconds.
    first_token: Histogram<f64>,
    /// Time from the request to its end, in seconds.
    whole_answer: Histogram<f64>,
}

impl EntryMetrics {
    /// Creates the instruments in a new registry.
    pub fn new() -> Result<Self> {
        let registry = MetricRegistry::new("wagtaildoor-entry", "wagtaildoor_entry")?;
        let counter = |name, description| registry.counter(name, description);
        let histogram = |name, description| registry.duration_histogram(name, description);
        Ok(Self {
            requests: counter("entry_requests", "Requests received"),
            refusals: counter("entry_refusals", "Requests that ended in an error, by kind"),
            retries: counter("entry_retries", "Attempts after the first of a request"),
            crossed: counter(
                "entry_crossed_chunks",
                "Chunks of another request or attempt, dropped",
            ),
            prompt_tokens: counter("entry_prompt_tokens", "Prompt tokens, cached or computed"),
            in_flight: registry
                .meter()
                .i64_up_down_counter("entry_in_flight")
                .with_description("Requests in work")
                .build(),
            first_token: histogram("entry_first_token", "Time to the first token"),
            whole_answer: histogram("entry_whole_answer", "Time to the end of the answer"),
            registry,
        })
    }

    /// Counts a received request, which is in flight until `record_end`.
    pub fn record_request(&self) {
        self.requests.add(1, &[]);
        self.in_flight.add(1, &[]);
    }

    /// Records the end of a request and its duration.
    pub fn record_end(&self, elapsed: Duration) {
        self.in_flight.add(-1, &[]);
        self.whole_answer.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a request that ended in an error, by kind.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.to_string())]);
    }

    /// Counts an attempt after the first one of a request.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a dropped chunk that belonged to another request or attempt.
    pub fn record_crossed_chunk(&self) {
        self.crossed.add(1, &[]);
    }

    /// Records the time from the request to the first token.
    pub fn record_first_token(&self, elapsed: Duration) {
        self.first_token.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts the prompt tokens of an answer, by whether the engine took them from its cache or
    /// computed them.
    pub fn record_prompt_tokens(&self, cached: u64, computed: u64) {
        self.prompt_tokens
            .add(cached, &[KeyValue::new("from", "cache")]);
        self.prompt_tokens
            .add(computed, &[KeyValue::new("from", "compute")]);
    }

    /// Renders all instruments in the Prometheus text format.
    pub fn render(&self) -> String {
        self.registry.encode_text()
    }
}
