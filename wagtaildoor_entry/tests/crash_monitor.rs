//! Tests which prompts are blocked after several answers broke off with the same engine.

use slog::{
    o,
    Discard,
    Logger, //
};
use wagtaildoor::{
    error::ErrorKind,
    ids::PartId, //
};
use wagtaildoor_entry::crash_monitor::{
    self,
    CrashMonitor, //
};

/// Part that crashes engines.
const BAD: PartId = 66;
/// Sound part that is not answered during the test.
const RARE: PartId = 7;

/// Guards against blocking a sound prompt because its broken answer is looked at before the one whose
/// prompt crashed the engine.
#[test]
fn the_order_in_which_broken_answers_are_looked_at_does_not_matter() {
    let monitor = CrashMonitor::new(Logger::root(Discard, o!()));
    for boot in ["first", "second", "third"] {
        let engine = crash_monitor::engine_start("drafter-0", boot);
        let rare = monitor.begin_answer(monitor.sent_parts(&[RARE]), engine);
        let bad = monitor.begin_answer(monitor.sent_parts(&[BAD]), engine);
        monitor.record_crash(rare.engine());
        assert_eq!(monitor.check_parts(&[RARE]), Ok(()), "{boot}");
        drop(rare);
        monitor.record_crash(bad.engine());
    }
    // The next engine ends under the bad part alone, which tells the two from each other.
    let engine = crash_monitor::engine_start("drafter-0", "fourth");
    let _bad = monitor.begin_answer(monitor.sent_parts(&[BAD]), engine);
    monitor.record_crash(engine);
    let blocked = monitor.check_parts(&[BAD]).map_err(|error| error.kind);
    assert_eq!(blocked, Err(ErrorKind::PromptBlocked));
    assert_eq!(monitor.check_parts(&[RARE]), Ok(()));
}

/// Guards against blaming answers that had ended before the engine did.
#[test]
fn answers_that_have_ended_are_not_blamed() {
    let monitor = CrashMonitor::new(Logger::root(Discard, o!()));
    for boot in ["first", "second", "third"] {
        let engine = crash_monitor::engine_start("drafter-0", boot);
        drop(monitor.begin_answer(monitor.sent_parts(&[RARE]), engine));
        monitor.record_crash(engine);
    }
    assert_eq!(monitor.sent_parts(&[RARE])[0].known_crashes, 0);
}
