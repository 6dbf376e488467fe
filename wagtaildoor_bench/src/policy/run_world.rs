//! Discrete-event simulation of engines, entry hosts, network and faults.

use std::time::Instant;

use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use wagtaildoor::{
    retry_budget::AttemptBudget,
    schema::PrefixNews, //
};

use super::{
    deciders::{
        AnswerHead,
        Decider,
        DecisionAsk,
        EngineReport, //
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
    run_figures::RunFigures,
    workload::{
        RunMicros,
        RunRequest,
        SECOND, //
    },
};

/// One-way network delay within a failure domain.
const NEAR: RunMicros = 100;
/// One-way network delay between failure domains.
const FAR: RunMicros = 1_000;
/// Interval between load reports of an engine.
const REPORT_EVERY: RunMicros = SECOND;
/// Delay of a load report until it reaches the entries.
const REPORT_LAG: RunMicros = SECOND / 2;
/// Delay of a load report under the load lag fault.
const REPORT_LAG_FAULT: RunMicros = 5 * SECOND;
/// Interval at which engines publish cache events.
const NEWS_EVERY: RunMicros = SECOND / 4;
/// Delay of a cache event until it reaches the entries.
const NEWS_LAG: RunMicros = SECOND;
/// Interval between crashes under the crash fault.
const CRASH_EVERY: RunMicros = 20 * SECOND;
/// Time from a crash to the engine's restart.
const DOWN: RunMicros = 2 * SECOND;
/// Initial part of a run that is left out of the metrics.
const WARM_UP: RunMicros = 15 * SECOND;
/// Seed of the random number generator of faults.
const FAULT_SEED: u64 = 77;
/// Maximum number of attempts per request.
const ATTEMPTS: usize = 3;
/// Retry budget of a host, as a percentage of its first attempts.
const RETRY_PERCENT: u32 = 10;

/// Simulation of one policy under one fault plan.
pub struct RunWorld<'a, D, F> {
    /// Simulated deployment.
    shape: &'a DeploymentShape,
    /// Faults to inject.
    faults: FaultPlan,
    /// Requests to send, in order of arrival.
    requests: &'a [RunRequest],
    /// Progress of each request.
    progress: Vec<RequestProgress>,
    /// Policy of each host.
    deciders: Vec<D>,
    /// Creates the policy of a host that starts or restarts.
    start: F,
    /// Retry budget of each host.
    budgets: Vec<AttemptBudget>,
    engines: Vec<EngineModel>,
    /// Whether each engine lost a cache event since the last published one.
    gaps: Vec<bool>,
    /// Pending events.
    events: EventQueue<RunEvent>,
    /// Random number generator of faults.
    rng: StdRng,
    /// Metrics so far.
    figures: RunFigures,
}

impl<'a, D: Decider, F: Fn(usize, RunMicros) -> D> RunWorld<'a, D, F> {
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
            gaps: vec![false; engines],
            events: EventQueue::default(),
            rng: StdRng::seed_from_u64(FAULT_SEED),
            figures: RunFigures::new(shape.account_shares.len()),
        }
    }

    /// Processes all events and returns the metrics.
    pub fn run(mut self) -> RunFigures {
        self.schedule();
        while let Some((now, event)) = self.events.pop() {
            self.take(event, now);
        }
        self.figures
    }

    /// Schedules arrivals, periodic events and faults.
    fn schedule(&mut self) {
        for (number, request) in self.requests.iter().enumerate() {
            self.events.push(request.at, RunEvent::Arrive(number));
        }
        let end = self.shape.length.as_micros() as RunMicros;
        let every = |step: RunMicros| (1..=end / step).map(move |count| count * step);
        for at in every(REPORT_EVERY) {
            self.events.push(at, RunEvent::Report);
        }
        for at in every(NEWS_EVERY) {
            self.events.push(at, RunEvent::Publish);
        }
        if self.faults.crashes {
            for (count, at) in every(CRASH_EVERY).enumerate() {
                let engine = (count * 5) % self.engines.len();
                self.events.push(at, RunEvent::Crash(engine));
                self.events.push(at + DOWN, RunEvent::Start(engine));
            }
        }
        if self.faults.herd_restart {
            self.events.push(end / 2, RunEvent::Restart);
        }
    }

    fn take(&mut self, event: RunEvent, now: RunMicros) {
        match event {
            RunEvent::Arrive(request) => {
                self.budgets[self.requests[request].host].record_first_attempt();
                self.send(request, now);
            }
            RunEvent::Reach { engine, job } => self.reach(engine, job, now),
            RunEvent::Prefilled {
                engine,
                starts,
                cached_tokens,
                job,
            } => self.prefilled(engine, starts, cached_tokens, job, now),
            RunEvent::Ended { starts, head, job } => self.ended(starts, head, &job, now),
            RunEvent::Heard {
                request,
                attempt,
                head,
            } => self.heard(request, attempt, &head, now),
            RunEvent::FirstToken {
                request,
                attempt,
                head,
            } => self.first_token(request, attempt, &head, now),
            RunEvent::Answered {
                request,
                attempt,
                head,
            } => self.answered(request, attempt, &head, now),
            RunEvent::Failed {
                request,
                attempt,
                engine,
            } => self.failed(request, attempt, engine, now),
            RunEvent::Report => self.report(now),
            RunEvent::Reported(report) => {
                for decider in &mut self.deciders {
                    decider.report(&report, now);
                }
            }
            RunEvent::Publish => self.publish(now),
            RunEvent::News(news) => {
                for decider in &mut self.deciders {
                    decider.news(&news, now);
                }
            }
            RunEvent::Crash(engine) => self.crash(engine, now),
            RunEvent::Start(engine) => self.engines[engine].up = true,
            RunEvent::Restart => self.restart(now),
        }
    }

    /// Sends a request to the engine that its host's policy chooses, or refuses it.
    fn send(&mut self, number: usize, now: RunMicros) {
        let request = &self.requests[number];
        let ask = DecisionAsk {
            number,
            request,
            exclude: &self.progress[number].failed,
            now,
        };
        let Some(engine) = self.deciders[request.host].place(&ask, &self.engines) else {
            self.refuse(number);
            return;
        };
        let progress = &mut self.progress[number];
        progress.attempts += 1;
        progress.forgotten = false;
        let job = EngineJob {
            request: number,
            attempt: progress.attempts,
            chain: request.chain.clone(),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
        };
        let at = now + self.distance(request.host, engine);
        self.events.push(at, RunEvent::Reach { engine, job });
    }

    /// Ends a request without an answer, and counts it unless it arrived during the warm-up.
    fn refuse(&mut self, number: usize) {
        self.progress[number].ended = true;
        if self.requests[number].at >= WARM_UP {
            self.figures.refused += 1;
        }
    }

    /// Queues a request at an engine, or fails the attempt if the engine is down.
    fn reach(&mut self, engine: usize, job: EngineJob, now: RunMicros) {
        if !self.engines[engine].up {
            self.fail(engine, &job, now);
            return;
        }
        let head = AnswerHead {
            engine,
            boot_id: self.engines[engine].boot_id(),
            queued: self.engines[engine].queued(),
            cached_tokens: 0,
        };
        let there = now + self.distance(self.requests[job.request].host, engine);
        let heard = RunEvent::Heard {
            request: job.request,
            attempt: job.attempt,
            head,
        };
        self.events.push(there, heard);
        self.engines[engine].push(job);
        self.advance(engine, now);
    }

    /// Passes the head of an answer to the host's policy.
    fn heard(&mut self, number: usize, attempt: u32, head: &AnswerHead, now: RunMicros) {
        let progress = &self.progress[number];
        if attempt == progress.attempts && !progress.ended && !progress.forgotten {
            self.deciders[self.requests[number].host].heard(number, head, now);
        }
    }

    /// Starts the next prefill of an engine, and counts its tokens.
    fn advance(&mut self, engine: usize, now: RunMicros) {
        let Some(prefill) = self.engines[engine].start_prefill(now) else {
            return;
        };
        self.count_prefill(engine, &prefill.job, prefill.cached_tokens, now);
        let event = RunEvent::Prefilled {
            engine,
            starts: self.engines[engine].starts,
            cached_tokens: prefill.cached_tokens,
            job: prefill.job,
        };
        self.events.push(now + prefill.takes, event);
    }

    /// Counts cached tokens, and recomputed ones that another engine had cached.
    fn count_prefill(&mut self, engine: usize, job: &EngineJob, cached: u64, now: RunMicros) {
        if now < WARM_UP {
            return;
        }
        let others = self.engines.iter().enumerate();
        let held = others
            .filter(|(number, other)| *number != engine && other.up)
            .map(|(_, other)| other.cached_tokens(&job.chain, now))
            .max()
            .unwrap_or(0);
        self.figures.prompt_tokens += job.prompt_tokens;
        self.figures.cached_tokens += cached;
        self.figures.wasted_tokens += held.saturating_sub(cached);
    }

    /// Completes a prefill and sends the first token, unless the engine crashed in the meantime.
    fn prefilled(
        &mut self,
        engine: usize,
        starts: u32,
        cached_tokens: u64,
        job: EngineJob,
        now: RunMicros,
    ) {
        let model = &mut self.engines[engine];
        if model.starts != starts {
            return;
        }
        let Some(rest) = model.end_prefill(now) else {
            return;
        };
        let head = AnswerHead {
            engine,
            boot_id: model.boot_id(),
            queued: model.queued(),
            cached_tokens,
        };
        let host = self.requests[job.request].host;
        let there = now + self.distance(host, engine);
        let first = RunEvent::FirstToken {
            request: job.request,
            attempt: job.attempt,
            head: head.clone(),
        };
        self.events.push(there, first);
        self.events
            .push(now + rest, RunEvent::Ended { starts, head, job });
        self.advance(engine, now);
    }

    /// Completes an answer and sends its end, unless the engine crashed in the meantime.
    fn ended(&mut self, starts: u32, mut head: AnswerHead, job: &EngineJob, now: RunMicros) {
        let model = &mut self.engines[head.engine];
        if model.starts != starts {
            return;
        }
        model.end_answer(job.request, job.attempt);
        head.queued = model.queued();
        let engine = head.engine;
        let there = now + self.distance(self.requests[job.request].host, engine);
        let event = RunEvent::Answered {
            request: job.request,
            attempt: job.attempt,
            head,
        };
        self.events.push(there, event);
        self.advance(engine, now);
    }

    /// Records the first token of a request at its host.
    fn first_token(&mut self, number: usize, attempt: u32, head: &AnswerHead, now: RunMicros) {
        let request = &self.requests[number];
        let progress = &mut self.progress[number];
        if attempt != progress.attempts || progress.ended {
            return;
        }
        if !progress.started && request.at >= WARM_UP {
            self.figures.record(request.account, now - request.at);
        }
        progress.started = true;
        if !progress.forgotten {
            self.deciders[request.host].first_token(number, head, now);
        }
    }

    /// Ends a request whose answer is complete.
    fn answered(&mut self, number: usize, attempt: u32, head: &AnswerHead, now: RunMicros) {
        let request = &self.requests[number];
        let progress = &mut self.progress[number];
        if attempt != progress.attempts || progress.ended {
            return;
        }
        progress.ended = true;
        if !progress.forgotten {
            self.deciders[request.host].answered(number, request, head, now);
        }
    }

    /// Notifies the host of a failed attempt, after the network delay.
    fn fail(&mut self, engine: usize, job: &EngineJob, now: RunMicros) {
        let there = now + self.distance(self.requests[job.request].host, engine);
        let event = RunEvent::Failed {
            request: job.request,
            attempt: job.attempt,
            engine,
        };
        self.events.push(there, event);
    }

    /// Retries a failed attempt at another engine, within the attempt limit and the retry budget.
    fn failed(&mut self, number: usize, attempt: u32, engine: usize, now: RunMicros) {
        let host = self.requests[number].host;
        let progress = &mut self.progress[number];
        if attempt != progress.attempts || progress.ended {
            return;
        }
        if !progress.forgotten {
            self.deciders[host].failed(number, engine, now);
        }
        progress.failed.push(engine);
        if progress.failed.len() >= ATTEMPTS || !self.budgets[host].try_acquire() {
            self.refuse(number);
            return;
        }
        self.send(number, now);
    }

    /// Sends the load reports of all running engines.
    fn report(&mut self, now: RunMicros) {
        let age = match self.faults.load_lag {
            true => REPORT_LAG_FAULT,
            false => REPORT_LAG,
        };
        for (number, engine) in self.engines.iter().enumerate() {
            if engine.up {
                let report = EngineReport {
                    engine: number,
                    boot_id: engine.boot_id(),
                    running: engine.running(),
                    queued: engine.queued(),
                    age,
                };
                self.events.push(now + age, RunEvent::Reported(report));
            }
        }
    }

    /// Publishes pending cache events, some of which are lost under the event loss fault.
    fn publish(&mut self, now: RunMicros) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let boot_id = engine.boot_id();
            for notice in engine.take_notices() {
                if self.rng.random_bool(self.faults.event_loss) {
                    self.gaps[number] = true;
                    continue;
                }
                let news = PrefixNews {
                    endpoint: format!("e{number}").into(),
                    boot_id: boot_id.clone(),
                    kind: notice.kind,
                    blocks: notice.blocks,
                    gap: std::mem::take(&mut self.gaps[number]),
                };
                self.events.push(now + NEWS_LAG, RunEvent::News(news));
            }
        }
    }

    /// Crashes an engine and fails its work.
    fn crash(&mut self, engine: usize, now: RunMicros) {
        for job in self.engines[engine].crash() {
            self.fail(engine, &job, now);
        }
    }

    /// Restarts all entries with empty state; requests in flight continue.
    fn restart(&mut self, now: RunMicros) {
        for host in 0..self.deciders.len() {
            self.deciders[host] = (self.start)(host, now);
            self.budgets[host] = AttemptBudget::new(RETRY_PERCENT);
        }
        for progress in &mut self.progress {
            progress.forgotten = progress.attempts > 0;
        }
    }

    /// One-way network delay between a host and an engine.
    fn distance(&self, host: usize, engine: usize) -> RunMicros {
        let same = self.shape.host_domains[host] == self.shape.endpoint_domains[engine];
        match same {
            true => NEAR,
            false => FAR,
        }
    }
}
