//! Admits requests through the admission queue.

use tokio::time::Instant;
use wagtaildoor::{
    admission::AdmissionPermit,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    fair_queue::SchedulingParams,
    schema::{
        Account,
        EventKind,
        Template, //
    },
};

use crate::{
    request_timeline::RequestTimeline,
    state::EntryState, //
};

/// Waits for admission. The request counts as in flight until the permit is dropped.
///
/// Fails if the entry stops before the deadline, if the account is over its rate limit, if the queue is
/// full, or if the deadline cannot be met from the current queue position.
pub async fn admit(
    state: &EntryState,
    timeline: &RequestTimeline,
    account: &Account,
    template: &Template,
    deadline: Instant,
    cost_tokens: u64,
) -> Result<AdmissionPermit> {
    if !state.gate.fits(deadline) {
        let detail = "this host is stopping, others are not";
        return Err(RequestError::new(ErrorKind::Overloaded, detail));
    }
    let params = SchedulingParams {
        account: account.id.clone(),
        cost: cost_tokens,
        deadline,
        urgency: template.urgency,
        weight: account.weight,
    };
    let started = Instant::now();
    let permit = state
        .admission
        .admit(&params, account.requests_per_s)
        .await
        .map_err(|kind| admission_error(kind, account, template))?;
    let detail = format!("admitted after {} ms", started.elapsed().as_millis());
    timeline.record_event(EventKind::RequestAdmitted, detail);
    Ok(permit)
}

/// Converts the error kind of the admission queue to an error with a detail text.
fn admission_error(kind: ErrorKind, account: &Account, template: &Template) -> RequestError {
    let detail = match kind {
        ErrorKind::AccountLimited => format!(
            "account {} is over its limit of {} requests a second",
            account.id, account.requests_per_s
        ),
        ErrorKind::DeadlineUnreachable => format!(
            "so many requests wait here that this one would not end within {} ms",
            template.deadline_ms
        ),
        _ => "too many requests wait here".to_string(),
    };
    RequestError::new(kind, detail)
}
