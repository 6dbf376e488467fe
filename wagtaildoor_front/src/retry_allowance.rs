//! Limits retries so that all hosts together stay within a limit for each service.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::ServiceId, //
};

/// Retry limit for a service, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries in a window, for all hosts together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Fraction of the slack that is used; the rest covers hosts that are not known yet.
const SLACK_FRACTION: f64 = 0.8;

/// Requests and retries of one service within the last window.
#[derive(Debug, Default)]
struct ServiceWindow {
    /// Times of the requests.
    requests: VecDeque<BootInstant>,
    /// Times of the retries.
    retries: VecDeque<BootInstant>,
}

/// Retry allowance of this host for each service.
///
/// A host may retry a share of its own requests (`ratio`) and use an equal part of the slack, so
/// that all hosts together keep the limit without coordination.
#[derive(Debug)]
pub struct RetryAllowance {
    /// Limit that all hosts share.
    limit: RetryLimit,
    /// Sliding windows by service.
    services: HashMap<ServiceId, ServiceWindow>,
}

impl RetryAllowance {
    /// Creates an allowance with no recorded requests or retries.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: HashMap::new(),
        }
    }

    /// Counts a new request, which adds to the allowance.
    pub fn record_request(&mut self, service: &ServiceId, now: BootInstant) {
        let window = self.prune_window(service, now);
        window.requests.push_back(now);
    }

    /// Uses one retry if this host has any left; `hosts` is the number of hosts sharing the limit.
    pub fn try_acquire_retry(
        &mut self,
        service: &ServiceId,
        hosts: usize,
        now: BootInstant,
    ) -> bool {
        let limit = self.limit;
        let window = self.prune_window(service, now);
        let slack = limit.slack * SLACK_FRACTION / hosts.max(1) as f64;
        let allowed = window.requests.len() as f64 * limit.ratio + slack;
        let is_granted = (window.retries.len() + 1) as f64 <= allowed;
        if is_granted {
            window.retries.push_back(now);
        }
        is_granted
    }

    /// Returns the window of a service after removing expired entries.
    fn prune_window(&mut self, service: &ServiceId, now: BootInstant) -> &mut ServiceWindow {
        let length = self.limit.window;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceWindow::default());
        }
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|&at| now.since(at) >= length) {
                times.pop_front();
            }
        }
        window
    }
}
