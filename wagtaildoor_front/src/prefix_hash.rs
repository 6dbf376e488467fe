//! Hashes of names and prompt prefixes, which must be equal on all hosts.

use std::time::Duration;

use wagtaildoor::ids::PrefixId;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a text with FNV-1a, followed by bit mixing.
pub fn text_hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix_bits(text.bytes().fold(FNV_OFFSET, step))
}

/// Combines two hashes; the order matters.
pub fn combine_hashes(first: u64, second: u64) -> u64 {
    mix_bits(first.rotate_left(17).wrapping_add(FNV_PRIME) ^ second)
}

/// Ids of the prefixes that end at each part of a prompt, shortest first.
pub fn prefix_ids(cache_salt: &str, parts: impl Iterator<Item = u64>) -> Vec<PrefixId> {
    let mut hash = text_hash(cache_salt);
    let mut ids = Vec::new();
    for part in parts {
        hash = combine_hashes(hash, part);
        ids.push(hash);
    }
    ids
}

/// Time by which a host waits so that all hosts are spread over `spread`.
pub fn spread_host(host: &str, spread: Duration) -> Duration {
    spread.mul_f64(text_hash(host) as f64 / u64::MAX as f64)
}

/// Mixes the bits of a hash, so that similar inputs give unrelated hashes.
fn mix_bits(hash: u64) -> u64 {
    let mut mixed = hash ^ (hash >> 32);
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
