//! Two engines, a routing table, and an oracle that knows what each engine's cache ever held.

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

/// Accounts; all use the same texts.
const ACCOUNTS: [&str; 2] = ["school", "hotel"];
/// Documents of the inner level.
const DOCUMENTS: [&str; 3] = ["johor", "penang", "kedah"];
/// Engines.
const ENGINES: usize = 2;
/// Weights that may be loaded.
const WEIGHTS_LIMIT: WeightsVersion = 4;
/// Blocks of an engine's cache, too few for all prompts.
const CACHE_BLOCKS: usize = 20;

/// A prompt of an account under weights.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PromptKey {
    /// Account.
    account: usize,
    /// Document.
    document: usize,
    /// Weights.
    weights_version: WeightsVersion,
}

/// A prompt with its levels and its blocks.
#[derive(Clone, Debug)]
struct KnownPrompt {
    /// Levels, as the router names them.
    levels: Vec<LevelPrefix>,
    /// Blocks of the whole prompt.
    chain: BlockChain,
    /// Last whole block of each level.
    level_blocks: Vec<u64>,
}

/// An answer that the table has not had yet.
struct HeldAnswer {
    /// Its ticket.
    ticket: DispatchTicket,
    /// Its end.
    done: EngineDone,
    /// Its prompt.
    key: PromptKey,
}

/// Reads the cache events of one engine, as a keeper does.
#[derive(Debug, Default)]
struct EventReader {
    /// Start that is read.
    boot_id: BootId,
    /// Next event.
    next: u64,
}

/// Engines, table and oracle.
pub struct CacheWorld {
    /// Engines.
    engines: Vec<FakeEngine>,
    /// Readers of their events.
    readers: Vec<EventReader>,
    /// Table under test.
    table: RoutingTable,
    /// Every prompt.
    prompts: HashMap<PromptKey, KnownPrompt>,
    /// Every block that a start of an engine ever held.
    ever: HashMap<BootId, HashSet<u64>>,
    /// Starts of each engine in their order.
    boots: Vec<Vec<BootId>>,
    /// Newest start of each engine that the table was told of.
    told: Vec<usize>,
    /// Answers held back.
    held: VecDeque<HeldAnswer>,
    /// Views held back, with the time they were true.
    kept: VecDeque<(usize, EndpointView, Instant)>,
    /// Events read and not yet passed on.
    news: VecDeque<PrefixNews>,
    /// Nothing was lost or late so far.
    exact: bool,
}

impl CacheWorld {
    /// Fresh engines that lose a share of their events.
    pub fn new(loss_percent: u32) -> Self {
        let engines: Vec<FakeEngine> = (0..ENGINES)
            .map(|place| engine(place, loss_percent))
            .collect();
        let start = Instant::now().into_std();
        let policy = PlacementPolicy::default();
        let mut world = Self {
            readers: (0..ENGINES).map(|_| EventReader::default()).collect(),
            table: RoutingTable::with_seed(policy, 1, start),
            prompts: all_prompts(),
            ever: HashMap::new(),
            boots: engines
                .iter()
                .map(|engine| vec![engine.boot_id()])
                .collect(),
            told: vec![0; ENGINES],
            held: VecDeque::new(),
            kept: VecDeque::new(),
            news: VecDeque::new(),
            exact: loss_percent == 0,
            engines,
        };
        for place in 0..ENGINES {
            world.tell(place);
        }
        world
    }

    /// Takes one step, and checks every claim after it.
    pub async fn take(&mut self, step: CacheStep) -> Result<(), String> {
        match step {
            CacheStep::Send {
                account,
                document,
                late,
            } => self.send(account, document, late).await,
            CacheStep::Lose { account, document } => self.lose(account, document).await,
            CacheStep::Deliver => self.deliver(),
            CacheStep::Crash(place) => self.crash(usize::from(place) % ENGINES),
            CacheStep::Reload(place) => self.reload(usize::from(place) % ENGINES).await,
            CacheStep::Tell(place) => self.tell(usize::from(place) % ENGINES),
            CacheStep::Keep(place) => self.keep(usize::from(place) % ENGINES),
            CacheStep::TellKept => self.tell_kept(),
            CacheStep::Poll(place) => self.poll(usize::from(place) % ENGINES),
            CacheStep::News => self.pass_news(),
            CacheStep::Relist(place) => self.relist(usize::from(place) % ENGINES),
            CacheStep::Advance(tenths) => {
                time::sleep(Duration::from_millis(100 * u64::from(tenths))).await;
            }
            CacheStep::Settle => self.settle(),
        }
        self.remember();
        self.check_claims()?;
        match step {
            CacheStep::Settle if self.exact => self.check_exact(),
            _ => Ok(()),
        }
    }

    /// Sends a request of the weights that the first engine serves.
    async fn send(&mut self, account: u8, document: u8, late: bool) {
        let Some((place, held)) = self.dispatch(account, document).await else {
            return;
        };
        if late {
            self.exact = false;
            self.held.push_back(held);
        } else {
            self.answer(place, held);
        }
    }

    /// Sends a request whose answer is lost.
    async fn lose(&mut self, account: u8, document: u8) {
        if let Some((_, held)) = self.dispatch(account, document).await {
            self.table
                .record_failure(held.ticket, ErrorKind::EndpointFailed, now());
        }
    }

    /// Runs a request where the table sends it.
    async fn dispatch(&mut self, account: u8, document: u8) -> Option<(usize, HeldAnswer)> {
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
        let place = usize::from(&*choice.endpoint != "d0");
        let work = EngineWork {
            chain: prompt.chain.clone(),
            prompt_tokens: query.prompt_tokens,
            resumed_tokens: 0,
            answer_tokens: 1,
            priority: 0,
            weights_version: key.weights_version,
        };
        let Ok(receipt) = self.engines[place].run(&work).await else {
            self.table
                .record_failure(ticket, ErrorKind::EndpointRefused, now());
            return None;
        };
        self.remember();
        let done = EngineDone {
            boot_id: receipt.boot_id,
            weights_version: key.weights_version,
            chunks: 1,
            prompt_tokens: query.prompt_tokens,
            cached_tokens: receipt.cached_tokens,
            queued: receipt.queued,
            level_blocks: prompt.level_blocks.clone(),
        };
        Some((place, HeldAnswer { ticket, done, key }))
    }

    /// Gives the table an answer.
    fn answer(&mut self, place: usize, held: HeldAnswer) {
        let levels = self.prompts[&held.key].levels.clone();
        self.note_told(place, &held.done.boot_id);
        self.table
            .record_completion(held.ticket, &held.done, &levels, now());
    }

    /// Gives the table the oldest answer held back.
    fn deliver(&mut self) {
        let Some(held) = self.held.pop_front() else {
            return;
        };
        let levels = self.prompts[&held.key].levels.clone();
        // A late answer tells of a start at least as old as those the table may know, so that
        // the oracle learns nothing from it.
        self.table
            .record_completion(held.ticket, &held.done, &levels, now());
    }

    /// An engine crashes and comes back empty.
    fn crash(&mut self, place: usize) {
        self.engines[place].crash();
        self.boots[place].push(self.engines[place].boot_id());
    }

    /// An engine comes to serve the next weights.
    async fn reload(&mut self, place: usize) {
        let next = self.engines[place].state().weights_version + 1;
        if next > WEIGHTS_LIMIT {
            return;
        }
        let order = EngineOrder {
            fencing: 1,
            kind: OrderKind::LoadWeights,
            weights_version: next,
            name: "".into(),
            limit_ms: 60_000,
        };
        self.engines[place].order(&order).expect("an order");
        while self.engines[place].state().weights_version != next {
            time::sleep(Duration::from_secs(1)).await;
        }
    }

    /// The table is told of an engine as it is.
    fn tell(&mut self, place: usize) {
        let view = self.view(place);
        self.note_told(place, &view.boot_id);
        self.table.update_endpoints_at(&[view], now());
    }

    /// Keeps what an engine is.
    fn keep(&mut self, place: usize) {
        self.kept
            .push_back((place, self.view(place), Instant::now()));
    }

    /// Tells what was kept, with its age.
    fn tell_kept(&mut self) {
        if let Some((_, mut view, at)) = self.kept.pop_front() {
            let age = Instant::now().saturating_duration_since(at);
            view.report_age_ms = u64::try_from(age.as_millis()).expect("a short age");
            self.table.update_endpoints_at(&[view], now());
        }
    }

    /// Reads an engine's events, and sees which are missing.
    fn poll(&mut self, place: usize) {
        let reader = &mut self.readers[place];
        let mut page = self.engines[place].cache_events(reader.next);
        if page.boot_id != reader.boot_id {
            reader.boot_id = page.boot_id;
            reader.next = 1;
            page = self.engines[place].cache_events(1);
        }
        let mut news = |kind, blocks, gap| {
            self.news.push_back(PrefixNews {
                endpoint: self.engines[place].profile().id.clone(),
                boot_id: reader.boot_id.clone(),
                kind,
                blocks,
                gap,
            });
        };
        for event in page.events {
            news(event.kind, event.blocks, event.sequence > reader.next);
            reader.next = event.sequence + 1;
        }
        if page.next > reader.next {
            news(CacheEventKind::Stored, Vec::new(), true);
            reader.next = page.next;
        }
    }

    /// Passes on the events that were read.
    fn pass_news(&mut self) {
        while let Some(news) = self.news.pop_front() {
            self.table.apply_cache_event_at(&news, now());
        }
    }

    /// An endpoint leaves the list and comes back.
    fn relist(&mut self, place: usize) {
        let others: Vec<EndpointView> = (0..ENGINES)
            .filter(|&other| other != place)
            .map(|other| self.view(other))
            .collect();
        self.table.replace_endpoints(&others, now());
        self.tell(place);
    }

    /// Tells the table everything.
    fn settle(&mut self) {
        for place in 0..ENGINES {
            self.tell(place);
            self.poll(place);
        }
        self.pass_news();
    }

    /// What a keeper would say of an engine.
    fn view(&self, place: usize) -> EndpointView {
        let engine = &self.engines[place];
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

    /// Notes that the table was told of a start.
    fn note_told(&mut self, place: usize, boot_id: &BootId) {
        let order = self.boots[place].iter().position(|boot| boot == boot_id);
        let order = order.expect("a known start");
        self.told[place] = self.told[place].max(order);
    }

    /// Takes what is in the caches into the oracle.
    fn remember(&mut self) {
        for engine in &self.engines {
            let held = self.ever.entry(engine.boot_id()).or_default();
            held.extend(engine.cache_contents());
        }
    }

    /// Checks that no claim is of another account, an earlier start or other weights.
    fn check_claims(&self) -> Result<(), String> {
        for (key, prompt) in &self.prompts {
            for (level, &block) in prompt.levels.iter().zip(&prompt.level_blocks) {
                for holder in self.table.holders(level.id) {
                    let place = usize::from(&*holder.endpoint != "d0");
                    let claim = format!("{key:?} {holder:?}");
                    if holder.weights_version != key.weights_version {
                        return Err(format!("claim of other weights: {claim}"));
                    }
                    let order = self.boots[place]
                        .iter()
                        .position(|boot| *boot == holder.boot_id);
                    if order.is_none_or(|order| order < self.told[place]) {
                        return Err(format!("claim of an earlier start: {claim}"));
                    }
                    let ever = self.ever.get(&holder.boot_id);
                    let held = ever.is_some_and(|blocks| blocks.contains(&block));
                    if holder.state != HoldingState::Pending && !held {
                        return Err(format!("claim of what was never held: {claim}"));
                    }
                }
            }
        }
        Ok(())
    }

    /// Checks that what is said to be certain is in the cache now.
    fn check_exact(&self) -> Result<(), String> {
        for (key, prompt) in &self.prompts {
            for (level, &block) in prompt.levels.iter().zip(&prompt.level_blocks) {
                for holder in self.table.holders(level.id) {
                    let place = usize::from(&*holder.endpoint != "d0");
                    let contents = self.engines[place].cache_contents();
                    let certain = holder.state == HoldingState::Confirmed;
                    if certain && !contents.contains(&block) {
                        return Err(format!("not in the cache: {key:?} {holder:?}"));
                    }
                }
            }
        }
        Ok(())
    }
}

/// A small engine.
fn engine(place: usize, loss_percent: u32) -> FakeEngine {
    let engine = FakeEngine::new(EngineProfile {
        id: format!("d{place}").into(),
        cache_blocks: CACHE_BLOCKS,
        ..EngineProfile::default()
    });
    engine.set_faults(EngineFaults {
        event_loss_percent: loss_percent,
        ..EngineFaults::default()
    });
    engine
}

/// Every prompt of every account under all weights.
fn all_prompts() -> HashMap<PromptKey, KnownPrompt> {
    let mut prompts = HashMap::new();
    for account in 0..ACCOUNTS.len() {
        for document in 0..DOCUMENTS.len() {
            for weights_version in 1..=WEIGHTS_LIMIT {
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

/// The prompt of a key: a glossary of 5 blocks, a document of 3, and own words.
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

/// The paused clock, as the table takes it.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}
