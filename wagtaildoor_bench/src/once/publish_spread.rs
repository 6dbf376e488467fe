//! Time from an accepted publication to its being in force on all hosts.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use tokio::time::{
    self,
    Instant, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    config_follower::ConfigFollower,
    config_publisher::{
        self,
        PublishOutcome, //
    },
    schema::{
        Account,
        ConfigChange, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// Hosts that follow the log.
const HOSTS: usize = 20;
/// Publications of each case.
const PUBLICATIONS: u32 = 200;
/// Longest time of a publication.
const WAIT: Duration = Duration::from_secs(60);
/// Longest time between two publications, in milliseconds.
const SPACING_LIMIT_MS: u64 = 5000;
/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// One case.
struct SpreadCase {
    /// Name.
    name: &'static str,
    /// Time of each call to the log, in milliseconds.
    slow_ms: u64,
}

/// Cases.
const CASES: [SpreadCase; 3] = [
    SpreadCase {
        name: "log calls take about 10 ms",
        slow_ms: 10,
    },
    SpreadCase {
        name: "log calls take about 200 ms",
        slow_ms: 200,
    },
    SpreadCase {
        name: "log calls take about 2 s",
        slow_ms: 2000,
    },
];

/// Measures and prints all cases.
pub async fn print(seed: u64) {
    println!();
    println!("| until in force on {HOSTS} hosts | publications | accepted p50 ms | accepted p99 ms | command p50 ms | command p99 ms |");
    println!("|---|---|---|---|---|---|");
    for case in CASES {
        let times = measure(&case, seed).await;
        println!(
            "| {} | {} | {} | {} | {} | {} |",
            case.name,
            times.accepted.len(),
            times.accepted.value_at_quantile(0.5),
            times.accepted.value_at_quantile(0.99),
            times.asked.value_at_quantile(0.5),
            times.asked.value_at_quantile(0.99)
        );
    }
}

/// Times of one case until all hosts have the publication in force, in milliseconds.
struct SpreadTimes {
    /// From the publisher's "accepted" on.
    accepted: Histogram<u64>,
    /// From the operator's command on.
    asked: Histogram<u64>,
}

/// Records the time since an instant.
fn record(times: &mut Histogram<u64>, since: Instant) {
    let elapsed_ms = since.elapsed().as_millis() as u64;
    times
        .record(elapsed_ms)
        .expect("the histogram resizes itself");
}

/// A link whose calls take a time.
fn slow_link(log: &FakeLog, slow_ms: u64) -> FakeLog {
    let link = log.link();
    link.set_faults(LogFaults {
        slow_ms,
        ..LogFaults::default()
    });
    link
}

/// Measures one case.
async fn measure(case: &SpreadCase, seed: u64) -> SpreadTimes {
    let log = FakeLog::new(RETENTION);
    let mut draw = StdRng::seed_from_u64(seed);
    let publisher = slow_link(&log, case.slow_ms);
    let token = CancellationToken::new();
    let mut followers = Vec::new();
    for _ in 0..HOSTS {
        let slow_ms = draw.random_range(case.slow_ms / 2..case.slow_ms * 2);
        let follower = ConfigFollower::new(slow_link(&log, slow_ms), token.clone());
        tokio::spawn(follower.clone().run());
        followers.push(follower);
    }
    let histogram = || Histogram::new(3).expect("three digits are allowed");
    let mut times = SpreadTimes {
        accepted: histogram(),
        asked: histogram(),
    };
    for number in 0..PUBLICATIONS {
        time::sleep(Duration::from_millis(
            draw.random_range(0..SPACING_LIMIT_MS),
        ))
        .await;
        let change = account(number);
        let asked = Instant::now();
        let outcome =
            config_publisher::publish(publisher.clone(), "ah", "", vec![change], WAIT).await;
        let PublishOutcome::Published(head) = outcome else {
            continue;
        };
        let accepted = Instant::now();
        for follower in &followers {
            let mut watch = follower.watch();
            let reached = watch.wait_for(|state| state.head.sequence >= head.sequence);
            reached.await.expect("the follower lives");
        }
        record(&mut times.accepted, accepted);
        record(&mut times.asked, asked);
    }
    token.cancel();
    times
}

/// A change that tells publications apart.
fn account(number: u32) -> ConfigChange {
    ConfigChange::PutAccount(Account {
        id: "school".into(),
        parameters: Vec::new(),
        requests_per_s: number,
        token_hash: "".into(),
        weight: 1,
    })
}
