//! Index of the endpoints that hold a prefix in their cache, from responses and cache events.

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

/// Index of an endpoint's slot in the routing table of this process.
pub type SlotIndex = u32;
/// Hash of a cache block, as reported by an engine.
pub type BlockHash = u64;

/// Reported for a level that ends within the first block.
const NO_BLOCK: BlockHash = 0;
/// Maximum number of holders tracked per prefix.
const MAX_HOLDERS: usize = 12;
/// Maximum number of prefixes tracked per block.
const MAX_BLOCK_LINKS: usize = 4;
/// Half-life of the demand for a prefix.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(20);

/// Certainty that an endpoint holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldingState {
    /// A response or cache event confirmed it, and no event was missed since.
    Confirmed,
    /// It was confirmed, but events were missed since.
    Stale,
    /// A request with this prefix is in flight to the endpoint.
    Pending,
}

/// An endpoint that may hold a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
    /// Slot of the endpoint.
    pub slot: SlotIndex,
    /// Certainty of the holding.
    pub state: HoldingState,
}

/// A prefix held by one endpoint.
#[derive(Clone, Copy, Debug)]
struct Holding {
    slot: SlotIndex,
    /// Epoch of the endpoint's cache at the confirmation; a holding of an older epoch is void.
    epoch: u32,
    /// Time of the last confirmation, in milliseconds since the start of the index.
    confirmed_ms: u32,
    /// Whether a request in flight is the only evidence.
    is_pending: bool,
}

/// Holders and demand of one prefix.
#[derive(Debug, Default)]
struct PrefixEntry {
    /// Holdings, latest confirmation last.
    holdings: Vec<Holding>,
    /// Exponentially decayed request count.
    demand: f32,
    /// Time of the last update of `demand`, in milliseconds since the start of the index.
    demand_updated_ms: u32,
}

/// Link from a cache block to a prefix whose last whole block it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct BlockLink {
    prefix: PrefixId,
    /// Weights that the prefix was computed with.
    weights_version: WeightsVersion,
}

/// Current content of an endpoint's cache, as far as it invalidates holdings.
#[derive(Clone, Copy, Debug, Default)]
struct CacheIncarnation {
    /// Incremented whenever all holdings become void.
    epoch: u32,
    weights_version: WeightsVersion,
    /// Holdings confirmed before this are stale, in milliseconds since the start of the index.
    stale_before_ms: u32,
}

/// Bounded index from prefixes to the endpoints that hold them.
#[derive(Debug)]
pub struct ResidencyIndex {
    prefixes: GenerationMap<PrefixId, PrefixEntry>,
    /// Prefixes by their last whole block, to resolve cache events.
    block_links: GenerationMap<BlockHash, Vec<BlockLink>>,
    /// Caches by slot.
    caches: Vec<CacheIncarnation>,
    /// Time zero of all millisecond times in the index.
    start: Instant,
}

impl ResidencyIndex {
    /// Creates an index of at most `limit` prefixes. `start` is the zero of its clock.
    pub fn new(limit: usize, start: Instant) -> Self {
        Self {
            prefixes: GenerationMap::new(limit),
            block_links: GenerationMap::new(limit),
            caches: Vec::new(),
            start,
        }
    }

    /// Voids all holdings of an endpoint that restarted, loaded other weights or was removed.
    pub fn invalidate(&mut self, slot: SlotIndex, weights_version: WeightsVersion) {
        let cache = self.cache_mut(slot);
        cache.epoch += 1;
        cache.weights_version = weights_version;
        cache.stale_before_ms = 0;
    }

    /// Marks all current holdings of an endpoint as stale.
    pub fn mark_stale(&mut self, slot: SlotIndex, now: Instant) {
        let now_ms = self.to_index_ms(now);
        self.cache_mut(slot).stale_before_ms = now_ms;
    }

    /// Records that a request with these levels was sent, and counts it towards their demand.
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

    /// Removes pending holdings of a request that did not complete.
    pub fn remove_pending(&mut self, slot: SlotIndex, levels: &[LevelPrefix]) {
        for level in levels {
            if let Some(entry) = self.prefixes.get_mut(level.id) {
                entry
                    .holdings
                    .retain(|holding| holding.slot != slot || !holding.is_pending);
            }
        }
    }

    /// Records a response: the endpoint has just had the whole prompt in its cache.
    ///
    /// `blocks` has the last whole block of each level.
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

    /// Applies a cache event, which must be from the current start of the endpoint.
    ///
    /// `gap` means that events before it were missed.
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

    /// Returns the endpoints that may hold a prefix, latest confirmation first.
    pub fn holders(&self, prefix: PrefixId) -> impl Iterator<Item = PrefixHolder> + '_ {
        let entry = self.prefixes.get(prefix);
        let holdings = entry.map_or(&[][..], |entry| &entry.holdings);
        let newest_first = holdings.iter().rev();
        newest_first.filter_map(|holding| self.visible_holder(holding))
    }

    /// Returns the exponentially decayed count of requests for a prefix.
    pub fn demand(&self, prefix: PrefixId, now: Instant) -> f32 {
        let now_ms = self.to_index_ms(now);
        let entry = self.prefixes.get(prefix);
        entry.map_or(0.0, |entry| entry.demand_at(now_ms))
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Records blocks that were added to an endpoint's cache.
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

    /// Records blocks that were removed from an endpoint's cache.
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

    /// Returns the state of a holding; `None` if it is void.
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

    /// Returns the cache of an endpoint and creates it if it is missing.
    fn cache_mut(&mut self, slot: SlotIndex) -> &mut CacheIncarnation {
        let index = slot as usize;
        if index >= self.caches.len() {
            self.caches.resize(index + 1, CacheIncarnation::default());
        }
        &mut self.caches[index]
    }

    /// Converts a time to milliseconds since the start of the index.
    fn to_index_ms(&self, now: Instant) -> u32 {
        let since = now.saturating_duration_since(self.start);
        u32::try_from(since.as_millis()).unwrap_or(u32::MAX)
    }
}

impl CacheIncarnation {
    /// Creates a confirmed holding in the current epoch.
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
    /// Whether the holding is of this endpoint and epoch.
    fn matches(&self, slot: SlotIndex, epoch: u32) -> bool {
        self.slot == slot && self.epoch == epoch
    }
}

impl PrefixEntry {
    /// Appends a holding and removes an earlier one of the same endpoint.
    fn insert(&mut self, holding: Holding) {
        self.holdings.retain(|known| known.slot != holding.slot);
        if self.holdings.len() >= MAX_HOLDERS {
            self.holdings.remove(0);
        }
        self.holdings.push(holding);
    }

    fn record_request(&mut self, now_ms: u32) {
        self.demand = self.demand_at(now_ms) + 1.0;
        self.demand_updated_ms = now_ms;
    }

    /// Returns the demand, decayed to the given time.
    fn demand_at(&self, now_ms: u32) -> f32 {
        let passed_ms = now_ms.saturating_sub(self.demand_updated_ms) as f32;
        let half_lives = passed_ms / DEMAND_HALF_LIFE.as_millis() as f32;
        self.demand * (-half_lives).exp2()
    }
}

/// Adds a link and drops the oldest one if there are too many.
fn add_block_link(block_links: &mut Vec<BlockLink>, link: BlockLink) {
    if block_links.contains(&link) {
        return;
    }
    if block_links.len() >= MAX_BLOCK_LINKS {
        block_links.remove(0);
    }
    block_links.push(link);
}
