//! Daemon that accepts requests of callers and forwards them to endpoints.

pub mod access;
pub mod admit;
pub mod caller_answer;
pub mod caller_body;
pub mod caller_headers;
pub mod caller_server;
pub mod crash_monitor;
pub mod engine_attempt;
pub mod engine_call;
pub mod engine_crash;
pub mod http_clients;
pub mod metrics;
pub mod model_run;
pub mod once_run;
pub mod request_scope;
pub mod request_timeline;
pub mod routes;
pub mod run_context;
pub mod server;
pub mod service_call;
pub mod service_run;
pub mod state;
