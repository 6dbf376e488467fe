//! Blocks of a prompt, each named by a hash over its whole prefix.

use std::sync::Arc;

use wagtaildoor::schema::EngineRequest;

use crate::seeded;

/// Name of a block: hash over the blocks before it, its own text, and the cache salt.
pub type BlockHash = u64;

/// Bytes of text that make one token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens in a block.
pub const BLOCK_TOKENS: u64 = 16;
/// Bytes in a block.
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS as usize;

/// Whole blocks of a prompt in their order.
pub type BlockChain = Arc<[BlockHash]>;

/// Tokens of a text; a rest counts as one.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// The whole blocks of a request's prompt.
pub fn chain_of(request: &EngineRequest) -> BlockChain {
    let mut parent = root_of(request);
    request
        .prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            parent = block_hash(parent, block);
            parent
        })
        .collect()
}

/// The last whole block of each level; 0 for a level that ends within the first block.
pub fn level_blocks(levels: &[u64], chain: &[BlockHash]) -> Vec<BlockHash> {
    levels.iter().map(|&end| level_block(end, chain)).collect()
}

/// The last whole block before a place in the prompt.
fn level_block(end_bytes: u64, chain: &[BlockHash]) -> BlockHash {
    let blocks = usize::try_from(end_bytes).unwrap_or(usize::MAX) / BLOCK_BYTES;
    let last = blocks.min(chain.len()).checked_sub(1);
    last.map_or(0, |place| chain[place])
}

/// What keeps the chains of other accounts, adapters and weights apart.
fn root_of(request: &EngineRequest) -> BlockHash {
    let mut hasher = blake3::Hasher::new();
    for part in [&request.cache_salt, &request.model, &request.adapter] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&request.weights_version.to_le_bytes());
    seeded::first_number(&hasher)
}

/// Hash of one block after its parent.
fn block_hash(parent: BlockHash, block: &[u8]) -> BlockHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(block);
    seeded::first_number(&hasher)
}
