//! Folds the lease records of the log into the holder of each lease.

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

/// Log stream that holds the leases.
pub const LEASE_STREAM: &str = "leases";

/// Maximum time for which one record grants or extends a lease.
pub const MAX_LEASE_DURATION: Duration = Duration::from_secs(60);

/// A granted lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseState {
    /// Name of the holder.
    pub holder: Box<str>,
    /// Offset of the record that granted the lease.
    pub fencing: FencingToken,
    /// Log time at which the lease expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// State of all leases.
///
/// A lease is granted to the first record that requests it while nobody holds it, according to the
/// times of the log. Only its holder can renew it, under its fencing token, before it expires.
/// After a gap in the records, a lease may have a holder that was missed. Every record that might
/// grant or extend the lease then counts as if it did, so the lease is certainly free after the
/// latest of these expiry times.
#[derive(Clone, Debug, Default)]
pub struct LeaseLedger {
    leases: HashMap<LeaseId, LeaseState>,
    /// Log time until which a lease may have an unknown holder, by name.
    uncertain: HashMap<LeaseId, u64>,
    /// Log time until which any lease may have an unknown holder because of missed records.
    uncertain_until_ms: u64,
}

impl LeaseLedger {
    /// Marks that records before log time `log_ms` were missed.
    pub fn mark_gap(&mut self, log_ms: u64) {
        self.leases.clear();
        self.uncertain.clear();
        self.uncertain_until_ms = log_ms + whole_millis(MAX_LEASE_DURATION);
    }

    /// Whether a lease may have an unknown holder at log time `log_ms`.
    pub fn is_uncertain(&self, lease: &str, log_ms: u64) -> bool {
        let until_ms = self.uncertain.get(lease).copied().unwrap_or(0);
        log_ms < until_ms.max(self.uncertain_until_ms)
    }

    /// Applies one log record. Records must be applied in offset order.
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

    /// Known holder of a lease at log time `log_ms`.
    pub fn holder(&self, lease: &str, log_ms: u64) -> Option<&LeaseState> {
        let state = self.leases.get(lease)?;
        (log_ms < state.expires_ms).then_some(state)
    }

    /// Extends the time during which a lease may have an unknown holder.
    fn extend_uncertainty(&mut self, grant: &LeaseGrant, record_ms: u64) {
        let until_ms = self.uncertain.entry(grant.lease.clone()).or_default();
        *until_ms = (*until_ms).max(expiry_ms(grant, record_ms));
    }

    /// Grants a lease if nobody holds it.
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

    /// Extends a lease for its holder.
    fn apply_renewal(&mut self, grant: &LeaseGrant, record_ms: u64) {
        let Some(state) = self.leases.get_mut(&grant.lease) else {
            return;
        };
        if state.matches_grant(grant) && record_ms < state.expires_ms {
            state.expires_ms = state.expires_ms.max(expiry_ms(grant, record_ms));
        }
    }

    /// Ends a lease of its holder.
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
    /// Whether a record was written by the holder, under the same fencing token.
    fn matches_grant(&self, grant: &LeaseGrant) -> bool {
        self.fencing == grant.fencing && self.holder == grant.holder
    }
}

/// Log time at which a lease granted or extended by a record expires.
fn expiry_ms(grant: &LeaseGrant, record_ms: u64) -> u64 {
    record_ms + grant.duration_ms.min(whole_millis(MAX_LEASE_DURATION))
}

fn whole_millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
