//! The answer to a request, the same on every engine with the same weights.

use wagtaildoor::schema::EngineRequest;

use crate::seeded;

/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "selamat", "pagi", "terima", "kasih", "jalan", "besar", "kedai", "buku", "pitch", "savannah",
    "vendor", "square", "balloon", "permit", "fee", "corner",
];

/// The words of one request's answer.
#[derive(Clone, Debug)]
pub struct AnswerText {
    /// Number drawn from all that the answer depends on.
    root: u64,
}

impl AnswerText {
    /// The answer to a request.
    pub fn new(request: &EngineRequest) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [&request.model, &request.adapter, &request.prompt] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&request.weights_version.to_le_bytes());
        Self {
            root: seeded::first_number(&hasher),
        }
    }

    /// The text of one chunk.
    pub fn chunk(&self, sequence: u64) -> Box<str> {
        let number = mix(self.root ^ mix(sequence + 1));
        let word = WORDS[(number % WORDS.len() as u64) as usize];
        format!("{word}-{:03x} ", (number >> 32) & 0xfff).into()
    }

    /// The whole text.
    pub fn whole(&self, chunks: u64) -> String {
        (0..chunks).map(|sequence| self.chunk(sequence)).collect()
    }
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
