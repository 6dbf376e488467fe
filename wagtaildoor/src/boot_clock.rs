//! A steady clock that goes on while the host is suspended.

use std::{
    ops::{
        Add,
        Sub, //
    },
    time::Duration,
};

use rustix::time::{
    clock_gettime,
    ClockId, //
};

/// A reading of the clock; only differences mean anything.
///
/// `std::time::Instant` stands still while a host is suspended. Whatever expires for others (a
/// lease, a view of the platform) has to be judged by this clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The reading of a host that has just started, for tests.
    pub const ZERO: BootInstant = BootInstant(Duration::ZERO);

    /// The present reading.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Time since an earlier reading; zero if it is later.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time since this reading.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(time))
    }
}

impl Sub<Duration> for BootInstant {
    type Output = BootInstant;

    fn sub(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_sub(time))
    }
}
