//! Propagation time of an accepted publication until it is in force on all hosts.

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

/// Number of hosts that follow the log.
const HOST_COUNT: usize = 20;
/// Publications per case.
const PUBLICATIONS: u32 = 200;
/// Timeout of a publication.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time between two publications, in milliseconds.
const MAX_PUBLISH_INTERVAL_MS: u64 = 5000;
/// Retention of records in the log.
const LOG_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Log latency to measure with.
struct SpreadCase {
    /// Label in the printed table.
    name: &'static str,
    /// Latency of the publisher's calls to the log, in milliseconds; followers vary around it.
    slow_ms: u64,
}

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
    println!("| until in force on {HOST_COUNT} hosts | publications | accepted p50 ms | accepted p99 ms | command p50 ms | command p99 ms |");
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

/// Times until all hosts have a publication in force, in milliseconds.
struct SpreadTimes {
    /// Measured from the moment the publisher accepted the publication.
    accepted: Histogram<u64>,
    /// Measured from the operator's command.
    asked: Histogram<u64>,
}

fn record_elapsed(times: &mut Histogram<u64>, since: Instant) {
    let elapsed_ms = since.elapsed().as_millis() as u64;
    times
        .record(elapsed_ms)
        .expect("the histogram resizes itself");
}

/// Opens a link to the log whose calls take about `slow_ms`.
fn slow_link(log: &FakeLog, slow_ms: u64) -> FakeLog {
    let link = log.link();
    link.set_faults(LogFaults {
        slow_ms,
        ..LogFaults::default()
    });
    link
}

/// Publishes changes at random intervals, and measures how long they take to reach all followers.
async fn measure(case: &SpreadCase, seed: u64) -> SpreadTimes {
    let log = FakeLog::new(LOG_RETENTION);
    let mut rng = StdRng::seed_from_u64(seed);
    let publisher = slow_link(&log, case.slow_ms);
    let token = CancellationToken::new();
    let mut followers = Vec::new();
    for _ in 0..HOST_COUNT {
        let slow_ms = rng.random_range(case.slow_ms / 2..case.slow_ms * 2);
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
            rng.random_range(0..MAX_PUBLISH_INTERVAL_MS),
        ))
        .await;
        let change = build_change(number);
        let asked = Instant::now();
        let outcome =
            config_publisher::publish(publisher.clone(), "ah", "", vec![change], PUBLISH_TIMEOUT)
                .await;
        let PublishOutcome::Published(head) = outcome else {
            continue;
        };
        let accepted = Instant::now();
        for follower in &followers {
            let mut watch = follower.watch();
            let reached = watch.wait_for(|state| state.head.sequence >= head.sequence);
            reached.await.expect("the follower lives");
        }
        record_elapsed(&mut times.accepted, accepted);
        record_elapsed(&mut times.asked, asked);
    }
    token.cancel();
    times
}

/// Builds an account change that is different for each publication.
fn build_change(number: u32) -> ConfigChange {
    ConfigChange::PutAccount(Account {
        id: "school".into(),
        parameters: Vec::new(),
        requests_per_s: number,
        token_hash: "".into(),
        weight: 1,
    })
}
