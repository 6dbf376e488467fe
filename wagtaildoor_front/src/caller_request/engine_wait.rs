//! Keeps a request in line while no engine can begin with it soon, or refuses it.

use std::time::Duration;

use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    error::{
        ErrorKind,
        RequestError, //
    },
    ids::ServiceId,
};

use crate::{
    caller_request::{
        return_time,
        CallerRequest,
        Result, //
    },
    overload::{
        admission_queue::{
            self,
            WaitTerms,
            WaitTicket, //
        },
        request_ranking::{
            RankedRequest,
            RequestRanking, //
        },
    },
    request_placement::RequestPlacement,
    wire_codec::WireCodec,
};

/// Interval at which a waiting request looks for an engine.
const LINE_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between checks whether an engine has finished loading weights.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Part of a request's time, as a divisor, that it may wait for an engine that is loading weights.
const MAX_LOAD_WAIT_DIVISOR: u32 = 4;
/// Longest queue at an engine that still takes the request, as a share of its target time for the
/// first part.
const ENGINE_QUEUE_SHARE: f64 = 0.5;
/// The same for requests that are late already.
const LATE_ENGINE_QUEUE_SHARE: f64 = 0.3;
/// Waiting is given up when less than this share of the caller's patience is left.
const MIN_TIME_LEFT: f64 = 0.15;

impl<C: WireCodec> CallerRequest<C> {
    /// Chooses an endpoint. While the engines have no room, the request waits in line; it is refused
    /// at once if the line is too long for it. A resumed stream does not wait. `None` if there is no
    /// endpoint.
    pub(super) async fn await_placement(
        &mut self,
        is_resumed: bool,
    ) -> Result<Option<RequestPlacement>> {
        let mut ticket: Option<WaitTicket> = None;
        let waits_since = Instant::now();
        loop {
            let now = BootInstant::now();
            self.check_parts(now)?;
            let may_choose = match &ticket {
                Some(ticket) => ticket.is_at_head(),
                None => is_resumed || self.is_first_in_line(),
            };
            if may_choose {
                let Some(placement) = self.choose_endpoint(now) else {
                    if self.may_wait_for_load(now) {
                        time::sleep(LOAD_POLL_INTERVAL).await;
                        continue;
                    }
                    return Ok(None);
                };
                if is_resumed || self.has_room(&placement) {
                    if placement.engine.is_some() {
                        let mut line = self.front.admission_queue.borrow_mut();
                        let tokens = placement.prefill_tokens as f64;
                        let urgency = self.wait_terms().request.urgency;
                        line.record_admission(&placement.endpoint.service, urgency, tokens, now);
                    }
                    if ticket.is_some() {
                        let waited = waits_since.elapsed();
                        self.front.metrics.record_admission("waited", waited);
                        let waited_ms = waited.as_millis();
                        self.log
                            .add_decision(format_args!("waited {waited_ms} ms in line"));
                    }
                    return Ok(Some(placement));
                }
            }
            if ticket.is_none() {
                ticket = Some(self.join_line(now)?);
            }
            let patience = self.route.caller_patience;
            let left = self.wait_terms().left;
            if left < patience.mul_f64(MIN_TIME_LEFT)
                || self.has_lost_its_chance(&ticket, left, now)
            {
                return Err(self.refuse_busy(now));
            }
            time::sleep(LINE_POLL_INTERVAL).await;
        }
    }

    /// Whether so many more urgent requests have come that a waiting one would not be sent before its
    /// caller leaves.
    fn has_lost_its_chance(
        &self,
        ticket: &Option<WaitTicket>,
        left: Duration,
        now: BootInstant,
    ) -> bool {
        self.front.settings.ranking == RequestRanking::ByLoss
            && ticket
                .as_ref()
                .is_some_and(|ticket| ticket.expected_wait(now) > left)
    }

    /// Whether nobody waits for the service that the request would go to first.
    fn is_first_in_line(&self) -> bool {
        let services = self.target_services();
        let line = self.front.admission_queue.borrow();
        services
            .first()
            .is_none_or(|service| line.is_empty(service))
    }

    /// Whether the queue of the chosen engine is short enough. Plain endpoints always have room.
    fn has_room(&self, placement: &RequestPlacement) -> bool {
        let Some(engine) = &placement.engine else {
            return true;
        };
        let service = &placement.endpoint.service;
        let terms = self.wait_terms();
        let line = self.front.admission_queue.borrow();
        let queued_tokens =
            engine.queued_tokens * line.urgent_share(service, terms.request.urgency);
        let speed = self.front.prefill_speeds.borrow().tokens_per_ms(service);
        let share = match terms.is_on_time() {
            true => ENGINE_QUEUE_SHARE,
            false => LATE_ENGINE_QUEUE_SHARE,
        };
        queued_tokens <= speed * terms.request.target.as_secs_f64() * 1000.0 * share
    }

    /// Takes a place in line, or refuses the request.
    fn join_line(&mut self, now: BootInstant) -> Result<WaitTicket> {
        let terms = self.wait_terms();
        let Some(service) = self.first_service() else {
            return Err(self.refuse_busy(now));
        };
        let capacity = self.capacity_share(&service, now);
        let mut line = self.front.admission_queue.borrow_mut();
        line.set_capacity(&service, capacity);
        drop(line);
        match admission_queue::join(&self.front.admission_queue, &service, &terms, now) {
            Some(ticket) => Ok(ticket),
            None => Err(self.refuse_busy(now)),
        }
    }

    /// This host's part of what the engines of a service can read, in tokens per millisecond.
    fn capacity_share(&self, service: &ServiceId, now: BootInstant) -> f64 {
        let directory = self.front.endpoints.borrow();
        let engines = directory.service_endpoints(service).iter();
        let model = self.head.prompt.as_ref().map(|prompt| &*prompt.model);
        let usable = engines.filter(|engine| {
            engine.is_accepting_requests()
                && !engine.health.borrow().is_down()
                && !model.is_some_and(|model| engine.is_loading(model, now))
        });
        let speed = self.front.prefill_speeds.borrow().tokens_per_ms(service);
        usable.count() as f64 * speed / self.front.host_count() as f64
    }

    fn first_service(&self) -> Option<ServiceId> {
        self.target_services().first().copied().cloned()
    }

    /// What the request's rank depends on.
    pub(super) fn ranked_request(&self) -> RankedRequest {
        let account = self.account.as_ref();
        let own_part = self.head.prompt.as_ref();
        let own_part = own_part.and_then(|prompt| prompt.parts.last());
        let own_work = own_part.zip(self.first_service()).map(|(part, service)| {
            let speed = self.front.prefill_speeds.borrow().tokens_per_ms(&service);
            Duration::from_secs_f64(part.tokens as f64 / speed.max(1.0) / 1000.0)
        });
        RankedRequest {
            urgency: account
                .and_then(|account| account.urgency)
                .unwrap_or(self.route.urgency),
            age: self.age_at_arrival + self.log.arrived().elapsed(),
            target: self.route.first_answer_target,
            own_work: own_work.unwrap_or(Duration::ZERO),
        }
    }

    /// How long the request may still wait.
    fn wait_terms(&self) -> WaitTerms {
        let held = self.log.arrived().elapsed();
        let deadline = self.deadline.saturating_duration_since(Instant::now());
        WaitTerms {
            request: self.ranked_request(),
            ranking: self.front.settings.ranking,
            left: self
                .route
                .caller_patience
                .saturating_sub(held)
                .min(deadline),
        }
    }

    /// Error for a request that the engines cannot begin in time, and the time for its return.
    fn refuse_busy(&mut self, now: BootInstant) -> RequestError {
        if self.possible_runs > 0 || self.failure.is_some() {
            let detail = "an earlier try failed, and the engines are too busy for another one";
            return RequestError::new(ErrorKind::EndpointFailed, detail);
        }
        let service = self.first_service().unwrap_or_else(|| "".into());
        let (waiting, clear) = {
            let line = self.front.admission_queue.borrow();
            (line.waiting(&service), line.time_to_clear(&service, now))
        };
        let speed = self.front.prefill_speeds.borrow().tokens_per_ms(&service);
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.retry_after = Some(return_time::spread(
            clear,
            left,
            self.head.attempt.as_deref(),
        ));
        self.front
            .metrics
            .record_admission("refused", self.log.arrived().elapsed());
        let detail = format!(
            "the engines are busy: {waiting} wait, {} ms until all are sent, {speed:.0} tokens/ms",
            clear.as_millis()
        );
        RequestError::new(ErrorKind::Overloaded, detail)
    }

    /// Whether to wait for an engine that is loading weights, since no other can take the request.
    fn may_wait_for_load(&self, now: BootInstant) -> bool {
        let arrived = self.log.arrived();
        let limit = self.deadline.saturating_duration_since(arrived) / MAX_LOAD_WAIT_DIVISOR;
        arrived.elapsed() < limit && self.is_load_in_progress(now)
    }
}
