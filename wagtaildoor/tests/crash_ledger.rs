//! Blame of prompt parts for crashes of engines.

use std::time::Duration;

use wagtaildoor::{
    boot_clock::BootInstant,
    crash_ledger::{
        CrashLedger,
        CrashReport,
        ReportVerdict, //
    },
    ids::{
        EngineStart,
        PartId, //
    },
};

/// First part of all prompts, answered all the time.
const TEMPLATE: PartId = 1;
/// Part that crashes engines.
const BAD: PartId = 66;
/// Sound part that is not answered during the tests unless they say so.
const RARE: PartId = 7;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(100_000 + ms)
}

/// Records a crash with the number of crashes that were known when the request was sent.
fn crash(ledger: &mut CrashLedger, part: PartId, engine: EngineStart, known: u32, ms: u64) {
    let report = CrashReport {
        part,
        engine,
        known_crashes: known,
        in_first_event: true,
    };
    ledger.record_crash(&report, at(ms));
}

/// Guards against BUDGET: a part that had crashed engine after engine went on to the next one.
#[test]
fn a_part_under_which_three_engines_crashed_is_blocked() {
    let mut ledger = CrashLedger::default();
    for engine in 0..3 {
        assert_eq!(ledger.blocked_part(&[TEMPLATE, BAD], at(0)), None);
        let known = ledger.known_crashes(BAD);
        crash(&mut ledger, BAD, engine, known, engine * 1_000);
    }
    assert_eq!(ledger.blocked_part(&[TEMPLATE, BAD], at(2_000)), Some(BAD));
    assert_eq!(ledger.blocked_part(&[TEMPLATE, RARE], at(2_000)), None);
}

/// Guards against refusing sound prompts that were in progress on engines that ended one by one.
#[test]
fn crashes_after_the_first_event_weigh_less() {
    let mut ledger = CrashLedger::default();
    for engine in 0..5 {
        assert_eq!(ledger.blocked_part(&[RARE], at(engine)), None);
        let report = CrashReport {
            part: RARE,
            engine,
            known_crashes: engine as u32,
            in_first_event: false,
        };
        assert_eq!(
            ledger.record_crash(&report, at(engine)),
            ReportVerdict::Added
        );
    }
    assert_eq!(ledger.blocked_part(&[RARE], at(5)), Some(RARE));
}

#[test]
fn one_crash_counts_once_however_many_hosts_report_it() {
    let mut ledger = CrashLedger::default();
    let report = CrashReport {
        part: BAD,
        engine: 1,
        known_crashes: 1,
        in_first_event: true,
    };
    assert_eq!(ledger.record_crash(&report, at(0)), ReportVerdict::Added);
    for _ in 0..5 {
        assert_eq!(ledger.record_crash(&report, at(1)), ReportVerdict::Known);
    }
    assert_eq!(ledger.known_crashes(BAD), 1);
    assert_eq!(ledger.blocked_part(&[BAD], at(1)), None);
}

/// Guards against refusing sound prompts after a rack of engines lost power.
#[test]
fn engines_that_crash_together_blame_no_part() {
    let mut ledger = CrashLedger::default();
    for engine in 0..10 {
        crash(&mut ledger, RARE, engine, 0, 0);
    }
    assert_eq!(ledger.blocked_part(&[RARE], at(1)), None);
}

#[test]
fn an_answer_clears_a_part_and_contradicts_later_reports() {
    let mut ledger = CrashLedger::default();
    for engine in 0..3 {
        crash(&mut ledger, RARE, engine, engine as u32, engine);
    }
    assert_eq!(ledger.blocked_part(&[RARE], at(3)), Some(RARE));
    assert_eq!(ledger.record_answer(RARE, at(4)), [0, 1, 2]);
    assert_eq!(ledger.blocked_part(&[RARE], at(4)), None);
    let report = CrashReport {
        part: RARE,
        engine: 9,
        known_crashes: 3,
        in_first_event: true,
    };
    let verdict = ledger.record_crash(&report, at(1_000));
    assert_eq!(verdict, ReportVerdict::Contradicted);
    let verdict = ledger.record_crash(&report, at(60_000));
    assert_eq!(verdict, ReportVerdict::Added, "an old answer shows nothing");
}

/// Guards against blaming sound parts that were in progress on the engines that another one crashed.
#[test]
fn crashes_that_another_part_explains_blame_no_sound_part() {
    let mut ledger = CrashLedger::default();
    for engine in 0..4 {
        crash(&mut ledger, BAD, engine, engine as u32, engine);
    }
    for engine in 1..4 {
        crash(&mut ledger, RARE, engine, 1, engine);
    }
    assert_eq!(ledger.blocked_part(&[TEMPLATE, RARE], at(9)), None);
    assert_eq!(ledger.blocked_part(&[TEMPLATE, BAD], at(9)), Some(BAD));
}

/// Guards against a long refusal of sound prompts because one report against the crashing part is
/// missing: its host was killed, or its caller had left.
#[test]
fn one_missing_report_does_not_blame_a_sound_part() {
    let mut ledger = CrashLedger::default();
    for engine in [0, 1, 3, 4] {
        crash(&mut ledger, BAD, engine, engine as u32, engine);
    }
    for engine in 1..4 {
        crash(&mut ledger, RARE, engine, 1, engine);
    }
    assert_eq!(ledger.blocked_part(&[TEMPLATE, RARE], at(9)), None);
    assert_eq!(ledger.blocked_part(&[TEMPLATE, BAD], at(9)), Some(BAD));
}

/// Guards against losing that a request was sent after an earlier crash when another host reports the
/// same crash without it.
#[test]
fn reports_of_one_crash_are_merged() {
    let mut ledger = CrashLedger::default();
    let reports = [(2, false), (0, true)];
    for engine in 0..3 {
        for (known_crashes, in_first_event) in reports {
            let report = CrashReport {
                part: BAD,
                engine,
                known_crashes,
                in_first_event,
            };
            assert_eq!(ledger.record_crash(&report, at(0)), ReportVerdict::Added);
        }
        let merged = ledger.merged_report(BAD, engine).expect("a report");
        assert_eq!((merged.known_crashes, merged.in_first_event), (2, true));
    }
    assert_eq!(ledger.blocked_part(&[BAD], at(1)), Some(BAD));
}

#[test]
fn parts_with_the_same_crashes_are_blocked_only_together() {
    let mut ledger = CrashLedger::default();
    for engine in 0..3 {
        crash(&mut ledger, BAD, engine, 1, engine);
        crash(&mut ledger, RARE, engine, 1, engine);
    }
    assert_eq!(ledger.blocked_part(&[BAD, RARE], at(9)), Some(BAD));
    assert_eq!(ledger.blocked_part(&[RARE], at(9)), None);
    assert_eq!(ledger.blocked_part(&[BAD], at(9)), None);
    crash(&mut ledger, BAD, 3, 3, 10);
    assert_eq!(ledger.blocked_part(&[BAD], at(11)), Some(BAD));
    assert_eq!(ledger.blocked_part(&[RARE], at(11)), None);
}

#[test]
fn evidence_expires_and_is_bounded() {
    let mut ledger = CrashLedger::default();
    for engine in 0..3 {
        crash(&mut ledger, BAD, engine, 1, 0);
    }
    assert_eq!(ledger.blocked_part(&[BAD], at(599_999)), Some(BAD));
    assert_eq!(ledger.blocked_part(&[BAD], at(600_000)), None);
    assert_eq!(ledger.expire(at(600_000)).len(), 3);
    for engine in 0..3 {
        crash(&mut ledger, BAD, engine, 1, 0);
    }
    for part in 1_000..3_000 {
        crash(&mut ledger, part, part, 0, 1);
    }
    assert_eq!(ledger.suspect_count(), 256);
    assert_eq!(ledger.known_crashes(BAD), 3, "the strongest evidence stays");
}

#[test]
fn withdrawn_crashes_no_longer_count() {
    let mut ledger = CrashLedger::default();
    for engine in 0..3 {
        crash(&mut ledger, RARE, engine, 1, 0);
    }
    ledger.withdraw_crash(RARE, 1);
    assert_eq!(ledger.known_crashes(RARE), 2);
    assert_eq!(ledger.blocked_part(&[RARE], at(1)), None);
    ledger.retain_crashes(|_, engine| engine == 9);
    assert_eq!(ledger.suspect_count(), 0);
}
