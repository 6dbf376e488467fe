//! Coordination parts of a router for language-model traffic with long shared prompts.

pub mod error;
pub mod frame;
pub mod ids;
pub mod keeper_connection;
pub mod keeper_link;
pub mod log_store;
pub mod schema;
pub mod view_board;
pub mod view_state;
