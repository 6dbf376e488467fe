//! The hybrid logical clock orders causes before effects even if wall clocks disagree.

#[path = "support/seeds.rs"]
mod seeds;

use quickcheck::Arbitrary;
use wagtaildoor::{
    clock::{
        HybridClock,
        MAX_CLOCK_SKEW, //
    },
    schema::ClockStamp,
};

/// Number of simulated processes.
const PROCESSES: usize = 4;

/// Wall time around which the skewed clocks vary.
const WALL_MS: u64 = 1_800_000_000_000;

/// One step: the wall clock of a process is set, then it issues a stamp or receives one.
#[derive(Clone, Debug)]
struct ClockStep {
    process: usize,
    /// Wall time within one hour of `WALL_MS`; may go backwards.
    wall_ms: u64,
    /// Process whose last stamp is received; `None` for a local event.
    from: Option<usize>,
}

impl Arbitrary for ClockStep {
    fn arbitrary(gen: &mut quickcheck::Gen) -> Self {
        let skew = u64::arbitrary(gen) % 7_200_000;
        let from = usize::arbitrary(gen) % (2 * PROCESSES);
        Self {
            process: usize::arbitrary(gen) % PROCESSES,
            wall_ms: WALL_MS - 3_600_000 + skew,
            from: (from < PROCESSES).then_some(from),
        }
    }
}

/// Returns the key by which the event timeline sorts stamps.
fn stamp_order(stamp: ClockStamp) -> (u64, u32) {
    (stamp.wall_ms, stamp.counter)
}

/// Runs the steps; returns true if each stamp is later than all stamps that precede it causally.
fn is_causal(steps: Vec<ClockStep>) -> bool {
    let clocks: Vec<HybridClock> = (0..PROCESSES).map(|_| HybridClock::new()).collect();
    let mut last: Vec<ClockStamp> = vec![
        ClockStamp {
            wall_ms: 0,
            counter: 0
        };
        PROCESSES
    ];
    for step in steps {
        let clock = &clocks[step.process];
        let own = last[step.process].clone();
        let stamp = match step.from {
            None => clock.now_at(step.wall_ms),
            Some(from) => {
                let seen = last[from].clone();
                let stamp = clock.observe_at(step.wall_ms, seen.clone());
                if stamp_order(stamp.clone()) <= stamp_order(seen) {
                    return false;
                }
                stamp
            }
        };
        if stamp_order(stamp.clone()) <= stamp_order(own) || stamp.wall_ms < step.wall_ms {
            return false;
        }
        last[step.process] = stamp;
    }
    true
}

#[test]
fn stamps_are_causally_ordered_with_skewed_clocks() {
    seeds::check("clock", is_causal as fn(Vec<ClockStep>) -> bool);
}

#[test]
fn a_stamp_beyond_the_maximum_skew_is_ignored() {
    let clock = HybridClock::new();
    let limit = WALL_MS + MAX_CLOCK_SKEW.as_millis() as u64;
    let far = ClockStamp {
        wall_ms: limit + 1,
        counter: 0,
    };
    assert_eq!(clock.observe_at(WALL_MS, far).wall_ms, WALL_MS);
    let near = ClockStamp {
        wall_ms: limit,
        counter: 5,
    };
    let after = clock.observe_at(WALL_MS, near);
    assert_eq!(stamp_order(after), (limit, 6));
}

#[test]
fn a_full_counter_advances_the_millisecond() {
    let clock = HybridClock::new();
    let seen = ClockStamp {
        wall_ms: WALL_MS,
        counter: u32::MAX,
    };
    let after = clock.observe_at(WALL_MS, seen);
    assert_eq!(stamp_order(after), (WALL_MS + 1, 0));
}

#[test]
fn concurrent_threads_get_distinct_stamps() {
    let clock = HybridClock::new();
    let issue_stamps = || -> Vec<ClockStamp> { (0..1000).map(|_| clock.now_at(WALL_MS)).collect() };
    let mut stamps: Vec<(u64, u32)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(issue_stamps)).collect();
        let issued = threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("stamps"));
        issued.map(stamp_order).collect()
    });
    stamps.sort_unstable();
    stamps.dedup();
    assert_eq!(stamps.len(), 4000);
}
