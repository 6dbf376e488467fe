//! What callers get: answers, whole streams, and a clear error for each fault.

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
