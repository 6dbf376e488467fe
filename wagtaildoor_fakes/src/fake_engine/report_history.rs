//! Past load reports of an engine, for readers who see them late.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use tokio::time::Instant;
use wagtaildoor::schema::LoadReport;

/// Reports kept.
const REPORTS_KEPT: usize = 16384;

/// Past load reports, the oldest first.
#[derive(Debug, Default)]
pub struct ReportHistory {
    /// Reports with their times.
    reports: VecDeque<TimedReport>,
}

/// A report with its time.
#[derive(Clone, Debug)]
struct TimedReport {
    /// When it was so.
    at: Instant,
    /// The report.
    report: LoadReport,
}

impl ReportHistory {
    /// Keeps a report.
    pub fn record(&mut self, report: LoadReport, at: Instant) {
        self.reports.push_back(TimedReport { at, report });
        if self.reports.len() > REPORTS_KEPT {
            self.reports.pop_front();
        }
    }

    /// The newest report that is as old as the lag, else the oldest; forgets those before it.
    ///
    /// # Panics
    ///
    /// When no report was recorded.
    pub fn seen(&mut self, lag: Duration, now: Instant) -> LoadReport {
        while self.second_is_old(lag, now) {
            self.reports.pop_front();
        }
        let oldest = self.reports.front().expect("a report was recorded");
        oldest.report.clone()
    }

    /// Whether the second oldest report is old enough to be seen.
    fn second_is_old(&self, lag: Duration, now: Instant) -> bool {
        self.reports
            .get(1)
            .is_some_and(|timed| now.saturating_duration_since(timed.at) >= lag)
    }
}
