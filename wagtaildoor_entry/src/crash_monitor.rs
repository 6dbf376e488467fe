//! Remembers under which prompt levels engines crashed, and keeps such prompts from further engines.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use slog::{
    info,
    warn,
    Logger, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    crash_ledger::{
        CrashLedger,
        CrashReport,
        ReportVerdict, //
    },
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::{
        EngineStart,
        PartId, //
    },
    prompt::RenderedPrompt,
    schema::Template,
};

/// BLAKE3 context of part ids.
const PART_CONTEXT: &str = "wagtaildoor prompt part 1";
/// BLAKE3 context of the ids of engine starts.
const START_CONTEXT: &str = "wagtaildoor engine start 1";

/// Time after the begin of an answer during which a crash counts against its prompt.
const BLAME_TIME: Duration = Duration::from_secs(2);

/// A prompt part, with the number of its crashes that were known when the request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentPart {
    /// The part.
    pub part: PartId,
    /// Number of known crashes.
    pub known_crashes: u32,
}

/// Crashes and complete answers of the prompt parts that this host has sent.
#[derive(Debug)]
pub struct CrashMonitor {
    log: Logger,
    state: Mutex<MonitorState>,
}

#[derive(Debug, Default)]
struct MonitorState {
    ledger: CrashLedger,
    /// Answers in progress, by their number.
    running: HashMap<u64, RunningAnswer>,
    /// Number of the next answer.
    next_answer: u64,
}

/// An answer in progress.
#[derive(Debug)]
struct RunningAnswer {
    engine: EngineStart,
    parts: Vec<SentPart>,
    begun_at: BootInstant,
    /// Whether a chunk has arrived.
    has_chunk: bool,
}

/// Keeps an answer registered as in progress until it is dropped.
#[derive(Debug)]
pub struct AnswerGuard<'a> {
    monitor: &'a CrashMonitor,
    answer: u64,
    engine: EngineStart,
    begun_at: BootInstant,
}

impl AnswerGuard<'_> {
    /// Start of the engine that answers.
    pub fn engine(&self) -> EngineStart {
        self.engine
    }

    /// Records that a chunk of the answer has arrived.
    pub fn record_chunk(&self) {
        let mut state = self.monitor.lock();
        if let Some(running) = state.running.get_mut(&self.answer) {
            running.has_chunk = true;
        }
    }

    /// Time since the answer began.
    pub fn age(&self) -> Duration {
        self.begun_at.elapsed()
    }
}

impl Drop for AnswerGuard<'_> {
    fn drop(&mut self) {
        self.monitor.lock().running.remove(&self.answer);
    }
}

impl CrashMonitor {
    /// Creates a monitor without evidence.
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            state: Mutex::default(),
        }
    }

    /// Fails with `PromptBlocked` if engines have crashed under one of the parts.
    pub fn check_parts(&self, parts: &[PartId]) -> Result<()> {
        let now = BootInstant::now();
        let state = self.lock_unexpired(now);
        let ledger = &state.ledger;
        let Some(part) = ledger.blocked_part(parts, now) else {
            return Ok(());
        };
        let blocked_s = ledger
            .blocked_for(part, now)
            .map_or(0, |time| time.as_secs());
        let crashes = ledger.known_crashes(part);
        drop(state);
        info!(self.log, "prompt blocked"; "part" => format_part(part), "crashes" => crashes,
            "blocked_s" => blocked_s);
        let detail = format!(
            "{crashes} engines crashed under a part of the prompt, which is blocked for {blocked_s} s"
        );
        Err(RequestError::new(ErrorKind::PromptBlocked, detail))
    }

    /// Returns the parts with their known crashes, for a request that is sent now.
    pub fn sent_parts(&self, parts: &[PartId]) -> Vec<SentPart> {
        let state = self.lock_unexpired(BootInstant::now());
        let parts = parts.iter().map(|&part| SentPart {
            part,
            known_crashes: state.ledger.known_crashes(part),
        });
        parts.collect()
    }

    /// Registers an answer that an engine has begun.
    pub fn begin_answer(&self, parts: Vec<SentPart>, engine: EngineStart) -> AnswerGuard<'_> {
        let begun_at = BootInstant::now();
        let mut state = self.lock();
        let answer = state.next_answer;
        state.next_answer += 1;
        let running = RunningAnswer {
            engine,
            parts,
            begun_at,
            has_chunk: false,
        };
        state.running.insert(answer, running);
        AnswerGuard {
            monitor: self,
            answer,
            engine,
            begun_at,
        }
    }

    /// Records that an engine crashed, against the parts of all its answers that have just begun.
    ///
    /// Other answers of the engine may not have been found broken yet. They count at once, so that a
    /// part which explains the crash is known before another one is blamed for it.
    pub fn record_crash(&self, engine: EngineStart) {
        let now = BootInstant::now();
        let mut state = self.lock_unexpired(now);
        let MonitorState {
            ledger, running, ..
        } = &mut *state;
        let is_blamed = |answer: &&RunningAnswer| {
            answer.engine == engine && now.since(answer.begun_at) < BLAME_TIME
        };
        let blamed = running.values().filter(is_blamed);
        let sent_parts = blamed.flat_map(|answer| {
            let in_first_event = !answer.has_chunk;
            answer.parts.iter().map(move |sent| (sent, in_first_event))
        });
        for (sent, in_first_event) in sent_parts {
            let report = CrashReport {
                part: sent.part,
                engine,
                known_crashes: sent.known_crashes,
                in_first_event,
            };
            if ledger.record_crash(&report, now) == ReportVerdict::Added {
                warn!(self.log, "engine crashed under a prompt part";
                    "part" => format_part(sent.part), "engine_start" => format!("{engine:016x}"),
                    "crashes" => ledger.known_crashes(sent.part));
            }
        }
    }

    /// Records a complete answer to a prompt with the parts.
    pub fn record_answer(&self, parts: &[PartId]) {
        let now = BootInstant::now();
        let mut state = self.lock();
        for &part in parts {
            let cleared = state.ledger.record_answer(part, now);
            if !cleared.is_empty() {
                info!(self.log, "prompt part answered"; "part" => format_part(part),
                    "cleared_crashes" => cleared.len());
            }
        }
    }

    /// Locks the state and removes expired evidence.
    fn lock_unexpired(&self, now: BootInstant) -> MutexGuard<'_, MonitorState> {
        let mut state = self.lock();
        for (part, engine) in state.ledger.expire(now) {
            info!(self.log, "evidence against a prompt part expired"; "part" => format_part(part),
                "engine_start" => format!("{engine:016x}"));
        }
        state
    }

    fn lock(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the parts that a prompt may share with others: the text of each level of its template, and
/// the level with its parameters substituted.
pub fn shared_parts(template: &Template, prompt: &RenderedPrompt) -> Vec<PartId> {
    let texts = template.levels.iter().map(|level| &level.text_hash);
    let rendered = prompt.levels.iter().map(|level| &level.text);
    let parts = texts.chain(rendered);
    parts
        .map(|text| short_hash(PART_CONTEXT, &[text]))
        .collect()
}

/// Returns the id of an engine's start.
pub fn engine_start(endpoint: &str, boot_id: &str) -> EngineStart {
    short_hash(START_CONTEXT, &[endpoint, boot_id])
}

/// Hashes texts. Each is preceded by its length, so that the boundaries are unambiguous.
fn short_hash(context: &str, texts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new_derive_key(context);
    for text in texts {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

fn format_part(part: PartId) -> String {
    format!("{part:016x}")
}
