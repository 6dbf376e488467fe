//! Streams of an engine, with their faults.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    ids::{
        BootId,
        WeightsVersion, //
    },
    schema::{
        EngineChunk,
        EngineDone,
        EngineRequest, //
    },
};

use super::{
    answer_text::AnswerText,
    engine_faults::EngineFaults,
    engine_run::{
        AcceptingStart,
        EngineWork, //
    },
    prompt_blocks,
    FakeEngine,
    Result, //
};
use crate::{
    pause,
    seeded, //
};

/// Chunks that wait for a slow reader.
const BUFFER_CHUNKS: usize = 8;

/// The answer of an engine as it comes.
#[derive(Debug)]
pub struct EngineStream {
    /// Start that runs it.
    pub boot_id: BootId,
    /// Weights that run it.
    pub weights_version: WeightsVersion,
    /// Requests waiting when it was taken.
    pub queued: u32,
    /// Its chunks; a stream that ends without `done` was cut.
    pub chunks: mpsc::Receiver<EngineChunk>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// With its last event.
    Finished,
    /// Its reader went away, or it was cancelled.
    Cancelled,
    /// A crash or a fault cut it.
    Cut,
}

/// The places at which a stream's faults strike.
#[derive(Clone, Copy, Debug, Default)]
struct FaultPlan {
    /// Chunk before which one of another request comes.
    crossed: Option<u64>,
    /// Chunk before which one of an older attempt comes.
    late: Option<u64>,
    /// Chunk that comes twice.
    duplicate: Option<u64>,
    /// Chunk that is missing.
    gap: Option<u64>,
    /// Chunk at which the stream ends.
    cut: Option<u64>,
}

/// One stream in work.
struct StreamTask {
    /// Engine that runs it.
    engine: FakeEngine,
    /// Start that took it.
    start: AcceptingStart,
    /// What was asked.
    request: EngineRequest,
    /// The answer.
    text: AnswerText,
    /// What goes wrong.
    plan: FaultPlan,
    /// Added to the text of each chunk.
    padding: Box<str>,
    /// Where chunks go.
    sender: mpsc::Sender<EngineChunk>,
}

impl FakeEngine {
    /// Takes a request and streams its answer.
    pub fn generate(&self, request: EngineRequest) -> Result<EngineStream> {
        let start = self.accept_work(request.weights_version)?;
        let (sender, chunks) = mpsc::channel(BUFFER_CHUNKS);
        let stream = EngineStream {
            boot_id: start.boot_id.clone(),
            weights_version: request.weights_version,
            queued: start.queue.queued(),
            chunks,
        };
        let faults = self.faults();
        let task = StreamTask {
            engine: self.clone(),
            text: AnswerText::new(&request),
            plan: FaultPlan::draw(&faults, &request),
            padding: " ".repeat(faults.padding_bytes).into(),
            start,
            request,
            sender,
        };
        let cancelled = CancellationToken::new();
        let attempt = task.request.attempt_id.clone();
        self.lock().attempts.insert(attempt, cancelled.clone());
        tokio::spawn(task.run(cancelled));
        Ok(stream)
    }
}

impl FaultPlan {
    /// Draws what goes wrong with a stream.
    fn draw(faults: &EngineFaults, request: &EngineRequest) -> Self {
        let name = &*request.attempt_id;
        let left = u64::from(request.max_tokens).saturating_sub(request.resume_from);
        let place = |label: &str, percent| {
            let strikes = left > 0 && seeded::strikes(faults.seed, label, name, percent);
            strikes.then(|| request.resume_from + seeded::draw(faults.seed, name, label) % left)
        };
        let limit = match faults.cut_after_chunks {
            0 => None,
            chunks => Some(request.resume_from + chunks),
        };
        Self {
            crossed: place("crossed", faults.crossed_percent),
            late: place("late", faults.late_percent),
            duplicate: place("duplicate", faults.duplicate_percent),
            gap: place("gap", faults.gap_percent),
            cut: limit.or_else(|| place("truncated", faults.truncated_percent)),
        }
    }
}

impl StreamTask {
    /// Runs the stream to its end, and counts how it ended.
    async fn run(self, cancelled: CancellationToken) {
        let end = tokio::select! {
            biased;
            () = self.start.token.cancelled() => StreamEnd::Cut,
            () = cancelled.cancelled() => StreamEnd::Cancelled,
            () = self.sender.closed() => StreamEnd::Cancelled,
            end = self.produce() => end,
        };
        let mut inner = self.engine.lock();
        inner.attempts.remove(&self.request.attempt_id);
        match end {
            StreamEnd::Finished => inner.counts.finished += 1,
            StreamEnd::Cancelled => inner.counts.cancelled += 1,
            StreamEnd::Cut => inner.counts.cut += 1,
        }
    }

    /// Prefills, then sends chunk after chunk.
    async fn produce(&self) -> StreamEnd {
        let work = self.work();
        let prefilled = self.engine.prefill(&self.start, &work).await;
        let total = u64::from(self.request.max_tokens).max(self.request.resume_from);
        for sequence in self.request.resume_from..total {
            if self.plan.cut == Some(sequence) {
                return StreamEnd::Cut;
            }
            if sequence > self.request.resume_from {
                pause::pause(self.pause()).await;
            }
            self.engine.thawed().await;
            if !self.send_with_faults(sequence).await {
                return StreamEnd::Cancelled;
            }
        }
        if self.plan.cut == Some(total) {
            return StreamEnd::Cut;
        }
        drop(prefilled.place);
        let done = EngineDone {
            boot_id: self.start.boot_id.clone(),
            cached_tokens: prefilled.cached_tokens,
            chunks: total,
            level_blocks: prompt_blocks::level_blocks(&self.request.levels, &work.chain),
            prompt_tokens: work.prompt_tokens,
            queued: self.start.queue.queued(),
            weights_version: self.request.weights_version,
        };
        let last = EngineChunk {
            text: "".into(),
            done: Some(done),
            ..self.chunk(total)
        };
        match self.sender.send(last).await {
            Ok(()) => StreamEnd::Finished,
            Err(_) => StreamEnd::Cancelled,
        }
    }

    /// The request as work.
    fn work(&self) -> EngineWork {
        EngineWork {
            chain: prompt_blocks::chain_of(&self.request),
            prompt_tokens: prompt_blocks::token_count(&self.request.prompt),
            resumed_tokens: self.request.resume_from,
            answer_tokens: u64::from(self.request.max_tokens),
            priority: self.request.priority,
            weights_version: self.request.weights_version,
        }
    }

    /// Time until the next chunk.
    fn pause(&self) -> Duration {
        let slow = Duration::from_millis(self.engine.lock().faults.slow_ms);
        self.engine.token_pause(&self.start.queue) + slow
    }

    /// Sends one chunk and what goes wrong around it; tells whether a reader is there.
    async fn send_with_faults(&self, sequence: u64) -> bool {
        let chunk = self.chunk(sequence);
        let mut events = Vec::with_capacity(1);
        if self.plan.crossed == Some(sequence) {
            events.push(EngineChunk {
                request_id: format!("{}-other", chunk.request_id).into(),
                text: "text of another request ".into(),
                ..chunk.clone()
            });
        }
        if self.plan.late == Some(sequence) {
            events.push(EngineChunk {
                attempt_id: format!("{}-older", chunk.attempt_id).into(),
                text: "text of an older attempt ".into(),
                ..chunk.clone()
            });
        }
        if self.plan.duplicate == Some(sequence) {
            events.push(chunk.clone());
        }
        if self.plan.gap != Some(sequence) {
            events.push(chunk);
        }
        for event in events {
            if self.sender.send(event).await.is_err() {
                return false;
            }
        }
        self.engine.lock().counts.chunks += 1;
        true
    }

    /// One chunk as it should be.
    fn chunk(&self, sequence: u64) -> EngineChunk {
        EngineChunk {
            attempt_id: self.request.attempt_id.clone(),
            done: None,
            request_id: self.request.request_id.clone(),
            sequence,
            text: format!("{}{}", self.text.chunk(sequence), self.padding).into(),
        }
    }
}
