//! Parts that the daemons share: command line, HTTP server, metrics and timeline queries.

pub mod cli;
pub mod http_server;
pub mod metric_registry;
pub mod request_body;
pub mod response_body;
pub mod timeline_query;
