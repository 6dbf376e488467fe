//! What one start of an endpoint has said of itself in its answers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::endpoint_limit::EndpointLimit;

/// Statements of one start of an endpoint, which hold whatever its records say.
///
/// They outlive the endpoint's entry: an endpoint that cannot reach the store is removed and listed again
/// while it goes on serving.
#[derive(Debug, Default)]
pub struct EndpointStatements {
    /// Limit on the requests that the endpoint takes from all hosts.
    pub limit: RefCell<EndpointLimit>,
    /// When an answer first said that the endpoint leaves.
    leaving_since: Cell<Option<BootInstant>>,
}

impl EndpointStatements {
    /// Records that an answer says that the endpoint leaves. Returns whether it is the first such answer.
    pub fn record_leaving(&self, now: BootInstant) -> bool {
        let is_first = self.leaving_since.get().is_none();
        if is_first {
            self.leaving_since.set(Some(now));
        }
        is_first
    }

    /// Time since an answer first said that the endpoint leaves; `None` if none has.
    pub fn leaving_for(&self, now: BootInstant) -> Option<Duration> {
        self.leaving_since.get().map(|since| now.since(since))
    }

    /// Whether an answer said that the endpoint leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.get().is_some()
    }
}
