//! Notices that this process stood still, so that what it reads afterwards may be old news.

use std::{
    cell::Cell,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

/// Gap between two ticks from which on the process counts as having stood still. Ticks come every
/// tenth of a second.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// Time after a pause in which records may have waited to be read.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Last pause of this process, by the clock that goes on while the host is suspended.
#[derive(Debug)]
pub struct PauseMonitor {
    last_tick: Cell<BootInstant>,
    /// Start and end of the last pause.
    last_pause: Cell<Option<(BootInstant, BootInstant)>>,
    /// Length of all pauses.
    total: Cell<Duration>,
}

impl PauseMonitor {
    /// Starts monitoring.
    pub fn new(now: BootInstant) -> Self {
        Self {
            last_tick: Cell::new(now),
            last_pause: Cell::new(None),
            total: Cell::new(Duration::ZERO),
        }
    }

    /// Records that the process is running. To be called about every tenth of a second.
    pub fn tick(&self, now: BootInstant) {
        let last_tick = self.last_tick.replace(now);
        let gap = now.since(last_tick);
        if gap >= MIN_PAUSE {
            self.total.set(self.total.get() + gap);
            self.last_pause.set(Some((last_tick, now)));
        }
    }

    /// Time for which this process has stood still since its start.
    pub fn total(&self, now: BootInstant) -> Duration {
        self.tick(now);
        self.total.get()
    }

    /// Start of a pause that has just ended; `None` if the process has been running.
    pub fn recent_pause(&self, now: BootInstant) -> Option<BootInstant> {
        self.tick(now);
        let (from, to) = self.last_pause.get()?;
        (now.since(to) < CATCH_UP_TIME).then_some(from)
    }
}
