//! Finds out why an answer ended, and whether it is whole.

use std::rc::Rc;

use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    caller_request::CallerRequest,
    end_witness::{
        self,
        end_check::{
            CheckProgress,
            EndCheck,
            EndFinding,
            EndedAnswer, //
        },
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
    ///
    /// A request that may be tried again elsewhere leaves time for that; the check goes on meanwhile and is
    /// returned. Any other request has nothing better to do than to wait for the finding.
    pub(crate) async fn check_end(
        &mut self,
        witness: &Rc<EndWitness>,
        connection: &EndpointConnection,
        begun_at: BootInstant,
    ) -> (EndFinding, Option<EndCheck>) {
        let answer = EndedAnswer {
            begun_at,
            ended_at: BootInstant::now(),
        };
        if !connection.has_written_request() {
            self.record_end(EndFinding::RequestCut, answer, &CheckProgress::default());
            return (EndFinding::RequestCut, None);
        }
        let mut check = witness.check_end::<C>(&self.front, answer);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let max_time = match self.has_attempt_left() {
            true => end_witness::max_check_time(time_left),
            false => time_left,
        };
        let finding = time::timeout(max_time, check.finding());
        let finding = self.answer_limit().apply(finding).await;
        let finding = finding
            .and_then(|finding| finding.ok())
            .unwrap_or(EndFinding::Unanswered);
        self.record_end(finding, answer, &check.progress);
        (finding, Some(check))
    }

    /// Records what was found out about the end of an answer.
    fn record_end(&mut self, finding: EndFinding, answer: EndedAnswer, progress: &CheckProgress) {
        let name = finding.name();
        self.front.metrics.record_connection_end(name);
        let step = progress.step.get();
        let took_ms = answer.ended_at.elapsed().as_millis();
        let queued_ms = progress.queued_for.get().map(|time| time.as_millis());
        let queued_ms = queued_ms.unwrap_or(took_ms);
        self.log.add_decision(format_args!(
            "ended with its connection: {name} ({step}, {took_ms} ms, {queued_ms} of them behind others)"
        ));
    }
}
