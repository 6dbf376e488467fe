//! A hybrid logical clock: near wall time, and never behind a stamp that was seen.

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

/// Bits of a packed reading that hold the counter.
const COUNTER_BITS: u32 = 20;

/// Largest counter of a packed reading; the next one moves to the next millisecond.
const COUNTER_LIMIT: u32 = (1 << COUNTER_BITS) - 1;

/// Largest wall time of a packed reading.
const WALL_LIMIT_MS: u64 = u64::MAX >> COUNTER_BITS;

/// A stamp further ahead of the wall clock than this is not taken over.
///
/// One broken clock would otherwise pull the clocks of all hosts with it for good.
pub const SKEW_LIMIT: Duration = Duration::from_secs(24 * 60 * 60);

/// A clock whose stamps order causes before effects, whatever the hosts' wall clocks say.
#[derive(Debug, Default)]
pub struct HybridClock {
    /// Last reading: wall time above, counter in the low bits.
    last: AtomicU64,
}

impl HybridClock {
    /// A clock that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// A stamp later than every one given or seen before.
    pub fn now(&self) -> ClockStamp {
        self.now_at(wall_ms())
    }

    /// Takes over a stamp from a message, and gives one that is later than it.
    pub fn observe(&self, seen: ClockStamp) -> ClockStamp {
        self.observe_at(wall_ms(), seen)
    }

    /// As `now`, at a wall time that the caller reads.
    pub fn now_at(&self, wall_ms: u64) -> ClockStamp {
        self.advance(pack(wall_ms, 0))
    }

    /// As `observe`, at a wall time that the caller reads.
    pub fn observe_at(&self, wall_ms: u64, seen: ClockStamp) -> ClockStamp {
        let limit = wall_ms.saturating_add(SKEW_LIMIT.as_millis() as u64);
        if seen.wall_ms > limit {
            return self.now_at(wall_ms);
        }
        let after = pack(seen.wall_ms, seen.counter).saturating_add(1);
        self.advance(after.max(pack(wall_ms, 0)))
    }

    /// Moves on to a reading, or to the one after the last if that is later.
    fn advance(&self, least: u64) -> ClockStamp {
        let mut last = self.last.load(Ordering::Relaxed);
        loop {
            let next = least.max(last.saturating_add(1));
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

/// Wall time in milliseconds since the Unix epoch; 0 before it.
fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A reading in one word, in the order of stamps.
fn pack(wall_ms: u64, counter: u32) -> u64 {
    let wall = wall_ms.min(WALL_LIMIT_MS) << COUNTER_BITS;
    wall | u64::from(counter.min(COUNTER_LIMIT))
}

/// The stamp of a packed reading.
fn unpack(reading: u64) -> ClockStamp {
    ClockStamp {
        wall_ms: reading >> COUNTER_BITS,
        counter: (reading & u64::from(COUNTER_LIMIT)) as u32,
    }
}
