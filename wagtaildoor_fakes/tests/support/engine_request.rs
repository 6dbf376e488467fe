//! A request that the tests vary.

use wagtaildoor::schema::EngineRequest;

/// Tokens of the answer.
pub const ANSWER_TOKENS: u32 = 20;
/// Bytes of one block.
pub const BLOCK_BYTES: usize = 64;

/// A request for an answer to a prompt.
pub fn request_for(prompt: &str) -> EngineRequest {
    EngineRequest {
        adapter: "".into(),
        attempt_id: "attempt-1".into(),
        cache_salt: "salt".into(),
        levels: vec![prompt.len() as u64],
        max_tokens: ANSWER_TOKENS,
        model: "drafter".into(),
        priority: 0,
        prompt: prompt.into(),
        request_id: "request-1".into(),
        resume_from: 0,
        weights_version: 1,
    }
}

/// A prompt of whole blocks, each begun by its letter.
pub fn prompt_of(letters: &str) -> String {
    let block = |letter: char| letter.to_string().repeat(BLOCK_BYTES);
    letters.chars().map(block).collect()
}
