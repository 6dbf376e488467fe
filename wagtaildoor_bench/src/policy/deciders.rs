//! The policies that are compared, behind one trait.

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
        RunMicros,
        RunRequest,
        SECOND, //
    },
};

/// Pool of all engines.
const POOL: &str = "model";
/// Weights of all engines.
const WEIGHTS: u64 = 1;

/// What is decided.
#[derive(Clone, Copy, Debug)]
pub struct DecisionAsk<'a> {
    /// Number of the request.
    pub number: usize,
    /// The request.
    pub request: &'a RunRequest,
    /// Endpoints that have failed it.
    pub exclude: &'a [usize],
    /// Present time.
    pub now: RunMicros,
}

/// What an answer says of its engine.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Engine.
    pub engine: usize,
    /// Its start.
    pub boot_id: BootId,
    /// Requests waiting there.
    pub queued: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

/// A report of an engine.
#[derive(Clone, Debug)]
pub struct EngineReport {
    /// Engine.
    pub engine: usize,
    /// Its start.
    pub boot_id: BootId,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Age of the report.
    pub age: RunMicros,
}

/// A policy at one entry host.
pub trait Decider {
    /// Chooses an engine and counts the request as sent; `None` refuses it.
    fn place(&mut self, ask: &DecisionAsk, engines: &[EngineModel]) -> Option<usize>;

    /// Takes the head of an answer, which comes when the engine takes the work.
    fn heard(&mut self, _number: usize, _head: &AnswerHead, _now: RunMicros) {}

    /// Takes the first token.
    fn first_token(&mut self, _number: usize, _head: &AnswerHead, _now: RunMicros) {}

    /// Takes the end of an answer.
    fn answered(&mut self, number: usize, request: &RunRequest, head: &AnswerHead, now: RunMicros);

    /// Takes the failure of an attempt.
    fn failed(&mut self, number: usize, engine: usize, now: RunMicros);

    /// Takes a report.
    fn report(&mut self, _report: &EngineReport, _now: RunMicros) {}

    /// Takes a cache event.
    fn news(&mut self, _news: &PrefixNews, _now: RunMicros) {}
}

/// The project's own policy.
pub struct TableDecider {
    /// Table.
    table: RoutingTable,
    /// Requests on their way.
    tickets: HashMap<usize, DispatchTicket>,
    /// Failure domains of the engines, by number.
    views: Vec<EndpointView>,
    /// Own failure domain.
    domain: &'static str,
    /// Time a request has.
    deadline: Duration,
    /// Start of the clock.
    epoch: Instant,
}

impl TableDecider {
    /// A fresh table at a host.
    pub fn new(
        shape: &DeploymentShape,
        policy: PlacementPolicy,
        host: usize,
        seed: u64,
        epoch: Instant,
        now: RunMicros,
    ) -> Self {
        let start = epoch + Duration::from_micros(now);
        let table = RoutingTable::with_seed(policy, seed, start);
        let views: Vec<EndpointView> = (0..shape.endpoint_domains.len())
            .map(|engine| endpoint_view(shape, engine))
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

    /// A time on the table's clock.
    fn instant(&self, now: RunMicros) -> Instant {
        self.epoch + Duration::from_micros(now)
    }

    /// What an answer says, as the table takes it.
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
    fn place(&mut self, ask: &DecisionAsk, _engines: &[EngineModel]) -> Option<usize> {
        let now = self.instant(ask.now);
        let exclude: Vec<EndpointId> = ask
            .exclude
            .iter()
            .map(|&engine| self.views[engine].id.clone())
            .collect();
        let query = PlacementQuery {
            pool: POOL,
            domain: self.domain,
            weights_version: WEIGHTS,
            levels: &ask.request.levels,
            prompt_tokens: ask.request.prompt_tokens,
            deadline: self.instant(ask.request.at) + self.deadline,
            exclude: &exclude,
        };
        let choice = self.table.place(&query, now).ok()?;
        let ticket = self.table.record_dispatch(&choice, now);
        self.tickets.insert(ask.number, ticket);
        self.views
            .iter()
            .position(|view| view.id == choice.endpoint)
    }

    fn heard(&mut self, number: usize, head: &AnswerHead, now: RunMicros) {
        let now = self.instant(now);
        let news = self.endpoint_news(head);
        if let Some(ticket) = self.tickets.get(&number) {
            self.table.record_response_head(ticket, &news, now);
        }
    }

    fn first_token(&mut self, number: usize, _head: &AnswerHead, now: RunMicros) {
        let now = self.instant(now);
        if let Some(ticket) = self.tickets.get_mut(&number) {
            self.table.record_first_token(ticket, now);
        }
    }

    fn answered(&mut self, number: usize, request: &RunRequest, head: &AnswerHead, now: RunMicros) {
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

    fn failed(&mut self, number: usize, _engine: usize, now: RunMicros) {
        let now = self.instant(now);
        if let Some(ticket) = self.tickets.remove(&number) {
            self.table
                .record_failure(ticket, ErrorKind::EndpointFailed, now);
        }
    }

    fn report(&mut self, report: &EngineReport, now: RunMicros) {
        let view = EndpointView {
            boot_id: report.boot_id.clone(),
            running: report.running,
            queued: report.queued,
            report_age_ms: report.age / 1_000,
            ..self.views[report.engine].clone()
        };
        self.table.update_endpoints_at(&[view], self.instant(now));
    }

    fn news(&mut self, news: &PrefixNews, now: RunMicros) {
        self.table.apply_cache_event_at(news, self.instant(now));
    }
}

/// A keeper's first word of an engine.
fn endpoint_view(shape: &DeploymentShape, engine: usize) -> EndpointView {
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

/// One engine after the other.
#[derive(Debug, Default)]
pub struct RoundRobin {
    /// Next engine.
    next: usize,
}

impl RoundRobin {
    /// A policy that starts at an engine.
    pub fn starting_at(next: usize) -> Self {
        Self { next }
    }
}

impl Decider for RoundRobin {
    fn place(&mut self, ask: &DecisionAsk, engines: &[EngineModel]) -> Option<usize> {
        for _ in 0..engines.len() {
            let engine = self.next % engines.len();
            self.next += 1;
            if !ask.exclude.contains(&engine) {
                return Some(engine);
            }
        }
        None
    }

    fn answered(&mut self, _: usize, _: &RunRequest, _: &AnswerHead, _: RunMicros) {}

    fn failed(&mut self, _: usize, _: usize, _: RunMicros) {}
}

/// The engine with the least reported and own load.
#[derive(Debug)]
pub struct LeastLoad {
    /// Reported requests, by engine.
    reported: Vec<u32>,
    /// Own requests without an end, by engine.
    own: Vec<u32>,
    /// Breaks ties.
    next: usize,
}

impl LeastLoad {
    /// A policy for so many engines, which breaks ties from a place on.
    pub fn new(engines: usize, next: usize) -> Self {
        Self {
            reported: vec![0; engines],
            own: vec![0; engines],
            next,
        }
    }
}

impl Decider for LeastLoad {
    fn place(&mut self, ask: &DecisionAsk, engines: &[EngineModel]) -> Option<usize> {
        self.next += 1;
        let count = engines.len();
        let turned = (0..count).map(|place| (place + self.next) % count);
        let engine = turned
            .filter(|engine| !ask.exclude.contains(engine))
            .min_by_key(|&engine| self.reported[engine].max(self.own[engine]) + self.own[engine])?;
        self.own[engine] += 1;
        Some(engine)
    }

    fn answered(&mut self, _: usize, _: &RunRequest, head: &AnswerHead, _: RunMicros) {
        self.own[head.engine] = self.own[head.engine].saturating_sub(1);
    }

    fn failed(&mut self, _: usize, engine: usize, _: RunMicros) {
        self.own[engine] = self.own[engine].saturating_sub(1);
    }

    fn report(&mut self, report: &EngineReport, _: RunMicros) {
        self.reported[report.engine] = report.running + report.queued;
    }
}

/// The engine that the hash of all shared levels names.
#[derive(Debug, Default)]
pub struct PrefixHash;

impl Decider for PrefixHash {
    fn place(&mut self, ask: &DecisionAsk, engines: &[EngineModel]) -> Option<usize> {
        let prefix = ask.request.levels.last().map_or(0, |level| level.id);
        (0..engines.len())
            .filter(|engine| !ask.exclude.contains(engine))
            .max_by_key(|&engine| workload::mix(prefix ^ workload::mix(engine as u64)))
    }

    fn answered(&mut self, _: usize, _: &RunRequest, _: &AnswerHead, _: RunMicros) {}

    fn failed(&mut self, _: usize, _: usize, _: RunMicros) {}
}

/// The policy's own score with exact knowledge of every cache and queue at every moment.
#[derive(Debug)]
pub struct KnowingBound {
    /// Policy whose score it uses.
    pub policy: PlacementPolicy,
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_s: f64,
}

impl Decider for KnowingBound {
    fn place(&mut self, ask: &DecisionAsk, engines: &[EngineModel]) -> Option<usize> {
        let scores = engines.iter().enumerate().filter_map(|(number, engine)| {
            if !engine.up || ask.exclude.contains(&number) {
                return None;
            }
            let (wait, cached) = engine.outlook(&ask.request.chain, ask.now);
            let missed = ask.request.prompt_tokens.saturating_sub(cached) as f64;
            let prefill_s = missed / self.prefill_tokens_per_s;
            let wait_s = wait as f64 / SECOND as f64;
            Some((self.policy.score(wait_s, prefill_s), number))
        });
        let best = scores.min_by(|near, far| near.0.total_cmp(&far.0));
        best.map(|(_, number)| number)
    }

    fn answered(&mut self, _: usize, _: &RunRequest, _: &AnswerHead, _: RunMicros) {}

    fn failed(&mut self, _: usize, _: usize, _: RunMicros) {}
}
