//! Deterministic response text: the same on every engine that serves the same weights.

use wagtaildoor::schema::EngineRequest;

use crate::seeded;

/// Vocabulary of the generated text.
const WORDS: [&str; 16] = [
    "selamat", "pagi", "terima", "kasih", "jalan", "besar", "kedai", "buku", "pitch", "savannah",
    "vendor", "square", "balloon", "permit", "fee", "corner",
];

/// Generator of the response text to one request.
#[derive(Clone, Debug)]
pub struct AnswerText {
    /// Hash of everything that the text depends on.
    input_hash: u64,
}

impl AnswerText {
    /// Creates the generator for a request.
    pub fn new(request: &EngineRequest) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [&request.model, &request.adapter, &request.prompt] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&request.weights_version.to_le_bytes());
        Self {
            input_hash: seeded::hash_to_number(&hasher),
        }
    }

    /// Returns the text of one chunk, which depends only on the request and the sequence number.
    pub fn chunk_text(&self, sequence: u64) -> Box<str> {
        let number = mix(self.input_hash ^ mix(sequence + 1));
        let word = WORDS[(number % WORDS.len() as u64) as usize];
        format!("{word}-{:03x} ", (number >> 32) & 0xfff).into()
    }

    /// Returns the concatenated text of the first `chunks` chunks.
    pub fn full_text(&self, chunks: u64) -> String {
        (0..chunks)
            .map(|sequence| self.chunk_text(sequence))
            .collect()
    }
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
