//! Tells whether the answer to a read is arriving.

use std::{
    cell::Cell,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

/// Time without data after which an answer does not count as arriving any more.
const MAX_DATA_GAP: Duration = Duration::from_millis(250);

/// Progress of a read whose answer may take long to arrive.
#[derive(Debug, Default)]
pub struct ReadProgress {
    /// When data of the present answer last came; `None` before the first, and after the last.
    data_at: Cell<Option<BootInstant>>,
}

impl ReadProgress {
    /// Records that data of the answer came.
    pub fn record_data(&self, now: BootInstant) {
        self.data_at.set(Some(now));
    }

    /// Records that the read has ended, with or without an answer.
    pub fn finish(&self) {
        self.data_at.set(None);
    }

    /// Whether data came a moment ago and the answer is not complete.
    pub fn is_arriving(&self, now: BootInstant) -> bool {
        let data_at = self.data_at.get();
        data_at.is_some_and(|at| now.since(at) < MAX_DATA_GAP)
    }
}
