//! Acquires, renews and releases leases for one process.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    boot_clock::BootInstant,
    ids::{
        FencingToken,
        LeaseId,
        LogOffset, //
    },
    lease_ledger::{
        LeaseLedger,
        LEASE_STREAM, //
    },
    log_store::{
        LogError,
        LogStore,
        Result, //
    },
    schema::{
        LeaseGrant,
        LeaseRecord, //
    },
};

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 256;
/// Maximum time to wait for the own record to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(500);
/// The holder does not use the end of a lease: its duration divided by this number.
const MARGIN_DIVISOR: u32 = 4;

/// A lease that this process holds.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// Name of the lease.
    pub lease: LeaseId,
    /// Fencing token that is sent with every order under the lease.
    pub fencing: FencingToken,
    /// Name of the holder, unique for each acquired lease.
    holder: Box<str>,
    /// Time for which each record extends the lease.
    duration: Duration,
    /// Time on the monotonic clock from which the lease must not be used.
    valid_until: Instant,
    /// The same time on the boot clock, which continues while the host is suspended.
    boot_valid_until: BootInstant,
    /// Time at which the grant was read back.
    granted_at: Instant,
}

impl HeldLease {
    /// Whether the lease may be used now. Must be checked right before each use.
    pub fn is_valid(&self) -> bool {
        self.is_valid_at(Instant::now(), BootInstant::now())
    }

    /// Whether the lease may be used at the given times of both clocks.
    ///
    /// Both are checked because the monotonic clock stops while the host is suspended, but the
    /// lease still expires.
    pub fn is_valid_at(&self, now: Instant, boot_now: BootInstant) -> bool {
        now < self.valid_until && boot_now < self.boot_valid_until
    }

    /// Time on the monotonic clock until which the lease may be used.
    pub fn valid_until(&self) -> Instant {
        self.valid_until
    }

    /// Time from which no order of an earlier holder can still act on an endpoint that ignores
    /// fencing tokens, if an order acts for at most `order_limit`.
    pub fn exclusive_from(&self, order_limit: Duration) -> Instant {
        self.granted_at + order_limit
    }

    /// Whether less than half of the lease duration remains.
    pub fn is_renewal_due(&self) -> bool {
        let remaining = self.valid_until.saturating_duration_since(Instant::now());
        remaining < self.duration / 2
    }
}

/// Reads the lease stream and acquires leases for one process.
pub struct LeaseHolder<L> {
    log: L,
    /// Host and start of the process.
    name: Box<str>,
    /// Leases as read so far.
    ledger: LeaseLedger,
    /// Offset of the next record to read.
    cursor: LogOffset,
    /// Log time of the last read, in milliseconds since the Unix epoch.
    log_ms: u64,
    /// Number of leases requested so far.
    request_count: u64,
}

impl<L: LogStore> LeaseHolder<L> {
    /// Creates a holder. `name` must be unique for each start of the process.
    pub fn new(log: L, name: &str) -> Self {
        Self {
            log,
            name: name.into(),
            ledger: LeaseLedger::default(),
            cursor: 1,
            log_ms: 0,
            request_count: 0,
        }
    }

    /// Requests a lease; `None` if another process holds it or may hold it.
    pub async fn acquire(&mut self, lease: &str, duration: Duration) -> Result<Option<HeldLease>> {
        self.read_until(Duration::ZERO, 0).await?;
        let is_held = self.ledger.holder(lease, self.log_ms).is_some();
        if is_held || self.ledger.is_uncertain(lease, self.log_ms) {
            return Ok(None);
        }
        self.request_count += 1;
        let grant = LeaseGrant {
            duration_ms: duration.as_millis() as u64,
            fencing: 0,
            // Unique, so that a delayed record of an earlier request is not taken for this one.
            holder: format!("{}#{}", self.name, self.request_count).into(),
            lease: lease.into(),
        };
        // Taken before the append, and so before the log time of the record.
        let requested_at = Instant::now();
        let boot_requested_at = BootInstant::now();
        self.append(&LeaseRecord::Grant(grant.clone())).await?;
        let state = self.ledger.holder(lease, self.log_ms);
        Ok(state
            .filter(|state| state.holder == grant.holder)
            .map(|state| HeldLease {
                lease: lease.into(),
                fencing: state.fencing,
                holder: grant.holder.clone(),
                duration,
                valid_until: requested_at + duration - duration / MARGIN_DIVISOR,
                boot_valid_until: boot_requested_at + duration - duration / MARGIN_DIVISOR,
                granted_at: Instant::now(),
            }))
    }

    /// Extends a lease. Returns `false` if the extension was not read back.
    pub async fn renew(&mut self, held: &mut HeldLease) -> Result<bool> {
        let requested_at = Instant::now();
        let boot_requested_at = BootInstant::now();
        if !held.is_valid() {
            return Ok(false);
        }
        let offset = self.append(&LeaseRecord::Grant(held.grant())).await?;
        let state = self.ledger.holder(&held.lease, self.log_ms);
        let is_own = state.is_some_and(|s| s.fencing == held.fencing && s.holder == held.holder);
        // Without an offset, the records that were read may not include the own one.
        if !is_own || offset.is_none() {
            return Ok(false);
        }
        let usable_duration = held.duration - held.duration / MARGIN_DIVISOR;
        held.valid_until = requested_at + usable_duration;
        held.boot_valid_until = boot_requested_at + usable_duration;
        Ok(true)
    }

    /// Releases a lease, so that other processes can acquire it at once.
    pub async fn release(&mut self, held: HeldLease) -> Result<()> {
        self.append(&LeaseRecord::Release(held.grant())).await?;
        Ok(())
    }

    /// Appends a record and reads the log. Returns the offset of the record if the log reported it.
    async fn append(&mut self, record: &LeaseRecord) -> Result<Option<LogOffset>> {
        let data = serde_json::to_string(record).expect("a record has string keys only");
        match self.log.append(LEASE_STREAM, data.into()).await {
            Ok(appended) => {
                self.read_until(READ_BACK_TIMEOUT, appended.offset).await?;
                Ok((self.cursor > appended.offset).then_some(appended.offset))
            }
            Err(LogError::Unavailable(text)) => Err(LogError::Unavailable(text)),
            Err(LogError::Uncertain(_) | LogError::Malformed(_)) => {
                self.read_until(READ_BACK_TIMEOUT, self.cursor).await?;
                Ok(None)
            }
        }
    }

    /// Reads to the end of the log, and waits up to `wait` for the record at `offset`.
    async fn read_until(&mut self, wait: Duration, offset: LogOffset) -> Result<()> {
        let deadline = Instant::now() + wait;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let wait = if self.cursor <= offset {
                remaining
            } else {
                Duration::ZERO
            };
            let page = self
                .log
                .read(LEASE_STREAM, self.cursor, MAX_PAGE_RECORDS, wait)
                .await?;
            if page.first > self.cursor {
                let first_ms = page.records.first().map_or(page.time_ms, |r| r.time_ms);
                self.ledger.mark_gap(first_ms);
                self.cursor = page.first;
            }
            for record in &page.records {
                self.ledger.apply_record(record);
                self.cursor = record.offset + 1;
            }
            self.log_ms = page.time_ms;
            let is_done = self.cursor > offset || Instant::now() >= deadline;
            if self.cursor >= page.next && is_done {
                return Ok(());
            }
        }
    }
}

impl HeldLease {
    /// Creates the record that renews or releases the lease.
    fn grant(&self) -> LeaseGrant {
        LeaseGrant {
            duration_ms: self.duration.as_millis() as u64,
            fencing: self.fencing,
            holder: self.holder.clone(),
            lease: self.lease.clone(),
        }
    }
}

/// Names of the load slot leases of a pool. The holder of one may load weights onto one replica.
pub fn load_slot_leases(pool: &str, slots: u32) -> impl Iterator<Item = LeaseId> + '_ {
    (0..slots).map(move |slot| format!("load/{pool}/{slot}").into())
}
