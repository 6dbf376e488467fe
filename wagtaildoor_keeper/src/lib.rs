//! Coordination daemon of wagtaildoor, one on each entry host.

pub mod entries;
pub mod entry_calls;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform_list;
pub mod rollouts;
pub mod server;
pub mod state;
pub mod view_builder;
