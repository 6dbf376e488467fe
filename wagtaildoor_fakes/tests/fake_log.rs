//! Tests of the fake log: the effect of each fault, retention and waiting readers.

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

const STREAM: &str = "s";
/// Retention time of the log.
const RETENTION: Duration = Duration::from_secs(60);

/// Reads all records of the stream.
async fn read_all(log: &FakeLog) -> LogPage {
    log.read(STREAM, 1, 100, Duration::ZERO)
        .await
        .expect("reads still work")
}

/// An append with one fault: the expected result, and the number of records in the stream right
/// after it and after the delay of late appends.
struct FaultCase {
    faults: LogFaults,
    /// Whether the append's result is the expected one.
    response: fn(&Result<u64, LogError>) -> bool,
    /// Number of records right after the append.
    stored_at_once: usize,
    /// Number of records 1 s after the append.
    stored_later: usize,
}

#[tokio::test(start_paused = true)]
async fn append_faults_take_effect() {
    let lost: fn(&Result<u64, LogError>) -> bool = |a| matches!(a, Err(LogError::Uncertain(_)));
    let refused: fn(&Result<u64, LogError>) -> bool =
        |a| matches!(a, Err(LogError::Unavailable(_)));
    let stored: fn(&Result<u64, LogError>) -> bool = |a| matches!(a, Ok(1));
    let case = |faults, response, stored_at_once, stored_later| FaultCase {
        faults,
        response,
        stored_at_once,
        stored_later,
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
        let response = log.append(STREAM, "a".into()).await.map(|a| a.offset);
        assert!(
            (case.response)(&response),
            "{:?}: {response:?}",
            case.faults
        );
        assert_eq!(
            before.elapsed(),
            Duration::from_millis(case.faults.slow_ms),
            "{:?}",
            case.faults
        );
        assert_eq!(
            read_all(&log).await.records.len(),
            case.stored_at_once,
            "{:?}",
            case.faults
        );
        time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            read_all(&log).await.records.len(),
            case.stored_later,
            "{:?}",
            case.faults
        );
    }
}

#[tokio::test(start_paused = true)]
async fn outage_refuses_reads_of_one_client_only() {
    let log = FakeLog::new(RETENTION);
    let other = log.link();
    log.append(STREAM, "a".into()).await.expect("no fault yet");
    let outage = LogFaults {
        outage: true,
        ..LogFaults::default()
    };
    log.set_faults(outage);
    let response = log.read(STREAM, 1, 1, Duration::ZERO).await;
    assert!(matches!(response, Err(LogError::Unavailable(_))));
    assert_eq!(read_all(&other).await.records.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn records_expire_after_the_retention_time() {
    let log = FakeLog::new(RETENTION);
    log.append(STREAM, "a".into()).await.expect("no fault");
    time::sleep(RETENTION / 2).await;
    log.append(STREAM, "b".into()).await.expect("no fault");
    time::sleep(RETENTION / 2 + Duration::from_millis(1)).await;
    let page = read_all(&log).await;
    assert_eq!((page.first, page.next, page.records.len()), (2, 3, 1));
}

#[tokio::test(start_paused = true)]
async fn trim_drops_unexpired_records() {
    let log = FakeLog::new(RETENTION);
    log.append(STREAM, "a".into()).await.expect("no fault");
    log.trim(STREAM, 2);
    let page = read_all(&log).await;
    assert_eq!((page.first, page.next, page.records.len()), (2, 2, 0));
}

#[tokio::test(start_paused = true)]
async fn append_wakes_a_waiting_reader() {
    let log = FakeLog::new(RETENTION);
    let reader = log.clone();
    let read = tokio::spawn(async move { reader.read(STREAM, 1, 10, RETENTION / 2).await });
    time::sleep(Duration::from_secs(1)).await;
    log.append(STREAM, "a".into()).await.expect("no fault");
    let page = read.await.expect("the task completes").expect("no fault");
    assert_eq!(page.records.len(), 1);
}
