//! Command line tool for operators: checks and publishes configurations, and shows the status and
//! events of a deployment.

pub mod cli;
pub mod client;
pub mod exit;
pub mod gather;
pub mod output;
pub mod run;
pub mod table;
pub mod target;
pub mod verbs;
