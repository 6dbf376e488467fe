//! Fake KV store.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use crate::fake_engine::prompt_blocks::BlockHash;

/// A store of exported blocks that drops the oldest one when full; clones share it.
#[derive(Clone, Debug)]
pub struct FakeKv {
    /// Maximum number of blocks.
    capacity: usize,
    blocks: Arc<Mutex<StoredBlocks>>,
}

/// Blocks and the order in which they were stored.
#[derive(Debug, Default)]
struct StoredBlocks {
    contents: HashMap<BlockHash, Box<[u8]>>,
    /// Blocks by time of insertion, the oldest first.
    insertion_order: VecDeque<BlockHash>,
}

impl FakeKv {
    /// Creates an empty store with a capacity in blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: Arc::default(),
        }
    }

    /// Returns the content of a block; `None` if it is not stored.
    pub fn get(&self, block: BlockHash) -> Option<Box<[u8]>> {
        self.lock().contents.get(&block).cloned()
    }

    /// Stores a block, and drops the oldest blocks beyond the capacity.
    pub fn put(&self, block: BlockHash, content: Box<[u8]>) {
        let mut blocks = self.lock();
        if blocks.contents.insert(block, content).is_none() {
            blocks.insertion_order.push_back(block);
        }
        while blocks.insertion_order.len() > self.capacity {
            let Some(oldest) = blocks.insertion_order.pop_front() else {
                break;
            };
            blocks.contents.remove(&oldest);
        }
    }

    /// Returns the number of stored blocks.
    pub fn len(&self) -> usize {
        self.lock().insertion_order.len()
    }

    /// Whether no blocks are stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Locks the blocks and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, StoredBlocks> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
