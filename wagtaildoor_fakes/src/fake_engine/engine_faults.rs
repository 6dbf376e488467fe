//! Switchable faults of the engine, and counts of the work that it did.

use serde::{
    Deserialize,
    Serialize, //
};

/// Active faults. Percentages select streams or events pseudorandomly from the seed.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Seed of all pseudorandom selections.
    pub seed: u64,
    /// Refuses all new work and reports that it did not run.
    pub refuse: bool,
    /// Refuses new work and reports `leaving` in the load report.
    pub leaving: bool,
    /// Blocks requests and streams until the switch is unset.
    pub freeze: bool,
    /// Delay added to the prefill and to each chunk, in milliseconds.
    pub slow_ms: u64,
    /// Share of cache events that are lost, in percent.
    pub event_loss_percent: u32,
    /// Delay until a cache event becomes visible, in milliseconds.
    pub event_lag_ms: u64,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Share of streams that contain a chunk of another request, in percent.
    pub crossed_percent: u32,
    /// Share of streams that contain a chunk of an older attempt, in percent.
    pub late_percent: u32,
    /// Share of streams that contain a duplicate chunk, in percent.
    pub duplicate_percent: u32,
    /// Share of streams that lack a chunk, in percent.
    pub gap_percent: u32,
    /// Share of streams that end before their last event, in percent.
    pub truncated_percent: u32,
    /// Number of chunks after which every stream ends early; 0 disables this.
    pub cut_after_chunks: u64,
    /// Spaces appended to each chunk, in bytes, so that the reader's buffers fill up sooner.
    pub padding_bytes: usize,
    /// Crashes and restarts once, when the switch is set.
    pub crash: bool,
    /// Text in a prompt on which the engine crashes as it starts to respond; empty disables this.
    pub crash_on_prompt: Box<str>,
    /// Time for which the engine is down after a crash on a prompt, in milliseconds.
    pub restart_ms: u64,
    /// Ends each response with its connection, without a content length or chunks.
    pub close_delimited: bool,
    /// Ends answers early: streams inside their last event, others in the middle of the body.
    pub close_early: bool,
}

/// Work that an engine did since it was created, across restarts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Requests accepted.
    pub taken: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests completed.
    pub finished: u64,
    /// Requests cancelled explicitly or by a disconnected reader.
    pub cancelled: u64,
    /// Requests aborted by a crash or a fault.
    pub cut: u64,
    /// Chunks generated.
    pub chunks: u64,
    /// Prompt tokens of all prefilled requests, including cached ones.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cache hits.
    pub cached_tokens: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders refused because of an old fencing token.
    pub orders_refused: u64,
    /// Crashes so far.
    pub crashes: u64,
    /// Requests accepted whose prompt contains `crash_on_prompt`.
    pub crash_prompts: u64,
}
