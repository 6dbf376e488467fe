//! Operators' tool of wagtaildoor: checks, publishes, and tells what happened and why.

pub mod answer;
pub mod cli;
pub mod client;
pub mod exit;
pub mod gather;
pub mod run;
pub mod table;
pub mod target;
pub mod verbs;
