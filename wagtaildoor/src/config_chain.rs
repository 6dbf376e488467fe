//! Fold of configuration records into the one chain that every host agrees on.

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

/// Stream of the log that holds the chain.
pub const CONFIG_STREAM: &str = "config";

/// Version of the records this release writes and reads.
pub const RECORD_VERSION: u32 = 1;

/// Records kept while the chain's start is out of sight, until a child proves one of them.
const MAX_CANDIDATES: usize = 64;

/// What a record did to the chain.
#[derive(Clone, Debug, PartialEq)]
pub enum ChainStep {
    /// The record is the new head.
    Advanced,
    /// Another child of the same parent came first.
    Lost,
    /// The record follows the head, but its changes cannot be in force.
    Refused(ConfigRefusal),
    /// The record cannot be judged before a child of it is seen.
    Unproven,
    /// The record is not of a form that this release reads.
    Unreadable,
}

/// A record that is a true link if a child of it is seen.
#[derive(Clone, Debug)]
struct ChainCandidate {
    /// Its hash.
    hash: ConfigHash,
    /// Its offset.
    offset: LogOffset,
    /// The log's time of it.
    time_ms: u64,
    /// The record.
    record: ConfigRecord,
}

/// The chain up to its head.
///
/// A record advances the chain when its parent is the head and its changes can be in force;
/// the log's order of offsets decides between children of the same parent. After records were
/// missed, a child of the head might have lost to one that is out of sight. Then a record
/// counts only when a child of it proves that its writer saw it as the head.
#[derive(Clone, Debug)]
pub struct ConfigChain {
    /// Head.
    head: ConfigHead,
    /// Configuration at the head.
    configuration: Arc<Configuration>,
    /// Records since the head may have been missed.
    has_gap: bool,
    /// Records that wait for proof, while broken.
    candidates: VecDeque<ChainCandidate>,
    /// The log's time of the head, when it is a checkpoint.
    checkpoint_ms: Option<u64>,
    /// The log's time of the newest record from which the chain can be built anew.
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
    /// A chain that goes on from a head.
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

    /// Head of the chain.
    pub fn head(&self) -> &ConfigHead {
        &self.head
    }

    /// Configuration at the head.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Whether records since the head may have been missed.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// The log's time of the newest record from which a host without any state can build the chain,
    /// as far as this one has seen it: the chain's start, or a checkpoint with a child.
    pub fn rebuildable_from_ms(&self) -> Option<u64> {
        self.rebuildable_from_ms
    }

    /// Notes that records after the head were missed.
    pub fn mark_gap(&mut self) {
        self.has_gap = true;
        self.candidates.clear();
    }

    /// Takes one record of the log, in the order of offsets.
    pub fn apply_record(&mut self, record: &LogRecord) -> ChainStep {
        let Some(link) = parse_record(&record.data) else {
            return ChainStep::Unreadable;
        };
        if self.has_gap {
            self.promote_candidate(&link.parent);
        }
        if self.has_gap {
            return self.keep_candidate(record, link);
        }
        self.extend_head(record.offset, record.time_ms, &link)
    }

    /// The record that would put changes in force after the head.
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

    /// The record that would repeat the whole configuration after the head.
    pub fn checkpoint_record(&self, operator: &str) -> ConfigRecord {
        ConfigRecord {
            checkpoint: Some((*self.configuration).clone()),
            ..self.child_record(operator, "checkpoint", Vec::new())
        }
    }

    /// Takes a record as the new head if it follows the present one.
    fn extend_head(&mut self, offset: LogOffset, time_ms: u64, link: &ConfigRecord) -> ChainStep {
        if link.parent != self.head.hash || link.sequence != self.head.sequence + 1 {
            return ChainStep::Lost;
        }
        let configuration = match config_change::apply(&self.configuration, &link.changes) {
            Ok(configuration) => configuration,
            Err(refusal) => return ChainStep::Refused(refusal),
        };
        if link
            .checkpoint
            .as_ref()
            .is_some_and(|c| *c != configuration)
        {
            return ChainStep::Unreadable;
        }
        self.move_head(offset, time_ms, link, configuration);
        ChainStep::Advanced
    }

    /// Moves the head to a record.
    fn move_head(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        link: &ConfigRecord,
        configuration: Configuration,
    ) {
        if let Some(checkpoint_ms) = self.checkpoint_ms.take() {
            self.rebuildable_from_ms = Some(checkpoint_ms);
        }
        if link.checkpoint.is_some() {
            self.checkpoint_ms = Some(time_ms);
        }
        if link.sequence == 1 {
            self.rebuildable_from_ms = Some(time_ms);
        }
        self.head = ConfigHead {
            hash: hash_record(link),
            offset,
            sequence: link.sequence,
        };
        self.configuration = Arc::new(configuration);
    }

    /// Keeps a record until a child proves it.
    fn keep_candidate(&mut self, logged: &LogRecord, record: ConfigRecord) -> ChainStep {
        if self.candidates.len() == MAX_CANDIDATES {
            self.candidates.pop_front();
        }
        self.candidates.push_back(ChainCandidate {
            hash: hash_record(&record),
            offset: logged.offset,
            time_ms: logged.time_ms,
            record,
        });
        ChainStep::Unproven
    }

    /// Mends the chain if a candidate with this hash is ahead of the head and shows its state.
    fn promote_candidate(&mut self, parent: &ConfigHash) {
        let proven = self.candidates.iter().find(|c| c.hash == *parent).cloned();
        let Some(proven) = proven else {
            return;
        };
        if proven.record.sequence <= self.head.sequence {
            return;
        }
        if let Some(configuration) = proven.record.checkpoint.clone() {
            self.checkpoint_ms = None;
            self.move_head(proven.offset, proven.time_ms, &proven.record, configuration);
        } else if self.extend_head(proven.offset, proven.time_ms, &proven.record)
            != ChainStep::Advanced
        {
            return;
        }
        self.has_gap = false;
        self.candidates.clear();
    }
}

/// Text of a record, as it goes into the log.
pub fn encode_record(record: &ConfigRecord) -> Box<str> {
    serde_json::to_string(record)
        .expect("a record has string keys only")
        .into()
}

/// Hash of a record: BLAKE3 over its parent's hash and its text.
pub fn hash_record(record: &ConfigRecord) -> ConfigHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.parent.as_bytes());
    hasher.update(encode_record(record).as_bytes());
    hasher.finalize().to_hex().as_str().into()
}

/// Reads the text of a record.
pub fn parse_record(data: &str) -> Option<ConfigRecord> {
    let record: ConfigRecord = serde_json::from_str(data).ok()?;
    (record.version == RECORD_VERSION).then_some(record)
}
