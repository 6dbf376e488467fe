//! Recent load reports of an engine, for readers with a lag.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use tokio::time::Instant;
use wagtaildoor::schema::LoadReport;

/// Maximum number of reports kept.
const REPORTS_KEPT: usize = 16384;

/// Recent load reports, the oldest first.
#[derive(Debug, Default)]
pub struct ReportHistory {
    reports: VecDeque<TimedReport>,
}

/// A load report with the time it was recorded.
#[derive(Clone, Debug)]
struct TimedReport {
    recorded_at: Instant,
    report: LoadReport,
}

impl ReportHistory {
    /// Appends a report and drops the oldest one beyond `REPORTS_KEPT`.
    pub fn record(&mut self, report: LoadReport, recorded_at: Instant) {
        self.reports.push_back(TimedReport {
            recorded_at,
            report,
        });
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least as old as `lag`, or else the oldest report.
    /// Drops older reports.
    ///
    /// # Panics
    ///
    /// Panics if no report was recorded.
    pub fn visible_report(&mut self, lag: Duration, now: Instant) -> LoadReport {
        while self.is_second_visible(lag, now) {
            self.reports.pop_front();
        }
        let oldest = self.reports.front().expect("a report was recorded");
        oldest.report.clone()
    }

    /// Whether the second oldest report is at least as old as `lag`.
    fn is_second_visible(&self, lag: Duration, now: Instant) -> bool {
        self.reports
            .get(1)
            .is_some_and(|timed| now.saturating_duration_since(timed.recorded_at) >= lag)
    }
}
