//! Coordination parts of a router for language-model traffic with long shared prompts.

mod candidates;
mod endpoint_slot;
mod table_state;

pub mod breaker;
pub mod clock;
pub mod config_chain;
pub mod config_change;
pub mod config_follower;
pub mod config_publisher;
pub mod error;
pub mod explain;
pub mod frame;
pub mod generation_map;
pub mod ids;
pub mod keeper_connection;
pub mod keeper_link;
pub mod load_view;
pub mod log_http;
pub mod log_store;
pub mod logging;
pub mod placement;
pub mod prefix;
pub mod prompt;
pub mod rendezvous;
pub mod residency;
pub mod routing_table;
pub mod schema;
pub mod settings;
pub mod stream_check;
pub mod template_file;
pub mod timeline;
pub mod view_board;
pub mod view_state;
