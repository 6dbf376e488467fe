//! Load tool and policy experiments.

pub mod cli;
pub mod latency;
pub mod load_call;
pub mod process_use;
