//! The hybrid logical clock keeps causes before effects, whatever the wall clocks say.

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

/// Processes in a run.
const PROCESSES: usize = 4;

/// A wall time that the skewed walls stand around.
const WALL_MS: u64 = 1_800_000_000_000;

/// One step of a run: a process's wall clock moves, and it does something.
#[derive(Clone, Debug)]
struct ClockStep {
    /// Process.
    process: usize,
    /// Wall time, an hour around `WALL_MS`; it may go back.
    wall_ms: u64,
    /// Process whose last message arrives; without one the step is its own.
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

/// A stamp in the order that the time line sorts by.
fn order(stamp: ClockStamp) -> (u64, u32) {
    (stamp.wall_ms, stamp.counter)
}

/// Runs the steps; true when each stamp is later than all that caused it.
fn causal(steps: Vec<ClockStep>) -> bool {
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
                if order(stamp.clone()) <= order(seen) {
                    return false;
                }
                stamp
            }
        };
        if order(stamp.clone()) <= order(own) || stamp.wall_ms < step.wall_ms {
            return false;
        }
        last[step.process] = stamp;
    }
    true
}

#[test]
fn causes_come_before_effects_with_skewed_clocks() {
    seeds::check("clock", causal as fn(Vec<ClockStep>) -> bool);
}

#[test]
fn a_broken_clock_does_not_pull_others_along() {
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
    assert_eq!(order(after), (limit, 6));
}

#[test]
fn a_full_counter_moves_to_the_next_millisecond() {
    let clock = HybridClock::new();
    let seen = ClockStamp {
        wall_ms: WALL_MS,
        counter: u32::MAX,
    };
    let after = clock.observe_at(WALL_MS, seen);
    assert_eq!(order(after), (WALL_MS + 1, 0));
}

#[test]
fn threads_never_draw_the_same_stamp() {
    let clock = HybridClock::new();
    let draw = || -> Vec<ClockStamp> { (0..1000).map(|_| clock.now_at(WALL_MS)).collect() };
    let mut stamps: Vec<(u64, u32)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4).map(|_| scope.spawn(draw)).collect();
        let drawn = threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("stamps"));
        drawn.map(order).collect()
    });
    stamps.sort_unstable();
    stamps.dedup();
    assert_eq!(stamps.len(), 4000);
}
