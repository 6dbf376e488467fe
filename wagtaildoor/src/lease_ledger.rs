//! Fold of lease records into who holds what.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::{
    ids::{
        FencingToken,
        LeaseId, //
    },
    schema::{
        LeaseGrant,
        LeaseRecord,
        LogRecord, //
    },
};

/// Stream of the log that holds the leases.
pub const LEASE_STREAM: &str = "leases";

/// Longest time a lease holds from one record.
pub const LEASE_LIMIT: Duration = Duration::from_secs(60);

/// A lease as the log has it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseState {
    /// Who holds it.
    pub holder: Box<str>,
    /// Offset of the record that granted it.
    pub fencing: FencingToken,
    /// The log's time at which it ends, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// All leases.
///
/// A lease goes to the first record that asks for it while nobody holds it, by the log's own
/// times. It is renewed only by its holder, under its fencing number, before it ends. After
/// records were missed, a lease may be held unseen; every record that might grant or prolong it
/// then counts as if it did, so that the lease is free for certain once that time is over.
#[derive(Clone, Debug, Default)]
pub struct LeaseLedger {
    /// Leases by name.
    leases: HashMap<LeaseId, LeaseState>,
    /// The log's time until which leases may be held, by name.
    unclear: HashMap<LeaseId, u64>,
    /// The log's time until which leases from missed records may be held.
    unclear_until_ms: u64,
}

impl LeaseLedger {
    /// Notes that records before a time of the log were missed.
    pub fn miss_records(&mut self, log_ms: u64) {
        self.leases.clear();
        self.unclear.clear();
        self.unclear_until_ms = log_ms + millis(LEASE_LIMIT);
    }

    /// Whether a lease may be held unseen at a time of the log.
    pub fn is_unclear(&self, lease: &str, log_ms: u64) -> bool {
        let until_ms = self.unclear.get(lease).copied().unwrap_or(0);
        log_ms < until_ms.max(self.unclear_until_ms)
    }

    /// Takes one record of the log, in the order of offsets.
    pub fn take(&mut self, record: &LogRecord) {
        let at_ms = record.time_ms;
        match serde_json::from_str(&record.data) {
            Ok(LeaseRecord::Grant(grant)) if self.is_unclear(&grant.lease, at_ms) => {
                self.prolong_unclear(&grant, at_ms);
            }
            Ok(LeaseRecord::Grant(grant)) if grant.fencing == 0 => self.take_ask(&grant, record),
            Ok(LeaseRecord::Grant(grant)) => self.take_renewal(&grant, at_ms),
            Ok(LeaseRecord::Release(grant)) => self.take_release(&grant),
            Err(_) => {}
        }
    }

    /// Who holds a lease for certain at a time of the log.
    pub fn holder(&self, lease: &str, log_ms: u64) -> Option<&LeaseState> {
        let state = self.leases.get(lease)?;
        (log_ms < state.expires_ms).then_some(state)
    }

    /// Takes a record as if it granted or prolonged a lease, since it may have.
    fn prolong_unclear(&mut self, grant: &LeaseGrant, at_ms: u64) {
        let until_ms = self.unclear.entry(grant.lease.clone()).or_default();
        *until_ms = (*until_ms).max(end_ms(grant, at_ms));
    }

    /// Grants a lease that nobody holds.
    fn take_ask(&mut self, grant: &LeaseGrant, record: &LogRecord) {
        if self.holder(&grant.lease, record.time_ms).is_some() {
            return;
        }
        self.leases.insert(
            grant.lease.clone(),
            LeaseState {
                holder: grant.holder.clone(),
                fencing: record.offset,
                expires_ms: end_ms(grant, record.time_ms),
            },
        );
    }

    /// Prolongs a lease for its holder.
    fn take_renewal(&mut self, grant: &LeaseGrant, at_ms: u64) {
        let Some(state) = self.leases.get_mut(&grant.lease) else {
            return;
        };
        if state.is_of(grant) && at_ms < state.expires_ms {
            state.expires_ms = state.expires_ms.max(end_ms(grant, at_ms));
        }
    }

    /// Ends a lease for its holder.
    fn take_release(&mut self, grant: &LeaseGrant) {
        if self
            .leases
            .get(&grant.lease)
            .is_some_and(|s| s.is_of(grant))
        {
            self.leases.remove(&grant.lease);
        }
    }
}

impl LeaseState {
    /// Whether a record is of this holder, under this number.
    fn is_of(&self, grant: &LeaseGrant) -> bool {
        self.fencing == grant.fencing && self.holder == grant.holder
    }
}

/// The log's time at which a lease ends by a record.
fn end_ms(grant: &LeaseGrant, at_ms: u64) -> u64 {
    at_ms + grant.duration_ms.min(millis(LEASE_LIMIT))
}

/// Whole milliseconds.
fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
