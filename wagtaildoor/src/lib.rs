//! Coordination parts of a router for language-model traffic with long shared prompts.

pub mod clock;
pub mod config_chain;
pub mod config_change;
pub mod config_follower;
pub mod config_publisher;
pub mod datagram_port;
pub mod error;
pub mod frame;
pub mod ids;
pub mod keeper_connection;
pub mod keeper_link;
pub mod log_http;
pub mod log_store;
pub mod logging;
pub mod membership;
pub mod peer_datagram;
pub mod peer_table;
pub mod prefix;
pub mod prompt;
pub mod rumour_queue;
pub mod schema;
pub mod settings;
pub mod stream_check;
pub mod timeline;
pub mod view_board;
pub mod view_state;
