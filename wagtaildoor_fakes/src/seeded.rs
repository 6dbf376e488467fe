//! Decisions that depend on a seed and a name only, so that a run can be repeated.

/// A number drawn from a seed, what is decided, and for whom.
pub fn draw(seed: u64, label: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(label.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    first_number(&hasher)
}

/// Whether a fault that strikes a share of all names strikes this one.
pub fn strikes(seed: u64, label: &str, name: &str, percent: u32) -> bool {
    percent > 0 && draw(seed, label, name) % 100 < u64::from(percent)
}

/// The first eight bytes of a hash as a number.
pub fn first_number(hasher: &blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
