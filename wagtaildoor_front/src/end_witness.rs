//! Finds out whether an answer is whole that has neither a length nor chunks and ends with its connection.

use std::{
    cell::Cell,
    io,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    sync::{
        oneshot,
        Mutex,
        Notify, //
    },
    task,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    endpoint::Endpoint,
    front::Front,
    route_table::RouteTable,
    service_config::ServiceRule,
    wire_codec::WireCodec, //
};

pub mod end_check;
mod process_call;

use end_check::{
    CheckProgress,
    CheckStep,
    EndCheck,
    EndFinding,
    EndedAnswer, //
};
use process_call::{
    AnsweringProcess,
    WitnessConnection, //
};

/// Longest time for which a check puts off another attempt.
const MAX_CHECK_TIME: Duration = Duration::from_secs(1);
/// Share of the time left to the request for which a check may put off another attempt; the rest is
/// for that attempt.
const CHECK_TIME_SHARE: f64 = 0.5;
/// Time without an answer on the witness after which the endpoint is asked on a new connection, too:
/// the answer may be lost.
const WITNESS_PATIENCE: Duration = Duration::from_millis(500);
/// Pause before an endpoint that could not be asked is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Longest time for which a check may put off another attempt of a request with `time_left`.
pub fn max_check_time(time_left: Duration) -> Duration {
    time_left.mul_f64(CHECK_TIME_SHARE).min(MAX_CHECK_TIME)
}

/// A further connection to an endpoint that has answers of unknown length in progress.
///
/// An operating system closes the connections of a process that crashes in the same way as the process
/// closes one whose answer is complete. A process that still serves a connection from before the end of
/// an answer has not crashed in it.
#[derive(Debug)]
pub struct EndWitness {
    endpoint: Rc<Endpoint>,
    /// Configuration that names the service of the endpoint.
    table: Rc<RouteTable>,
    /// Held while the connection is opened or used.
    connection: Mutex<Option<WitnessConnection>>,
    /// When a connection of the witness broke; the process may have ended then.
    lost_at: Cell<Option<BootInstant>>,
    /// Latest confirmation.
    confirmed: Cell<Option<Confirmation>>,
    /// Number of checks whose findings are awaited.
    awaited: Cell<u32>,
    /// Notified when no finding is awaited any more.
    unwanted: Notify,
}

/// Answers that one call has confirmed.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    /// The answers began after this.
    begun_after: BootInstant,
    /// The answers ended before the call was sent. Its own answer may be read long after the process has
    /// ended.
    ended_before: BootInstant,
}

impl EndWitness {
    /// Returns the endpoint's witness, or creates it and opens its connection in the background.
    ///
    /// `table` is the configuration under which the request was sent. A later one may lack its service.
    pub fn attach(endpoint: &Rc<Endpoint>, table: Rc<RouteTable>) -> Rc<Self> {
        let mut shared = endpoint.end_witness.borrow_mut();
        if let Some(witness) = shared.upgrade() {
            return witness;
        }
        let witness = Rc::new(Self {
            endpoint: endpoint.clone(),
            table,
            connection: Mutex::new(None),
            lost_at: Cell::new(None),
            confirmed: Cell::new(None),
            awaited: Cell::new(0),
            unwanted: Notify::new(),
        });
        *shared = Rc::downgrade(&witness);
        let opening = witness.clone();
        task::spawn_local(async move {
            let mut connection = opening.connection.lock().await;
            // The check of the answer's end tries again.
            *connection = WitnessConnection::open(&opening.endpoint).await.ok();
        });
        witness
    }

    /// Begins to find out whether the process that sent an answer outlived its end. The call belongs to the
    /// witness: a caller that leaves does not break it off for the answers behind it.
    pub fn check_end<C: WireCodec>(
        self: &Rc<Self>,
        front: &Rc<Front>,
        answer: EndedAnswer,
    ) -> EndCheck {
        let progress = Rc::new(CheckProgress::default());
        let (sender, receiver) = oneshot::channel();
        let (witness, front) = (self.clone(), front.clone());
        let check = EndCheck::new(self.clone(), receiver, progress.clone());
        task::spawn_local(async move {
            let mut held = witness.connection.lock().await;
            progress.queued_for.set(Some(answer.ended_at.elapsed()));
            if sender.is_closed() {
                return;
            }
            let finding = tokio::select! {
                biased;
                finding = witness.ask_process::<C>(&front, &mut held, answer, &progress) => finding,
                () = witness.wait_until_unwanted() => return,
            };
            // A failed send means that the caller has left.
            let _ = sender.send(finding);
            if held.is_none() && witness.is_used_by_others() && finding != EndFinding::ProcessEnded
            {
                *held = WitnessConnection::open(&witness.endpoint).await.ok();
            }
        });
        check
    }

    /// Asks until an answer shows which process serves the endpoint.
    async fn ask_process<C: WireCodec>(
        &self,
        front: &Front,
        held: &mut Option<WitnessConnection>,
        answer: EndedAnswer,
        progress: &CheckProgress,
    ) -> EndFinding {
        if self.has_confirmed(answer) {
            progress.step.set(CheckStep::Covered);
            return EndFinding::Confirmed;
        }
        let table = front.routes();
        let table = table
            .as_ref()
            .filter(|table| table.service(&self.endpoint.service).is_some());
        let Some(rule) = table.unwrap_or(&self.table).service(&self.endpoint.service) else {
            return EndFinding::Unanswered;
        };
        let mut pause = Duration::ZERO;
        loop {
            let mut witness = match held.take() {
                Some(witness) => witness,
                None => {
                    progress.step.set(CheckStep::Connecting);
                    match WitnessConnection::open(&self.endpoint).await {
                        Ok(witness) => witness,
                        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                            progress.step.set(CheckStep::Refused);
                            return EndFinding::ProcessEnded;
                        }
                        Err(_) => {
                            self.record_loss();
                            time::sleep(RETRY_PAUSE).await;
                            continue;
                        }
                    }
                }
            };
            let sent_at = BootInstant::now();
            let is_older = witness.opened_at() < answer.ended_at;
            let found = tokio::select! {
                biased;
                process = witness.identify::<C>(&self.endpoint, rule, progress) => Ok(process),
                newer = self.identify_anew::<C>(rule, progress) => Err(newer),
            };
            let process = match found {
                Ok(Some(process)) => process,
                Ok(None) => {
                    self.record_loss();
                    // A process that has ended refuses the next connection.
                    time::sleep(pause).await;
                    pause = RETRY_PAUSE;
                    continue;
                }
                Err((newer, process)) => {
                    witness = newer;
                    process
                }
            };
            if witness.is_usable() {
                *held = Some(witness);
            }
            let lost_at = self.lost_at.get().unwrap_or(BootInstant::ZERO);
            let is_unbroken = lost_at < answer.begun_at;
            match process {
                AnsweringProcess::Other => {
                    *held = None;
                    return EndFinding::ProcessEnded;
                }
                AnsweringProcess::SameStart => {
                    self.record_confirmation(BootInstant::ZERO, sent_at);
                    return EndFinding::Confirmed;
                }
                AnsweringProcess::SameId if is_unbroken => {
                    self.record_confirmation(lost_at, sent_at);
                    return EndFinding::Confirmed;
                }
                // Another start of the endpoint may bear the same id.
                AnsweringProcess::SameId => return EndFinding::Unconfirmed,
                AnsweringProcess::Unknown if is_older && is_unbroken => {
                    return EndFinding::Confirmed;
                }
                AnsweringProcess::Unknown => time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Asks on new connections if the witness stays without an answer, until one shows which start of the
    /// endpoint serves it. The id alone says nothing: the news that the witness broke may be lost.
    async fn identify_anew<C: WireCodec>(
        &self,
        rule: &ServiceRule,
        progress: &CheckProgress,
    ) -> (WitnessConnection, AnsweringProcess) {
        let mut pause = WITNESS_PATIENCE;
        loop {
            time::sleep(pause).await;
            pause = RETRY_PAUSE;
            let Ok(mut newer) = WitnessConnection::open(&self.endpoint).await else {
                continue;
            };
            let process = newer.identify::<C>(&self.endpoint, rule, progress).await;
            if let Some(process @ (AnsweringProcess::SameStart | AnsweringProcess::Other)) = process
            {
                return (newer, process);
            }
        }
    }

    /// Whether an earlier check has confirmed the answer.
    fn has_confirmed(&self, answer: EndedAnswer) -> bool {
        self.confirmed.get().is_some_and(|confirmed| {
            confirmed.begun_after < answer.begun_at && answer.ended_at < confirmed.ended_before
        })
    }

    fn record_confirmation(&self, begun_after: BootInstant, ended_before: BootInstant) {
        self.confirmed.set(Some(Confirmation {
            begun_after,
            ended_before,
        }));
    }

    fn record_loss(&self) {
        self.lost_at.set(Some(BootInstant::now()));
    }

    /// Whether answers or checks besides the present one hold the witness.
    fn is_used_by_others(self: &Rc<Self>) -> bool {
        Rc::strong_count(self) > 1
    }

    /// Waits until no finding is awaited.
    async fn wait_until_unwanted(&self) {
        while self.awaited.get() > 0 {
            self.unwanted.notified().await;
        }
    }
}

impl Drop for EndWitness {
    fn drop(&mut self) {
        if let Some(witness) = self.connection.get_mut().take() {
            let connections = &self.endpoint.connections;
            connections.put_idle(witness.into_connection(), None, BootInstant::now());
        }
    }
}
