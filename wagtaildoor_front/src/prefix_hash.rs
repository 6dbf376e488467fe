//! Hashes that all hosts compute alike: of names, of cache walls and of chains of prompt parts.

use wagtaildoor::ids::{
    ModelId,
    PrefixId,
    WeightsVersion, //
};

/// Start value of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of a text.
pub fn text_hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix(text.bytes().fold(FNV_OFFSET, step))
}

/// Hash of two hashes, in order.
pub fn combine_hashes(first: u64, second: u64) -> u64 {
    mix(first.rotate_left(17).wrapping_add(FNV_PRIME) ^ second)
}

/// Text that keeps cached blocks of other weights, and of other accounts if one is given, apart.
pub fn cache_namespace(
    model: &ModelId,
    weights: WeightsVersion,
    isolated: Option<&str>,
) -> Box<str> {
    match isolated {
        Some(account) => format!("{model}/{weights}/{account}").into(),
        None => format!("{model}/{weights}").into(),
    }
}

/// Ids of the prefixes of a prompt, one for each of its parts, the outermost first.
pub fn prefix_ids(wall: &str, parts: impl Iterator<Item = u64>) -> Vec<PrefixId> {
    let mut parent = text_hash(wall);
    let mut chain = Vec::new();
    for part in parts {
        parent = combine_hashes(parent, part);
        chain.push(parent);
    }
    chain
}

/// Spreads the bits of a hash.
fn mix(hash: u64) -> u64 {
    let mut mixed = hash ^ (hash >> 32);
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
