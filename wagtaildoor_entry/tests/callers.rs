//! Tests of the responses that callers get from an entry: answers, streams and errors.

#[path = "support/crash_proxy.rs"]
mod crash_proxy;
#[path = "callers/engine_crashes.rs"]
mod engine_crashes;
#[path = "support/entry_rig.rs"]
mod entry_rig;
#[path = "support/fake_keeper.rs"]
mod fake_keeper;
#[path = "callers/refusals.rs"]
mod refusals;
#[path = "callers/slow_callers.rs"]
mod slow_callers;
#[path = "callers/streams.rs"]
mod streams;
