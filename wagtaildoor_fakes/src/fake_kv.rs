//! Stand-in for the KV store.

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

/// A store of exported blocks that forgets the oldest.
#[derive(Clone, Debug)]
pub struct FakeKv {
    /// Blocks it holds at most.
    capacity: usize,
    /// Blocks it holds.
    blocks: Arc<Mutex<BlockShelf>>,
}

/// Blocks and the order in which they came.
#[derive(Debug, Default)]
struct BlockShelf {
    /// Contents of each block.
    contents: HashMap<BlockHash, Box<[u8]>>,
    /// Blocks, the oldest first.
    order: VecDeque<BlockHash>,
}

impl FakeKv {
    /// An empty store for a number of blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: Arc::default(),
        }
    }

    /// The contents of a block.
    pub fn get(&self, block: BlockHash) -> Option<Box<[u8]>> {
        self.lock().contents.get(&block).cloned()
    }

    /// Stores a block.
    pub fn put(&self, block: BlockHash, content: Box<[u8]>) {
        let mut shelf = self.lock();
        if shelf.contents.insert(block, content).is_none() {
            shelf.order.push_back(block);
        }
        while shelf.order.len() > self.capacity {
            let Some(oldest) = shelf.order.pop_front() else {
                break;
            };
            shelf.contents.remove(&oldest);
        }
    }

    /// Number of blocks held.
    pub fn len(&self) -> usize {
        self.lock().order.len()
    }

    /// Whether no block is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The shelf, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, BlockShelf> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
