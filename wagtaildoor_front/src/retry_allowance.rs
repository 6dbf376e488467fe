//! How many sends beyond the first of each request this host may make.

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

/// The limit that all hosts together have to keep for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Extra sends for each request.
    pub ratio: f64,
    /// Extra sends of all hosts together in a window beside these.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Part of the slack that is used; the rest covers hosts that are not known yet.
const SLACK_FRACTION: f64 = 0.8;

/// Requests and extra sends of one service in the last window.
#[derive(Debug, Default)]
struct ServiceWindow {
    /// When requests came.
    requests: VecDeque<BootInstant>,
    /// When extra sends were made.
    retries: VecDeque<BootInstant>,
}

/// Allowance of this host, by service.
///
/// Each host takes its own requests' share and an equal part of the slack, so that all together
/// keep the limit without asking each other.
#[derive(Debug)]
pub struct RetryAllowance {
    /// Limit of all hosts.
    limit: RetryLimit,
    /// Windows by service.
    services: HashMap<ServiceId, ServiceWindow>,
}

impl RetryAllowance {
    /// An allowance with nothing used.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: HashMap::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, service: &ServiceId, now: BootInstant) {
        let window = self.prune_window(service, now);
        window.requests.push_back(now);
    }

    /// Takes one extra send, if there is one left for a host among `hosts`.
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
        let granted = (window.retries.len() + 1) as f64 <= allowed;
        if granted {
            window.retries.push_back(now);
        }
        granted
    }

    /// The window of a service, without what has left it.
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
