//! Ids of nested prompt levels, and the salt that keeps accounts apart in an engine's cache.

use crate::ids::{
    PrefixId,
    WeightsVersion, //
};

/// Context of the hash that prefix chains start from.
const ROOT_CONTEXT: &str = "wagtaildoor prefix root 1";
/// Context of the hash that gives cache salts.
const SALT_CONTEXT: &str = "wagtaildoor cache salt 1";
/// Bytes of text that are counted as one token.
const TOKEN_BYTES: u64 = 4;

/// A prompt level together with all levels outside of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelPrefix {
    /// Hash of the chain of levels down to this one.
    pub id: PrefixId,
    /// Estimated tokens from the start of the prompt to the end of this level.
    pub tokens: u64,
}

/// Ids of the levels of a prompt, from the outside in.
///
/// The chain is rooted at account, pool, adapter and weights version, so that a prefix of
/// another account or of older weights has another id, whatever its text.
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

/// Salt of an account's blocks in an engine's cache.
pub fn cache_salt(account: &str) -> Box<str> {
    let key = blake3::derive_key(SALT_CONTEXT, account.as_bytes());
    blake3::Hash::from(key).to_hex().as_str().into()
}

/// Estimated tokens of a text.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(TOKEN_BYTES)
}

/// Start of a chain; each part goes with its length, so that parts cannot run together.
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

/// The chain with one more level.
fn chain_child(parent: &blake3::Hash, text: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(parent.as_bytes());
    hasher.update(text.as_bytes());
    hasher.finalize()
}

/// First eight bytes of a hash.
fn short_hash(hash: &blake3::Hash) -> PrefixId {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
