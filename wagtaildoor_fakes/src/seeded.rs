//! Pseudorandom decisions that depend only on a seed and a name, so that runs are reproducible.

/// Returns a pseudorandom number for a seed, a kind of decision (`label`) and a subject (`name`).
pub fn draw(seed: u64, label: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(label.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    hash_to_number(&hasher)
}

/// Whether a fault that affects `percent` of all names affects this one.
pub fn is_selected(seed: u64, label: &str, name: &str, percent: u32) -> bool {
    percent > 0 && draw(seed, label, name) % 100 < u64::from(percent)
}

/// Returns the first eight bytes of a hash as a little-endian number.
pub fn hash_to_number(hasher: &blake3::Hasher) -> u64 {
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
