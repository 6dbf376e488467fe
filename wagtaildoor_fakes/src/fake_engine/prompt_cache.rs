//! The limited cache of prompt blocks of one engine.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::prompt_blocks::BlockHash;

/// Marks the end of the list of blocks.
const NO_PLACE: usize = usize::MAX;

/// What an insertion changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheChange {
    /// Blocks that are new, in the order of the chain.
    pub stored: Vec<BlockHash>,
    /// Blocks that had to go.
    pub removed: Vec<BlockHash>,
}

/// A cache of blocks that evicts the least recently used one, the ends of chains first.
#[derive(Clone, Debug)]
pub struct PromptCache {
    /// Blocks it holds at most.
    capacity: usize,
    /// Time after its last use at which a block goes.
    age_limit: Option<Duration>,
    /// Place of each block in `nodes`.
    places: HashMap<BlockHash, usize>,
    /// Blocks, linked from the newest to the oldest.
    nodes: Vec<CacheNode>,
    /// Places in `nodes` that are free.
    free: Vec<usize>,
    /// Place of the block used last.
    newest: usize,
    /// Place of the block unused for longest.
    oldest: usize,
}

/// A block in the list.
#[derive(Clone, Debug)]
struct CacheNode {
    /// The block.
    block: BlockHash,
    /// Its last use.
    used: Instant,
    /// Place of the next newer block.
    newer: usize,
    /// Place of the next older block.
    older: usize,
}

impl PromptCache {
    /// An empty cache for a number of blocks, with or without an age limit.
    pub fn new(capacity: usize, age_limit: Option<Duration>) -> Self {
        Self {
            capacity,
            age_limit,
            places: HashMap::new(),
            nodes: Vec::new(),
            free: Vec::new(),
            newest: NO_PLACE,
            oldest: NO_PLACE,
        }
    }

    /// Number of leading blocks of a chain that are cached; changes nothing.
    pub fn lookup(&self, chain: &[BlockHash], now: Instant) -> usize {
        chain
            .iter()
            .take_while(|&&block| self.holds(block, now))
            .count()
    }

    /// Whether a block is cached.
    pub fn holds(&self, block: BlockHash, now: Instant) -> bool {
        self.places
            .get(&block)
            .is_some_and(|&place| !self.is_expired(place, now))
    }

    /// Every block that is cached.
    pub fn blocks(&self, now: Instant) -> impl Iterator<Item = BlockHash> + '_ {
        self.places
            .iter()
            .filter(move |(_, &place)| !self.is_expired(place, now))
            .map(|(&block, _)| block)
    }

    /// Number of blocks held, with those whose time is over.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Uses a chain: stores what is missing, and evicts what no longer fits.
    pub fn insert(&mut self, chain: &[BlockHash], now: Instant) -> CacheChange {
        let mut removed = self.expire(now);
        let fitting = &chain[..chain.len().min(self.capacity)];
        let mut stored: Vec<BlockHash> = fitting
            .iter()
            .rev()
            .filter(|&&block| self.touch(block, now))
            .copied()
            .collect();
        stored.reverse();
        while self.places.len() > self.capacity {
            removed.push(self.remove(self.oldest));
        }
        CacheChange { stored, removed }
    }

    /// Drops the blocks whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.oldest != NO_PLACE && self.is_expired(self.oldest, now) {
            removed.push(self.remove(self.oldest));
        }
        removed
    }

    /// Drops one block, as an engine under memory pressure may at any time.
    pub fn evict(&mut self, block: BlockHash) -> bool {
        let Some(&place) = self.places.get(&block) else {
            return false;
        };
        self.remove(place);
        true
    }

    /// Drops everything.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity, self.age_limit);
    }

    /// Whether a block's time is over.
    fn is_expired(&self, place: usize, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.nodes[place].used);
        self.age_limit.is_some_and(|limit| age >= limit)
    }

    /// Makes a block the newest; tells whether it was missing.
    fn touch(&mut self, block: BlockHash, now: Instant) -> bool {
        let known = self.places.get(&block).copied();
        if let Some(place) = known {
            self.unlink(place);
            self.free.push(place);
        }
        let place = self.add_newest(block, now);
        self.places.insert(block, place);
        known.is_none()
    }

    /// Puts a block at the new end of the list.
    fn add_newest(&mut self, block: BlockHash, now: Instant) -> usize {
        let node = CacheNode {
            block,
            used: now,
            newer: NO_PLACE,
            older: self.newest,
        };
        let place = match self.free.pop() {
            Some(place) => {
                self.nodes[place] = node;
                place
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() - 1
            }
        };
        match self.newest {
            NO_PLACE => self.oldest = place,
            newest => self.nodes[newest].newer = place,
        }
        self.newest = place;
        place
    }

    /// Drops the block at a place.
    fn remove(&mut self, place: usize) -> BlockHash {
        let block = self.nodes[place].block;
        self.unlink(place);
        self.free.push(place);
        self.places.remove(&block);
        block
    }

    /// Takes a place out of the list.
    fn unlink(&mut self, place: usize) {
        let CacheNode { newer, older, .. } = self.nodes[place];
        match newer {
            NO_PLACE => self.newest = older,
            newer => self.nodes[newer].older = older,
        }
        match older {
            NO_PLACE => self.oldest = newer,
            older => self.nodes[older].newer = newer,
        }
    }
}
