//! Check of one answer's end: what is asked, how far it came and what was found.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use tokio::sync::oneshot::Receiver;
use wagtaildoor::boot_clock::BootInstant;

use super::EndWitness;

/// An answer that has ended with its connection.
#[derive(Clone, Copy, Debug)]
pub struct EndedAnswer {
    /// When its head arrived.
    pub begun_at: BootInstant,
    /// When the end of its connection was read.
    pub ended_at: BootInstant,
}

/// What was found out about the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndFinding {
    /// The process that answered outlived the answer, so it closed the connection itself.
    Confirmed,
    /// The process that answered has ended.
    ProcessEnded,
    /// The process that serves the endpoint may be another one.
    Unconfirmed,
    /// The endpoint could not be asked, or did not answer in time.
    Unanswered,
    /// The connection ended before the request was written, which a reset may follow.
    RequestCut,
}

impl EndFinding {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndFinding::Confirmed => "confirmed",
            EndFinding::ProcessEnded => "process_ended",
            EndFinding::Unconfirmed => "unconfirmed",
            EndFinding::Unanswered => "unanswered",
            EndFinding::RequestCut => "request_cut",
        }
    }
}

/// How far the check of an answer's end has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, derive_more::Display)]
pub enum CheckStep {
    /// Another check of the endpoint is in progress.
    #[default]
    #[display("behind another check")]
    Queued,
    /// An earlier check has confirmed the answer, too.
    #[display("covered by another check")]
    Covered,
    /// The connection for the call is being opened.
    #[display("connecting")]
    Connecting,
    /// Nothing listens at the address.
    #[display("connection refused")]
    Refused,
    /// The call was sent.
    #[display("no answer")]
    Asked,
    /// The call was answered with this status.
    #[display("answered {_0}")]
    Answered(u16),
    /// The connection ended without an answer to the call.
    #[display("connection lost")]
    Lost,
}

/// Progress of one check, for the log.
#[derive(Debug, Default)]
pub struct CheckProgress {
    /// Latest step.
    pub step: Cell<CheckStep>,
    /// Time spent behind other checks; `None` while that lasts.
    pub queued_for: Cell<Option<Duration>>,
}

/// A check in progress. Dropping it gives up the finding.
#[derive(Debug)]
pub struct EndCheck {
    witness: Rc<EndWitness>,
    receiver: Receiver<EndFinding>,
    /// Finding that was received.
    found: Option<EndFinding>,
    /// Progress of the check.
    pub progress: Rc<CheckProgress>,
}

impl EndCheck {
    pub(super) fn new(
        witness: Rc<EndWitness>,
        receiver: Receiver<EndFinding>,
        progress: Rc<CheckProgress>,
    ) -> Self {
        witness.awaited.set(witness.awaited.get() + 1);
        Self {
            witness,
            receiver,
            found: None,
            progress,
        }
    }

    /// Waits for the finding. Giving up the wait does not end the check.
    pub async fn finding(&mut self) -> EndFinding {
        if let Some(finding) = self.found {
            return finding;
        }
        // The check ends without a finding only if nobody awaits one.
        let finding = (&mut self.receiver).await;
        let finding = finding.unwrap_or(EndFinding::Unanswered);
        self.found = Some(finding);
        finding
    }
}

impl Drop for EndCheck {
    fn drop(&mut self) {
        let awaited = self.witness.awaited.get() - 1;
        self.witness.awaited.set(awaited);
        if awaited == 0 {
            self.witness.unwanted.notify_waiters();
        }
    }
}
