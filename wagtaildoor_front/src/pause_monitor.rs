//! Notices that this process stood still or was cut off, so that what it reads afterwards may be old news.

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

/// Time between two datagrams of distant hosts, which send one or more a second, from which on this host
/// counts as cut off.
const MIN_ISOLATION: Duration = Duration::from_millis(2_000);

/// A time in which a host stood still or heard no distant host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostAbsence {
    /// Its begin.
    pub from: BootInstant,
    /// Its end, or the present.
    pub to: BootInstant,
}

impl HostAbsence {
    /// How long it lasted.
    pub fn length(&self) -> Duration {
        self.to.since(self.from)
    }

    /// The part of it after a time.
    fn since(&self, time: BootInstant) -> Self {
        Self {
            from: self.from.max(time),
            to: self.to.max(time),
        }
    }
}

/// Last absences of this process, by the clock that goes on while the host is suspended.
#[derive(Debug)]
pub struct PauseMonitor {
    last_tick: Cell<BootInstant>,
    last_pause: Cell<Option<HostAbsence>>,
    /// When the last datagram of a distant host came.
    last_contact: Cell<Option<BootInstant>>,
    last_isolation: Cell<Option<HostAbsence>>,
}

impl PauseMonitor {
    /// Starts monitoring.
    pub fn new(now: BootInstant) -> Self {
        Self {
            last_tick: Cell::new(now),
            last_pause: Cell::new(None),
            last_contact: Cell::new(None),
            last_isolation: Cell::new(None),
        }
    }

    /// Records that the process is running. To be called about every tenth of a second.
    pub fn tick(&self, now: BootInstant) {
        let last_tick = self.last_tick.replace(now);
        let gap = HostAbsence {
            from: last_tick,
            to: now,
        };
        if gap.length() >= MIN_PAUSE {
            self.last_pause.set(Some(gap));
        }
    }

    /// Records a datagram of a distant host: one of another failure domain, if there is any.
    pub fn record_contact(&self, now: BootInstant) {
        if let Some(isolation) = self.isolation_at(now) {
            self.last_isolation.set(Some(isolation));
        }
        self.last_contact.set(Some(now));
    }

    /// Longest absence since a time. Silence that was long by then does not count, since there may be no
    /// distant host.
    pub fn longest_absence(&self, since: BootInstant, now: BootInstant) -> Option<HostAbsence> {
        self.tick(now);
        let ongoing = self.isolation_at(now);
        let isolations = [ongoing, self.last_isolation.get()].into_iter().flatten();
        let isolations = isolations.filter(|span| since.since(span.from) < MIN_ISOLATION);
        let absences = isolations.chain(self.last_pause.get());
        absences
            .map(|absence| absence.since(since))
            .max_by_key(HostAbsence::length)
    }

    /// Time without a datagram of a distant host that lasts until now, if it is long.
    fn isolation_at(&self, now: BootInstant) -> Option<HostAbsence> {
        let from = self.last_contact.get()?;
        let silence = HostAbsence { from, to: now };
        (silence.length() >= MIN_ISOLATION).then_some(silence)
    }

    /// Start of a pause that has just ended; `None` if the process has been running.
    pub fn recent_pause(&self, now: BootInstant) -> Option<BootInstant> {
        self.tick(now);
        let pause = self.last_pause.get()?;
        (now.since(pause.to) < CATCH_UP_TIME).then_some(pause.from)
    }
}
