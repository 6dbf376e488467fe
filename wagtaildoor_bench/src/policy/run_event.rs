//! Events of a simulated run, and the progress of its requests.

use wagtaildoor::schema::PrefixNews;

use super::{
    deciders::{
        AnswerHead,
        EngineReport, //
    },
    engine_model::EngineJob, //
};

/// Simulated event; requests, engines and hosts are given by their index.
#[derive(Debug)]
pub enum RunEvent {
    /// A request arrives at its entry host.
    Arrive(usize),
    /// A request arrives at an engine.
    ReachEngine {
        /// Index of the engine.
        engine: usize,
        /// Work to do.
        job: EngineJob,
    },
    /// An engine completes a prefill.
    Prefilled {
        /// Index of the engine.
        engine: usize,
        /// Boot number of the engine when the prefill started; the event is stale if it differs.
        boot_number: u32,
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
        /// Work whose prefill completed.
        job: EngineJob,
    },
    /// An engine finishes generating an answer.
    AnswerGenerated {
        /// Boot number of the engine when the answer started; the event is stale if it differs.
        boot_number: u32,
        /// Engine state sent with the answer.
        head: AnswerHead,
        /// Work that completed.
        job: EngineJob,
    },
    /// A host receives the head of an answer, sent when the engine queues the request.
    HeadReceived {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Engine state sent in the head.
        head: AnswerHead,
    },
    /// A host receives the first token.
    FirstToken {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Engine state sent with the token.
        head: AnswerHead,
    },
    /// The last token of an answer reaches the host that sent the request.
    Answered {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Engine state sent with the end.
        head: AnswerHead,
    },
    /// A host learns that an attempt failed.
    Failed {
        /// Index of the request.
        request: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Index of the engine that failed it.
        engine: usize,
    },
    /// All running engines send their load reports.
    Report,
    /// The hosts receive a load report.
    ReportReceived(EngineReport),
    /// All engines publish their pending cache events.
    Publish,
    /// The hosts receive a cache event.
    CacheEvent(PrefixNews),
    /// An engine crashes and loses its cache and its work.
    Crash(usize),
    /// A crashed engine is up again.
    EngineUp(usize),
    /// All entries restart with empty routing state.
    Restart,
}

/// What hosts and engines have done for a request so far.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    /// Number of attempts so far.
    pub attempts: u32,
    /// Engines whose attempts failed.
    pub failed: Vec<usize>,
    /// Whether the first token was received.
    pub has_first_token: bool,
    /// Whether the request was answered or refused.
    pub is_ended: bool,
    /// Whether the entry restarted after the latest attempt and lost its state.
    pub is_forgotten: bool,
}
