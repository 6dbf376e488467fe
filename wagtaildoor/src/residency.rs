//! Which endpoints hold which prefixes in their cache, as far as answers and events tell.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    generation_map::GenerationMap,
    ids::{
        PrefixId,
        WeightsVersion, //
    },
    prefix::LevelPrefix,
    schema::CacheEventKind,
};

/// Place of an endpoint in the tables of one process.
pub type SlotIndex = u32;
/// Hash of a cache block, as an engine gives it.
pub type BlockHash = u64;

/// Stands for a level that ends within the first block.
const NO_BLOCK: BlockHash = 0;
/// Most holders remembered of one prefix.
const HOLDERS_LIMIT: usize = 12;
/// Most prefixes remembered that end in one block.
const LINKS_LIMIT: usize = 4;
/// Time in which the demand for a prefix falls by half when nothing asks for it.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(20);

/// How sure it is that an endpoint holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldingState {
    /// An answer or event said so, and no event was missed since.
    Certain,
    /// Events were missed since.
    Doubtful,
    /// A request with this prefix is on its way there.
    Expected,
}

/// An endpoint that may hold a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownHolder {
    /// Endpoint.
    pub slot: SlotIndex,
    /// How sure it is.
    pub state: HoldingState,
}

/// What is remembered of one prefix at one endpoint.
#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Endpoint.
    slot: SlotIndex,
    /// Epoch of the endpoint that it belongs to.
    epoch: u32,
    /// When it was last confirmed, in milliseconds from the start of the index.
    seen_ms: u32,
    /// Only expected from a request on its way.
    expected: bool,
}

/// What is remembered of one prefix.
#[derive(Debug, Default)]
struct PrefixEntry {
    /// Endpoints, the latest confirmed last.
    holdings: Vec<Holding>,
    /// Requests placed of late.
    demand: f32,
    /// When the demand was last brought up to date, in milliseconds.
    demand_ms: u32,
}

/// A prefix whose last whole block is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct BlockLink {
    /// Prefix that ends in the block.
    prefix: PrefixId,
    /// Weights the prefix belongs to.
    weights_version: WeightsVersion,
}

/// The present life of an endpoint's cache.
#[derive(Clone, Copy, Debug, Default)]
struct CacheLife {
    /// Rises whenever all that was known is void.
    epoch: u32,
    /// Weights in service.
    weights_version: WeightsVersion,
    /// What was confirmed before this is doubtful, in milliseconds.
    doubt_ms: u32,
}

/// Index from prefix to endpoints, of bounded size.
#[derive(Debug)]
pub struct ResidencyIndex {
    /// Prefixes.
    prefixes: GenerationMap<PrefixId, PrefixEntry>,
    /// Prefixes that end in a block.
    links: GenerationMap<BlockHash, Vec<BlockLink>>,
    /// Endpoints, by place.
    lives: Vec<CacheLife>,
    /// Start of the index's clock.
    start: Instant,
}

impl ResidencyIndex {
    /// An index of at most `limit` prefixes.
    pub fn new(limit: usize, start: Instant) -> Self {
        Self {
            prefixes: GenerationMap::new(limit),
            links: GenerationMap::new(limit),
            lives: Vec::new(),
            start,
        }
    }

    /// Voids all that is known of an endpoint: it started anew, or has other weights, or went.
    pub fn reset(&mut self, slot: SlotIndex, weights_version: WeightsVersion) {
        let life = self.life_mut(slot);
        life.epoch += 1;
        life.weights_version = weights_version;
        life.doubt_ms = 0;
    }

    /// Makes all that is known of an endpoint doubtful.
    pub fn doubt(&mut self, slot: SlotIndex, now: Instant) {
        let now_ms = self.millis(now);
        self.life_mut(slot).doubt_ms = now_ms;
    }

    /// Notes that a request with these levels is on its way to an endpoint.
    pub fn expect(&mut self, slot: SlotIndex, levels: &[LevelPrefix], now: Instant) {
        let now_ms = self.millis(now);
        let epoch = self.life_mut(slot).epoch;
        for level in levels {
            let entry = self.prefixes.touch(level.id);
            entry.raise_demand(now_ms);
            if entry.holdings.iter().all(|held| !held.is(slot, epoch)) {
                entry.put(Holding {
                    slot,
                    epoch,
                    seen_ms: now_ms,
                    expected: true,
                });
            }
        }
    }

    /// Takes back what was only expected, since the request did not run there.
    pub fn unexpect(&mut self, slot: SlotIndex, levels: &[LevelPrefix]) {
        for level in levels {
            if let Some(entry) = self.prefixes.get_mut(level.id) {
                entry
                    .holdings
                    .retain(|held| held.slot != slot || !held.expected);
            }
        }
    }

    /// Takes an answer: the endpoint has just had the whole prompt in its cache.
    pub fn confirm(
        &mut self,
        slot: SlotIndex,
        levels: &[LevelPrefix],
        blocks: &[BlockHash],
        now: Instant,
    ) {
        let now_ms = self.millis(now);
        let life = *self.life_mut(slot);
        for level in levels {
            let holding = life.holding(slot, now_ms);
            self.prefixes.touch(level.id).put(holding);
        }
        let blocks = levels.iter().zip(blocks);
        for (level, &block) in blocks.filter(|(_, &block)| block != NO_BLOCK) {
            let link = BlockLink {
                prefix: level.id,
                weights_version: life.weights_version,
            };
            add_link(self.links.touch(block), link);
        }
    }

    /// Takes a cache event; events of earlier starts must not come here.
    pub fn take_event(
        &mut self,
        slot: SlotIndex,
        kind: CacheEventKind,
        blocks: &[BlockHash],
        gap: bool,
        now: Instant,
    ) {
        if gap {
            self.doubt(slot, now);
        }
        match kind {
            CacheEventKind::Stored => self.take_stored(slot, blocks, now),
            CacheEventKind::Removed => self.take_removed(slot, blocks),
            CacheEventKind::Cleared => {
                let weights_version = self.life_mut(slot).weights_version;
                self.reset(slot, weights_version);
            }
        }
    }

    /// Endpoints that may hold a prefix, the latest confirmed first.
    pub fn holders(&self, prefix: PrefixId) -> impl Iterator<Item = KnownHolder> + '_ {
        let entry = self.prefixes.get(prefix);
        let holdings = entry.map_or(&[][..], |entry| &entry.holdings);
        let newest_first = holdings.iter().rev();
        newest_first.filter_map(|held| self.known(held))
    }

    /// Requests for a prefix placed of late, counted down by half-lives.
    pub fn demand(&self, prefix: PrefixId, now: Instant) -> f32 {
        let now_ms = self.millis(now);
        let entry = self.prefixes.get(prefix);
        entry.map_or(0.0, |entry| entry.demand_at(now_ms))
    }

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Blocks came into an endpoint's cache.
    fn take_stored(&mut self, slot: SlotIndex, blocks: &[BlockHash], now: Instant) {
        let now_ms = self.millis(now);
        let life = *self.life_mut(slot);
        for &block in blocks {
            let Some(links) = self.links.get(block) else {
                continue;
            };
            for link in links {
                if link.weights_version == life.weights_version {
                    let holding = life.holding(slot, now_ms);
                    self.prefixes.touch(link.prefix).put(holding);
                }
            }
        }
    }

    /// Blocks went from an endpoint's cache.
    fn take_removed(&mut self, slot: SlotIndex, blocks: &[BlockHash]) {
        for &block in blocks {
            let Some(links) = self.links.get(block) else {
                continue;
            };
            for link in links {
                if let Some(entry) = self.prefixes.get_mut(link.prefix) {
                    entry
                        .holdings
                        .retain(|held| held.slot != slot || held.expected);
                }
            }
        }
    }

    /// A holding as others may know it; `None` when it belongs to an earlier epoch.
    fn known(&self, held: &Holding) -> Option<KnownHolder> {
        let life = self.lives.get(held.slot as usize)?;
        if life.epoch != held.epoch {
            return None;
        }
        let state = match held.expected {
            true => HoldingState::Expected,
            false if held.seen_ms < life.doubt_ms => HoldingState::Doubtful,
            false => HoldingState::Certain,
        };
        Some(KnownHolder {
            slot: held.slot,
            state,
        })
    }

    /// The life of an endpoint's cache, made when missing.
    fn life_mut(&mut self, slot: SlotIndex) -> &mut CacheLife {
        let index = slot as usize;
        if index >= self.lives.len() {
            self.lives.resize(index + 1, CacheLife::default());
        }
        &mut self.lives[index]
    }

    /// A time on the index's clock, in milliseconds.
    fn millis(&self, now: Instant) -> u32 {
        let since = now.saturating_duration_since(self.start);
        u32::try_from(since.as_millis()).unwrap_or(u32::MAX)
    }
}

impl CacheLife {
    /// A holding confirmed in this life.
    fn holding(&self, slot: SlotIndex, seen_ms: u32) -> Holding {
        Holding {
            slot,
            epoch: self.epoch,
            seen_ms,
            expected: false,
        }
    }
}

impl Holding {
    /// Whether it is about this life of an endpoint.
    fn is(&self, slot: SlotIndex, epoch: u32) -> bool {
        self.slot == slot && self.epoch == epoch
    }
}

impl PrefixEntry {
    /// Puts a holding last, in place of an earlier one of the endpoint.
    fn put(&mut self, holding: Holding) {
        self.holdings.retain(|held| held.slot != holding.slot);
        if self.holdings.len() >= HOLDERS_LIMIT {
            self.holdings.remove(0);
        }
        self.holdings.push(holding);
    }

    /// Counts one request.
    fn raise_demand(&mut self, now_ms: u32) {
        self.demand = self.demand_at(now_ms) + 1.0;
        self.demand_ms = now_ms;
    }

    /// The demand, counted down to a time.
    fn demand_at(&self, now_ms: u32) -> f32 {
        let passed_ms = now_ms.saturating_sub(self.demand_ms) as f32;
        let half_lives = passed_ms / DEMAND_HALF_LIFE.as_millis() as f32;
        self.demand * (-half_lives).exp2()
    }
}

/// Adds a link, in place of the oldest when there are many.
fn add_link(links: &mut Vec<BlockLink>, link: BlockLink) {
    if links.contains(&link) {
        return;
    }
    if links.len() >= LINKS_LIMIT {
        links.remove(0);
    }
    links.push(link);
}
