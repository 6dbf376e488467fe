//! Streamed responses of an engine, with injected faults.

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
        BootHandle,
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

/// Chunks buffered for a slow reader.
const BUFFER_CHUNKS: usize = 8;

/// A streamed response.
#[derive(Debug)]
pub struct EngineStream {
    /// Boot that runs the request.
    pub boot_id: BootId,
    /// Version of the weights that run the request.
    pub weights_version: WeightsVersion,
    /// Queue depth when the request was accepted.
    pub queued: u32,
    /// Whether the response is to end inside its last event.
    pub closes_early: bool,
    /// Cancelled when the engine crashes.
    pub crashed: CancellationToken,
    /// Chunks of the response; the stream was cut if the channel closes before a chunk with `done`.
    pub chunks: mpsc::Receiver<EngineChunk>,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// The last event was sent.
    Finished,
    /// The reader disconnected or the request was cancelled.
    Cancelled,
    /// A crash or a fault ended the stream early.
    Cut,
}

/// Sequence numbers at which faults are injected into a stream.
#[derive(Clone, Copy, Debug, Default)]
struct FaultPlan {
    /// A chunk of another request precedes this chunk.
    crossed: Option<u64>,
    /// A chunk of an older attempt precedes this chunk.
    late: Option<u64>,
    /// This chunk is sent twice.
    duplicate: Option<u64>,
    /// This chunk is not sent.
    gap: Option<u64>,
    /// The stream ends before this chunk.
    cut: Option<u64>,
    /// The engine crashes before the first chunk.
    crash: bool,
}

/// State of a stream in progress.
struct StreamTask {
    engine: FakeEngine,
    boot: BootHandle,
    request: EngineRequest,
    text: AnswerText,
    plan: FaultPlan,
    /// Appended to the text of each chunk.
    padding: Box<str>,
    sender: mpsc::Sender<EngineChunk>,
}

impl FakeEngine {
    /// Accepts a request and starts streaming the response.
    pub fn generate(&self, request: EngineRequest) -> Result<EngineStream> {
        let boot = self.accept_work(request.weights_version)?;
        let faults = self.faults();
        let (sender, chunks) = mpsc::channel(BUFFER_CHUNKS);
        let stream = EngineStream {
            boot_id: boot.boot_id.clone(),
            weights_version: request.weights_version,
            queued: boot.queue.queued(),
            closes_early: faults.close_early,
            crashed: boot.token.clone(),
            chunks,
        };
        let plan = FaultPlan::draw(&faults, &request);
        self.lock().counts.crash_prompts += u64::from(plan.crash);
        let task = StreamTask {
            engine: self.clone(),
            text: AnswerText::new(&request),
            plan,
            padding: " ".repeat(faults.padding_bytes).into(),
            boot,
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
    /// Selects the faults of a stream pseudorandomly from the seed.
    fn draw(faults: &EngineFaults, request: &EngineRequest) -> Self {
        let name = &*request.attempt_id;
        let remaining = u64::from(request.max_tokens).saturating_sub(request.resume_from);
        let pick_chunk = |label: &str, percent| {
            let has_fault = remaining > 0 && seeded::is_selected(faults.seed, label, name, percent);
            has_fault
                .then(|| request.resume_from + seeded::draw(faults.seed, name, label) % remaining)
        };
        let limit = match faults.cut_after_chunks {
            0 => None,
            chunks => Some(request.resume_from + chunks),
        };
        Self {
            crossed: pick_chunk("crossed", faults.crossed_percent),
            late: pick_chunk("late", faults.late_percent),
            duplicate: pick_chunk("duplicate", faults.duplicate_percent),
            gap: pick_chunk("gap", faults.gap_percent),
            cut: limit.or_else(|| pick_chunk("truncated", faults.truncated_percent)),
            crash: !faults.crash_on_prompt.is_empty()
                && request.prompt.contains(&*faults.crash_on_prompt),
        }
    }
}

impl StreamTask {
    /// Runs the stream until it ends, and counts how it ended.
    async fn run(self, cancelled: CancellationToken) {
        let end = tokio::select! {
            biased;
            () = self.boot.token.cancelled() => StreamEnd::Cut,
            () = cancelled.cancelled() => StreamEnd::Cancelled,
            () = self.sender.closed() => StreamEnd::Cancelled,
            end = self.send_chunks() => end,
        };
        let mut inner = self.engine.lock();
        inner.attempts.remove(&self.request.attempt_id);
        match end {
            StreamEnd::Finished => inner.counts.finished += 1,
            StreamEnd::Cancelled => inner.counts.cancelled += 1,
            StreamEnd::Cut => inner.counts.cut += 1,
        }
    }

    /// Prefills the prompt, then sends all chunks and the last event.
    async fn send_chunks(&self) -> StreamEnd {
        let work = self.engine_work();
        let prefilled = self.engine.prefill(&self.boot, &work).await;
        if self.plan.crash {
            self.engine.crash_on_prompt(&self.boot.boot_id);
            return StreamEnd::Cut;
        }
        let total = u64::from(self.request.max_tokens).max(self.request.resume_from);
        for sequence in self.request.resume_from..total {
            if self.plan.cut == Some(sequence) {
                return StreamEnd::Cut;
            }
            if sequence > self.request.resume_from {
                pause::sleep_unless_zero(self.chunk_interval()).await;
            }
            self.engine.wait_until_unfrozen().await;
            if !self.send_with_faults(sequence).await {
                return StreamEnd::Cancelled;
            }
        }
        if self.plan.cut == Some(total) {
            return StreamEnd::Cut;
        }
        drop(prefilled.slot);
        let done = EngineDone {
            boot_id: self.boot.boot_id.clone(),
            cached_tokens: prefilled.cached_tokens,
            chunks: total,
            level_blocks: prompt_blocks::level_blocks(&self.request.levels, &work.chain),
            prompt_tokens: work.prompt_tokens,
            queued: self.boot.queue.queued(),
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

    /// Converts the request into a unit of work.
    fn engine_work(&self) -> EngineWork {
        EngineWork {
            chain: prompt_blocks::chain_of(&self.request),
            prompt_tokens: prompt_blocks::token_count(&self.request.prompt),
            resumed_tokens: self.request.resume_from,
            answer_tokens: u64::from(self.request.max_tokens),
            priority: self.request.priority,
            weights_version: self.request.weights_version,
        }
    }

    /// Returns the time until the next chunk.
    fn chunk_interval(&self) -> Duration {
        let fault_delay = Duration::from_millis(self.engine.lock().faults.slow_ms);
        self.engine.token_interval(&self.boot.queue) + fault_delay
    }

    /// Sends one chunk with its injected faults. Returns whether the reader is still connected.
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

    /// Returns a chunk without faults.
    fn chunk(&self, sequence: u64) -> EngineChunk {
        EngineChunk {
            attempt_id: self.request.attempt_id.clone(),
            done: None,
            request_id: self.request.request_id.clone(),
            sequence,
            text: format!("{}{}", self.text.chunk_text(sequence), self.padding).into(),
        }
    }
}
