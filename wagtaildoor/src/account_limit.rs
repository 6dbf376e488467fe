//! Per-account request rate limits, split between entry hosts without coordination.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    error::ErrorKind,
    ids::AccountId, //
};

/// Result of a rate limit check. The only error is `AccountLimited`.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Bucket capacity, as the time in which an idle account refills it.
const BURST_DURATION: Duration = Duration::from_secs(2);
/// Number of buckets from which full ones are evicted.
const MAX_BUCKETS: usize = 4_096;

/// Token buckets of all accounts at one entry host.
///
/// A load balancer spreads callers over the hosts, so each host grants an equal part of a limit.
#[derive(Debug)]
pub struct AccountLimits {
    /// Live entry hosts, at least 1.
    host_count: u32,
    buckets: HashMap<AccountId, TokenBucket>,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Requests that may be sent now.
    tokens: f64,
    refilled_at: Instant,
}

impl AccountLimits {
    /// Creates empty limits for one of `host_count` entry hosts.
    pub fn new(host_count: u32) -> Self {
        Self {
            host_count: host_count.max(1),
            buckets: HashMap::new(),
        }
    }

    /// Sets the number of live entry hosts, which changes this host's part of every limit.
    pub fn set_host_count(&mut self, host_count: u32) {
        self.host_count = host_count.max(1);
    }

    /// Takes one token of the account, or returns `AccountLimited`.
    ///
    /// `requests_per_s` is the limit over all hosts; 0 means unlimited.
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

    /// Evicts buckets that have refilled by now, once there are `MAX_BUCKETS`.
    ///
    /// A full bucket equals a new one, so eviction does not change any limit.
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
