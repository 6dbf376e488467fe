//! Operators' CLI: checks and publishes configurations, shows a deployment's status and events.

pub mod cli;
pub mod client;
pub mod exit;
pub mod gather;
pub mod output;
pub mod run;
pub mod table;
pub mod target;
pub mod verbs;
