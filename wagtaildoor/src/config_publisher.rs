//! Publishes configuration changes and reports which of several concurrent publications won.

use std::time::Duration;

use tokio::time::{
    self,
    Instant, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    config_chain::{
        self,
        ChainStep,
        ConfigChain,
        CONFIG_STREAM, //
    },
    config_change,
    config_follower::ConfigFollower,
    ids::{
        ConfigHash,
        LogOffset, //
    },
    log_store::{
        LogError,
        LogStore, //
    },
    schema::{
        ConfigChange,
        ConfigHead,
        ConfigRecord, //
    },
};

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 256;
/// Maximum time to wait for the appended record to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay between two attempts to publish.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutcome {
    /// The record was read back as the first valid child of the head.
    Published(ConfigHead),
    /// The record of another operator came first.
    LostTo {
        /// Operator who published the other record.
        operator: Box<str>,
        /// Head after the other record.
        head: ConfigHead,
    },
    /// The changes are invalid. Nothing was published.
    Refused(Box<str>),
    /// The log did not accept the record. Nothing was published.
    Unavailable(Box<str>),
    /// The log did not respond in time. The record may still take effect.
    Uncertain(Box<str>),
}

/// A publication in progress.
struct Publication<L> {
    log: L,
    /// Chain as read so far.
    chain: ConfigChain,
    /// Offset of the next record to read.
    cursor: LogOffset,
    /// Record to publish.
    record: ConfigRecord,
    /// Hash of `record`.
    hash: ConfigHash,
    /// Whether an append of the record may have taken effect.
    possibly_appended: bool,
}

/// Publishes changes after the newest head in the log.
pub async fn publish<L: LogStore>(
    log: L,
    operator: &str,
    note: &str,
    changes: Vec<ConfigChange>,
    wait: Duration,
) -> PublishOutcome {
    let deadline = Instant::now() + wait;
    let follower = ConfigFollower::new(log.clone(), CancellationToken::new());
    match time::timeout_at(deadline, follower.catch_up()).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return PublishOutcome::Unavailable(error.to_string().into()),
        Err(_) => return PublishOutcome::Unavailable("the log was too slow to read".into()),
    }
    publish_after(log, follower.chain(), operator, note, changes, deadline).await
}

/// Publishes changes after the head of a chain that was read before.
pub async fn publish_after<L: LogStore>(
    log: L,
    chain: ConfigChain,
    operator: &str,
    note: &str,
    changes: Vec<ConfigChange>,
    deadline: Instant,
) -> PublishOutcome {
    let record = chain.child_record(operator, note, changes);
    publish_record(log, chain, record, deadline).await
}

/// Publishes changes that were made against the head `seen`, if it is still the newest one.
///
/// Changes made against an older head could undo what others have changed since.
pub async fn publish_if_current<L: LogStore>(
    log: L,
    chain: ConfigChain,
    seen: &ConfigHead,
    operator: &str,
    note: &str,
    changes: Vec<ConfigChange>,
    deadline: Instant,
) -> PublishOutcome {
    let head = chain.head();
    if head.sequence < seen.sequence {
        let reason = format!(
            "this keeper holds configuration {}, and the changes were compared with {}",
            head.sequence, seen.sequence
        );
        return PublishOutcome::Unavailable(reason.into());
    }
    if head.hash != seen.hash {
        let found = time::timeout_at(deadline, find_operator(&log, head)).await;
        let other = found.ok().flatten();
        return PublishOutcome::LostTo {
            operator: other.unwrap_or_else(|| "another operator".into()),
            head: head.clone(),
        };
    }
    publish_after(log, chain, operator, note, changes, deadline).await
}

/// Finds the operator who published a head; `None` if the log does not return its record.
async fn find_operator<L: LogStore>(log: &L, head: &ConfigHead) -> Option<Box<str>> {
    let page = log
        .read(CONFIG_STREAM, head.offset, 1, Duration::ZERO)
        .await
        .ok()?;
    let record = page.records.first()?;
    let published = config_chain::parse_record(&record.data)?;
    (record.offset == head.offset).then_some(published.operator)
}

/// Publishes a record that follows the head of a chain.
pub async fn publish_record<L: LogStore>(
    log: L,
    chain: ConfigChain,
    record: ConfigRecord,
    deadline: Instant,
) -> PublishOutcome {
    if chain.has_gap() {
        let reason = "the log no longer holds the chain's start, and no checkpoint was found";
        return PublishOutcome::Refused(reason.into());
    }
    if let Err(refusal) = config_change::apply(chain.configuration(), &record.changes) {
        return PublishOutcome::Refused(refusal.to_string().into());
    }
    let mut publication = Publication {
        log,
        cursor: chain.head().offset + 1,
        chain,
        hash: config_chain::hash_record(&record),
        record,
        possibly_appended: false,
    };
    match time::timeout_at(deadline, publication.run()).await {
        Ok(outcome) => outcome,
        Err(_) => publication.undecided_outcome("the log did not decide in time"),
    }
}

impl<L: LogStore> Publication<L> {
    /// Appends the record and reads the log until one of its records decides the publication.
    async fn run(&mut self) -> PublishOutcome {
        loop {
            if let Some(outcome) = self.read_to_end(Duration::ZERO).await {
                return outcome;
            }
            if self.append().await {
                if let Some(outcome) = self.read_to_end(READ_BACK_TIMEOUT).await {
                    return outcome;
                }
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Appends the record. Returns whether the append may have taken effect.
    async fn append(&mut self) -> bool {
        let data = config_chain::encode_record(&self.record);
        let was_possibly_appended = self.possibly_appended;
        // Set before the append, since the future may be dropped while it waits.
        self.possibly_appended = true;
        match self.log.append(CONFIG_STREAM, data).await {
            Ok(_) => true,
            Err(LogError::Unavailable(_)) => {
                self.possibly_appended = was_possibly_appended;
                false
            }
            Err(LogError::Uncertain(_) | LogError::Malformed(_)) => true,
        }
    }

    /// Reads to the end of the log. Returns the outcome if a record decided it.
    async fn read_to_end(&mut self, wait: Duration) -> Option<PublishOutcome> {
        let mut wait = wait;
        loop {
            let page = self
                .log
                .read(CONFIG_STREAM, self.cursor, MAX_PAGE_RECORDS, wait)
                .await
                .ok()?;
            if page.first > self.cursor {
                return Some(
                    self.undecided_outcome("the log dropped records before they were read"),
                );
            }
            for record in &page.records {
                self.cursor = record.offset + 1;
                if self.chain.apply_record(record) == ChainStep::Advanced {
                    if let Some(outcome) = self.outcome_at_head(&record.data) {
                        return Some(outcome);
                    }
                }
            }
            if self.cursor >= page.next {
                return None;
            }
            wait = Duration::ZERO;
        }
    }

    /// Outcome if the publication ends without a decision.
    fn undecided_outcome(&self, reason: &str) -> PublishOutcome {
        if self.possibly_appended {
            return PublishOutcome::Uncertain(reason.into());
        }
        PublishOutcome::Unavailable(reason.into())
    }

    /// Outcome after a record became the head.
    ///
    /// `None` if that record changes nothing, as a checkpoint does. The own record then follows it.
    fn outcome_at_head(&mut self, data: &str) -> Option<PublishOutcome> {
        let head = self.chain.head().clone();
        if head.hash == self.hash {
            return Some(PublishOutcome::Published(head));
        }
        let winner = config_chain::parse_record(data)?;
        if winner.changes.is_empty() {
            self.rebase_onto(&head);
            return None;
        }
        Some(PublishOutcome::LostTo {
            operator: winner.operator,
            head,
        })
    }

    /// Makes the own record a child of `head`. Its previous version can no longer take effect.
    fn rebase_onto(&mut self, head: &ConfigHead) {
        self.record.parent = head.hash.clone();
        self.record.sequence = head.sequence + 1;
        self.hash = config_chain::hash_record(&self.record);
        self.possibly_appended = false;
    }
}
