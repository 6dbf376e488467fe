//! What the daemons share: command line, HTTP server, metrics, time line.

pub mod cli;
pub mod http_server;
pub mod metric_registry;
pub mod response_body;
pub mod timeline_query;
