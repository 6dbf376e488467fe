//! Coordination daemon of wagtaildoor. One runs on each entry host.

pub mod entry_calls;
pub mod entry_listener;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod platform_list;
pub mod rollouts;
pub mod server;
pub mod state;
pub mod view_builder;
