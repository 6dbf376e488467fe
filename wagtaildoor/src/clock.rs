//! Hybrid logical clock: close to wall time and later than every stamp received.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use crate::schema::ClockStamp;

/// Low bits of a packed reading that hold the counter.
const COUNTER_BITS: u32 = 20;

/// Largest counter of a packed reading; incrementing past it advances the millisecond.
const MAX_COUNTER: u32 = (1 << COUNTER_BITS) - 1;

/// Largest wall time of a packed reading, in milliseconds.
const MAX_WALL_MS: u64 = u64::MAX >> COUNTER_BITS;

/// Received stamps further ahead of the local wall clock than this are ignored.
///
/// Otherwise one broken clock would permanently advance the clocks of all hosts.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(24 * 60 * 60);

/// A hybrid logical clock: its stamps order causes before effects even if the hosts' wall clocks
/// disagree.
#[derive(Debug, Default)]
pub struct HybridClock {
    /// Last reading issued: wall time in the high bits, counter in the low bits.
    last: AtomicU64,
}

impl HybridClock {
    /// Creates a clock that has not received any stamp.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a stamp later than every stamp issued or received before.
    pub fn now(&self) -> ClockStamp {
        self.now_at(current_wall_ms())
    }

    /// Merges a received stamp and returns a stamp that is later than it.
    ///
    /// A stamp more than `MAX_CLOCK_SKEW` ahead of the wall clock is ignored.
    pub fn observe(&self, seen: ClockStamp) -> ClockStamp {
        self.observe_at(current_wall_ms(), seen)
    }

    /// Same as `now`, with the wall time supplied by the caller.
    pub fn now_at(&self, wall_ms: u64) -> ClockStamp {
        self.advance(pack(wall_ms, 0))
    }

    /// Same as `observe`, with the wall time supplied by the caller.
    pub fn observe_at(&self, wall_ms: u64, seen: ClockStamp) -> ClockStamp {
        let limit = wall_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64);
        if seen.wall_ms > limit {
            return self.now_at(wall_ms);
        }
        let after = pack(seen.wall_ms, seen.counter).saturating_add(1);
        self.advance(after.max(pack(wall_ms, 0)))
    }

    /// Issues the reading `minimum`, or the successor of the last reading if that is later.
    fn advance(&self, minimum: u64) -> ClockStamp {
        let mut last = self.last.load(Ordering::Relaxed);
        loop {
            let next = minimum.max(last.saturating_add(1));
            let swapped =
                self.last
                    .compare_exchange_weak(last, next, Ordering::AcqRel, Ordering::Relaxed);
            match swapped {
                Ok(_) => return unpack(next),
                Err(found) => last = found,
            }
        }
    }
}

/// Returns the wall time in milliseconds since the Unix epoch, or 0 before it.
fn current_wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Packs a reading into one word; packed readings compare in the order of their stamps.
fn pack(wall_ms: u64, counter: u32) -> u64 {
    let wall = wall_ms.min(MAX_WALL_MS) << COUNTER_BITS;
    wall | u64::from(counter.min(MAX_COUNTER))
}

fn unpack(reading: u64) -> ClockStamp {
    ClockStamp {
        wall_ms: reading >> COUNTER_BITS,
        counter: (reading & u64::from(MAX_COUNTER)) as u32,
    }
}
