//! Tells an outage of the store from times at which this host stood still or was cut off itself.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;

use crate::{
    endpoint_directory::RELISTING_GRACE,
    pause_monitor::HostAbsence, //
};

/// Time without a store response that counts as an outage, during which endpoints may have been
/// unable to register.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// Why the store gave no response for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseGap {
    /// The store may have been away for endpoints, too.
    Outage,
    /// This host stood still or was cut off.
    Absence(HostAbsence),
}

/// Responses of the store to the reads of one stream.
#[derive(Debug, Default)]
pub struct OutageWatch {
    last_response_at: Option<BootInstant>,
    has_failed: bool,
    /// Until when live endpoints may be unlisted after an outage.
    relisted_by: Option<BootInstant>,
    /// The same for what was written during an absence. In what is read after it, nothing is left of
    /// an outage that this host has not seen.
    caught_up_by: Option<BootInstant>,
}

impl OutageWatch {
    /// Whether the last read failed.
    pub fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Time since the last response; `None` before the first one.
    pub fn away(&self, now: BootInstant) -> Option<Duration> {
        self.last_response_at.map(|at| now.since(at))
    }

    /// Records a failed read; returns whether the one before had a response.
    pub fn record_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.has_failed, true)
    }

    /// Records a response. `absence_since` finds this host's longest absence since a time. Returns why
    /// there was none before it for long.
    pub fn record_response(
        &mut self,
        now: BootInstant,
        absence_since: impl FnOnce(BootInstant) -> Option<HostAbsence>,
    ) -> Option<ResponseGap> {
        let had_failed = std::mem::take(&mut self.has_failed);
        let Some(since) = self.last_response_at.replace(now) else {
            return had_failed.then(|| self.begin_relisting(now));
        };
        let away = now.since(since);
        if away <= OUTAGE_THRESHOLD {
            return None;
        }
        let absence = absence_since(since)
            .filter(|absence| away.saturating_sub(absence.length()) <= OUTAGE_THRESHOLD);
        Some(match absence {
            Some(absence) => {
                self.caught_up_by = Some(absence.to + RELISTING_GRACE);
                ResponseGap::Absence(absence)
            }
            None => self.begin_relisting(now),
        })
    }

    /// Records that the store has just come back, so that endpoints may have to register again.
    pub fn begin_relisting(&mut self, now: BootInstant) -> ResponseGap {
        self.relisted_by = Some(now + RELISTING_GRACE);
        ResponseGap::Outage
    }

    /// Records that the end of the stream was reached.
    pub fn record_end(&mut self) {
        self.caught_up_by = None;
    }

    /// Until when an endpoint that the store does not list may be alive; `None` if it is gone.
    pub fn relisted_by(&self, now: BootInstant) -> Option<BootInstant> {
        let latest = self.relisted_by.max(self.caught_up_by);
        latest.filter(|&until| now < until)
    }
}
