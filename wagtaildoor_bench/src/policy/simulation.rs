//! Discrete-event simulation of engines, entry hosts, network and faults.

use std::time::Instant;

use rand::{
    rngs::StdRng,
    SeedableRng, //
};
use wagtaildoor::retry_budget::AttemptBudget;

use super::{
    deciders::{
        AnswerHead,
        Decider,
        DecisionInput, //
    },
    deployment::{
        DeploymentShape,
        FaultPlan, //
    },
    engine_model::{
        EngineJob,
        EngineModel, //
    },
    event_queue::EventQueue,
    run_event::{
        RequestProgress,
        RunEvent, //
    },
    run_metrics::RunMetrics,
    workload::{
        RunRequest,
        SimMicros,
        SECOND, //
    },
};

mod engine_events;

/// One-way network delay within a failure domain.
const SAME_DOMAIN_DELAY: SimMicros = 100;
/// One-way network delay between failure domains.
const CROSS_DOMAIN_DELAY: SimMicros = 1_000;
/// Interval between load reports of an engine.
const REPORT_INTERVAL: SimMicros = SECOND;
/// Interval at which engines publish cache events.
const CACHE_EVENT_INTERVAL: SimMicros = SECOND / 4;
/// Interval between crashes under the crash fault.
const CRASH_INTERVAL: SimMicros = 20 * SECOND;
/// Time from a crash to the engine's restart.
const RESTART_DELAY: SimMicros = 2 * SECOND;
/// Initial part of a run that is left out of the metrics.
const WARM_UP_TIME: SimMicros = 15 * SECOND;
/// Seed of the random number generator of faults.
const FAULT_SEED: u64 = 77;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Retry budget of a host, as a percentage of its first attempts.
const RETRY_PERCENT: u32 = 10;

/// Simulation of one policy under one fault plan.
pub struct Simulation<'a, D, F> {
    /// Simulated deployment.
    shape: &'a DeploymentShape,
    /// Faults to inject.
    faults: FaultPlan,
    /// Requests to send, in order of arrival.
    requests: &'a [RunRequest],
    /// Progress by index of the request.
    progress: Vec<RequestProgress>,
    /// Policy of each host.
    deciders: Vec<D>,
    /// Creates the policy of a host that starts or restarts.
    start: F,
    /// Retry budget of each host.
    budgets: Vec<AttemptBudget>,
    engines: Vec<EngineModel>,
    /// Whether each engine lost a cache event since the last published one.
    has_gap: Vec<bool>,
    /// Pending events.
    events: EventQueue<RunEvent>,
    /// Random number generator of faults.
    rng: StdRng,
    /// Metrics so far.
    metrics: RunMetrics,
}

impl<'a, D: Decider, F: Fn(usize, SimMicros) -> D> Simulation<'a, D, F> {
    /// Creates a run at time 0, with the policy that `start` creates for each host.
    pub fn new(
        shape: &'a DeploymentShape,
        faults: FaultPlan,
        requests: &'a [RunRequest],
        start: F,
        epoch: Instant,
    ) -> Self {
        let hosts = shape.host_domains.len();
        let engines = shape.endpoint_domains.len();
        Self {
            shape,
            faults,
            requests,
            progress: vec![RequestProgress::default(); requests.len()],
            deciders: (0..hosts).map(|host| start(host, 0)).collect(),
            start,
            budgets: (0..hosts)
                .map(|_| AttemptBudget::new(RETRY_PERCENT))
                .collect(),
            engines: (0..engines)
                .map(|number| EngineModel::new(shape, number, epoch))
                .collect(),
            has_gap: vec![false; engines],
            events: EventQueue::default(),
            rng: StdRng::seed_from_u64(FAULT_SEED),
            metrics: RunMetrics::new(shape.account_shares.len()),
        }
    }

    /// Processes all events and returns the metrics.
    pub fn run(mut self) -> RunMetrics {
        self.schedule_events();
        while let Some((now, event)) = self.events.pop() {
            self.handle_event(event, now);
        }
        self.metrics
    }

    /// Schedules arrivals, periodic events and faults.
    fn schedule_events(&mut self) {
        for (number, request) in self.requests.iter().enumerate() {
            self.events.push(request.arrival, RunEvent::Arrive(number));
        }
        let end = self.shape.duration.as_micros() as SimMicros;
        let every = |step: SimMicros| (1..=end / step).map(move |count| count * step);
        for at in every(REPORT_INTERVAL) {
            self.events.push(at, RunEvent::Report);
        }
        for at in every(CACHE_EVENT_INTERVAL) {
            self.events.push(at, RunEvent::Publish);
        }
        if self.faults.crashes {
            for (count, at) in every(CRASH_INTERVAL).enumerate() {
                let engine = (count * 5) % self.engines.len();
                self.events.push(at, RunEvent::Crash(engine));
                self.events
                    .push(at + RESTART_DELAY, RunEvent::EngineUp(engine));
            }
        }
        if self.faults.herd_restart {
            self.events.push(end / 2, RunEvent::Restart);
        }
    }

    fn handle_event(&mut self, event: RunEvent, now: SimMicros) {
        match event {
            RunEvent::Arrive(request) => {
                self.budgets[self.requests[request].host].record_first_attempt();
                self.dispatch(request, now);
            }
            RunEvent::ReachEngine { engine, job } => self.queue_at_engine(engine, job, now),
            RunEvent::Prefilled {
                engine,
                boot_number,
                cached_tokens,
                job,
            } => self.complete_prefill(engine, boot_number, cached_tokens, job, now),
            RunEvent::AnswerGenerated {
                boot_number,
                head,
                job,
            } => self.complete_answer(boot_number, head, &job, now),
            RunEvent::HeadReceived {
                request,
                attempt,
                head,
            } => self.deliver_head(request, attempt, &head, now),
            RunEvent::FirstToken {
                request,
                attempt,
                head,
            } => self.deliver_first_token(request, attempt, &head, now),
            RunEvent::Answered {
                request,
                attempt,
                head,
            } => self.deliver_answer(request, attempt, &head, now),
            RunEvent::Failed {
                request,
                attempt,
                engine,
            } => self.retry_or_refuse(request, attempt, engine, now),
            RunEvent::Report => self.send_reports(now),
            RunEvent::ReportReceived(report) => {
                for decider in &mut self.deciders {
                    decider.on_report(&report, now);
                }
            }
            RunEvent::Publish => self.publish_cache_events(now),
            RunEvent::CacheEvent(news) => {
                for decider in &mut self.deciders {
                    decider.on_cache_event(&news, now);
                }
            }
            RunEvent::Crash(engine) => self.crash_engine(engine, now),
            RunEvent::EngineUp(engine) => self.engines[engine].is_up = true,
            RunEvent::Restart => self.restart_entries(now),
        }
    }

    /// Sends a request to the engine that its host's policy chooses, or refuses it.
    fn dispatch(&mut self, number: usize, now: SimMicros) {
        let request = &self.requests[number];
        let input = DecisionInput {
            number,
            request,
            exclude: &self.progress[number].failed,
            now,
        };
        let Some(engine) = self.deciders[request.host].place(&input, &self.engines) else {
            self.refuse(number);
            return;
        };
        let progress = &mut self.progress[number];
        progress.attempts += 1;
        progress.is_forgotten = false;
        let job = EngineJob {
            request: number,
            attempt: progress.attempts,
            chain: request.chain.clone(),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
        };
        let at = now + self.network_delay(request.host, engine);
        self.events.push(at, RunEvent::ReachEngine { engine, job });
    }

    /// Ends a request without an answer, and counts it unless it arrived during the warm-up.
    fn refuse(&mut self, number: usize) {
        self.progress[number].is_ended = true;
        if self.requests[number].arrival >= WARM_UP_TIME {
            self.metrics.refused += 1;
        }
    }

    /// Queues a request at an engine, or fails the attempt if the engine is down.
    fn queue_at_engine(&mut self, engine: usize, job: EngineJob, now: SimMicros) {
        if !self.engines[engine].is_up {
            self.send_failure(engine, &job, now);
            return;
        }
        let head = AnswerHead {
            engine,
            boot_id: self.engines[engine].boot_id(),
            queued: self.engines[engine].queued(),
            cached_tokens: 0,
        };
        let received_at = now + self.network_delay(self.requests[job.request].host, engine);
        let event = RunEvent::HeadReceived {
            request: job.request,
            attempt: job.attempt,
            head,
        };
        self.events.push(received_at, event);
        self.engines[engine].push_job(job);
        self.start_prefill(engine, now);
    }

    /// Passes the head of an answer to the host's policy.
    fn deliver_head(&mut self, number: usize, attempt: u32, head: &AnswerHead, now: SimMicros) {
        let progress = &self.progress[number];
        if attempt == progress.attempts && !progress.is_ended && !progress.is_forgotten {
            self.deciders[self.requests[number].host].on_head(number, head, now);
        }
    }

    /// Starts the next prefill of an engine, and counts its tokens.
    fn start_prefill(&mut self, engine: usize, now: SimMicros) {
        let Some(prefill) = self.engines[engine].start_prefill(now) else {
            return;
        };
        self.count_prefill(engine, &prefill.job, prefill.cached_tokens, now);
        let event = RunEvent::Prefilled {
            engine,
            boot_number: self.engines[engine].boot_number,
            cached_tokens: prefill.cached_tokens,
            job: prefill.job,
        };
        self.events.push(now + prefill.duration, event);
    }

    /// Counts cached tokens, and recomputed ones that another engine had cached.
    fn count_prefill(&mut self, engine: usize, job: &EngineJob, cached: u64, now: SimMicros) {
        if now < WARM_UP_TIME {
            return;
        }
        let others = self.engines.iter().enumerate();
        let held = others
            .filter(|(number, other)| *number != engine && other.is_up)
            .map(|(_, other)| other.cached_tokens(&job.chain, now))
            .max()
            .unwrap_or(0);
        self.metrics.prompt_tokens += job.prompt_tokens;
        self.metrics.cached_tokens += cached;
        self.metrics.wasted_tokens += held.saturating_sub(cached);
    }

    /// Completes a prefill and sends the first token, unless the engine crashed in the meantime.
    fn complete_prefill(
        &mut self,
        engine: usize,
        boot_number: u32,
        cached_tokens: u64,
        job: EngineJob,
        now: SimMicros,
    ) {
        let model = &mut self.engines[engine];
        if model.boot_number != boot_number {
            return;
        }
        let Some(decode_time) = model.end_prefill(now) else {
            return;
        };
        let head = AnswerHead {
            engine,
            boot_id: model.boot_id(),
            queued: model.queued(),
            cached_tokens,
        };
        let host = self.requests[job.request].host;
        let received_at = now + self.network_delay(host, engine);
        let event = RunEvent::FirstToken {
            request: job.request,
            attempt: job.attempt,
            head: head.clone(),
        };
        self.events.push(received_at, event);
        self.events.push(
            now + decode_time,
            RunEvent::AnswerGenerated {
                boot_number,
                head,
                job,
            },
        );
        self.start_prefill(engine, now);
    }

    /// Completes an answer and sends its end, unless the engine crashed in the meantime.
    fn complete_answer(
        &mut self,
        boot_number: u32,
        mut head: AnswerHead,
        job: &EngineJob,
        now: SimMicros,
    ) {
        let model = &mut self.engines[head.engine];
        if model.boot_number != boot_number {
            return;
        }
        model.end_answer(job.request, job.attempt);
        head.queued = model.queued();
        let engine = head.engine;
        let received_at = now + self.network_delay(self.requests[job.request].host, engine);
        let event = RunEvent::Answered {
            request: job.request,
            attempt: job.attempt,
            head,
        };
        self.events.push(received_at, event);
        self.start_prefill(engine, now);
    }

    /// Records the first token of a request at its host.
    fn deliver_first_token(
        &mut self,
        number: usize,
        attempt: u32,
        head: &AnswerHead,
        now: SimMicros,
    ) {
        let request = &self.requests[number];
        let progress = &mut self.progress[number];
        if attempt != progress.attempts || progress.is_ended {
            return;
        }
        if !progress.has_first_token && request.arrival >= WARM_UP_TIME {
            self.metrics.record(request.account, now - request.arrival);
        }
        progress.has_first_token = true;
        if !progress.is_forgotten {
            self.deciders[request.host].on_first_token(number, head, now);
        }
    }

    /// Ends a request whose answer is complete.
    fn deliver_answer(&mut self, number: usize, attempt: u32, head: &AnswerHead, now: SimMicros) {
        let request = &self.requests[number];
        let progress = &mut self.progress[number];
        if attempt != progress.attempts || progress.is_ended {
            return;
        }
        progress.is_ended = true;
        if !progress.is_forgotten {
            self.deciders[request.host].on_completion(number, request, head, now);
        }
    }

    /// Notifies the host of a failed attempt, after the network delay.
    fn send_failure(&mut self, engine: usize, job: &EngineJob, now: SimMicros) {
        let received_at = now + self.network_delay(self.requests[job.request].host, engine);
        let event = RunEvent::Failed {
            request: job.request,
            attempt: job.attempt,
            engine,
        };
        self.events.push(received_at, event);
    }

    /// Retries a failed attempt at another engine, within the attempt limit and the retry budget.
    fn retry_or_refuse(&mut self, number: usize, attempt: u32, engine: usize, now: SimMicros) {
        let host = self.requests[number].host;
        let progress = &mut self.progress[number];
        if attempt != progress.attempts || progress.is_ended {
            return;
        }
        if !progress.is_forgotten {
            self.deciders[host].on_failure(number, engine, now);
        }
        progress.failed.push(engine);
        if progress.failed.len() >= MAX_ATTEMPTS || !self.budgets[host].try_acquire() {
            self.refuse(number);
            return;
        }
        self.dispatch(number, now);
    }

    /// One-way network delay between a host and an engine.
    fn network_delay(&self, host: usize, engine: usize) -> SimMicros {
        let is_same_domain = self.shape.host_domains[host] == self.shape.endpoint_domains[engine];
        match is_same_domain {
            true => SAME_DOMAIN_DELAY,
            false => CROSS_DOMAIN_DELAY,
        }
    }
}
