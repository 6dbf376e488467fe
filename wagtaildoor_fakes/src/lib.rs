//! Fake endpoints and platform services for tests and demos, each with switchable faults.

pub mod cli;
pub mod connection_gate;
pub mod connection_state;
pub mod effect_service;
pub mod fake_engine;
pub mod fake_kv;
pub mod fake_list;
pub mod fake_log;
pub mod fake_network;
pub mod fake_service;
pub mod fake_weights;
pub mod http_engine;
pub mod http_kv;
pub mod http_list;
pub mod http_log;
pub mod http_response;
pub mod http_server;
pub mod http_service;
pub mod pause;
pub mod program;
pub mod registration;
pub mod response_framing;
pub mod seeded;
pub mod weight_source;
