//! Tests of connection faults: crashes and close-delimited responses, as clients see them.

#[path = "connections/close_delimited.rs"]
mod close_delimited;
#[path = "support/engine_request.rs"]
mod engine_request;
#[path = "support/fake_server.rs"]
mod fake_server;
#[path = "connections/gate.rs"]
mod gate;
#[path = "support/gated_server.rs"]
mod gated_server;
#[path = "connections/prompt_crash.rs"]
mod prompt_crash;
#[path = "support/raw_connection.rs"]
mod raw_connection;
