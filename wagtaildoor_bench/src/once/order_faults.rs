//! Faults injected into runs of orders, singly and in pairs.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    Rng, //
};
use wagtaildoor_fakes::{
    effect_service::RequestHandling,
    fake_log::LogFaults, //
};

/// Kind of injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// A host's link to the log is down for seconds.
    LogOutage,
    /// The log applies an append, but its response is lost.
    LostAnswers,
    /// Appends are lost before they take effect.
    LostRequests,
    /// Appends take effect long after their response was lost.
    LateAppends,
    /// Appends take effect twice.
    DuplicateAppends,
    /// Each call to the log takes 0.5 to 5 s.
    SlowLog,
    /// A keeper is killed and restarted.
    KeeperKill,
    /// An entry is paused between the claim verdict and the dispatch.
    EntryPause,
    /// An entry is killed between the claim verdict and the dispatch.
    EntryKill,
    /// The service crashes before the effect.
    CrashBefore,
    /// The service crashes after the effect.
    CrashAfter,
    /// The effect occurs seconds after the connection broke.
    LateEffect,
    /// A load balancer sends a duplicate of the request to another host.
    BalancerCopy,
}

impl OrderFault {
    /// All faults, in the order of the table.
    const ALL: [OrderFault; 13] = [
        OrderFault::LogOutage,
        OrderFault::LostAnswers,
        OrderFault::LostRequests,
        OrderFault::LateAppends,
        OrderFault::DuplicateAppends,
        OrderFault::SlowLog,
        OrderFault::KeeperKill,
        OrderFault::EntryPause,
        OrderFault::EntryKill,
        OrderFault::CrashBefore,
        OrderFault::CrashAfter,
        OrderFault::LateEffect,
        OrderFault::BalancerCopy,
    ];

    /// Returns the empty set, each single fault, and each pair.
    pub fn sets() -> Vec<Vec<OrderFault>> {
        let mut sets = vec![Vec::new()];
        sets.extend(Self::ALL.iter().map(|fault| vec![*fault]));
        for (n, first) in Self::ALL.iter().enumerate() {
            let pairs = Self::ALL[n + 1..]
                .iter()
                .map(|second| vec![*first, *second]);
            sets.extend(pairs);
        }
        sets
    }
}

/// Joins the names of a set of faults for the table; "none" for the empty set.
pub fn fault_names(faults: &[OrderFault]) -> String {
    if faults.is_empty() {
        return "none".into();
    }
    let names: Vec<String> = faults.iter().map(|fault| format!("{fault:?}")).collect();
    names.join(" + ")
}

/// Draws the faults of a log link while its fault lasts.
pub fn draw_log_faults(faults: &[OrderFault], rng: &mut StdRng) -> LogFaults {
    let mut set = LogFaults::default();
    for fault in faults {
        match fault {
            OrderFault::LogOutage => set.outage = true,
            OrderFault::LostAnswers => set.lost_answers = 5,
            OrderFault::LostRequests => set.lost_requests = 5,
            OrderFault::LateAppends => {
                set.late_appends = 5;
                set.late_ms = rng.random_range(100..9000);
            }
            OrderFault::DuplicateAppends => set.duplicates = 5,
            OrderFault::SlowLog => set.slow_ms = rng.random_range(500..5000),
            _ => {}
        }
    }
    set
}

/// Draws the result of a request at the service; even with faults, 4 of 5 are answered normally.
pub fn draw_fate(faults: &[OrderFault], rng: &mut StdRng) -> RequestHandling {
    let answer = RequestHandling::Answer(Duration::from_millis(rng.random_range(5..100)));
    let fates: Vec<RequestHandling> = faults
        .iter()
        .filter_map(|fault| match fault {
            OrderFault::CrashBefore => Some(RequestHandling::CrashBefore),
            OrderFault::CrashAfter => Some(RequestHandling::CrashAfter),
            OrderFault::LateEffect => Some(RequestHandling::Late(Duration::from_secs(5))),
            _ => None,
        })
        .collect();
    if fates.is_empty() || rng.random_ratio(4, 5) {
        return answer;
    }
    fates[rng.random_range(0..fates.len())]
}

/// Draws how long an entry is paused before the dispatch; `None` means that it was killed.
pub fn draw_freeze(faults: &[OrderFault], rng: &mut StdRng) -> Option<Duration> {
    let is_hit = rng.random_ratio(1, 10);
    if is_hit && faults.contains(&OrderFault::EntryKill) {
        return None;
    }
    let is_hit = rng.random_ratio(1, 10);
    if is_hit && faults.contains(&OrderFault::EntryPause) {
        return Some(Duration::from_millis(rng.random_range(100..60_000)));
    }
    Some(Duration::ZERO)
}
