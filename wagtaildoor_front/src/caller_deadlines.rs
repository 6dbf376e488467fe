//! Tells from a request's deadline how long ago its caller made the first attempt.

use std::{
    collections::HashMap,
    time::Duration, //
};

use wagtaildoor::ids::RouteId;

/// Longest deadline seen on each route, which is that of a first attempt.
#[derive(Debug, Default)]
pub struct CallerDeadlines {
    longest: HashMap<RouteId, Duration>,
}

impl CallerDeadlines {
    /// Records a request's deadline. Returns the time since the caller's first attempt.
    pub fn record(&mut self, route: &RouteId, deadline: Duration) -> Duration {
        match self.longest.get_mut(route) {
            Some(longest) => {
                *longest = deadline.max(*longest);
                *longest - deadline
            }
            None => {
                self.longest.insert(route.clone(), deadline);
                Duration::ZERO
            }
        }
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&RouteId) -> bool) {
        self.longest.retain(|route, _| is_configured(route));
    }
}
