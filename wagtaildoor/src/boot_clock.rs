//! A monotonic clock that includes the time during which the host is suspended.

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

/// A reading of `CLOCK_BOOTTIME`; only the difference of two readings is meaningful.
///
/// `std::time::Instant` does not advance while the host is suspended, so anything that expires on
/// other hosts meanwhile (a lease, a view of the platform) is timed with this clock.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The reading at boot; used by tests.
    pub const ZERO: BootInstant = BootInstant(Duration::ZERO);

    /// Reads the clock.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        Self(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this reading.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time since this reading.
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
