//! Decides claims for entries, and puts releases, outcomes and settlements on record.

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

/// Records on their way into one stream above which no new claim is taken.
const MAX_QUEUED_RECORDS: usize = 16 * 1024;

/// Time after cancellation for what is queued to reach the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// What a keeper does about claims; clones share it.
#[derive(Clone)]
pub struct ClaimService<L> {
    /// Claim streams.
    shards: Arc<[ClaimShard<L>]>,
    /// Times that claims go by.
    policy: ClaimPolicy,
    /// Ends the tasks of the service.
    token: CancellationToken,
}

/// How far a claim came.
enum ClaimStep {
    /// The log says this.
    Decided(ClaimVerdict),
    /// Another attempt has the key; its outcome may come.
    Busy(ClaimVerdict),
    /// The claim is queued.
    Queued,
    /// Nothing new.
    Pending,
}

/// A claim under way. Dropped before it is decided, it is given up on record.
struct PendingClaim<'a, L: LogStore> {
    /// Stream of the key.
    shard: &'a ClaimShard<L>,
    /// Claim.
    start: ClaimStart,
    /// It is in the queue.
    queued: bool,
}

impl<L: LogStore> ClaimService<L> {
    /// A service over the claim streams of a log; `run` makes it work.
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

    /// Reads and appends until cancelled.
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

    /// Waits until everything queued was read back.
    async fn flush(&self) {
        for shard in self.shards.iter() {
            let mut pages = shard.pages();
            while !shard.lock().queue.is_empty() {
                let _ = pages.changed().await;
            }
        }
    }

    /// Claims a key for an attempt. An attempt must ask once only, and only `Won` lets it run.
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
            let mut until = deadline;
            match claim.advance(&self.policy) {
                ClaimStep::Decided(verdict) => return verdict,
                ClaimStep::Busy(verdict) if Instant::now() >= busy_until => return verdict,
                ClaimStep::Busy(_) => until = busy_until,
                ClaimStep::Queued => continue,
                ClaimStep::Pending => {}
            }
            if Instant::now() >= deadline {
                return claim.time_out();
            }
            wait_for_page(&mut pages, until).await;
        }
    }

    /// Puts a release, an outcome or a settlement on record; tells whether it was read back.
    ///
    /// Releases and outcomes stay queued after the wait, until the log has them.
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

    /// Claims without an outcome whose attempts can no longer be dispatched.
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

    /// Attempts that ran although another had their key; more than none is a broken promise.
    pub fn conflict_count(&self) -> u64 {
        let conflict_count = |shard: &ClaimShard<L>| shard.lock().ledger.conflict_count();
        self.shards.iter().map(conflict_count).sum()
    }

    /// Stream of a key.
    fn shard_of_key(&self, account: &str, key: &str) -> &ClaimShard<L> {
        let mut hasher = blake3::Hasher::new();
        hasher.update(account.as_bytes());
        hasher.update(&[0]);
        hasher.update(key.as_bytes());
        let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
        let number = u32::from_le_bytes([a, b, c, d]) % self.policy.shards;
        &self.shards[number as usize]
    }

    /// Stream of a record.
    fn shard_of_record(&self, record: &ClaimRecord) -> &ClaimShard<L> {
        match record {
            ClaimRecord::Start(r) => self.shard_of_key(&r.account, &r.key),
            ClaimRecord::Outcome(r) => self.shard_of_key(&r.account, &r.key),
            ClaimRecord::Release(r) => self.shard_of_key(&r.account, &r.key),
            ClaimRecord::Settlement(r) => self.shard_of_key(&r.account, &r.key),
        }
    }

    /// Whether a record could be in force if it were appended now.
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
    /// Takes the claim as far as the pages read so far allow.
    fn advance(&mut self, policy: &ClaimPolicy) -> ClaimStep {
        let mut state = self.shard.lock();
        if state.log_answered_at().is_none() {
            return ClaimStep::Pending;
        }
        if self.queued && !state.queue.is_possibly_appended(&self.start) {
            // The log refused it so far: it can still be taken back.
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

    /// Looks whether the claim's own record was read back.
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

    /// Refuses what need not be asked of the log.
    fn check_refusal(&self, state: &ShardState, policy: &ClaimPolicy) -> Option<ClaimVerdict> {
        let log_ms = state.log_now_ms().unwrap_or(0);
        if let Err(fault) = claim_key::check_key_age(&self.start.key, log_ms, policy) {
            return Some(ClaimVerdict::Expired(fault.to_string().into()));
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

    /// Ends the claim undecided.
    fn time_out(mut self) -> ClaimVerdict {
        if self.withdraw() {
            let reason = "the log did not decide the claim in time";
            return ClaimVerdict::Uncertain(reason.into());
        }
        ClaimVerdict::Refused("the log could not be reached".into())
    }

    /// Takes the claim back; tells whether it may be in the log, with a release to follow.
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

/// Tells verdicts that may change soon from the others.
fn classify_verdict(verdict: ClaimVerdict) -> ClaimStep {
    match verdict {
        ClaimVerdict::Busy(_) => ClaimStep::Busy(verdict),
        verdict => ClaimStep::Decided(verdict),
    }
}

/// Waits for the next page, or a time.
async fn wait_for_page(pages: &mut watch::Receiver<u64>, until: Instant) {
    // The shard outlives its askers, so that only a page or the time ends the wait.
    let _ = time::timeout_at(until, pages.changed()).await;
}
