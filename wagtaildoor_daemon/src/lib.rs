//! What the daemons share: command line, HTTP server, metrics, time line.

pub mod answer_body;
pub mod cli;
pub mod http_server;
pub mod metric_registry;
pub mod timeline_query;
