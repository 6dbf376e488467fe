//! Admission under a paused clock: limits, deadlines, early rejection and cancelled requests.

use std::time::Duration;

use tokio::{
    task::JoinSet,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor::{
    account_limit::AccountLimits,
    admission::{
        AdmissionLimits,
        AdmissionPermit,
        AdmissionQueue, //
    },
    error::ErrorKind,
    fair_queue::SchedulingParams,
    schema::Urgency,
};

/// Parameters of a request whose deadline is in `deadline_ms`.
fn params(account: &str, deadline_ms: u64) -> SchedulingParams {
    SchedulingParams {
        account: account.into(),
        weight: 1,
        urgency: Urgency::Normal,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        cost: 1,
    }
}

/// Queue with the given limits, on the only entry host.
fn queue(in_flight: u32, queued: u32) -> AdmissionQueue {
    AdmissionQueue::new(AdmissionLimits { in_flight, queued }, 1)
}

/// Admits one request without waiting.
async fn admit(queue: &AdmissionQueue) -> AdmissionPermit {
    queue.admit(&params("a", 1_000), 0).await.expect("a place")
}

#[tokio::test(start_paused = true)]
async fn a_released_permit_admits_the_next_request() {
    let queue = queue(1, 10);
    let first = admit(&queue).await;
    let waiting = {
        let queue = queue.clone();
        tokio::spawn(async move { queue.admit(&params("a", 1_000), 0).await.is_ok() })
    };
    tokio::task::yield_now().await;
    assert_eq!(queue.queued(), 1);
    drop(first);
    assert!(waiting.await.expect("a task"));
}

#[tokio::test(start_paused = true)]
async fn a_queued_request_is_rejected_and_removed_at_its_deadline() {
    let queue = queue(1, 10);
    let _first = admit(&queue).await;
    let start = Instant::now();
    let result = queue.admit(&params("a", 300), 0).await;
    assert_eq!(result.err(), Some(ErrorKind::DeadlineUnreachable));
    assert_eq!(start.elapsed(), Duration::from_millis(300));
    assert_eq!(queue.queued(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_with_an_unreachable_deadline_is_rejected_at_once() {
    let queue = queue(1, 100);
    let mut tasks = JoinSet::new();
    for _ in 0..40 {
        let queue = queue.clone();
        tasks.spawn(async move {
            let permit = queue.admit(&params("a", 60_000), 0).await;
            time::sleep(Duration::from_millis(100)).await;
            drop(permit);
        });
    }
    time::sleep(Duration::from_millis(1_050)).await;
    let before = Instant::now();
    let late = queue.admit(&params("a", 50), 0).await;
    assert_eq!(late.err(), Some(ErrorKind::DeadlineUnreachable));
    assert_eq!(before.elapsed(), Duration::ZERO, "refused without a wait");
    let in_time = queue.admit(&params("a", 10_000), 0).await;
    assert!(in_time.is_ok());
    drop(in_time);
    while tasks.join_next().await.is_some() {}
}

#[tokio::test(start_paused = true)]
async fn cancelled_requests_leak_no_permits() {
    let queue = queue(2, 100);
    for round in 0..50_u64 {
        let permits = [admit(&queue).await, admit(&queue).await];
        let mut tasks = JoinSet::new();
        for number in 0..6 {
            let queue = queue.clone();
            tasks.spawn(async move {
                let wait = Duration::from_millis((round + number) % 4);
                let request_params = params("a", 10_000);
                let admission = queue.admit(&request_params, 0);
                let _ = time::timeout(wait, admission).await;
            });
        }
        time::sleep(Duration::from_millis(round % 3)).await;
        drop(permits);
        if round % 2 == 0 {
            tasks.abort_all();
        }
        while tasks.join_next().await.is_some() {}
    }
    let both = [admit(&queue).await, admit(&queue).await];
    assert_eq!(queue.queued(), 0);
    let third = time::timeout(Duration::from_millis(1), queue.admit(&params("a", 100), 0)).await;
    assert!(third.is_err(), "no more than two places");
    drop(both);
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_rejects_the_account_that_fills_it() {
    let queue = queue(1, 4);
    let first = admit(&queue).await;
    let mut flood = JoinSet::new();
    for _ in 0..4 {
        let queue = queue.clone();
        flood.spawn(async move { queue.admit(&params("flood", 5_000), 0).await.map(drop) });
    }
    tokio::task::yield_now().await;
    let again = queue.admit(&params("flood", 5_000), 0).await;
    assert_eq!(again.err(), Some(ErrorKind::Overloaded));
    let small = {
        let queue = queue.clone();
        tokio::spawn(async move { queue.admit(&params("small", 5_000), 0).await.is_ok() })
    };
    tokio::task::yield_now().await;
    drop(first);
    assert!(small.await.expect("a task"));
    let mut refused = 0;
    while let Some(result) = flood.join_next().await {
        if result.expect("a task") == Err(ErrorKind::Overloaded) {
            refused += 1;
        }
    }
    assert_eq!(refused, 1);
}

#[tokio::test(start_paused = true)]
async fn hosts_split_an_account_limit_equally() {
    let cases = [
        ("one host", 1, 100),
        ("five hosts", 5, 20),
        ("more hosts than requests", 200, 1),
    ];
    for (name, hosts, each) in cases {
        let mut limits = AccountLimits::new(hosts);
        let account = "a".into();
        let mut granted = 0;
        while limits.try_acquire(&account, 100).is_ok() {
            granted += 1;
        }
        assert!(granted <= 2 * each, "{name}: burst of {granted}");
        let seconds = 20;
        let mut granted = 0;
        for _ in 0..seconds * 100 {
            time::advance(Duration::from_millis(10)).await;
            granted += u32::from(limits.try_acquire(&account, 100).is_ok());
        }
        let fair = 100 * seconds / hosts;
        assert!(granted <= fair + 1, "{name}: {granted} of {fair}");
        assert!(granted + 1 >= fair, "{name}: {granted} of {fair}");
    }
}
