//! Limited cache of prompt blocks of one engine.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::prompt_blocks::BlockHash;

/// Index that marks the end of the linked list.
const NO_INDEX: usize = usize::MAX;

/// Blocks that an insertion added and evicted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheChange {
    /// Newly stored blocks, in the order of the chain.
    pub stored: Vec<BlockHash>,
    /// Evicted and expired blocks.
    pub removed: Vec<BlockHash>,
}

/// LRU cache of blocks. Of the blocks of one chain, the last one is evicted first.
#[derive(Clone, Debug)]
pub struct PromptCache {
    /// Maximum number of blocks.
    capacity: usize,
    /// Time after its last use at which a block expires.
    age_limit: Option<Duration>,
    /// Index into `nodes` of each block.
    indices: HashMap<BlockHash, usize>,
    /// Storage of a doubly linked list from the most to the least recently used block.
    nodes: Vec<CacheNode>,
    /// Unused indices of `nodes`.
    free_indices: Vec<usize>,
    /// Index of the most recently used block.
    newest: usize,
    /// Index of the least recently used block.
    oldest: usize,
}

/// A node of the linked list.
#[derive(Clone, Debug)]
struct CacheNode {
    block: BlockHash,
    last_used: Instant,
    /// Index of the next more recently used block.
    newer: usize,
    /// Index of the next less recently used block.
    older: usize,
}

impl PromptCache {
    /// Creates an empty cache. `age_limit` is the time after its last use at which a block expires.
    pub fn new(capacity: usize, age_limit: Option<Duration>) -> Self {
        Self {
            capacity,
            age_limit,
            indices: HashMap::new(),
            nodes: Vec::new(),
            free_indices: Vec::new(),
            newest: NO_INDEX,
            oldest: NO_INDEX,
        }
    }

    /// Returns how many leading blocks of a chain are cached, without marking them as used.
    pub fn lookup(&self, chain: &[BlockHash], now: Instant) -> usize {
        chain
            .iter()
            .take_while(|&&block| self.holds(block, now))
            .count()
    }

    /// Whether a block is cached and not expired.
    pub fn holds(&self, block: BlockHash, now: Instant) -> bool {
        self.indices
            .get(&block)
            .is_some_and(|&index| !self.is_expired(index, now))
    }

    /// Returns all cached blocks that are not expired, in no particular order.
    pub fn blocks(&self, now: Instant) -> impl Iterator<Item = BlockHash> + '_ {
        self.indices
            .iter()
            .filter(move |(_, &index)| !self.is_expired(index, now))
            .map(|(&block, _)| block)
    }

    /// Returns the number of stored blocks, including expired ones that are not yet removed.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether no blocks are stored.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Marks a chain as used: stores missing blocks and evicts blocks beyond the capacity.
    pub fn insert(&mut self, chain: &[BlockHash], now: Instant) -> CacheChange {
        let mut removed = self.expire(now);
        let fitting = &chain[..chain.len().min(self.capacity)];
        let mut stored: Vec<BlockHash> = fitting
            .iter()
            .rev()
            .filter(|&&block| self.mark_used(block, now))
            .copied()
            .collect();
        stored.reverse();
        while self.indices.len() > self.capacity {
            removed.push(self.remove(self.oldest));
        }
        CacheChange { stored, removed }
    }

    /// Removes and returns the expired blocks.
    pub fn expire(&mut self, now: Instant) -> Vec<BlockHash> {
        let mut removed = Vec::new();
        while self.oldest != NO_INDEX && self.is_expired(self.oldest, now) {
            removed.push(self.remove(self.oldest));
        }
        removed
    }

    /// Removes a block, as under memory pressure. Returns whether it was stored.
    pub fn evict(&mut self, block: BlockHash) -> bool {
        let Some(&index) = self.indices.get(&block) else {
            return false;
        };
        self.remove(index);
        true
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity, self.age_limit);
    }

    /// Whether the block at an index is expired.
    fn is_expired(&self, index: usize, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.nodes[index].last_used);
        self.age_limit.is_some_and(|limit| age >= limit)
    }

    /// Moves a block to the most recently used position. Returns whether it was missing.
    fn mark_used(&mut self, block: BlockHash, now: Instant) -> bool {
        let known = self.indices.get(&block).copied();
        if let Some(index) = known {
            self.unlink(index);
            self.free_indices.push(index);
        }
        let index = self.add_newest(block, now);
        self.indices.insert(block, index);
        known.is_none()
    }

    /// Links a block in at the most recently used position. Returns its index.
    fn add_newest(&mut self, block: BlockHash, now: Instant) -> usize {
        let node = CacheNode {
            block,
            last_used: now,
            newer: NO_INDEX,
            older: self.newest,
        };
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.nodes[index] = node;
                index
            }
            None => {
                self.nodes.push(node);
                self.nodes.len() - 1
            }
        };
        match self.newest {
            NO_INDEX => self.oldest = index,
            newest => self.nodes[newest].newer = index,
        }
        self.newest = index;
        index
    }

    /// Removes a block, frees its index for reuse and returns its hash.
    fn remove(&mut self, index: usize) -> BlockHash {
        let block = self.nodes[index].block;
        self.unlink(index);
        self.free_indices.push(index);
        self.indices.remove(&block);
        block
    }

    /// Unlinks a node from the list.
    fn unlink(&mut self, index: usize) {
        let CacheNode { newer, older, .. } = self.nodes[index];
        match newer {
            NO_INDEX => self.newest = older,
            newer => self.nodes[newer].older = older,
        }
        match older {
            NO_INDEX => self.oldest = newer,
            older => self.nodes[older].newer = newer,
        }
    }
}
