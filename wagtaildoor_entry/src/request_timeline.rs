//! What the time line says of one request.

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

/// Writes events of one request.
#[derive(Clone)]
pub struct RequestTimeline {
    /// Time line.
    recorder: EventRecorder,
    /// Request.
    request: RequestId,
    /// Account that asks.
    account: AccountId,
}

impl RequestTimeline {
    /// Notes of a request.
    pub fn new(recorder: &EventRecorder, request: &RequestId, account: &AccountId) -> Self {
        Self {
            recorder: recorder.clone(),
            request: request.clone(),
            account: account.clone(),
        }
    }

    /// Notes something.
    pub fn record_event(&self, kind: EventKind, detail: impl Into<Box<str>>) {
        self.recorder.record(self.draft(kind, detail));
    }

    /// Notes something that concerns an endpoint.
    pub fn record_endpoint_event(
        &self,
        kind: EventKind,
        endpoint: &EndpointId,
        detail: impl Into<Box<str>>, //
    ) {
        let draft = self.draft(kind, detail);
        self.recorder.record(draft.endpoint(endpoint.clone()));
    }

    /// An event of the request.
    fn draft(&self, kind: EventKind, detail: impl Into<Box<str>>) -> EventDraft {
        EventDraft::new(kind, detail)
            .request(self.request.clone())
            .account(self.account.clone())
    }
}
