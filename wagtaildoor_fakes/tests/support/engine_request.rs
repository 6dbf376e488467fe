//! Request that the tests modify.

use wagtaildoor::schema::EngineRequest;

/// Number of tokens in the response.
pub const ANSWER_TOKENS: u32 = 20;
/// Bytes of text per block.
pub const BLOCK_BYTES: usize = 64;

/// Builds a request that starts at the first token and has the whole prompt as one level.
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

/// Returns a prompt with one block per letter, filled with that letter.
pub fn block_prompt(block_letters: &str) -> String {
    let block = |letter: char| letter.to_string().repeat(BLOCK_BYTES);
    block_letters.chars().map(block).collect()
}
