//! Operators' tool of wagtaildoor: checks, publishes, and tells what happened and why.

pub mod cli;
pub mod client;
pub mod exit;
pub mod gather;
pub mod output;
pub mod run;
pub mod table;
pub mod target;
pub mod verbs;
