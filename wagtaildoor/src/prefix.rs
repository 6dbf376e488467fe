//! Ids of nested prompt levels, and cache salts that isolate accounts in an engine's cache.

use crate::ids::{
    PrefixId,
    WeightsVersion, //
};

/// BLAKE3 context of the prefix chain root.
const ROOT_CONTEXT: &str = "wagtaildoor prefix root 1";
/// BLAKE3 context of cache salts.
const SALT_CONTEXT: &str = "wagtaildoor cache salt 1";
/// Estimated bytes of text per token.
const TOKEN_BYTES: u64 = 4;

/// A prompt level together with all levels outside it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelPrefix {
    /// Hash chain over the levels down to this one.
    pub id: PrefixId,
    /// Estimated tokens from the start of the prompt to the end of this level.
    pub tokens: u64,
}

/// Returns the ids of a prompt's levels, outermost first.
///
/// The hash chain starts from account, pool, adapter and weights version, so the same text has
/// another id under another account or other weights.
pub fn level_prefixes<T: AsRef<str>>(
    account: &str,
    pool: &str,
    adapter: &str,
    weights_version: WeightsVersion,
    texts: &[T],
) -> Vec<LevelPrefix> {
    let mut parent = chain_root(account, pool, adapter, weights_version);
    let mut bytes = 0;
    let mut prefixes = Vec::with_capacity(texts.len());
    for text in texts {
        let text = text.as_ref();
        parent = chain_child(&parent, text);
        bytes += text.len() as u64;
        prefixes.push(LevelPrefix {
            id: short_hash(&parent),
            tokens: bytes.div_ceil(TOKEN_BYTES),
        });
    }
    prefixes
}

/// Returns the salt for an account's blocks in an engine's cache, as hexadecimal digits.
pub fn cache_salt(account: &str) -> Box<str> {
    let key = blake3::derive_key(SALT_CONTEXT, account.as_bytes());
    blake3::Hash::from(key).to_hex().as_str().into()
}

/// Estimates the number of tokens from the length of a text, rounded up.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}

/// Returns the root of a hash chain. Each part is preceded by its length, so that the boundaries
/// between parts are unambiguous.
fn chain_root(
    account: &str,
    pool: &str,
    adapter: &str,
    weights_version: WeightsVersion,
) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_derive_key(ROOT_CONTEXT);
    for part in [account, pool, adapter] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(&weights_version.to_le_bytes());
    hasher.finalize()
}

/// Appends a level to the hash chain.
fn chain_child(parent: &blake3::Hash, text: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(parent.as_bytes());
    hasher.update(text.as_bytes());
    hasher.finalize()
}

/// Returns the first eight bytes of a hash.
fn short_hash(hash: &blake3::Hash) -> PrefixId {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
