//! Fault switches of the engine, and what it did.

use serde::{
    Deserialize,
    Serialize, //
};

/// Faults that are on. Shares are of streams or events, drawn from the seed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Seed of all draws.
    pub seed: u64,
    /// Refuses all new work and says that it did not run.
    pub refuse: bool,
    /// Takes no new work, and says so in its load report.
    pub leaving: bool,
    /// Does nothing until the switch goes off.
    pub freeze: bool,
    /// Added to the prefill and to each chunk, in milliseconds.
    pub slow_ms: u64,
    /// Share of cache events that are lost, in percent.
    pub event_loss_percent: u32,
    /// Age at which a cache event can be read, in milliseconds.
    pub event_lag_ms: u64,
    /// Age of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Share of streams with a chunk of another request, in percent.
    pub crossed_percent: u32,
    /// Share of streams with a chunk of an older attempt, in percent.
    pub late_percent: u32,
    /// Share of streams with a chunk that comes twice, in percent.
    pub duplicate_percent: u32,
    /// Share of streams in which a chunk is missing, in percent.
    pub gap_percent: u32,
    /// Share of streams that end before their last event, in percent.
    pub truncated_percent: u32,
    /// Chunks after which every stream is cut; 0 for none.
    pub cut_after_chunks: u64,
    /// Spaces added to the text of each chunk, so that a reader's buffers fill soon; in bytes.
    pub padding_bytes: usize,
    /// Crashes and comes back empty, once, when the switch is set.
    pub crash: bool,
}

/// What an engine did since it was made, over all its starts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Requests it took.
    pub taken: u64,
    /// Requests it refused.
    pub refused: u64,
    /// Requests that ended with their last event.
    pub finished: u64,
    /// Requests that were cancelled or whose reader went away.
    pub cancelled: u64,
    /// Requests that a crash or a fault cut.
    pub cut: u64,
    /// Chunks it made.
    pub chunks: u64,
    /// Prompt tokens of the requests it prefilled.
    pub prompt_tokens: u64,
    /// Prompt tokens it found in the cache.
    pub cached_tokens: u64,
    /// Orders it took.
    pub orders: u64,
    /// Orders it refused for an old fencing number.
    pub orders_refused: u64,
    /// Times it crashed.
    pub crashes: u64,
}
