//! Timeline events of one request.

use wagtaildoor::{
    ids::{
        AccountId,
        EndpointId,
        RequestId, //
    },
    schema::EventKind,
    timeline::{
        EventDraft,
        EventRecorder, //
    },
};

/// Records timeline events with the id and account of one request.
#[derive(Clone)]
pub struct RequestTimeline {
    recorder: EventRecorder,
    request: RequestId,
    account: AccountId,
}

impl RequestTimeline {
    /// Creates the timeline of a request, which writes to `recorder`.
    pub fn new(recorder: &EventRecorder, request: &RequestId, account: &AccountId) -> Self {
        Self {
            recorder: recorder.clone(),
            request: request.clone(),
            account: account.clone(),
        }
    }

    /// Records an event that involves no endpoint.
    pub fn record_event(&self, kind: EventKind, detail: impl Into<Box<str>>) {
        self.recorder.record(self.draft(kind, detail));
    }

    /// Records an event that involves an endpoint.
    pub fn record_endpoint_event(
        &self,
        kind: EventKind,
        endpoint: &EndpointId,
        detail: impl Into<Box<str>>, //
    ) {
        let draft = self.draft(kind, detail);
        self.recorder.record(draft.endpoint(endpoint.clone()));
    }

    /// Builds an event with the request's id and account.
    fn draft(&self, kind: EventKind, detail: impl Into<Box<str>>) -> EventDraft {
        EventDraft::new(kind, detail)
            .request(self.request.clone())
            .account(self.account.clone())
    }
}
