//! Request limits of client accounts, shared over hosts without coordination.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    error::ErrorKind,
    ids::AccountId, //
};

/// Result of a request against a limit.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Time for which unused requests are kept.
const BURST_DURATION: Duration = Duration::from_secs(2);
/// Accounts above which full buckets are forgotten.
const MAX_BUCKETS: usize = 4_096;

/// Limits of all accounts at one entry host.
///
/// Callers reach the hosts by a balancer, so that each host grants its equal part of a limit.
#[derive(Debug)]
pub struct AccountLimits {
    /// Live entry hosts.
    host_count: u32,
    /// Buckets by account.
    buckets: HashMap<AccountId, TokenBucket>,
}

/// Requests an account may still send.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Requests left.
    tokens: f64,
    /// When they were counted.
    refilled_at: Instant,
}

impl AccountLimits {
    /// Limits at one of so many hosts.
    pub fn new(host_count: u32) -> Self {
        Self {
            host_count: host_count.max(1),
            buckets: HashMap::new(),
        }
    }

    /// Takes the number of live entry hosts.
    pub fn set_host_count(&mut self, host_count: u32) {
        self.host_count = host_count.max(1);
    }

    /// Counts a request against its account's limit over all hosts; 0 sets none.
    pub fn try_acquire(&mut self, account: &AccountId, requests_per_s: u32) -> Result<()> {
        if requests_per_s == 0 {
            return Ok(());
        }
        let now = Instant::now();
        let rate = f64::from(requests_per_s) / f64::from(self.host_count);
        let capacity = (rate * BURST_DURATION.as_secs_f64()).max(1.0);
        self.evict_full_buckets(now, capacity / rate);
        let bucket = self.buckets.entry(account.clone()).or_insert(TokenBucket {
            tokens: capacity,
            refilled_at: now,
        });
        let elapsed = now.saturating_duration_since(bucket.refilled_at);
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * rate).min(capacity);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return Err(ErrorKind::AccountLimited);
        }
        bucket.tokens -= 1.0;
        Ok(())
    }

    /// Forgets buckets that have filled up since, when there are many.
    fn evict_full_buckets(&mut self, now: Instant, fill_s: f64) {
        if self.buckets.len() < MAX_BUCKETS {
            return;
        }
        self.buckets.retain(|_, bucket| {
            let elapsed = now.saturating_duration_since(bucket.refilled_at);
            elapsed.as_secs_f64() < fill_s
        });
    }
}
