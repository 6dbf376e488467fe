//! Metrics of the entry, by opentelemetry, for `/metrics`.

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

/// Instruments of the entry.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    /// Where the instruments are read.
    registry: MetricRegistry,
    /// Requests received.
    requests: Counter<u64>,
    /// Requests that ended in an error, by kind.
    refusals: Counter<u64>,
    /// Attempts after the first of a request.
    retries: Counter<u64>,
    /// Chunks that belonged to another request or attempt.
    crossed: Counter<u64>,
    /// Prompt tokens, by whether the engine had them cached.
    prompt_tokens: Counter<u64>,
    /// Requests in work.
    in_flight: UpDownCounter<i64>,
    /// Time to the first token.
    first_token: Histogram<f64>,
    /// Time to the end of the answer.
    whole_answer: Histogram<f64>,
}

impl EntryMetrics {
    /// Instruments in a registry of their own.
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

    /// A request was received.
    pub fn record_request(&self) {
        self.requests.add(1, &[]);
        self.in_flight.add(1, &[]);
    }

    /// A request came to its end after this time.
    pub fn record_end(&self, time: Duration) {
        self.in_flight.add(-1, &[]);
        self.whole_answer.record(time.as_secs_f64(), &[]);
    }

    /// A request ended in an error.
    pub fn record_refusal(&self, kind: ErrorKind) {
        self.refusals
            .add(1, &[KeyValue::new("kind", kind.to_string())]);
    }

    /// A request goes to a further endpoint.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// A chunk of another request or attempt was dropped.
    pub fn record_crossed_chunk(&self) {
        self.crossed.add(1, &[]);
    }

    /// The first token came after this time.
    pub fn record_first_token(&self, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// An answer told how much of its prompt was cached.
    pub fn record_prompt_tokens(&self, cached: u64, computed: u64) {
        self.prompt_tokens
            .add(cached, &[KeyValue::new("from", "cache")]);
        self.prompt_tokens
            .add(computed, &[KeyValue::new("from", "compute")]);
    }

    /// All instruments as text.
    pub fn render(&self) -> String {
        self.registry.encode_text()
    }
}
