//! Finds out why an answer ended, and whether it is whole.

use tokio::time::Instant;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    caller_request::CallerRequest,
    end_witness::{
        CheckProgress,
        EndFinding,
        EndWitness, //
    },
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    endpoint_connection::EndpointConnection,
    engine_crash::{
        self,
        BrokenAnswer, //
    },
    wire_codec::WireCodec,
};

impl<C: WireCodec> CallerRequest<C> {
    /// Records that the response from `endpoint` ended early.
    pub(crate) fn record_broken_response(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.possible_runs += 1;
    }

    /// Finds out whether the engine of a broken answer has ended, and reports that against the prompt.
    /// Does nothing for plain requests.
    pub(crate) async fn inspect_broken_answer(
        &self,
        endpoint: &Endpoint,
        begun_at: BootInstant,
        in_first_event: bool,
    ) {
        if self.head.prompt.is_none() {
            return;
        }
        let answer = BrokenAnswer {
            attempt: self.head.attempt.as_ref(),
            parts: &self.sent_parts,
            begun_at,
            in_first_event,
        };
        engine_crash::inspect_engine(&self.front, endpoint, &answer).await;
    }

    /// Finds out whether an answer that has just ended with its connection is whole. A process that lives
    /// has not ended it for that reason alone if it had not got the whole request.
    pub(crate) async fn check_end(
        &mut self,
        witness: &EndWitness,
        connection: &EndpointConnection,
    ) -> EndFinding {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let ended_at = BootInstant::now();
        let progress = CheckProgress::default();
        let finding = match connection.has_written_request() {
            true => {
                let check = witness.check_end::<C>(&self.front, ended_at, time_left, &progress);
                check.await
            }
            false => EndFinding::RequestCut,
        };
        self.front.metrics.record_connection_end(finding.name());
        let name = finding.name();
        let step = progress.step.get();
        let took_ms = ended_at.elapsed().as_millis();
        let queued_ms = progress.queued_for.get().map(|time| time.as_millis());
        let queued_ms = queued_ms.unwrap_or(took_ms);
        self.log.add_decision(format_args!(
            "ended with its connection: {name} ({step}, {took_ms} ms, {queued_ms} of them behind others)"
        ));
        finding
    }
}
