//! Coordination parts of a router for language-model traffic with long shared prompts.

pub mod breaker;
mod candidates;
mod endpoint_slot;
pub mod error;
pub mod frame;
pub mod generation_map;
pub mod ids;
pub mod load_view;
pub mod log_store;
pub mod placement;
pub mod prefix;
pub mod prompt;
pub mod rendezvous;
pub mod residency;
pub mod routing_table;
pub mod schema;
pub mod stream_check;
mod table_state;
