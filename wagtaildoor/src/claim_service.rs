//! Decides claims, and records releases, outcomes and settlements in the log.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::{
    sync::watch,
    task::JoinSet,
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    claim_key,
    claim_ledger::UnresolvedClaim,
    claim_policy::ClaimPolicy,
    claim_shard::{
        ClaimShard,
        ShardState, //
    },
    log_store::LogStore,
    schema::{
        ClaimRecord,
        ClaimStart,
        ClaimVerdict,
        SettledAs, //
    },
};

/// Number of queued records per stream from which new claims are refused.
const MAX_QUEUED_RECORDS: usize = 16 * 1024;

/// Time after cancellation during which queued records may still be appended.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// The claim service of a keeper. Clones share the same state.
#[derive(Clone)]
pub struct ClaimService<L> {
    shards: Arc<[ClaimShard<L>]>,
    policy: ClaimPolicy,
    /// Stops the tasks of the service.
    token: CancellationToken,
}

/// Progress of a pending claim.
enum ClaimStep {
    /// The claim has a final verdict.
    Decided(ClaimVerdict),
    /// Another attempt holds the key, but its outcome may still arrive.
    Busy(ClaimVerdict),
    /// The claim now waits to be appended to the log.
    Queued,
    /// No progress since the last call.
    Pending,
}

/// A claim that is waiting for a verdict. It is withdrawn if dropped before it is decided.
struct PendingClaim<'a, L: LogStore> {
    shard: &'a ClaimShard<L>,
    start: ClaimStart,
    /// Whether the claim is in the append queue.
    queued: bool,
}

impl<L: LogStore> ClaimService<L> {
    /// Creates a service for the claim streams of a log. It makes progress only while `run` runs.
    pub fn new(log: L, policy: ClaimPolicy, token: CancellationToken) -> Self {
        let shard = |number| {
            let stream = format!("claims-{number}").into();
            ClaimShard::new(log.clone(), stream, policy.clone())
        };
        Self {
            shards: (0..policy.shards).map(shard).collect(),
            policy,
            token,
        }
    }

    /// Reads and appends records until cancelled.
    pub async fn run(self) {
        let mut tasks = JoinSet::new();
        for number in 0..self.shards.len() {
            let (tail, append) = (self.shards.clone(), self.shards.clone());
            tasks.spawn(async move { tail[number].follow_stream().await });
            tasks.spawn(async move { append[number].append_batches().await });
        }
        self.token.cancelled().await;
        let _ = time::timeout(FLUSH_TIMEOUT, self.flush()).await;
        tasks.shutdown().await;
    }

    /// Waits until all queued records were read back.
    async fn flush(&self) {
        for shard in self.shards.iter() {
            let mut pages = shard.pages();
            while !shard.lock().queue.is_empty() {
                let _ = pages.changed().await;
            }
        }
    }

    /// Claims a key for an attempt and waits up to `wait` for the verdict.
    ///
    /// Must be called only once per attempt. The attempt may run only after `Won`.
    pub async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        let now = Instant::now();
        let deadline = now + wait;
        let busy_until = deadline.min(now + self.policy.busy_timeout);
        let shard = self.shard_of_key(&start.account, &start.key);
        let mut pages = shard.pages();
        let mut claim = PendingClaim {
            shard,
            start,
            queued: false,
        };
        loop {
            pages.mark_unchanged();
            let mut wait_until = deadline;
            match claim.advance(&self.policy) {
                ClaimStep::Decided(verdict) => return verdict,
                ClaimStep::Busy(verdict) if Instant::now() >= busy_until => return verdict,
                ClaimStep::Busy(_) => wait_until = busy_until,
                ClaimStep::Queued => continue,
                ClaimStep::Pending => {}
            }
            if Instant::now() >= deadline {
                return claim.time_out();
            }
            wait_for_page(&mut pages, wait_until).await;
        }
    }

    /// Records a release, an outcome or a settlement. Returns whether it was read back within
    /// `wait` and took effect.
    ///
    /// Releases and outcomes stay queued after that until they reach the log.
    pub async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        let deadline = Instant::now() + wait;
        let shard = self.shard_of_record(&record);
        let mut pages = shard.pages();
        if !self.can_take_effect(&shard.lock(), &record) {
            return false;
        }
        shard.push(record.clone());
        loop {
            pages.mark_unchanged();
            if let Some(recorded) = shard.lock().ledger.is_recorded(&record) {
                return recorded;
            }
            if Instant::now() >= deadline {
                break;
            }
            wait_for_page(&mut pages, deadline).await;
        }
        if matches!(record, ClaimRecord::Settlement(_)) {
            shard.lock().queue.remove(&record);
        }
        false
    }

    /// Claims without an outcome whose requests can no longer be dispatched, oldest first.
    pub fn unresolved(&self) -> Vec<UnresolvedClaim> {
        let wait_ms = self.policy.settlement_wait().as_millis() as u64;
        let mut unresolved = Vec::new();
        for shard in self.shards.iter() {
            let state = shard.lock();
            let before_ms = state.log_now_ms().unwrap_or(0).saturating_sub(wait_ms);
            unresolved.extend(state.ledger.unresolved(before_ms));
        }
        unresolved.sort_by_key(|claim| claim.claimed_ms);
        unresolved
    }

    /// Number of attempts that ran although another attempt held the key.
    ///
    /// Any value above 0 means that the at-most-once guarantee was violated.
    pub fn conflict_count(&self) -> u64 {
        let shard_count = |shard: &ClaimShard<L>| shard.lock().ledger.conflict_count();
        self.shards.iter().map(shard_count).sum()
    }

    fn shard_of_key(&self, account: &str, key: &str) -> &ClaimShard<L> {
        let mut hasher = blake3::Hasher::new();
        hasher.update(account.as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
        let number = u32::from_le_bytes([a, b, c, d]) % self.policy.shards;
        &self.shards[number as usize]
    }

    fn shard_of_record(&self, record: &ClaimRecord) -> &ClaimShard<L> {
        match record {
            ClaimRecord::Start(r) => self.shard_of_key(&r.account, &r.key),
            ClaimRecord::Outcome(r) => self.shard_of_key(&r.account, &r.key),
            ClaimRecord::Release(r) => self.shard_of_key(&r.account, &r.key),
            ClaimRecord::Settlement(r) => self.shard_of_key(&r.account, &r.key),
        }
    }

    /// Whether a record could take effect if it were appended now.
    fn can_take_effect(&self, state: &ShardState, record: &ClaimRecord) -> bool {
        let settlement = match record {
            ClaimRecord::Start(_) => return false,
            ClaimRecord::Outcome(_) | ClaimRecord::Release(_) => return true,
            ClaimRecord::Settlement(settlement) => settlement,
        };
        if settlement.settled == SettledAs::Ran {
            return true;
        }
        let due_ms = state.ledger.settleable_from_ms(settlement);
        due_ms.is_none_or(|due_ms| state.log_now_ms().is_some_and(|now_ms| now_ms >= due_ms))
    }
}

impl<L: LogStore> PendingClaim<'_, L> {
    /// Advances the claim based on the pages read so far.
    fn advance(&mut self, policy: &ClaimPolicy) -> ClaimStep {
        let mut state = self.shard.lock();
        if state.log_answered_at().is_none() {
            return ClaimStep::Pending;
        }
        if self.queued && !state.queue.is_possibly_appended(&self.start) {
            // No append has taken effect so far, so the claim can still be withdrawn.
            if let Some(verdict) = state.ledger.verdict(&self.start) {
                state.queue.withdraw_claim(&self.start);
                self.queued = false;
                return classify_verdict(verdict);
            }
            return ClaimStep::Pending;
        }
        if self.queued {
            return self.check_read_back(&mut state, policy);
        }
        if let Some(verdict) = state.ledger.verdict(&self.start) {
            return classify_verdict(verdict);
        }
        if let Some(verdict) = self.check_refusal(&state, policy) {
            return ClaimStep::Decided(verdict);
        }
        state.queue.push(ClaimRecord::Start(self.start.clone()));
        drop(state);
        self.queued = true;
        self.shard.wake_appender();
        ClaimStep::Queued
    }

    /// Checks whether the record of the claim was read back.
    fn check_read_back(&mut self, state: &mut ShardState, policy: &ClaimPolicy) -> ClaimStep {
        if !state.ledger.is_decided(&self.start) {
            return ClaimStep::Pending;
        }
        let Some(verdict) = state.ledger.verdict(&self.start) else {
            return ClaimStep::Pending;
        };
        let won = matches!(verdict, ClaimVerdict::Won(_));
        if won && !state.has_all_claims(&self.start.key, policy) {
            return ClaimStep::Pending;
        }
        state.queue.remove(&ClaimRecord::Start(self.start.clone()));
        self.queued = false;
        ClaimStep::Decided(verdict)
    }

    /// Refuses claims that can be decided without appending them.
    fn check_refusal(&self, state: &ShardState, policy: &ClaimPolicy) -> Option<ClaimVerdict> {
        let log_ms = state.log_now_ms().unwrap_or(0);
        if let Err(error) = claim_key::check_key_age(&self.start.key, log_ms, policy) {
            return Some(ClaimVerdict::Expired(error.to_string().into()));
        }
        if !state.has_all_claims(&self.start.key, policy) {
            let reason = "the log dropped records that may have told of the key";
            return Some(ClaimVerdict::Expired(reason.into()));
        }
        if state.queue.len() >= MAX_QUEUED_RECORDS {
            let reason = "too many records are on their way into the log";
            return Some(ClaimVerdict::Refused(reason.into()));
        }
        None
    }

    /// Ends the claim at its deadline without a decision of the log.
    fn time_out(mut self) -> ClaimVerdict {
        if self.withdraw() {
            let reason = "the log did not decide the claim in time";
            return ClaimVerdict::Uncertain(reason.into());
        }
        ClaimVerdict::Refused("the log could not be reached".into())
    }

    /// Withdraws the claim. If it may be in the log, queues a release and returns `true`.
    fn withdraw(&mut self) -> bool {
        let possibly_appended = self.queued && self.shard.lock().queue.withdraw_claim(&self.start);
        self.queued = false;
        if possibly_appended {
            self.shard.wake_appender();
        }
        possibly_appended
    }
}

impl<L: LogStore> Drop for PendingClaim<'_, L> {
    fn drop(&mut self) {
        self.withdraw();
    }
}

/// Separates `Busy` verdicts, which may change soon, from final ones.
fn classify_verdict(verdict: ClaimVerdict) -> ClaimStep {
    match verdict {
        ClaimVerdict::Busy(_) => ClaimStep::Busy(verdict),
        verdict => ClaimStep::Decided(verdict),
    }
}

/// Waits until the next page was read, or until the given time.
async fn wait_for_page(pages: &mut watch::Receiver<u64>, until: Instant) {
    // The shard outlives its callers, so the channel never closes during the wait.
    let _ = time::timeout_at(until, pages.changed()).await;
}
