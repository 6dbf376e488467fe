//! Time by which a request gets an answer, whatever it is.

use std::future::Future;

use tokio::time::{
    self,
    Instant, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller_request::CallerRequest,
    wire_codec::WireCodec, //
};

/// Ends the steps of a request at its deadline, or when a host that stops must give its last answers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerLimit {
    deadline: Instant,
    answers_due: CancellationToken,
}

impl AnswerLimit {
    /// Awaits a step. `None` if the limit comes first.
    pub(crate) async fn apply<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            result = step => Some(result),
            () = self.answers_due.cancelled() => None,
            () = time::sleep_until(self.deadline) => None,
        }
    }
}

impl<C: WireCodec> CallerRequest<C> {
    /// Limit of this request.
    pub(crate) fn answer_limit(&self) -> AnswerLimit {
        AnswerLimit {
            deadline: self.deadline,
            answers_due: self.front.answers_due.clone(),
        }
    }
}
