//! Blocks of a prompt, each identified by a hash of its whole prefix.

use std::sync::Arc;

use wagtaildoor::schema::EngineRequest;

use crate::seeded;

/// Block id: a hash of the preceding blocks, the block's own text, the model, adapter and weights,
/// and the cache salt.
pub type BlockHash = u64;

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens per block.
pub const BLOCK_TOKENS: u64 = 16;
/// Bytes of text per block.
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS as usize;

/// Ids of the whole blocks of a prompt, in order.
pub type BlockChain = Arc<[BlockHash]>;

/// Returns the number of tokens of a text; a partial token counts as one.
pub fn token_count(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// Returns the ids of the whole blocks of a request's prompt.
pub fn chain_of(request: &EngineRequest) -> BlockChain {
    let mut parent = chain_root(request);
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

/// Returns the id of the last whole block of each level, or 0 for a level that ends within the
/// first block.
pub fn level_blocks(levels: &[u64], chain: &[BlockHash]) -> Vec<BlockHash> {
    levels.iter().map(|&end| level_block(end, chain)).collect()
}

/// Returns the id of the last whole block that ends at or before a byte offset, or 0.
fn level_block(end_offset: u64, chain: &[BlockHash]) -> BlockHash {
    let blocks = usize::try_from(end_offset).unwrap_or(usize::MAX) / BLOCK_BYTES;
    let last = blocks.min(chain.len()).checked_sub(1);
    last.map_or(0, |index| chain[index])
}

/// Returns the parent of the first block, which separates the chains of different cache salts,
/// models, adapters and weights.
fn chain_root(request: &EngineRequest) -> BlockHash {
    let mut hasher = blake3::Hasher::new();
    for part in [&request.cache_salt, &request.model, &request.adapter] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&request.weights_version.to_le_bytes());
    seeded::hash_to_number(&hasher)
}

/// Returns the id of a block from its parent and its text.
fn block_hash(parent: BlockHash, block: &[u8]) -> BlockHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&parent.to_le_bytes());
    hasher.update(block);
    seeded::hash_to_number(&hasher)
}
