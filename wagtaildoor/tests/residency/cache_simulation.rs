//! Two fake engines, a routing table, and a record of every block the engines ever cached.

use std::{
    collections::{
        HashMap,
        HashSet,
        VecDeque, //
    },
    time::Duration,
};

use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::{
    error::ErrorKind,
    ids::{
        BootId,
        WeightsVersion, //
    },
    placement::{
        PlacementPolicy,
        PlacementQuery, //
    },
    prefix::{
        self,
        LevelPrefix, //
    },
    residency::HoldingState,
    routing_table::{
        DispatchTicket,
        RoutingTable, //
    },
    schema::{
        CacheEventKind,
        EndpointState,
        EndpointView,
        EngineDone,
        EngineOrder,
        EngineRequest,
        OrderKind,
        PrefixNews, //
    },
};
use wagtaildoor_fakes::fake_engine::{
    engine_faults::EngineFaults,
    engine_run::EngineWork,
    prompt_blocks::{
        self,
        BlockChain, //
    },
    EngineProfile,
    FakeEngine, //
};

use super::CacheStep;

/// Accounts, which all use the same texts.
const ACCOUNTS: [&str; 2] = ["school", "hotel"];
/// Documents, used as the inner level.
const DOCUMENTS: [&str; 3] = ["johor", "penang", "kedah"];
const ENGINES: usize = 2;
/// Highest weights version that an engine loads.
const MAX_WEIGHTS_VERSION: WeightsVersion = 4;
/// Cache size of an engine in blocks, too small for all prompts.
const CACHE_BLOCKS: usize = 20;

/// Identifies a prompt; ids and blocks depend on account and weights.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PromptKey {
    account: usize,
    document: usize,
    weights_version: WeightsVersion,
}

/// A prompt with its levels and blocks.
#[derive(Clone, Debug)]
struct KnownPrompt {
    /// Levels with the ids that the router uses.
    levels: Vec<LevelPrefix>,
    /// Blocks of the whole prompt.
    chain: BlockChain,
    /// Last whole block of each level.
    level_blocks: Vec<u64>,
}

/// A response that was not yet delivered to the table.
struct HeldResponse {
    ticket: DispatchTicket,
    done: EngineDone,
    key: PromptKey,
}

/// Reads the cache events of one engine, as a keeper does.
#[derive(Debug, Default)]
struct EventReader {
    /// Start of the engine whose events are read.
    boot_id: BootId,
    /// Next sequence number to read.
    next: u64,
}

/// Simulation of engines and a routing table.
pub struct CacheSimulation {
    engines: Vec<FakeEngine>,
    /// Event readers, one for each engine.
    readers: Vec<EventReader>,
    /// Table under test.
    table: RoutingTable,
    prompts: HashMap<PromptKey, KnownPrompt>,
    /// Every block that each start of an engine has cached.
    ever_cached: HashMap<BootId, HashSet<u64>>,
    /// Boot ids of each engine, oldest first.
    boots: Vec<Vec<BootId>>,
    /// Index of the newest start of each engine that was reported to the table.
    newest_reported: Vec<usize>,
    /// Responses held back.
    held_responses: VecDeque<HeldResponse>,
    /// Views held back, with the engine and the time they were taken.
    held_views: VecDeque<(usize, EndpointView, Instant)>,
    /// Events read but not delivered.
    undelivered_events: VecDeque<PrefixNews>,
    /// Whether nothing was lost or late so far.
    is_exact: bool,
}

impl CacheSimulation {
    /// Creates engines that lose `loss_percent` of their events.
    pub fn new(loss_percent: u32) -> Self {
        let engines: Vec<FakeEngine> = (0..ENGINES)
            .map(|index| engine(index, loss_percent))
            .collect();
        let start = Instant::now().into_std();
        let policy = PlacementPolicy::default();
        let mut simulation = Self {
            readers: (0..ENGINES).map(|_| EventReader::default()).collect(),
            table: RoutingTable::with_seed(policy, 1, start),
            prompts: all_prompts(),
            ever_cached: HashMap::new(),
            boots: engines
                .iter()
                .map(|engine| vec![engine.boot_id()])
                .collect(),
            newest_reported: vec![0; ENGINES],
            held_responses: VecDeque::new(),
            held_views: VecDeque::new(),
            undelivered_events: VecDeque::new(),
            is_exact: loss_percent == 0,
            engines,
        };
        for index in 0..ENGINES {
            simulation.report_view(index);
        }
        simulation
    }

    /// Runs one step and checks all holders after it.
    pub async fn run_step(&mut self, step: CacheStep) -> Result<(), String> {
        match step {
            CacheStep::Send {
                account,
                document,
                late,
            } => self.send(account, document, late).await,
            CacheStep::SendLost { account, document } => self.send_lost(account, document).await,
            CacheStep::DeliverHeldResponse => self.deliver_held_response(),
            CacheStep::Crash(index) => self.crash(usize::from(index) % ENGINES),
            CacheStep::Reload(index) => self.reload(usize::from(index) % ENGINES).await,
            CacheStep::ReportView(index) => self.report_view(usize::from(index) % ENGINES),
            CacheStep::HoldView(index) => self.hold_view(usize::from(index) % ENGINES),
            CacheStep::ReportHeldView => self.report_held_view(),
            CacheStep::ReadEvents(index) => self.read_events(usize::from(index) % ENGINES),
            CacheStep::DeliverEvents => self.deliver_events(),
            CacheStep::Relist(index) => self.relist(usize::from(index) % ENGINES),
            CacheStep::Advance(tenths) => {
                time::sleep(Duration::from_millis(100 * u64::from(tenths))).await;
            }
            CacheStep::Settle => self.settle(),
        }
        self.record_cache_contents();
        self.check_holders()?;
        match step {
            CacheStep::Settle if self.is_exact => self.check_exact(),
            _ => Ok(()),
        }
    }

    /// Sends a request for the weights that the first engine serves.
    async fn send(&mut self, account: u8, document: u8, late: bool) {
        let Some((index, response)) = self.dispatch(account, document).await else {
            return;
        };
        if late {
            self.is_exact = false;
            self.held_responses.push_back(response);
        } else {
            self.deliver_response(index, response);
        }
    }

    /// Sends a request whose response is lost.
    async fn send_lost(&mut self, account: u8, document: u8) {
        if let Some((_, response)) = self.dispatch(account, document).await {
            self.table
                .record_failure(response.ticket, ErrorKind::EndpointFailed, now());
        }
    }

    /// Runs a request on the engine that the table chooses.
    async fn dispatch(&mut self, account: u8, document: u8) -> Option<(usize, HeldResponse)> {
        let key = PromptKey {
            account: usize::from(account) % ACCOUNTS.len(),
            document: usize::from(document) % DOCUMENTS.len(),
            weights_version: self.engines[0].state().weights_version,
        };
        let prompt = self.prompts[&key].clone();
        let query = PlacementQuery {
            pool: "drafter",
            domain: "kl-a",
            weights_version: key.weights_version,
            levels: &prompt.levels,
            prompt_tokens: prompt.chain.len() as u64 * prompt_blocks::BLOCK_TOKENS,
            deadline: now() + Duration::from_secs(3_600),
            exclude: &[],
        };
        let choice = self.table.place(&query, now()).ok()?;
        let ticket = self.table.record_dispatch(&choice, now());
        let index = usize::from(&*choice.endpoint != "d0");
        let work = EngineWork {
            chain: prompt.chain.clone(),
            prompt_tokens: query.prompt_tokens,
            resumed_tokens: 0,
            answer_tokens: 1,
            priority: 0,
            weights_version: key.weights_version,
        };
        let Ok(receipt) = self.engines[index].run(&work).await else {
            self.table
                .record_failure(ticket, ErrorKind::EndpointRefused, now());
            return None;
        };
        self.record_cache_contents();
        let done = EngineDone {
            boot_id: receipt.boot_id,
            weights_version: key.weights_version,
            chunks: 1,
            prompt_tokens: query.prompt_tokens,
            cached_tokens: receipt.cached_tokens,
            queued: receipt.queued,
            level_blocks: prompt.level_blocks.clone(),
        };
        Some((index, HeldResponse { ticket, done, key }))
    }

    /// Delivers a response to the table.
    fn deliver_response(&mut self, index: usize, response: HeldResponse) {
        let levels = self.prompts[&response.key].levels.clone();
        self.record_reported(index, &response.done.boot_id);
        self.table
            .record_completion(response.ticket, &response.done, &levels, now());
    }

    /// Delivers the oldest response that was held back.
    fn deliver_held_response(&mut self) {
        let Some(response) = self.held_responses.pop_front() else {
            return;
        };
        let levels = self.prompts[&response.key].levels.clone();
        // The start in a late response may be older than the one the table knows, so
        // `newest_reported` is not updated.
        self.table
            .record_completion(response.ticket, &response.done, &levels, now());
    }

    /// Restarts an engine with an empty cache.
    fn crash(&mut self, index: usize) {
        self.engines[index].crash();
        self.boots[index].push(self.engines[index].boot_id());
    }

    /// Loads the next weights into an engine and waits until it serves them.
    async fn reload(&mut self, index: usize) {
        let next = self.engines[index].state().weights_version + 1;
        if next > MAX_WEIGHTS_VERSION {
            return;
        }
        let order = EngineOrder {
            fencing: 1,
            kind: OrderKind::LoadWeights,
            weights_version: next,
            name: "".into(),
            limit_ms: 60_000,
        };
        self.engines[index].order(&order).expect("an order");
        while self.engines[index].state().weights_version != next {
            time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// Reports the current view of an engine to the table.
    fn report_view(&mut self, index: usize) {
        let view = self.view(index);
        self.record_reported(index, &view.boot_id);
        self.table.update_endpoints_at(&[view], now());
    }

    /// Takes the current view of an engine, to be reported later.
    fn hold_view(&mut self, index: usize) {
        self.held_views
            .push_back((index, self.view(index), Instant::now()));
    }

    /// Reports the oldest held view with its age.
    fn report_held_view(&mut self) {
        if let Some((_, mut view, at)) = self.held_views.pop_front() {
            let age = Instant::now().saturating_duration_since(at);
            view.report_age_ms = u64::try_from(age.as_millis()).expect("a short age");
            self.table.update_endpoints_at(&[view], now());
        }
    }

    /// Reads an engine's events and detects gaps.
    fn read_events(&mut self, index: usize) {
        let reader = &mut self.readers[index];
        let mut page = self.engines[index].cache_events(reader.next);
        if page.boot_id != reader.boot_id {
            reader.boot_id = page.boot_id;
            reader.next = 1;
            page = self.engines[index].cache_events(1);
        }
        let mut push_event = |kind, blocks, gap| {
            self.undelivered_events.push_back(PrefixNews {
                endpoint: self.engines[index].profile().id.clone(),
                boot_id: reader.boot_id.clone(),
                kind,
                blocks,
                gap,
            });
        };
        for event in page.events {
            push_event(event.kind, event.blocks, event.sequence > reader.next);
            reader.next = event.sequence + 1;
        }
        if page.next > reader.next {
            push_event(CacheEventKind::Stored, Vec::new(), true);
            reader.next = page.next;
        }
    }

    /// Delivers the events that were read.
    fn deliver_events(&mut self) {
        while let Some(event) = self.undelivered_events.pop_front() {
            self.table.apply_cache_event_at(&event, now());
        }
    }

    /// Removes an endpoint from the list and adds it again.
    fn relist(&mut self, index: usize) {
        let others: Vec<EndpointView> = (0..ENGINES)
            .filter(|&other| other != index)
            .map(|other| self.view(other))
            .collect();
        self.table.replace_endpoints(&others, now());
        self.report_view(index);
    }

    /// Reports all views and events.
    fn settle(&mut self) {
        for index in 0..ENGINES {
            self.report_view(index);
            self.read_events(index);
        }
        self.deliver_events();
    }

    /// Builds the view that a keeper would report of an engine.
    fn view(&self, index: usize) -> EndpointView {
        let engine = &self.engines[index];
        let report = engine.load_report();
        EndpointView {
            id: engine.profile().id.clone(),
            address: "127.0.0.1:9".parse().expect("an address"),
            pool: "drafter".into(),
            domain: "kl-a".into(),
            state: EndpointState::Live,
            boot_id: report.boot_id,
            weights_version: report.weights_version,
            running: report.running,
            queued: report.queued,
            report_age_ms: 0,
        }
    }

    /// Records that a start was reported to the table.
    fn record_reported(&mut self, index: usize, boot_id: &BootId) {
        let order = self.boots[index].iter().position(|boot| boot == boot_id);
        let order = order.expect("a known start");
        self.newest_reported[index] = self.newest_reported[index].max(order);
    }

    /// Adds the current cache contents to `ever_cached`.
    fn record_cache_contents(&mut self) {
        for engine in &self.engines {
            let blocks = self.ever_cached.entry(engine.boot_id()).or_default();
            blocks.extend(engine.cache_contents());
        }
    }

    /// Checks that no holder is of another account, an earlier start or other weights.
    fn check_holders(&self) -> Result<(), String> {
        for (key, prompt) in &self.prompts {
            for (level, &block) in prompt.levels.iter().zip(&prompt.level_blocks) {
                for holder in self.table.holders(level.id) {
                    let index = usize::from(&*holder.endpoint != "d0");
                    let holder_text = format!("{key:?} {holder:?}");
                    if holder.weights_version != key.weights_version {
                        return Err(format!("holder of other weights: {holder_text}"));
                    }
                    let order = self.boots[index]
                        .iter()
                        .position(|boot| *boot == holder.boot_id);
                    if order.is_none_or(|order| order < self.newest_reported[index]) {
                        return Err(format!("holder of an earlier start: {holder_text}"));
                    }
                    let ever_cached = self.ever_cached.get(&holder.boot_id);
                    let was_cached = ever_cached.is_some_and(|blocks| blocks.contains(&block));
                    if holder.state != HoldingState::Pending && !was_cached {
                        return Err(format!(
                            "holder of a block that was never cached: {holder_text}"
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that all confirmed holders have the block in their cache now.
    fn check_exact(&self) -> Result<(), String> {
        for (key, prompt) in &self.prompts {
            for (level, &block) in prompt.levels.iter().zip(&prompt.level_blocks) {
                for holder in self.table.holders(level.id) {
                    let index = usize::from(&*holder.endpoint != "d0");
                    let contents = self.engines[index].cache_contents();
                    let is_confirmed = holder.state == HoldingState::Confirmed;
                    if is_confirmed && !contents.contains(&block) {
                        return Err(format!(
                            "confirmed block is not in the cache: {key:?} {holder:?}"
                        ));
                    }
                }
            }
        }
        Ok(())
    }
}

/// Creates an engine with a small cache.
fn engine(index: usize, loss_percent: u32) -> FakeEngine {
    let engine = FakeEngine::new(EngineProfile {
        id: format!("d{index}").into(),
        cache_blocks: CACHE_BLOCKS,
        ..EngineProfile::default()
    });
    engine.set_faults(EngineFaults {
        event_loss_percent: loss_percent,
        ..EngineFaults::default()
    });
    engine
}

/// Builds the prompts of all accounts and documents under all weights.
fn all_prompts() -> HashMap<PromptKey, KnownPrompt> {
    let mut prompts = HashMap::new();
    for account in 0..ACCOUNTS.len() {
        for document in 0..DOCUMENTS.len() {
            for weights_version in 1..=MAX_WEIGHTS_VERSION {
                let key = PromptKey {
                    account,
                    document,
                    weights_version,
                };
                prompts.insert(key, known_prompt(key));
            }
        }
    }
    prompts
}

/// Builds a prompt from a glossary of 5 blocks and a document of 3.
fn known_prompt(key: PromptKey) -> KnownPrompt {
    let account = ACCOUNTS[key.account];
    let glossary = "words ".repeat(55);
    let document = DOCUMENTS[key.document].repeat(40);
    let prompt = format!("{glossary}{document}");
    let levels = prefix::level_prefixes(
        account,
        "drafter",
        "",
        key.weights_version,
        &[&*glossary, &*document],
    );
    let request = EngineRequest {
        request_id: "r".into(),
        attempt_id: "a".into(),
        model: "drafter".into(),
        adapter: "".into(),
        weights_version: key.weights_version,
        cache_salt: prefix::cache_salt(account),
        prompt: prompt.as_str().into(),
        levels: vec![glossary.len() as u64, prompt.len() as u64],
        max_tokens: 1,
        priority: 0,
        resume_from: 0,
    };
    let chain = prompt_blocks::chain_of(&request);
    let level_blocks = prompt_blocks::level_blocks(&request.levels, &chain);
    KnownPrompt {
        levels,
        chain,
        level_blocks,
    }
}

/// Returns the paused time in the type that the table uses.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}
