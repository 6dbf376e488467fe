//! Publications against a given head, which are refused if the head is no longer the newest.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    config_chain::ConfigChain,
    config_follower::ConfigFollower,
    config_publisher::{
        self,
        PublishOutcome, //
    },
    schema::{
        ConfigChange,
        ConfigHead,
        Pool,
        PoolKind, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// Maximum time for a publication.
const WAIT: Duration = Duration::from_secs(10);

/// A change that is valid on its own.
fn pool(id: &str) -> ConfigChange {
    ConfigChange::PutPool(Pool {
        checks_fencing: false,
        checks_request_keys: false,
        id: id.into(),
        kind: PoolKind::Service,
        load_slots: 1,
        lookup_path: "".into(),
        weights_version: 1,
    })
}

/// Reads the chain from the log.
async fn chain(log: &FakeLog) -> ConfigChain {
    let follower = ConfigFollower::new(log.clone(), CancellationToken::new());
    follower.catch_up().await.expect("no outage");
    follower.chain()
}

/// Publishes a pool that was compared with the head `seen`.
async fn publish(log: &FakeLog, held: ConfigChain, seen: &ConfigHead, id: &str) -> PublishOutcome {
    let deadline = Instant::now() + WAIT;
    let changes = vec![pool(id)];
    config_publisher::publish_if_current(log.clone(), held, seen, "ben", "", changes, deadline)
        .await
}

#[tokio::test(start_paused = true)]
async fn the_newest_head_lets_changes_through() {
    let log = FakeLog::new(WAIT * 100);
    let held = chain(&log).await;
    let seen = held.head().clone();
    let outcome = publish(&log, held, &seen, "app").await;
    assert!(
        matches!(outcome, PublishOutcome::Published(_)),
        "{outcome:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn an_older_head_is_refused_and_the_winner_named() {
    let log = FakeLog::new(WAIT * 100);
    let seen = chain(&log).await.head().clone();
    let first = vec![pool("app")];
    let first = config_publisher::publish(log.clone(), "ah", "", first, WAIT).await;
    let PublishOutcome::Published(head) = first else {
        panic!("not published: {first:?}");
    };
    let outcome = publish(&log, chain(&log).await, &seen, "other").await;
    let operator = "ah".into();
    assert_eq!(outcome, PublishOutcome::LostTo { operator, head });
    assert_eq!(log.counts().appends, 1);
}

#[tokio::test(start_paused = true)]
async fn an_older_head_is_refused_when_the_log_does_not_name_the_winner() {
    let log = FakeLog::new(WAIT * 100);
    let seen = chain(&log).await.head().clone();
    config_publisher::publish(log.clone(), "ah", "", vec![pool("app")], WAIT).await;
    let held = chain(&log).await;
    log.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let outcome = publish(&log, held, &seen, "other").await;
    assert!(
        matches!(outcome, PublishOutcome::LostTo { .. }),
        "{outcome:?}"
    );
    assert_eq!(log.counts().appends, 1);
}

#[tokio::test(start_paused = true)]
async fn a_keeper_that_is_behind_publishes_nothing() {
    let log = FakeLog::new(WAIT * 100);
    let behind = chain(&log).await;
    config_publisher::publish(log.clone(), "ah", "", vec![pool("app")], WAIT).await;
    let seen = chain(&log).await.head().clone();
    let outcome = publish(&log, behind, &seen, "other").await;
    assert!(
        matches!(outcome, PublishOutcome::Unavailable(_)),
        "{outcome:?}"
    );
    assert_eq!(log.counts().appends, 1);
}
