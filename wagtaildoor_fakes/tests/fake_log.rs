//! Each fault switch of the stand-in log bites.

use std::time::Duration;

use tokio::time;
use wagtaildoor::{
    log_store::{
        LogError,
        LogStore, //
    },
    schema::LogPage,
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// Stream the tests use.
const STREAM: &str = "s";
/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(60);

/// Everything the stream holds.
async fn whole(log: &FakeLog) -> LogPage {
    log.read(STREAM, 1, 100, Duration::ZERO)
        .await
        .expect("reads go on")
}

/// One row of the table: the fault, whether the append's answer arrives, and how many records
/// the stream holds at once and after the delay of late appends.
struct FaultCase {
    /// What is switched on.
    faults: LogFaults,
    /// What the append answers.
    answer: fn(&Result<u64, LogError>) -> bool,
    /// Records right after the append.
    at_once: usize,
    /// Records in the end.
    in_the_end: usize,
}

#[tokio::test(start_paused = true)]
async fn append_faults_bite() {
    let lost: fn(&Result<u64, LogError>) -> bool = |a| matches!(a, Err(LogError::Uncertain(_)));
    let refused: fn(&Result<u64, LogError>) -> bool =
        |a| matches!(a, Err(LogError::Unavailable(_)));
    let stored: fn(&Result<u64, LogError>) -> bool = |a| matches!(a, Ok(1));
    let case = |faults, answer, at_once, in_the_end| FaultCase {
        faults,
        answer,
        at_once,
        in_the_end,
    };
    let none = LogFaults::default;
    let cases = [
        case(none(), stored, 1, 1),
        case(
            LogFaults {
                append_outage: true,
                ..none()
            },
            refused,
            0,
            0,
        ),
        case(
            LogFaults {
                lost_answers: 1,
                ..none()
            },
            lost,
            1,
            1,
        ),
        case(
            LogFaults {
                lost_requests: 1,
                ..none()
            },
            lost,
            0,
            0,
        ),
        case(
            LogFaults {
                late_appends: 1,
                late_ms: 500,
                ..none()
            },
            lost,
            0,
            1,
        ),
        case(
            LogFaults {
                duplicates: 1,
                ..none()
            },
            stored,
            2,
            2,
        ),
        case(
            LogFaults {
                slow_ms: 200,
                ..none()
            },
            stored,
            1,
            1,
        ),
    ];
    for case in cases {
        let log = FakeLog::new(RETENTION);
        log.set_faults(case.faults.clone());
        let before = time::Instant::now();
        let answer = log.append(STREAM, "a".into()).await.map(|a| a.offset);
        assert!((case.answer)(&answer), "{:?}: {answer:?}", case.faults);
        assert_eq!(
            before.elapsed(),
            Duration::from_millis(case.faults.slow_ms),
            "{:?}",
            case.faults
        );
        assert_eq!(
            whole(&log).await.records.len(),
            case.at_once,
            "{:?}",
            case.faults
        );
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            whole(&log).await.records.len(),
            case.in_the_end,
            "{:?}",
            case.faults
        );
    }
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_reads_of_one_link_only() {
    let log = FakeLog::new(RETENTION);
    let other = log.link();
    log.append(STREAM, "a".into()).await.expect("no fault yet");
    let cut = LogFaults {
        outage: true,
        ..LogFaults::default()
    };
    log.set_faults(cut);
    let answer = log.read(STREAM, 1, 1, Duration::ZERO).await;
    assert!(matches!(answer, Err(LogError::Unavailable(_))));
    assert_eq!(whole(&other).await.records.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn records_go_after_retention() {
    let log = FakeLog::new(RETENTION);
    log.append(STREAM, "a".into()).await.expect("no fault");
    time::sleep(RETENTION / 2).await;
    log.append(STREAM, "b".into()).await.expect("no fault");
    time::sleep(RETENTION / 2 + Duration::from_millis(1)).await;
    let page = whole(&log).await;
    assert_eq!((page.first, page.next, page.records.len()), (2, 3, 1));
}

#[tokio::test(start_paused = true)]
async fn trimming_takes_young_records() {
    let log = FakeLog::new(RETENTION);
    log.append(STREAM, "a".into()).await.expect("no fault");
    log.trim(STREAM, 2);
    let page = whole(&log).await;
    assert_eq!((page.first, page.next, page.records.len()), (2, 2, 0));
}

#[tokio::test(start_paused = true)]
async fn reader_is_woken_by_an_append() {
    let log = FakeLog::new(RETENTION);
    let reader = log.clone();
    let read = tokio::spawn(async move { reader.read(STREAM, 1, 10, RETENTION / 2).await });
    time::sleep(Duration::from_secs(1)).await;
    log.append(STREAM, "a".into()).await.expect("no fault");
    let page = read.await.expect("no panic").expect("no fault");
    assert_eq!(page.records.len(), 1);
}
