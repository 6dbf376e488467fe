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
pub const MAX_LEASE_DURATION: Duration = Duration::from_secs(60);

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
    uncertain: HashMap<LeaseId, u64>,
    /// The log's time until which leases from missed records may be held.
    uncertain_until_ms: u64,
}

impl LeaseLedger {
    /// Notes that records before a time of the log were missed.
    pub fn mark_gap(&mut self, log_ms: u64) {
        self.leases.clear();
        self.uncertain.clear();
        self.uncertain_until_ms = log_ms + whole_millis(MAX_LEASE_DURATION);
    }

    /// Whether a lease may be held unseen at a time of the log.
    pub fn is_uncertain(&self, lease: &str, log_ms: u64) -> bool {
        let until_ms = self.uncertain.get(lease).copied().unwrap_or(0);
        log_ms < until_ms.max(self.uncertain_until_ms)
    }

    /// Takes one record of the log, in the order of offsets.
    pub fn apply_record(&mut self, record: &LogRecord) {
        let record_ms = record.time_ms;
        match serde_json::from_str(&record.data) {
            Ok(LeaseRecord::Grant(grant)) if self.is_uncertain(&grant.lease, record_ms) => {
                self.extend_uncertainty(&grant, record_ms);
            }
            Ok(LeaseRecord::Grant(grant)) if grant.fencing == 0 => {
                self.apply_request(&grant, record)
            }
            Ok(LeaseRecord::Grant(grant)) => self.apply_renewal(&grant, record_ms),
            Ok(LeaseRecord::Release(grant)) => self.apply_release(&grant),
            Err(_) => {}
        }
    }

    /// Who holds a lease for certain at a time of the log.
    pub fn holder(&self, lease: &str, log_ms: u64) -> Option<&LeaseState> {
        let state = self.leases.get(lease)?;
        (log_ms < state.expires_ms).then_some(state)
    }

    /// Takes a record as if it granted or prolonged a lease, since it may have.
    fn extend_uncertainty(&mut self, grant: &LeaseGrant, record_ms: u64) {
        let until_ms = self.uncertain.entry(grant.lease.clone()).or_default();
        *until_ms = (*until_ms).max(expiry_ms(grant, record_ms));
    }

    /// Grants a lease that nobody holds.
    fn apply_request(&mut self, grant: &LeaseGrant, record: &LogRecord) {
        if self.holder(&grant.lease, record.time_ms).is_some() {
            return;
        }
        self.leases.insert(
            grant.lease.clone(),
            LeaseState {
                holder: grant.holder.clone(),
                fencing: record.offset,
                expires_ms: expiry_ms(grant, record.time_ms),
            },
        );
    }

    /// Prolongs a lease for its holder.
    fn apply_renewal(&mut self, grant: &LeaseGrant, record_ms: u64) {
        let Some(state) = self.leases.get_mut(&grant.lease) else {
            return;
        };
        if state.matches_grant(grant) && record_ms < state.expires_ms {
            state.expires_ms = state.expires_ms.max(expiry_ms(grant, record_ms));
        }
    }

    /// Ends a lease for its holder.
    fn apply_release(&mut self, grant: &LeaseGrant) {
        if self
            .leases
            .get(&grant.lease)
            .is_some_and(|s| s.matches_grant(grant))
        {
            self.leases.remove(&grant.lease);
        }
    }
}

impl LeaseState {
    /// Whether a record is of this holder, under this number.
    fn matches_grant(&self, grant: &LeaseGrant) -> bool {
        self.fencing == grant.fencing && self.holder == grant.holder
    }
}

/// The log's time at which a lease ends by a record.
fn expiry_ms(grant: &LeaseGrant, record_ms: u64) -> u64 {
    record_ms + grant.duration_ms.min(whole_millis(MAX_LEASE_DURATION))
}

/// Whole milliseconds.
fn whole_millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
