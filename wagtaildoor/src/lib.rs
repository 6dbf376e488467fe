//! Coordination parts of a router for language-model traffic with long shared prompts.

pub mod clock;
pub mod error;
pub mod frame;
pub mod ids;
pub mod log_store;
pub mod logging;
pub mod prompt;
pub mod schema;
pub mod settings;
pub mod template_file;
pub mod timeline;
