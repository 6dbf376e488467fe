//! Load generator and placement policy simulations for wagtaildoor.

pub mod capacity;
pub mod cli;
pub mod crash;
pub mod latency;
pub mod load_call;
pub mod once;
pub mod orders;
pub mod policy;
pub mod process_use;
