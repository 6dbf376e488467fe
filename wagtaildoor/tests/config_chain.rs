//! The configuration chain: which records advance it, concurrent publications, and gaps.

use std::time::Duration;

use tokio::time;
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    config_chain::{
        self,
        ChainStep,
        ConfigChain,
        CONFIG_STREAM, //
    },
    config_change::{
        self,
        ConfigRefusal, //
    },
    config_follower::ConfigFollower,
    config_publisher::{
        self,
        PublishOutcome, //
    },
    schema::{
        Account,
        ConfigChange,
        ConfigRecord,
        Level,
        LevelText,
        LogRecord,
        Pool,
        PoolKind,
        Template,
        Urgency,
        WeightsChange, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(3600);
/// Maximum time for a publication.
const WAIT: Duration = Duration::from_secs(10);

/// Adds a pool of engines.
fn pool(weights_version: u64) -> ConfigChange {
    ConfigChange::PutPool(Pool {
        checks_fencing: true,
        checks_request_keys: false,
        id: "drafters".into(),
        kind: PoolKind::Model,
        load_slots: 2,
        lookup_path: "".into(),
        weights_version,
    })
}

/// Adds a text.
fn text(text: &str) -> ConfigChange {
    ConfigChange::PutText(LevelText {
        hash: config_change::text_hash(text),
        text: text.into(),
    })
}

/// A template with a single text.
fn template(id: &str, pool: &str, text: &str) -> Template {
    Template {
        accounts: Vec::new(),
        adapter: "".into(),
        deadline_ms: 1000,
        first_token_ms: 100,
        id: id.into(),
        levels: vec![Level {
            name: "house".into(),
            text_hash: config_change::text_hash(text),
        }],
        max_tokens: 16,
        path: "".into(),
        pool: pool.into(),
        repeatable: true,
        urgency: Urgency::Normal,
    }
}

/// Adds an account. Different weights distinguish the publications.
fn account(weight: u32) -> ConfigChange {
    ConfigChange::PutAccount(Account {
        id: "school".into(),
        parameters: Vec::new(),
        requests_per_s: 0,
        token_hash: "".into(),
        weight,
    })
}

/// Wraps a configuration record in a log record.
fn logged(offset: u64, record: &ConfigRecord) -> LogRecord {
    LogRecord {
        data: config_chain::encode_record(record),
        offset,
        time_ms: offset,
    }
}

#[test]
fn invalid_changes_are_refused() {
    let base = [
        pool(3),
        text("glossary"),
        ConfigChange::PutTemplate(template("draft", "drafters", "glossary")),
    ];
    let base = config_change::apply(&config_change::empty(), &base).expect("a whole configuration");
    let raise = |version| {
        ConfigChange::RaiseWeights(WeightsChange {
            pool: "drafters".into(),
            version,
        })
    };
    let put = ConfigChange::PutTemplate;
    let mut service = template("draft", "drafters", "glossary");
    service.path = "/orders".into();
    let mut closed = template("draft", "drafters", "glossary");
    closed.accounts = vec!["nobody".into()];
    let forged = LevelText {
        hash: config_change::text_hash("a"),
        text: "b".into(),
    };
    type Check = fn(&ConfigRefusal) -> bool;
    let cases: Vec<(ConfigChange, Option<Check>)> = vec![
        (raise(4), None),
        (
            raise(3),
            Some(|r| matches!(r, ConfigRefusal::Weights { .. })),
        ),
        (
            raise(2),
            Some(|r| matches!(r, ConfigRefusal::Weights { .. })),
        ),
        (pool(3), None),
        (
            pool(2),
            Some(|r| matches!(r, ConfigRefusal::Weights { .. })),
        ),
        (
            pool(4),
            Some(|r| matches!(r, ConfigRefusal::Weights { .. })),
        ),
        (
            put(template("draft", "nowhere", "glossary")),
            Some(|r| matches!(r, ConfigRefusal::UnknownPool { .. })),
        ),
        (
            put(template("draft", "drafters", "missing")),
            Some(|r| matches!(r, ConfigRefusal::UnknownText { .. })),
        ),
        (
            put(service),
            Some(|r| matches!(r, ConfigRefusal::PathMismatch(_))),
        ),
        (
            put(closed),
            Some(|r| matches!(r, ConfigRefusal::UnknownAccount { .. })),
        ),
        (
            ConfigChange::PutText(forged),
            Some(|r| matches!(r, ConfigRefusal::TextHash(_))),
        ),
        (
            ConfigChange::RemoveTemplate("other".into()),
            Some(|r| matches!(r, ConfigRefusal::NoSuchTemplate(_))),
        ),
        (ConfigChange::RemoveTemplate("draft".into()), None),
    ];
    for (change, refusal) in cases {
        let applied = config_change::apply(&base, std::slice::from_ref(&change));
        match (refusal, applied) {
            (None, Ok(_)) => {}
            (Some(check), Err(refusal)) => assert!(check(&refusal), "{change:?}: {refusal}"),
            (_, applied) => panic!("{change:?}: {applied:?}"),
        }
    }
}

#[test]
fn the_first_child_of_the_head_wins() {
    let mut chain = ConfigChain::default();
    let first = chain.child_record("ah", "", vec![account(1)]);
    let second = chain.child_record("ben", "", vec![account(2)]);
    assert_eq!(chain.apply_record(&logged(1, &first)), ChainStep::Advanced);
    assert_eq!(chain.apply_record(&logged(2, &second)), ChainStep::Lost);
    assert_eq!(chain.apply_record(&logged(3, &first)), ChainStep::Lost);
    let orphan = ConfigRecord {
        parent: "feed".into(),
        ..chain.child_record("ben", "", vec![account(3)])
    };
    assert_eq!(chain.apply_record(&logged(4, &orphan)), ChainStep::Lost);
    let refused = chain.child_record("ben", "", vec![ConfigChange::RemoveTemplate("x".into())]);
    assert!(matches!(
        chain.apply_record(&logged(5, &refused)),
        ChainStep::Refused(_)
    ));
    let next = chain.child_record("ben", "", vec![account(4)]);
    assert_eq!(chain.apply_record(&logged(6, &next)), ChainStep::Advanced);
    assert_eq!((chain.head().sequence, chain.head().offset), (2, 6));
}

/// After a gap, a losing record may look like the first child of the head. Only a child of it
/// confirms that it is part of the chain.
#[test]
fn after_a_gap_only_a_confirmed_record_counts() {
    let mut whole = ConfigChain::default();
    let mut late = ConfigChain::default();
    let first = whole.child_record("ah", "", vec![account(1)]);
    whole.apply_record(&logged(1, &first));
    late.apply_record(&logged(1, &first));
    let loser = whole.checkpoint_record("keeper");
    let winner = whole.child_record("ben", "", vec![account(2)]);
    whole.apply_record(&logged(2, &winner));
    whole.apply_record(&logged(3, &loser));
    late.mark_gap();
    assert_eq!(
        late.apply_record(&logged(3, &loser)),
        ChainStep::Unconfirmed
    );
    assert_eq!(late.head().sequence, 1);
    let checkpoint = whole.checkpoint_record("keeper");
    whole.apply_record(&logged(4, &checkpoint));
    late.apply_record(&logged(4, &checkpoint));
    assert!(late.has_gap());
    let proof = whole.child_record("keeper", "", Vec::new());
    whole.apply_record(&logged(5, &proof));
    assert_eq!(late.apply_record(&logged(5, &proof)), ChainStep::Advanced);
    assert_eq!(late.head(), whole.head());
    assert_eq!(late.configuration(), whole.configuration());
    assert!(!late.has_gap());
}

#[tokio::test(start_paused = true)]
async fn racing_operators_are_told_who_won() {
    let log = FakeLog::new(RETENTION);
    // Requests are slow, so that both operators have read the head before either appends.
    log.set_faults(LogFaults {
        slow_ms: 20,
        ..LogFaults::default()
    });
    let race = |operator: &'static str, weight| {
        config_publisher::publish(log.clone(), operator, "race", vec![account(weight)], WAIT)
    };
    let (one, other) = tokio::join!(race("ah", 1), race("ben", 2));
    let (winner, published, lost) = match (&one, &other) {
        (PublishOutcome::Published(_), _) => ("ah", one, other),
        _ => ("ben", other, one),
    };
    let PublishOutcome::Published(head) = published else {
        panic!("nobody won: {published:?} {lost:?}");
    };
    let PublishOutcome::LostTo {
        operator,
        head: seen,
    } = lost
    else {
        panic!("both won: {lost:?}");
    };
    assert_eq!((&*operator, seen), (winner, head));
}

#[tokio::test(start_paused = true)]
async fn publications_survive_the_faults_of_an_append() {
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
            late_ms: 2000,
            ..none()
        },
        LogFaults {
            duplicates: 1,
            ..none()
        },
        LogFaults {
            slow_ms: 900,
            ..none()
        },
    ];
    for faults in cases {
        let log = FakeLog::new(RETENTION);
        log.set_faults(faults.clone());
        let outcome =
            config_publisher::publish(log.clone(), "ah", "", vec![account(1)], WAIT).await;
        let PublishOutcome::Published(head) = outcome else {
            panic!("{faults:?}: {outcome:?}");
        };
        time::sleep(WAIT).await;
        let follower = ConfigFollower::new(log, CancellationToken::new());
        follower.catch_up().await.expect("no outage");
        assert_eq!(*follower.chain().head(), head, "{faults:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_publishes_nothing_and_is_reported() {
    let log = FakeLog::new(RETENTION);
    let cut = log.link();
    cut.set_faults(LogFaults {
        append_outage: true,
        ..LogFaults::default()
    });
    let outcome = config_publisher::publish(cut, "ah", "", vec![account(1)], WAIT).await;
    assert!(
        matches!(outcome, PublishOutcome::Unavailable(_)),
        "{outcome:?}"
    );
    assert_eq!(log.counts().appends, 0);
}

#[tokio::test(start_paused = true)]
async fn a_follower_survives_outages_and_takes_only_newer_heads() {
    let log = FakeLog::new(RETENTION);
    let link = log.link();
    let token = CancellationToken::new();
    let follower = ConfigFollower::new(link.clone(), token.clone());
    let mut watch = follower.watch();
    let running = tokio::spawn(follower.clone().run());
    config_publisher::publish(log.clone(), "ah", "", vec![account(1)], WAIT).await;
    watch
        .wait_for(|state| state.head.sequence == 1)
        .await
        .expect("a follower");
    let old = watch.borrow().clone();
    link.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    config_publisher::publish(log.clone(), "ah", "", vec![account(2)], WAIT).await;
    time::sleep(WAIT).await;
    assert_eq!(watch.borrow().head.sequence, 1);
    // A peer that can reach the log passes on the new head.
    let peer = ConfigFollower::new(log.clone(), token.clone());
    peer.catch_up().await.expect("no outage");
    let newer = peer.chain();
    assert!(follower.offer_head(newer.head(), newer.configuration()));
    assert!(!follower.offer_head(&old.head, &old.configuration));
    assert_eq!(watch.borrow().head, *newer.head());
    link.set_faults(LogFaults::default());
    config_publisher::publish(log.clone(), "ah", "", vec![account(3)], WAIT).await;
    watch
        .wait_for(|state| state.head.sequence == 3)
        .await
        .expect("a follower");
    token.cancel();
    running.await.expect("no panic");
}

#[tokio::test(start_paused = true)]
async fn a_trimmed_log_gives_no_wrong_head() {
    let log = FakeLog::new(RETENTION);
    for weight in 1..=3 {
        config_publisher::publish(log.clone(), "ah", "", vec![account(weight)], WAIT).await;
    }
    log.trim(CONFIG_STREAM, 3);
    let late = ConfigFollower::new(log.clone(), CancellationToken::new());
    late.catch_up().await.expect("no outage");
    assert_eq!(late.chain().head().sequence, 0);
    assert!(late.chain().has_gap());
    let outcome = config_publisher::publish(log.clone(), "ah", "", vec![account(9)], WAIT).await;
    assert!(matches!(outcome, PublishOutcome::Refused(_)), "{outcome:?}");
}
