//! Finds the prompt parts that crash engines, from the crashes and the answers of their prompts.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use crate::{
    boot_clock::BootInstant,
    ids::{
        EngineStart,
        PartId, //
    },
};

/// Number of engines that must have crashed before the first event of an answer to a part, so that
/// it is blocked.
const MIN_FIRST_EVENT_CRASHES: usize = 3;
/// Number of engines that must have crashed under a part in all, so that it is blocked.
const MIN_CRASHES: usize = 5;
/// Time for which a complete answer shows that the parts of its prompt are sound.
const SOUND_TIME: Duration = Duration::from_secs(15);
/// Time after a part's last crash at which its evidence expires.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);
/// Number of crashes under a part that may not have been reported.
const MAX_UNREPORTED_CRASHES: usize = 1;
/// Number of parts under suspicion that are kept.
const MAX_SUSPECTS: usize = 256;
/// Number of crashes that are kept for one part.
const MAX_CRASHES: usize = 32;
/// Number of sound parts that are kept.
const MAX_SOUND_PARTS: usize = 8_192;

/// Evidence that a part was in a prompt whose answer had just begun when its engine crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The part.
    pub part: PartId,
    /// Start of the engine that crashed.
    pub engine: EngineStart,
    /// Number of the part's crashes that the host knew of when it sent the request.
    pub known_crashes: u32,
    /// Whether the engine crashed before the first event of the answer was complete. Engines that end
    /// for another cause seldom do.
    pub in_first_event: bool,
}

/// What a report adds to the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportVerdict {
    /// The report is new evidence.
    Added,
    /// The crash was reported before.
    Known,
    /// The part was answered a moment ago, so it is sound.
    Contradicted,
}

/// Crashes that one part was involved in.
#[derive(Debug)]
struct SuspectPart {
    /// Reports by the engine that crashed.
    crashes: BTreeMap<EngineStart, CrashReport>,
    /// When the last crash was reported.
    last_crash: BootInstant,
}

/// Evidence of all hosts against prompt parts, as far as it has reached this one.
///
/// A part is blocked once enough engines have crashed just after an answer to it began, and none of
/// its prompts was answered. At least one of these requests must have been sent after an earlier crash, so that engines that
/// crash together blame no part. A crash that another part explains as well blames only prompts that
/// hold both.
#[derive(Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<PartId, SuspectPart>,
    /// When a prompt with each part was last answered completely.
    sound: HashMap<PartId, BootInstant>,
}

impl SuspectPart {
    /// Whether the crashes alone are enough for a block.
    fn is_incriminated(&self) -> bool {
        let reports = || self.crashes.values();
        let in_first_event = reports().filter(|report| report.in_first_event).count();
        let is_repeated = reports().any(|report| report.known_crashes > 0);
        is_repeated
            && (in_first_event >= MIN_FIRST_EVENT_CRASHES || self.crashes.len() >= MIN_CRASHES)
    }

    /// Whether this part was involved in the crashes of another one. One of them may be missing, since
    /// a host that ends or loses its caller reports nothing.
    fn explains(&self, other: &SuspectPart) -> bool {
        let engines = other.crashes.keys();
        let missing = engines.filter(|engine| !self.crashes.contains_key(engine));
        self.crashes.len() >= other.crashes.len() && missing.count() <= MAX_UNREPORTED_CRASHES
    }
}

impl CrashLedger {
    /// Adds the report of a crash, by this host or another one.
    pub fn record_crash(&mut self, report: &CrashReport, now: BootInstant) -> ReportVerdict {
        if self.is_sound(report.part, now) {
            return ReportVerdict::Contradicted;
        }
        if !self.suspects.contains_key(&report.part) && self.suspects.len() >= MAX_SUSPECTS {
            self.drop_weakest_suspect();
        }
        let suspect = self.suspects.entry(report.part).or_insert(SuspectPart {
            crashes: BTreeMap::new(),
            last_crash: now,
        });
        if let Some(known) = suspect.crashes.get_mut(&report.engine) {
            let before = *known;
            known.known_crashes = known.known_crashes.max(report.known_crashes);
            known.in_first_event |= report.in_first_event;
            return match *known == before {
                true => ReportVerdict::Known,
                false => ReportVerdict::Added,
            };
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            return ReportVerdict::Known;
        }
        suspect.crashes.insert(report.engine, *report);
        suspect.last_crash = now;
        ReportVerdict::Added
    }

    /// Records that a prompt with a part was answered completely. Returns the crashes that no longer
    /// count against the part.
    pub fn record_answer(&mut self, part: PartId, now: BootInstant) -> Vec<EngineStart> {
        if !self.sound.contains_key(&part) && self.sound.len() >= MAX_SOUND_PARTS {
            self.sound.retain(|_, at| now.since(*at) < SOUND_TIME);
        }
        if self.sound.len() < MAX_SOUND_PARTS || self.sound.contains_key(&part) {
            self.sound.insert(part, now);
        }
        let suspect = self.suspects.remove(&part);
        suspect.map_or_else(Vec::new, |suspect| suspect.crashes.into_keys().collect())
    }

    /// Removes a crash that another host found not to count against a part.
    pub fn withdraw_crash(&mut self, part: PartId, engine: EngineStart) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.crashes.remove(&engine);
            if suspect.crashes.is_empty() {
                self.suspects.remove(&part);
            }
        }
    }

    /// What is known of one crash under a part, from all reports.
    pub fn merged_report(&self, part: PartId, engine: EngineStart) -> Option<CrashReport> {
        self.suspects.get(&part)?.crashes.get(&engine).copied()
    }

    /// Number of crashes that a part was involved in.
    pub fn known_crashes(&self, part: PartId) -> u32 {
        let suspect = self.suspects.get(&part);
        suspect.map_or(0, |suspect| suspect.crashes.len() as u32)
    }

    /// Whether a prompt with the part was answered a moment ago.
    pub fn is_sound(&self, part: PartId, now: BootInstant) -> bool {
        let answered = self.sound.get(&part);
        answered.is_some_and(|&at| now.since(at) < SOUND_TIME)
    }

    /// First of a prompt's shared parts for which the prompt must not reach an engine.
    pub fn blocked_part(&self, parts: &[PartId], now: BootInstant) -> Option<PartId> {
        let is_blocked = |part: &&PartId| {
            let Some(suspect) = self.suspects.get(part) else {
                return false;
            };
            suspect.is_incriminated()
                && now.since(suspect.last_crash) < EVIDENCE_TIME
                && !self.is_explained_elsewhere(suspect, parts)
        };
        parts.iter().find(is_blocked).copied()
    }

    /// Time until the evidence against a part expires; `None` if there is none.
    pub fn blocked_for(&self, part: PartId, now: BootInstant) -> Option<Duration> {
        let suspect = self.suspects.get(&part)?;
        Some(EVIDENCE_TIME.saturating_sub(now.since(suspect.last_crash)))
    }

    /// Removes expired evidence, and returns it.
    pub fn expire(&mut self, now: BootInstant) -> Vec<(PartId, EngineStart)> {
        let mut expired = Vec::new();
        self.suspects.retain(|part, suspect| {
            let is_kept = now.since(suspect.last_crash) < EVIDENCE_TIME;
            if !is_kept {
                expired.extend(suspect.crashes.keys().map(|engine| (*part, *engine)));
            }
            is_kept
        });
        expired
    }

    /// Keeps only the crashes for which a function returns true.
    pub fn retain_crashes(&mut self, is_kept: impl Fn(PartId, EngineStart) -> bool) {
        self.suspects.retain(|part, suspect| {
            suspect.crashes.retain(|engine, _| is_kept(*part, *engine));
            !suspect.crashes.is_empty()
        });
    }

    /// Reports of all crashes.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        let suspects = self.suspects.values();
        suspects.flat_map(|suspect| suspect.crashes.values())
    }

    /// Number of parts under suspicion.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a part that is not in the prompt was involved in all crashes of a suspect.
    fn is_explained_elsewhere(&self, suspect: &SuspectPart, parts: &[PartId]) -> bool {
        let mut others = self.suspects.iter();
        others.any(|(other, found)| !parts.contains(other) && found.explains(suspect))
    }

    /// Drops the part with the fewest crashes, and among these the one whose last is oldest.
    fn drop_weakest_suspect(&mut self) {
        let suspects = self.suspects.iter();
        let weakest =
            suspects.min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.last_crash));
        if let Some(part) = weakest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}
