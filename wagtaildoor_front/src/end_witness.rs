//! Finds out whether an answer is whole that has neither a length nor chunks and ends with its connection.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};
use tokio::{
    sync::Mutex,
    task,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    endpoint::Endpoint,
    endpoint_call,
    endpoint_connection::EndpointConnection,
    front::Front,
    service_config::ServiceKind,
    wire_codec::{
        EndpointCall,
        EndpointIdentity,
        WireCodec, //
    },
};

/// Longest check of one answer's end.
const MAX_CHECK_TIME: Duration = Duration::from_secs(1);
/// Share of the time left to the request that the check may take; the rest is for passing on the
/// answer, or for another attempt.
const CHECK_TIME_SHARE: f64 = 0.5;

/// What was found out about the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndFinding {
    /// The process that answered outlived the answer, so it closed the connection itself.
    Confirmed,
    /// The process that answered has ended.
    ProcessEnded,
    /// The process could not be asked.
    Unconfirmed,
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
    /// The connection for the call is being opened.
    #[display("connecting")]
    Connecting,
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

/// A further connection to an endpoint that has answers of unknown length in progress.
///
/// An operating system closes the connections of a process that crashes in the same way as the process
/// closes one whose answer is complete. A process that still serves a connection from before the end of
/// an answer has not crashed in it.
#[derive(Debug)]
pub struct EndWitness {
    endpoint: Rc<Endpoint>,
    /// Held while the connection is opened or used.
    connection: Mutex<Option<WitnessConnection>>,
    /// Latest confirmation.
    confirmed: Cell<Option<Confirmation>>,
}

#[derive(Debug)]
struct WitnessConnection {
    connection: EndpointConnection,
    /// Since when its process is known to run.
    opened_at: BootInstant,
}

/// A span in which one process of the endpoint ran.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    /// When the witness was opened.
    since: BootInstant,
    /// When a call was sent that was answered. The answer itself may be read long after the process has
    /// ended.
    until: BootInstant,
}

/// How an endpoint answered a call on the witness.
struct WitnessAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Which process answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnsweringProcess {
    /// The start of the endpoint that is known.
    SameStart,
    /// An endpoint of the same id, which does not tell when it started.
    SameId,
    /// Another endpoint or another start.
    Other,
    /// The answer does not tell.
    Unknown,
}

impl EndWitness {
    /// Returns the endpoint's witness, or creates it and opens its connection in the background.
    pub fn attach(endpoint: &Rc<Endpoint>) -> Rc<Self> {
        let mut shared = endpoint.end_witness.borrow_mut();
        if let Some(witness) = shared.upgrade() {
            return witness;
        }
        let witness = Rc::new(Self {
            endpoint: endpoint.clone(),
            connection: Mutex::new(None),
            confirmed: Cell::new(None),
        });
        *shared = Rc::downgrade(&witness);
        let opening = witness.clone();
        task::spawn_local(async move {
            let mut connection = opening.connection.lock().await;
            // The check of the answer's end tries again.
            *connection = opening.connect().await.ok();
        });
        witness
    }

    /// Finds out whether the process that sent an answer outlived its end at `ended_at`. `time_left` is
    /// that of the request.
    pub async fn check_end<C: WireCodec>(
        &self,
        front: &Front,
        ended_at: BootInstant,
        time_left: Duration,
        progress: &CheckProgress,
    ) -> EndFinding {
        let limit = time_left.mul_f64(CHECK_TIME_SHARE).min(MAX_CHECK_TIME);
        let check = self.ask_process::<C>(front, ended_at, progress);
        time::timeout(limit, check)
            .await
            .unwrap_or(EndFinding::Unconfirmed)
    }

    async fn ask_process<C: WireCodec>(
        &self,
        front: &Front,
        ended_at: BootInstant,
        progress: &CheckProgress,
    ) -> EndFinding {
        let mut held = self.connection.lock().await;
        progress.queued_for.set(Some(ended_at.elapsed()));
        if self.has_confirmed(ended_at) {
            return EndFinding::Confirmed;
        }
        let mut has_lost_witness = false;
        if let Some(mut witness) = held.take() {
            if witness.opened_at < ended_at {
                let sent_at = BootInstant::now();
                if let Some(answer) = self.call::<C>(front, &mut witness, progress).await {
                    let finding = self.judge::<C>(&answer, true);
                    if finding == EndFinding::Confirmed {
                        self.confirmed.set(Some(Confirmation {
                            since: witness.opened_at,
                            until: sent_at,
                        }));
                        *held = Some(witness);
                    }
                    return finding;
                }
                has_lost_witness = true;
            } else {
                *held = Some(witness);
            }
        }
        let mut witness = match held.take() {
            Some(witness) => witness,
            None => {
                progress.step.set(CheckStep::Connecting);
                match self.connect().await {
                    Ok(witness) => witness,
                    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                        return EndFinding::ProcessEnded;
                    }
                    Err(_) => return EndFinding::Unconfirmed,
                }
            }
        };
        let Some(answer) = self.call::<C>(front, &mut witness, progress).await else {
            return EndFinding::Unconfirmed;
        };
        *held = Some(witness);
        // Only a restart under the same id in the time of one call would be mistaken.
        let is_same_id = self.identify::<C>(&answer) == AnsweringProcess::SameId;
        self.judge::<C>(&answer, is_same_id && !has_lost_witness)
    }

    /// Whether an earlier check has shown that the process ran before and after the given time.
    fn has_confirmed(&self, ended_at: BootInstant) -> bool {
        let confirmed = self.confirmed.get();
        confirmed.is_some_and(|span| span.since < ended_at && ended_at < span.until)
    }

    /// Draws the conclusion from an answer to a call.
    fn judge<C: WireCodec>(&self, answer: &WitnessAnswer, is_witness: bool) -> EndFinding {
        match self.identify::<C>(answer) {
            // This host may have stood still, so that it opened the witness after another start.
            AnsweringProcess::Other => EndFinding::ProcessEnded,
            AnsweringProcess::SameStart => EndFinding::Confirmed,
            AnsweringProcess::SameId | AnsweringProcess::Unknown if is_witness => {
                EndFinding::Confirmed
            }
            AnsweringProcess::SameId | AnsweringProcess::Unknown => EndFinding::Unconfirmed,
        }
    }

    async fn connect(&self) -> io::Result<WitnessConnection> {
        let connection = self.endpoint.connections.connect().await?;
        Ok(WitnessConnection {
            connection,
            opened_at: BootInstant::now(),
        })
    }

    /// Makes a call that needs no work of the endpoint. Returns `None` without an answer.
    async fn call<C: WireCodec>(
        &self,
        front: &Front,
        witness: &mut WitnessConnection,
        progress: &CheckProgress,
    ) -> Option<WitnessAnswer> {
        let call = self.build_call::<C>(front)?;
        progress.step.set(CheckStep::Asked);
        let answer = endpoint_call::exchange(&self.endpoint, &mut witness.connection, call).await;
        let Ok((status, headers, body)) = answer else {
            progress.step.set(CheckStep::Lost);
            return None;
        };
        progress.step.set(CheckStep::Answered(status.as_u16()));
        Some(WitnessAnswer {
            status,
            headers,
            body,
        })
    }

    /// Builds the call: an engine's report, which needs no slot, or a health check.
    fn build_call<C: WireCodec>(&self, front: &Front) -> Option<EndpointCall> {
        let routes = front.routes()?;
        let rule = routes.service(&self.endpoint.service)?;
        Some(match &rule.kind {
            ServiceKind::Engine(_) => C::build_report_call(&self.endpoint.id),
            _ => C::build_health_call(&self.endpoint.id, &rule.health_path),
        })
    }

    fn identify<C: WireCodec>(&self, answer: &WitnessAnswer) -> AnsweringProcess {
        let EndpointIdentity { id, started_ms } = C::parse_identity(&answer.headers, &answer.body);
        let is_other_id = id.as_ref().is_some_and(|id| *id != self.endpoint.id);
        match started_ms {
            _ if is_other_id => AnsweringProcess::Other,
            Some(started_ms) if started_ms == self.endpoint.started_ms => {
                AnsweringProcess::SameStart
            }
            Some(_) => AnsweringProcess::Other,
            None if id.is_some() && answer.status.is_success() => AnsweringProcess::SameId,
            None => AnsweringProcess::Unknown,
        }
    }
}

impl Drop for EndWitness {
    fn drop(&mut self) {
        if let Some(witness) = self.connection.get_mut().take() {
            let connections = &self.endpoint.connections;
            connections.put_idle(witness.connection, None, BootInstant::now());
        }
    }
}
