//! Ranks requests that compete for too little room by what it costs their callers to wait.

use std::time::Duration;

/// Least urgent level that engines know.
const LEAST_URGENT: u8 = 9;
/// Head start in the line for each step of urgency.
const URGENCY_STEP: Duration = Duration::from_millis(250);
/// Time by which a request that can no longer be on time stands behind the others.
const LATE_STEP: Duration = Duration::from_millis(1_000);
/// The same where requests are ranked by the time that is left to be on time, which is above a second
/// on some routes.
const LATE_LOSS_STEP: Duration = Duration::from_millis(2_000);
/// Time by which a late request stands behind others for each unit of time that an engine needs to read
/// its own part: what is late loses the same by waiting, so more of the small ones are served.
const LATE_WORK_FACTOR: u32 = 4;
/// Steps by which a request is less urgent at an engine that can no longer be on time. Others of its
/// account and route, which can, are read first.
const LATE_URGENCY_STEPS: u8 = 2;

/// By what requests are ranked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestRanking {
    /// By arrival, with head starts for urgent requests and those that can still be on time.
    #[default]
    ByArrival,
    /// By the time that is left to be on time, and by work once that has passed.
    ByLoss,
}

/// What a request's place depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedRequest {
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Time since the caller's first attempt.
    pub age: Duration,
    /// Target time for the first part of the response, from the caller's first attempt.
    pub target: Duration,
    /// Time that an engine needs at least to read the request's own part of the prompt.
    pub own_work: Duration,
}

impl RequestRanking {
    /// Whether the request can still be answered on time.
    pub fn is_on_time(self, request: &RankedRequest) -> bool {
        match self {
            RequestRanking::ByArrival => request.age < request.target,
            RequestRanking::ByLoss => request.age + request.own_work < request.target,
        }
    }

    /// Time after its arrival by which the request is sorted into the line.
    pub fn handicap(self, request: &RankedRequest) -> Duration {
        let urgency = URGENCY_STEP * u32::from(request.urgency);
        match (self, self.is_on_time(request)) {
            (RequestRanking::ByArrival, true) => urgency,
            (RequestRanking::ByArrival, false) => urgency + LATE_STEP,
            (RequestRanking::ByLoss, true) => {
                urgency + request.target - request.age - request.own_work
            }
            (RequestRanking::ByLoss, false) => {
                urgency + LATE_LOSS_STEP + request.own_work * LATE_WORK_FACTOR
            }
        }
    }

    /// Urgency that an engine is told; 0 is the most urgent.
    pub fn engine_urgency(self, request: &RankedRequest) -> u8 {
        let late_steps = match self {
            RequestRanking::ByLoss if !self.is_on_time(request) => LATE_URGENCY_STEPS,
            _ => 0,
        };
        request.urgency.saturating_add(late_steps).min(LEAST_URGENT)
    }
}
