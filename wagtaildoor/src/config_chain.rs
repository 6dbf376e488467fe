//! Folds configuration records into the chain that all hosts agree on.

use std::{
    collections::VecDeque,
    sync::Arc, //
};

use crate::{
    config_change::{
        self,
        ConfigRefusal, //
    },
    ids::{
        ConfigHash,
        LogOffset, //
    },
    schema::{
        ConfigChange,
        ConfigHead,
        ConfigRecord,
        Configuration,
        LogRecord, //
    },
};

/// Log stream that holds the configuration chain.
pub const CONFIG_STREAM: &str = "config";

/// Version of the configuration records that this release writes and reads.
pub const RECORD_VERSION: u32 = 1;

/// Maximum number of records kept after a gap until a child confirms one of them.
const MAX_CANDIDATES: usize = 64;

/// Effect of a record on the chain.
#[derive(Clone, Debug, PartialEq)]
pub enum ChainStep {
    /// The record is the new head.
    Advanced,
    /// The record does not follow the head, usually because another child of its parent came first.
    Lost,
    /// The record follows the head, but its changes are invalid.
    Refused(ConfigRefusal),
    /// The record was kept as a candidate until a child confirms it.
    Unconfirmed,
    /// The record is malformed or has a version that this release does not read.
    Unreadable,
}

/// A record after a gap that is part of the chain if a child confirms it.
#[derive(Clone, Debug)]
struct ChainCandidate {
    hash: ConfigHash,
    offset: LogOffset,
    /// Log time of the record.
    time_ms: u64,
    record: ConfigRecord,
}

/// The configuration chain up to its head.
///
/// A record advances the chain if its parent is the head and its changes are valid. If several
/// records have the same parent, the one with the lowest offset wins. After a gap, a child of the
/// head may have lost to a record that was missed. Such a record counts only after a child of it
/// was read, since the writer of the child has seen the record as the head.
#[derive(Clone, Debug)]
pub struct ConfigChain {
    head: ConfigHead,
    /// Configuration at the head.
    configuration: Arc<Configuration>,
    /// Whether records after the head may have been missed.
    has_gap: bool,
    /// Records that await confirmation while there is a gap.
    candidates: VecDeque<ChainCandidate>,
    /// Log time of the head, if it is a checkpoint.
    checkpoint_ms: Option<u64>,
    /// Log time of the newest record from which the chain can be rebuilt.
    rebuildable_from_ms: Option<u64>,
}

impl Default for ConfigChain {
    fn default() -> Self {
        let head = ConfigHead {
            hash: "".into(),
            offset: 0,
            sequence: 0,
        };
        Self::from_head(head, Arc::new(config_change::empty()))
    }
}

impl ConfigChain {
    /// Creates a chain that continues from a head.
    pub fn from_head(head: ConfigHead, configuration: Arc<Configuration>) -> Self {
        Self {
            head,
            configuration,
            has_gap: false,
            candidates: VecDeque::new(),
            checkpoint_ms: None,
            rebuildable_from_ms: None,
        }
    }

    /// Sequence number, hash and offset of the newest record held.
    pub fn head(&self) -> &ConfigHead {
        &self.head
    }

    /// Configuration at the head.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Whether records after the head may have been missed.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Log time of the newest record read so far from which a host without state can rebuild the
    /// chain: the start of the chain, or a checkpoint that has a child. `None` if none was read.
    pub fn rebuildable_from_ms(&self) -> Option<u64> {
        self.rebuildable_from_ms
    }

    /// Marks that records after the head were missed.
    pub fn mark_gap(&mut self) {
        self.has_gap = true;
        self.candidates.clear();
    }

    /// Applies one log record. Records must be applied in offset order.
    pub fn apply_record(&mut self, record: &LogRecord) -> ChainStep {
        let Some(config_record) = parse_record(&record.data) else {
            return ChainStep::Unreadable;
        };
        if self.has_gap {
            self.promote_candidate(&config_record.parent);
        }
        if self.has_gap {
            return self.keep_candidate(record, config_record);
        }
        self.extend_head(record.offset, record.time_ms, &config_record)
    }

    /// Creates a record that applies changes after the head.
    pub fn child_record(
        &self,
        operator: &str,
        note: &str,
        changes: Vec<ConfigChange>,
    ) -> ConfigRecord {
        ConfigRecord {
            changes,
            checkpoint: None,
            note: note.into(),
            operator: operator.into(),
            parent: self.head.hash.clone(),
            sequence: self.head.sequence + 1,
            version: RECORD_VERSION,
        }
    }

    /// Creates a record that repeats the whole configuration after the head.
    pub fn checkpoint_record(&self, operator: &str) -> ConfigRecord {
        ConfigRecord {
            checkpoint: Some((*self.configuration).clone()),
            ..self.child_record(operator, "checkpoint", Vec::new())
        }
    }

    /// Makes a record the new head if it follows the current one.
    fn extend_head(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        config_record: &ConfigRecord,
    ) -> ChainStep {
        if config_record.parent != self.head.hash
            || config_record.sequence != self.head.sequence + 1
        {
            return ChainStep::Lost;
        }
        let configuration = match config_change::apply(&self.configuration, &config_record.changes)
        {
            Ok(configuration) => configuration,
            Err(refusal) => return ChainStep::Refused(refusal),
        };
        if config_record
            .checkpoint
            .as_ref()
            .is_some_and(|c| *c != configuration)
        {
            return ChainStep::Unreadable;
        }
        self.move_head(offset, time_ms, config_record, configuration);
        ChainStep::Advanced
    }

    fn move_head(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        config_record: &ConfigRecord,
        configuration: Configuration,
    ) {
        if let Some(checkpoint_ms) = self.checkpoint_ms.take() {
            self.rebuildable_from_ms = Some(checkpoint_ms);
        }
        if config_record.checkpoint.is_some() {
            self.checkpoint_ms = Some(time_ms);
        }
        if config_record.sequence == 1 {
            self.rebuildable_from_ms = Some(time_ms);
        }
        self.head = ConfigHead {
            hash: hash_record(config_record),
            offset,
            sequence: config_record.sequence,
        };
        self.configuration = Arc::new(configuration);
    }

    /// Keeps a record until a child confirms it.
    fn keep_candidate(&mut self, log_record: &LogRecord, record: ConfigRecord) -> ChainStep {
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.pop_front();
        }
        self.candidates.push_back(ChainCandidate {
            hash: hash_record(&record),
            offset: log_record.offset,
            time_ms: log_record.time_ms,
            record,
        });
        ChainStep::Unconfirmed
    }

    /// Closes the gap if the candidate with the hash `parent` is ahead of the head, and either
    /// repeats the whole configuration or follows the head.
    fn promote_candidate(&mut self, parent: &ConfigHash) {
        let candidate = self.candidates.iter().find(|c| c.hash == *parent).cloned();
        let Some(candidate) = candidate else {
            return;
        };
        if candidate.record.sequence <= self.head.sequence {
            return;
        }
        if let Some(configuration) = candidate.record.checkpoint.clone() {
            self.checkpoint_ms = None;
            self.move_head(
                candidate.offset,
                candidate.time_ms,
                &candidate.record,
                configuration,
            );
        } else if self.extend_head(candidate.offset, candidate.time_ms, &candidate.record)
            != ChainStep::Advanced
        {
            return;
        }
        self.has_gap = false;
        self.candidates.clear();
    }
}

/// Serializes a record as JSON for the log.
pub fn encode_record(record: &ConfigRecord) -> Box<str> {
    serde_json::to_string(record)
        .expect("a record has string keys only")
        .into()
}

/// Computes the BLAKE3 hash of a record over the hash of its parent and its JSON.
pub fn hash_record(record: &ConfigRecord) -> ConfigHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.parent.as_bytes());
    hasher.update(encode_record(record).as_bytes());
    hasher.finalize().to_hex().as_str().into()
}

/// Parses a record; `None` if it is malformed or has another version.
pub fn parse_record(data: &str) -> Option<ConfigRecord> {
    let record: ConfigRecord = serde_json::from_str(data).ok()?;
    (record.version == RECORD_VERSION).then_some(record)
}
