//! Coordination parts of a router for language-model traffic with long shared prompts.

pub mod claim_key;
pub mod claim_ledger;
pub mod claim_policy;
pub mod claim_queue;
pub mod claim_service;
mod claim_shard;
pub mod clock;
pub mod config_chain;
pub mod config_change;
pub mod config_follower;
pub mod config_publisher;
pub mod error;
pub mod frame;
pub mod ids;
pub mod keeper_connection;
pub mod keeper_link;
pub mod log_http;
pub mod log_store;
pub mod logging;
pub mod prefix;
pub mod prompt;
pub mod schema;
pub mod settings;
pub mod stream_check;
pub mod timeline;
pub mod view_board;
pub mod view_state;
