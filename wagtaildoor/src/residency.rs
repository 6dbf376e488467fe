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
const MAX_HOLDERS: usize = 12;
/// Most prefixes remembered that end in one block.
const MAX_BLOCK_LINKS: usize = 4;
/// Time in which the demand for a prefix falls by half when nothing asks for it.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(20);

/// How sure it is that an endpoint holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldingState {
    /// An answer or event said so, and no event was missed since.
    Confirmed,
    /// Events were missed since.
    Stale,
    /// A request with this prefix is on its way there.
    Pending,
}

/// An endpoint that may hold a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
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
    confirmed_ms: u32,
    /// Only expected from a request on its way.
    is_pending: bool,
}

/// What is remembered of one prefix.
#[derive(Debug, Default)]
struct PrefixEntry {
    /// Endpoints, the latest confirmed last.
    holdings: Vec<Holding>,
    /// Requests placed of late.
    demand: f32,
    /// When the demand was last brought up to date, in milliseconds.
    demand_updated_ms: u32,
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
struct CacheIncarnation {
    /// Rises whenever all that was known is void.
    epoch: u32,
    /// Weights in service.
    weights_version: WeightsVersion,
    /// What was confirmed before this is doubtful, in milliseconds.
    stale_before_ms: u32,
}

/// Index from prefix to endpoints, of bounded size.
#[derive(Debug)]
pub struct ResidencyIndex {
    /// Prefixes.
    prefixes: GenerationMap<PrefixId, PrefixEntry>,
    /// Prefixes that end in a block.
    block_links: GenerationMap<BlockHash, Vec<BlockLink>>,
    /// Endpoints, by place.
    caches: Vec<CacheIncarnation>,
    /// Start of the index's clock.
    start: Instant,
}

impl ResidencyIndex {
    /// An index of at most `limit` prefixes.
    pub fn new(limit: usize, start: Instant) -> Self {
        Self {
            prefixes: GenerationMap::new(limit),
            block_links: GenerationMap::new(limit),
            caches: Vec::new(),
            start,
        }
    }

    /// Voids all that is known of an endpoint: it started anew, or has other weights, or went.
    pub fn invalidate(&mut self, slot: SlotIndex, weights_version: WeightsVersion) {
        let cache = self.cache_mut(slot);
        cache.epoch += 1;
        cache.weights_version = weights_version;
        cache.stale_before_ms = 0;
    }

    /// Makes all that is known of an endpoint doubtful.
    pub fn mark_stale(&mut self, slot: SlotIndex, now: Instant) {
        let now_ms = self.to_index_ms(now);
        self.cache_mut(slot).stale_before_ms = now_ms;
    }

    /// Notes that a request with these levels is on its way to an endpoint.
    pub fn record_pending(&mut self, slot: SlotIndex, levels: &[LevelPrefix], now: Instant) {
        let now_ms = self.to_index_ms(now);
        let epoch = self.cache_mut(slot).epoch;
        for level in levels {
            let entry = self.prefixes.touch(level.id);
            entry.record_request(now_ms);
            if entry
                .holdings
                .iter()
                .all(|holding| !holding.matches(slot, epoch))
            {
                entry.insert(Holding {
                    slot,
                    epoch,
                    confirmed_ms: now_ms,
                    is_pending: true,
                });
            }
        }
    }

    /// Takes back what was only expected, since the request did not run there.
    pub fn remove_pending(&mut self, slot: SlotIndex, levels: &[LevelPrefix]) {
        for level in levels {
            if let Some(entry) = self.prefixes.get_mut(level.id) {
                entry
                    .holdings
                    .retain(|holding| holding.slot != slot || !holding.is_pending);
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
        let now_ms = self.to_index_ms(now);
        let cache = *self.cache_mut(slot);
        for level in levels {
            let holding = cache.holding(slot, now_ms);
            self.prefixes.touch(level.id).insert(holding);
        }
        let blocks = levels.iter().zip(blocks);
        for (level, &block) in blocks.filter(|(_, &block)| block != NO_BLOCK) {
            let link = BlockLink {
                prefix: level.id,
                weights_version: cache.weights_version,
            };
            add_block_link(self.block_links.touch(block), link);
        }
    }

    /// Takes a cache event; events of earlier starts must not come here.
    pub fn apply_event(
        &mut self,
        slot: SlotIndex,
        kind: CacheEventKind,
        blocks: &[BlockHash],
        gap: bool,
        now: Instant,
    ) {
        if gap {
            self.mark_stale(slot, now);
        }
        match kind {
            CacheEventKind::Stored => self.apply_stored(slot, blocks, now),
            CacheEventKind::Removed => self.apply_removed(slot, blocks),
            CacheEventKind::Cleared => {
                let weights_version = self.cache_mut(slot).weights_version;
                self.invalidate(slot, weights_version);
            }
        }
    }

    /// Endpoints that may hold a prefix, the latest confirmed first.
    pub fn holders(&self, prefix: PrefixId) -> impl Iterator<Item = PrefixHolder> + '_ {
        let entry = self.prefixes.get(prefix);
        let holdings = entry.map_or(&[][..], |entry| &entry.holdings);
        let newest_first = holdings.iter().rev();
        newest_first.filter_map(|holding| self.visible_holder(holding))
    }

    /// Requests for a prefix placed of late, counted down by half-lives.
    pub fn demand(&self, prefix: PrefixId, now: Instant) -> f32 {
        let now_ms = self.to_index_ms(now);
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
    fn apply_stored(&mut self, slot: SlotIndex, blocks: &[BlockHash], now: Instant) {
        let now_ms = self.to_index_ms(now);
        let cache = *self.cache_mut(slot);
        for &block in blocks {
            let Some(block_links) = self.block_links.get(block) else {
                continue;
            };
            for link in block_links {
                if link.weights_version == cache.weights_version {
                    let holding = cache.holding(slot, now_ms);
                    self.prefixes.touch(link.prefix).insert(holding);
                }
            }
        }
    }

    /// Blocks went from an endpoint's cache.
    fn apply_removed(&mut self, slot: SlotIndex, blocks: &[BlockHash]) {
        for &block in blocks {
            let Some(block_links) = self.block_links.get(block) else {
                continue;
            };
            for link in block_links {
                if let Some(entry) = self.prefixes.get_mut(link.prefix) {
                    entry
                        .holdings
                        .retain(|holding| holding.slot != slot || holding.is_pending);
                }
            }
        }
    }

    /// A holding as others may know it; `None` when it belongs to an earlier epoch.
    fn visible_holder(&self, holding: &Holding) -> Option<PrefixHolder> {
        let cache = self.caches.get(holding.slot as usize)?;
        if cache.epoch != holding.epoch {
            return None;
        }
        let state = match holding.is_pending {
            true => HoldingState::Pending,
            false if holding.confirmed_ms < cache.stale_before_ms => HoldingState::Stale,
            false => HoldingState::Confirmed,
        };
        Some(PrefixHolder {
            slot: holding.slot,
            state,
        })
    }

    /// The life of an endpoint's cache, made when missing.
    fn cache_mut(&mut self, slot: SlotIndex) -> &mut CacheIncarnation {
        let index = slot as usize;
        if index >= self.caches.len() {
            self.caches.resize(index + 1, CacheIncarnation::default());
        }
        &mut self.caches[index]
    }

    /// A time on the index's clock, in milliseconds.
    fn to_index_ms(&self, now: Instant) -> u32 {
        let since = now.saturating_duration_since(self.start);
        u32::try_from(since.as_millis()).unwrap_or(u32::MAX)
    }
}

impl CacheIncarnation {
    /// A holding confirmed in this life.
    fn holding(&self, slot: SlotIndex, confirmed_ms: u32) -> Holding {
        Holding {
            slot,
            epoch: self.epoch,
            confirmed_ms,
            is_pending: false,
        }
    }
}

impl Holding {
    /// Whether it is about this life of an endpoint.
    fn matches(&self, slot: SlotIndex, epoch: u32) -> bool {
        self.slot == slot && self.epoch == epoch
    }
}

impl PrefixEntry {
    /// Puts a holding last, in place of an earlier one of the endpoint.
    fn insert(&mut self, holding: Holding) {
        self.holdings.retain(|known| known.slot != holding.slot);
        if self.holdings.len() >= MAX_HOLDERS {
            self.holdings.remove(0);
        }
        self.holdings.push(holding);
    }

    /// Counts one request.
    fn record_request(&mut self, now_ms: u32) {
        self.demand = self.demand_at(now_ms) + 1.0;
        self.demand_updated_ms = now_ms;
    }

    /// The demand, counted down to a time.
    fn demand_at(&self, now_ms: u32) -> f32 {
        let passed_ms = now_ms.saturating_sub(self.demand_updated_ms) as f32;
        let half_lives = passed_ms / DEMAND_HALF_LIFE.as_millis() as f32;
        self.demand * (-half_lives).exp2()
    }
}

/// Adds a link, in place of the oldest when there are many.
fn add_block_link(block_links: &mut Vec<BlockLink>, link: BlockLink) {
    if block_links.contains(&link) {
        return;
    }
    if block_links.len() >= MAX_BLOCK_LINKS {
        block_links.remove(0);
    }
    block_links.push(link);
}
