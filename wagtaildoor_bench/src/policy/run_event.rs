//! What happens in a run, and how far its requests are.

use wagtaildoor::schema::PrefixNews;

use super::{
    deciders::{
        AnswerHead,
        EngineReport, //
    },
    engine_model::EngineJob, //
};

/// What happens.
#[derive(Debug)]
pub enum RunEvent {
    /// A request comes to its host.
    Arrive(usize),
    /// A request comes to an engine.
    Reach {
        /// Engine.
        engine: usize,
        /// Work.
        job: EngineJob,
    },
    /// A prefill ends.
    Prefilled {
        /// Engine.
        engine: usize,
        /// Start of the engine.
        starts: u32,
        /// Prompt tokens found in the cache.
        cached_tokens: u64,
        /// Work.
        job: EngineJob,
    },
    /// An answer ends at its engine.
    Ended {
        /// Start of the engine.
        starts: u32,
        /// What the answer says.
        head: AnswerHead,
        /// Work.
        job: EngineJob,
    },
    /// A host has the head of an answer.
    Heard {
        /// Request.
        request: usize,
        /// Attempt.
        attempt: u32,
        /// What the head says.
        head: AnswerHead,
    },
    /// A host has the first token.
    FirstToken {
        /// Request.
        request: usize,
        /// Attempt.
        attempt: u32,
        /// What the answer says.
        head: AnswerHead,
    },
    /// A host has the whole answer.
    Answered {
        /// Request.
        request: usize,
        /// Attempt.
        attempt: u32,
        /// What the answer says.
        head: AnswerHead,
    },
    /// A host hears that an attempt failed.
    Failed {
        /// Request.
        request: usize,
        /// Attempt.
        attempt: u32,
        /// Engine.
        engine: usize,
    },
    /// Engines give their reports.
    Report,
    /// Hosts have a report.
    Reported(EngineReport),
    /// Engines publish cache events.
    Publish,
    /// Hosts have a cache event.
    News(PrefixNews),
    /// An engine crashes.
    Crash(usize),
    /// An engine is back.
    Start(usize),
    /// All entries restart.
    Restart,
}

/// How far a request is.
#[derive(Clone, Debug, Default)]
pub struct RequestProgress {
    /// Attempts so far.
    pub attempts: u32,
    /// Engines that failed it.
    pub failed: Vec<usize>,
    /// Its first token was had.
    pub started: bool,
    /// It ended.
    pub ended: bool,
    /// Its entry restarted since, and knows nothing of it.
    pub forgotten: bool,
}
