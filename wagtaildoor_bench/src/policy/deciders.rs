//! Placement policies under comparison, behind one trait.

use std::{
    collections::HashMap,
    time::{
        Duration,
        Instant, //
    },
};

use wagtaildoor::{
    error::ErrorKind,
    ids::{
        BootId, //
        EndpointId,
    },
    placement::{
        PlacementPolicy,
        PlacementQuery, //
    },
    routing_table::{
        DispatchTicket,
        RoutingTable, //
    },
    schema::{
        EndpointNews,
        EndpointState,
        EndpointView,
        EngineDone,
        PrefixNews, //
    },
};

use super::{
    deployment::DeploymentShape,
    engine_model::EngineModel,
    workload::{
        self,
        RunRequest,
        SimMicros,
        SECOND, //
    },
};

/// Pool of all simulated engines.
const POOL: &str = "model";
/// Weights version of all simulated engines.
const WEIGHTS: u64 = 1;

/// Input of a placement decision.
#[derive(Clone, Copy, Debug)]
pub struct DecisionInput<'a> {
    /// Index of the request.
    pub number: usize,
    /// Request to place.
    pub request: &'a RunRequest,
    /// Engines that have already failed this request.
    pub exclude: &'a [usize],
    /// Current simulation time.
    pub now: SimMicros,
}

/// Engine state that is sent along with an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Index of the engine.
    pub engine: usize,
    /// Identifies the engine's start.
    pub boot_id: BootId,
    /// Number of requests queued at the engine.
    pub queued: u32,
    /// Prompt tokens found in the cache; 0 while the request is still queued.
    pub cached_tokens: u64,
}

/// Load report of an engine.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Index of the engine.
    pub engine: usize,
    /// Identifies the engine's start.
    pub boot_id: BootId,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests queued.
    pub queued: u32,
    /// Age of the report on arrival, in microseconds.
    pub age: SimMicros,
}

/// Placement policy of one entry host.
pub trait Decider {
    /// Chooses an engine and counts the request as sent; `None` refuses the request.
    fn place(&mut self, input: &DecisionInput, engines: &[EngineModel]) -> Option<usize>;

    /// Handles the head of an answer, which is sent when the engine queues the request.
    fn on_head(&mut self, _number: usize, _head: &AnswerHead, _now: SimMicros) {}

    /// Handles the first token of an answer.
    fn on_first_token(&mut self, _number: usize, _head: &AnswerHead, _now: SimMicros) {}

    /// Handles the end of an answer.
    fn on_completion(
        &mut self,
        number: usize,
        request: &RunRequest,
        head: &AnswerHead,
        now: SimMicros,
    );

    /// Handles the failure of an attempt.
    fn on_failure(&mut self, number: usize, engine: usize, now: SimMicros);

    /// Handles a load report.
    fn on_report(&mut self, _report: &EngineReport, _now: SimMicros) {}

    /// Handles a cache event.
    fn on_cache_event(&mut self, _news: &PrefixNews, _now: SimMicros) {}
}

/// Wagtaildoor's own policy, which places requests with a routing table.
pub struct TableDecider {
    table: RoutingTable,
    /// Tickets of the requests in flight, by request index.
    tickets: HashMap<usize, DispatchTicket>,
    /// Initial endpoint views, by engine index.
    views: Vec<EndpointView>,
    /// Failure domain of this host.
    domain: &'static str,
    /// Time within which a request needs its first token.
    deadline: Duration,
    /// Instant that corresponds to simulation time 0.
    epoch: Instant,
}

impl TableDecider {
    /// Creates a host's routing table, which knows all endpoints but none of their caches.
    pub fn new(
        shape: &DeploymentShape,
        policy: PlacementPolicy,
        host: usize,
        seed: u64,
        epoch: Instant,
        now: SimMicros,
    ) -> Self {
        let start = epoch + Duration::from_micros(now);
        let table = RoutingTable::with_seed(policy, seed, start);
        let views: Vec<EndpointView> = (0..shape.endpoint_domains.len())
            .map(|engine| initial_view(shape, engine))
            .collect();
        table.replace_endpoints(&views, start);
        table.set_other_host_count(shape.host_domains.len() as u32 - 1);
        Self {
            table,
            tickets: HashMap::new(),
            views,
            domain: shape.domains[shape.host_domains[host]],
            deadline: shape.deadline,
            epoch,
        }
    }

    /// Converts a simulation time to an instant on the table's clock.
    fn instant(&self, now: SimMicros) -> Instant {
        self.epoch + Duration::from_micros(now)
    }

    /// Converts the engine state sent with an answer for the routing table.
    fn endpoint_news(&self, head: &AnswerHead) -> EndpointNews {
        EndpointNews {
            endpoint: self.views[head.engine].id.clone(),
            boot_id: head.boot_id.clone(),
            weights_version: WEIGHTS,
            queued: head.queued,
        }
    }
}

impl Decider for TableDecider {
    fn place(&mut self, input: &DecisionInput, _engines: &[EngineModel]) -> Option<usize> {
        let now = self.instant(input.now);
        let exclude: Vec<EndpointId> = input
            .exclude
            .iter()
            .map(|&engine| self.views[engine].id.clone())
            .collect();
        let query = PlacementQuery {
            pool: POOL,
            domain: self.domain,
            weights_version: WEIGHTS,
            levels: &input.request.levels,
            prompt_tokens: input.request.prompt_tokens,
            deadline: self.instant(input.request.arrival) + self.deadline,
            exclude: &exclude,
        };
        let choice = self.table.place(&query, now).ok()?;
        let ticket = self.table.record_dispatch(&choice, now);
        self.tickets.insert(input.number, ticket);
        self.views
            .iter()
            .position(|view| view.id == choice.endpoint)
    }

    fn on_head(&mut self, number: usize, head: &AnswerHead, now: SimMicros) {
        let now = self.instant(now);
        let news = self.endpoint_news(head);
        if let Some(ticket) = self.tickets.get(&number) {
            self.table.record_response_head(ticket, &news, now);
        }
    }

    fn on_first_token(&mut self, number: usize, _head: &AnswerHead, now: SimMicros) {
        let now = self.instant(now);
        if let Some(ticket) = self.tickets.get_mut(&number) {
            self.table.record_first_token(ticket, now);
        }
    }

    fn on_completion(
        &mut self,
        number: usize,
        request: &RunRequest,
        head: &AnswerHead,
        now: SimMicros,
    ) {
        let now = self.instant(now);
        let Some(ticket) = self.tickets.remove(&number) else {
            return;
        };
        let done = EngineDone {
            boot_id: head.boot_id.clone(),
            weights_version: WEIGHTS,
            chunks: request.answer_tokens,
            prompt_tokens: request.prompt_tokens,
            cached_tokens: head.cached_tokens,
            queued: head.queued,
            level_blocks: request.level_blocks.clone(),
        };
        self.table
            .record_completion(ticket, &done, &request.levels, now);
    }

    fn on_failure(&mut self, number: usize, _engine: usize, now: SimMicros) {
        let now = self.instant(now);
        if let Some(ticket) = self.tickets.remove(&number) {
            self.table
                .record_failure(ticket, ErrorKind::EndpointFailed, now);
        }
    }

    fn on_report(&mut self, report: &EngineReport, now: SimMicros) {
        let view = EndpointView {
            boot_id: report.boot_id.clone(),
            running: report.running,
            queued: report.queued,
            report_age_ms: report.age / 1_000,
            ..self.views[report.engine].clone()
        };
        self.table.update_endpoints_at(&[view], self.instant(now));
    }

    fn on_cache_event(&mut self, news: &PrefixNews, now: SimMicros) {
        self.table.apply_cache_event_at(news, self.instant(now));
    }
}

/// Builds the initial view of an engine, as a keeper reports it before any load is known.
fn initial_view(shape: &DeploymentShape, engine: usize) -> EndpointView {
    EndpointView {
        id: format!("e{engine}").into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: POOL.into(),
        domain: shape.domains[shape.endpoint_domains[engine]].into(),
        state: EndpointState::Live,
        boot_id: "".into(),
        weights_version: WEIGHTS,
        running: 0,
        queued: 0,
        report_age_ms: 0,
    }
}

/// Policy that cycles through the engines.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// Counter whose value modulo the number of engines is the next engine.
    next: usize,
}

impl RoundRobin {
    /// Creates a policy that starts with engine `next`.
    pub fn starting_at(next: usize) -> Self {
        Self { next }
    }
}

impl Decider for RoundRobin {
    fn place(&mut self, input: &DecisionInput, engines: &[EngineModel]) -> Option<usize> {
        for _ in 0..engines.len() {
            let engine = self.next % engines.len();
            self.next += 1;
            if !input.exclude.contains(&engine) {
                return Some(engine);
            }
        }
        None
    }

    fn on_completion(&mut self, _: usize, _: &RunRequest, _: &AnswerHead, _: SimMicros) {}

    fn on_failure(&mut self, _: usize, _: usize, _: SimMicros) {}
}

/// Policy that chooses the least loaded engine, by load reports and the host's own requests.
#[derive(Debug)]
pub struct LeastLoad {
    /// Requests in the latest load report, by engine.
    reported: Vec<u32>,
    /// This host's requests in flight, by engine.
    in_flight: Vec<u32>,
    /// Rotates the engines, so that ties are broken in turn.
    next: usize,
}

impl LeastLoad {
    /// Creates a policy for `engines` engines; ties are broken from engine `next` on.
    pub fn new(engines: usize, next: usize) -> Self {
        Self {
            reported: vec![0; engines],
            in_flight: vec![0; engines],
            next,
        }
    }
}

impl Decider for LeastLoad {
    fn place(&mut self, input: &DecisionInput, engines: &[EngineModel]) -> Option<usize> {
        self.next += 1;
        let count = engines.len();
        let rotated = (0..count).map(|place| (place + self.next) % count);
        let engine = rotated
            .filter(|engine| !input.exclude.contains(engine))
            .min_by_key(|&engine| {
                self.reported[engine].max(self.in_flight[engine]) + self.in_flight[engine]
            })?;
        self.in_flight[engine] += 1;
        Some(engine)
    }

    fn on_completion(&mut self, _: usize, _: &RunRequest, head: &AnswerHead, _: SimMicros) {
        self.in_flight[head.engine] = self.in_flight[head.engine].saturating_sub(1);
    }

    fn on_failure(&mut self, _: usize, engine: usize, _: SimMicros) {
        self.in_flight[engine] = self.in_flight[engine].saturating_sub(1);
    }

    fn on_report(&mut self, report: &EngineReport, _: SimMicros) {
        self.reported[report.engine] = report.running + report.queued;
    }
}

/// Policy that chooses the engine by rendezvous hashing of all shared prompt levels.
#[derive(Debug, Default)]
pub struct PrefixHash;

impl Decider for PrefixHash {
    fn place(&mut self, input: &DecisionInput, engines: &[EngineModel]) -> Option<usize> {
        let prefix = input.request.levels.last().map_or(0, |level| level.id);
        (0..engines.len())
            .filter(|engine| !input.exclude.contains(engine))
            .max_by_key(|&engine| workload::mix_bits(prefix ^ workload::mix_bits(engine as u64)))
    }

    fn on_completion(&mut self, _: usize, _: &RunRequest, _: &AnswerHead, _: SimMicros) {}

    fn on_failure(&mut self, _: usize, _: usize, _: SimMicros) {}
}

/// Oracle that uses the own policy's score with exact knowledge of every cache and queue.
#[derive(Debug)]
pub struct OracleBound {
    /// Policy whose score is used.
    pub policy: PlacementPolicy,
    /// Prefill throughput of an engine, in tokens per second.
    pub prefill_tokens_per_s: f64,
}

impl Decider for OracleBound {
    fn place(&mut self, input: &DecisionInput, engines: &[EngineModel]) -> Option<usize> {
        let scores = engines.iter().enumerate().filter_map(|(number, engine)| {
            if !engine.is_up || input.exclude.contains(&number) {
                return None;
            }
            let (wait, cached) = engine.predict_prefill(&input.request.chain, input.now);
            let missed = input.request.prompt_tokens.saturating_sub(cached) as f64;
            let prefill_s = missed / self.prefill_tokens_per_s;
            let wait_s = wait as f64 / SECOND as f64;
            Some((self.policy.score(wait_s, prefill_s), number))
        });
        let best = scores.min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, number)| number)
    }

    fn on_completion(&mut self, _: usize, _: &RunRequest, _: &AnswerHead, _: SimMicros) {}

    fn on_failure(&mut self, _: usize, _: usize, _: SimMicros) {}
}
