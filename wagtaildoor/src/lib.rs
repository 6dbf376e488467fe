//! Coordination parts of a router for language-model traffic with long shared prompts.

pub mod error;
pub mod frame;
pub mod ids;
pub mod log_store;
pub mod prefix;
pub mod prompt;
pub mod schema;
pub mod stream_check;
