//! Load tool and policy experiments.

pub mod cli;
pub mod latency;
pub mod load_call;
pub mod once;
pub mod policy;
pub mod process_use;
