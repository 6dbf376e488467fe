//! Stand-ins for endpoints and platform, each with switches for its faults.

pub mod fake_engine;
pub mod fake_kv;
pub mod fake_list;
pub mod fake_log;
pub mod fake_service;
pub mod fake_weights;
pub mod seeded;
