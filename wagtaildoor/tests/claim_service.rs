//! Claims against a log with faults.

use std::time::Duration;

use tokio::time;
use tokio_util::sync::CancellationToken;
use uuid::{
    ContextV7,
    Timestamp,
    Uuid, //
};
use wagtaildoor::{
    claim_key::{
        self,
        KeyError, //
    },
    claim_policy::ClaimPolicy,
    claim_service::ClaimService,
    ids::RequestKey,
    log_store::LogStore,
    schema::{
        ClaimBatch,
        ClaimOutcome,
        ClaimRecord,
        ClaimRelease,
        ClaimSettlement,
        ClaimStart,
        ClaimVerdict,
        SettledAs, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(3600);
/// Initial log time, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
/// Maximum time for a claim or a record.
const WAIT: Duration = Duration::from_secs(3);

/// A log and the claim service of one host.
struct ClaimTest {
    /// Connection to the log without faults.
    log: FakeLog,
    /// Connection of the host to the log.
    link: FakeLog,
    /// Claim service of the host.
    service: ClaimService<FakeLog>,
}

impl ClaimTest {
    /// Starts a host on a new log.
    fn new() -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let link = log.link();
        let service = start_service(&link);
        Self { log, link, service }
    }

    /// Starts another host on the same log, without faults.
    fn other_host(&self) -> ClaimService<FakeLog> {
        start_service(&self.log)
    }
}

/// Starts a claim service on a log with two claim streams.
fn start_service(link: &FakeLog) -> ClaimService<FakeLog> {
    let policy = ClaimPolicy::new(2, RETENTION);
    let service = ClaimService::new(link.clone(), policy, CancellationToken::new());
    tokio::spawn(service.clone().run());
    service
}

/// Creates a key with the given time.
fn key_at(created_ms: u64) -> RequestKey {
    let (seconds, rest_ms) = (created_ms / 1000, (created_ms % 1000) as u32);
    let stamp = Timestamp::from_unix(ContextV7::new(), seconds, rest_ms * 1_000_000);
    Uuid::new_v7(stamp).to_string().into()
}

fn claim_start(key: &RequestKey, attempt: &str) -> ClaimStart {
    ClaimStart {
        account: "school".into(),
        attempt: attempt.into(),
        body_hash: "b0".into(),
        host: "h1".into(),
        key: key.clone(),
        request: "r1".into(),
        template: "order".into(),
    }
}

fn outcome(key: &RequestKey, attempt: &str) -> ClaimOutcome {
    ClaimOutcome {
        account: "school".into(),
        answer: "{}".into(),
        attempt: attempt.into(),
        content_type: "application/json".into(),
        key: key.clone(),
        status: 200,
    }
}

fn release_record(key: &RequestKey, attempt: &str) -> ClaimRecord {
    ClaimRecord::Release(ClaimRelease {
        account: "school".into(),
        attempt: attempt.into(),
        key: key.clone(),
    })
}

fn settlement_record(key: &RequestKey, attempt: &str, settled: SettledAs) -> ClaimRecord {
    ClaimRecord::Settlement(ClaimSettlement {
        account: "school".into(),
        attempt: attempt.into(),
        by: "ah".into(),
        key: key.clone(),
        note: "asked the printer".into(),
        settled,
    })
}

#[test]
fn key_age_is_checked_against_log_time() {
    let policy = ClaimPolicy::new(1, RETENTION);
    let now_ms = STARTED_MS;
    let ms = |time: Duration| time.as_millis() as u64;
    let life_ms = ms(RETENTION - policy.key_margin);
    let cases = [
        (key_at(now_ms), Ok(())),
        (key_at(now_ms + ms(policy.key_skew)), Ok(())),
        (
            key_at(now_ms + ms(policy.key_skew) + 1),
            Err(KeyError::TooNew),
        ),
        (key_at(now_ms - life_ms), Ok(())),
        (key_at(now_ms - life_ms - 1), Err(KeyError::TooOld)),
        (Uuid::new_v4().to_string().into(), Err(KeyError::Malformed)),
        ("order-17".into(), Err(KeyError::Malformed)),
    ];
    for (key, expected) in cases {
        assert_eq!(
            claim_key::check_key_age(&key, now_ms, &policy),
            expected,
            "{key}"
        );
    }
    let key = key_at(now_ms);
    assert_eq!(claim_key::canonicalize_key(&key.to_uppercase()), Ok(key));
    assert!(policy.key_margin > policy.key_skew);
}

#[tokio::test(start_paused = true)]
async fn one_attempt_wins_and_copies_get_its_answer() {
    let test = ClaimTest::new();
    let other = test.other_host();
    let key = key_at(STARTED_MS);
    let won = test.service.claim(claim_start(&key, "a"), WAIT).await;
    assert!(matches!(won, ClaimVerdict::Won(_)), "{won:?}");
    let busy = other.claim(claim_start(&key, "b"), WAIT).await;
    assert_eq!(busy, ClaimVerdict::Busy("a".into()));
    let mut body = claim_start(&key, "c");
    body.body_hash = "b1".into();
    let mismatch = other.claim(body, WAIT).await;
    assert_eq!(mismatch, ClaimVerdict::Mismatch("a".into()));
    let copy = tokio::spawn({
        let (other, start) = (other.clone(), claim_start(&key, "d"));
        async move { other.claim(start, WAIT).await }
    });
    time::sleep(Duration::from_millis(100)).await;
    let record = ClaimRecord::Outcome(outcome(&key, "a"));
    assert!(test.service.record(record, WAIT).await);
    let done = copy.await.expect("no panic");
    assert_eq!(done, ClaimVerdict::Done(outcome(&key, "a")));
    // A release after the outcome has no effect.
    assert!(!test.service.record(release_record(&key, "a"), WAIT).await);
    let done = test.service.claim(claim_start(&key, "e"), WAIT).await;
    assert_eq!(done, ClaimVerdict::Done(outcome(&key, "a")));
}

#[tokio::test(start_paused = true)]
async fn claims_survive_the_faults_of_an_append() {
    let none = LogFaults::default;
    let cases = [
        LogFaults {
            lost_answers: 1,
            ..none()
        },
        LogFaults {
            lost_requests: 2,
            ..none()
        },
        LogFaults {
            late_appends: 1,
            late_ms: 1000,
            ..none()
        },
        LogFaults {
            duplicates: 1,
            ..none()
        },
        LogFaults {
            slow_ms: 800,
            ..none()
        },
    ];
    for faults in cases {
        let test = ClaimTest::new();
        test.link.set_faults(faults.clone());
        let key = key_at(STARTED_MS);
        let won = test.service.claim(claim_start(&key, "a"), WAIT).await;
        assert!(matches!(won, ClaimVerdict::Won(_)), "{faults:?}: {won:?}");
        time::sleep(WAIT).await;
        let busy = test.other_host().claim(claim_start(&key, "b"), WAIT).await;
        assert_eq!(busy, ClaimVerdict::Busy("a".into()), "{faults:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_refuses_and_leaves_no_claim() {
    let test = ClaimTest::new();
    time::sleep(WAIT).await;
    let key = key_at(STARTED_MS);
    test.link.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let refused = test.service.claim(claim_start(&key, "a"), WAIT).await;
    assert!(matches!(refused, ClaimVerdict::Refused(_)), "{refused:?}");
    test.link.set_faults(LogFaults::default());
    time::sleep(WAIT).await;
    assert_eq!(test.log.counts().appends, 0);
    let won = test.other_host().claim(claim_start(&key, "b"), WAIT).await;
    assert!(matches!(won, ClaimVerdict::Won(_)), "{won:?}");
}

/// A delayed append can store a claim after its client received "uncertain". The release that
/// follows it must free the key.
#[tokio::test(start_paused = true)]
async fn an_uncertain_claim_is_released() {
    let test = ClaimTest::new();
    time::sleep(WAIT).await;
    let key = key_at(STARTED_MS);
    test.link.set_faults(LogFaults {
        late_appends: 100,
        late_ms: 4000,
        ..LogFaults::default()
    });
    let verdict = test.service.claim(claim_start(&key, "a"), WAIT).await;
    assert!(matches!(verdict, ClaimVerdict::Uncertain(_)), "{verdict:?}");
    test.link.set_faults(LogFaults::default());
    time::sleep(WAIT * 3).await;
    let won = test.other_host().claim(claim_start(&key, "b"), WAIT).await;
    assert!(matches!(won, ClaimVerdict::Won(_)), "{won:?}");
}

/// The claim future is dropped when the connection to the entry closes during the claim.
#[tokio::test(start_paused = true)]
async fn a_dropped_claim_is_released() {
    let test = ClaimTest::new();
    time::sleep(WAIT).await;
    test.link.set_faults(LogFaults {
        slow_ms: 1000,
        ..LogFaults::default()
    });
    let key = key_at(STARTED_MS);
    let claim = test.service.claim(claim_start(&key, "a"), WAIT);
    let dropped = time::timeout(Duration::from_millis(200), claim).await;
    assert!(dropped.is_err());
    time::sleep(WAIT * 3).await;
    let won = test.other_host().claim(claim_start(&key, "b"), WAIT).await;
    assert!(matches!(won, ClaimVerdict::Won(_)), "{won:?}");
}

#[tokio::test(start_paused = true)]
async fn a_released_attempt_cannot_claim_again() {
    let test = ClaimTest::new();
    let key = key_at(STARTED_MS);
    // The release reaches the log before the claim that it releases.
    assert!(test.service.record(release_record(&key, "a"), WAIT).await);
    let refused = test.other_host().claim(claim_start(&key, "a"), WAIT).await;
    assert!(matches!(refused, ClaimVerdict::Refused(_)), "{refused:?}");
    let won = test.service.claim(claim_start(&key, "b"), WAIT).await;
    assert!(matches!(won, ClaimVerdict::Won(_)), "{won:?}");
}

#[tokio::test(start_paused = true)]
async fn settlements_count_only_after_the_window() {
    let test = ClaimTest::new();
    let policy = ClaimPolicy::new(2, RETENTION);
    let key = key_at(STARTED_MS);
    test.service.claim(claim_start(&key, "a"), WAIT).await;
    assert!(test.service.unresolved().is_empty());
    let not_run = settlement_record(&key, "a", SettledAs::NotRun);
    assert!(!test.service.record(not_run.clone(), WAIT).await);
    time::sleep(policy.settlement_wait()).await;
    assert_eq!(test.service.unresolved().len(), 1);
    assert!(test.service.record(not_run, WAIT).await);
    assert!(test.service.unresolved().is_empty());
    let won = test.service.claim(claim_start(&key, "b"), WAIT).await;
    assert!(matches!(won, ClaimVerdict::Won(_)), "{won:?}");
    let ran = settlement_record(&key, "b", SettledAs::Ran);
    assert!(test.service.record(ran, WAIT).await);
    let settled = test.other_host().claim(claim_start(&key, "c"), WAIT).await;
    assert_eq!(settled, ClaimVerdict::Settled("b".into()));
}

/// Settlements that bypass the service and reach the log too early must be ignored.
#[tokio::test(start_paused = true)]
async fn an_early_settlement_in_the_log_does_not_count() {
    let test = ClaimTest::new();
    let key = key_at(STARTED_MS);
    test.service.claim(claim_start(&key, "a"), WAIT).await;
    let batch = ClaimBatch {
        records: vec![settlement_record(&key, "a", SettledAs::NotRun)],
        version: 1,
    };
    let data = serde_json::to_string(&batch).expect("a batch");
    for shard in ["claims-0", "claims-1"] {
        let append = test.log.append(shard, data.clone().into());
        append.await.expect("no fault");
    }
    time::sleep(WAIT).await;
    let busy = test.service.claim(claim_start(&key, "b"), WAIT).await;
    assert_eq!(busy, ClaimVerdict::Busy("a".into()));
}

#[tokio::test(start_paused = true)]
async fn old_keys_are_refused_and_dropped() {
    let test = ClaimTest::new();
    let key = key_at(STARTED_MS);
    test.service.claim(claim_start(&key, "a"), WAIT).await;
    test.service
        .record(ClaimRecord::Outcome(outcome(&key, "a")), WAIT)
        .await;
    time::sleep(RETENTION + WAIT).await;
    for service in [test.service.clone(), test.other_host()] {
        let verdict = service.claim(claim_start(&key, "b"), WAIT).await;
        assert!(matches!(verdict, ClaimVerdict::Expired(_)), "{verdict:?}");
    }
}

/// A log that drops records before the end of the retention must not let a key run twice.
#[tokio::test(start_paused = true)]
async fn an_early_trim_is_noticed() {
    let test = ClaimTest::new();
    let other = test.other_host();
    time::sleep(WAIT).await;
    let key = key_at(STARTED_MS);
    test.link.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    other.claim(claim_start(&key, "a"), WAIT).await;
    for shard in ["claims-0", "claims-1"] {
        test.log.trim(shard, 100);
    }
    test.link.set_faults(LogFaults::default());
    time::sleep(WAIT).await;
    let verdict = test.service.claim(claim_start(&key, "b"), WAIT).await;
    assert!(matches!(verdict, ClaimVerdict::Expired(_)), "{verdict:?}");
}
