//! Faults that orders meet, alone and in pairs.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    Rng, //
};
use wagtaildoor_fakes::{
    effect_service::RequestHandling,
    fake_log::LogFaults, //
};

/// One kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// A host's link to the log is cut for seconds.
    LogOutage,
    /// Answers of the log are lost after the effect.
    LostAnswers,
    /// Appends are lost before the effect.
    LostRequests,
    /// Appends take effect long after their answer was lost.
    LateAppends,
    /// Appends take effect twice.
    DuplicateAppends,
    /// The log takes seconds.
    SlowLog,
    /// A keeper is killed and starts anew.
    KeeperKill,
    /// An entry is frozen between the verdict and the dispatch.
    EntryPause,
    /// An entry is killed between the verdict and the dispatch.
    EntryKill,
    /// The service crashes before the effect.
    CrashBefore,
    /// The service crashes after the effect.
    CrashAfter,
    /// The effect comes seconds after the connection broke.
    LateEffect,
    /// The balancer sends a copy to another host.
    BalancerCopy,
}

impl OrderFault {
    /// Every fault.
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

    /// No fault, each fault alone, and each pair.
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

/// Names of a set of faults.
pub fn names(faults: &[OrderFault]) -> String {
    if faults.is_empty() {
        return "none".into();
    }
    let names: Vec<String> = faults.iter().map(|fault| format!("{fault:?}")).collect();
    names.join(" + ")
}

/// Faults of a link to the log while its fault lasts.
pub fn log_faults(faults: &[OrderFault], draw: &mut StdRng) -> LogFaults {
    let mut set = LogFaults::default();
    for fault in faults {
        match fault {
            OrderFault::LogOutage => set.outage = true,
            OrderFault::LostAnswers => set.lost_answers = 5,
            OrderFault::LostRequests => set.lost_requests = 5,
            OrderFault::LateAppends => {
                set.late_appends = 5;
                set.late_ms = draw.random_range(100..9000);
            }
            OrderFault::DuplicateAppends => set.duplicates = 5,
            OrderFault::SlowLog => set.slow_ms = draw.random_range(500..5000),
            _ => {}
        }
    }
    set
}

/// What becomes of an order at the service.
pub fn fate(faults: &[OrderFault], draw: &mut StdRng) -> RequestHandling {
    let answer = RequestHandling::Answer(Duration::from_millis(draw.random_range(5..100)));
    let fates: Vec<RequestHandling> = faults
        .iter()
        .filter_map(|fault| match fault {
            OrderFault::CrashBefore => Some(RequestHandling::CrashBefore),
            OrderFault::CrashAfter => Some(RequestHandling::CrashAfter),
            OrderFault::LateEffect => Some(RequestHandling::Late(Duration::from_secs(5))),
            _ => None,
        })
        .collect();
    if fates.is_empty() || draw.random_ratio(4, 5) {
        return answer;
    }
    fates[draw.random_range(0..fates.len())]
}

/// How long an entry is frozen before the dispatch; `None` for ever.
pub fn freeze(faults: &[OrderFault], draw: &mut StdRng) -> Option<Duration> {
    let hit = draw.random_ratio(1, 10);
    if hit && faults.contains(&OrderFault::EntryKill) {
        return None;
    }
    let hit = draw.random_ratio(1, 10);
    if hit && faults.contains(&OrderFault::EntryPause) {
        return Some(Duration::from_millis(draw.random_range(100..60_000)));
    }
    Some(Duration::ZERO)
}
