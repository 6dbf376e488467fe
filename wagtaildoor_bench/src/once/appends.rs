//! Log appends per second at several order rates, batched and unbatched.

use std::time::Duration;

use rand::{
    rngs::StdRng,
    SeedableRng, //
};
use tokio::{
    task::JoinSet,
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    claim_policy::ClaimPolicy,
    claim_run::OnceRun,
    claim_service::ClaimService,
    schema::ClaimStart, //
};
use wagtaildoor_fakes::{
    effect_service::{
        EffectService,
        RequestHandling,
        ServiceTraits, //
    },
    fake_log::{
        FakeLog,
        LogFaults, //
    },
};

use super::orders;

/// Order rates, in orders per second.
const ORDER_RATES: [u32; 4] = [20, 100, 400, 800];
/// Duration for which orders are sent.
const RUN_DURATION: Duration = Duration::from_secs(5);
/// Latency of each call to the log, in milliseconds.
const LOG_CALL_MS: u64 = 5;
/// Time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of claim streams.
const SHARD_COUNT: u32 = 4;
/// Retention of records in the log.
const LOG_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Measures and prints every rate, with and without batching.
pub async fn print(seed: u64) {
    println!();
    println!("| orders/s at one host | batch limit | appends/s | answered | answered in time |");
    println!("|---|---|---|---|---|");
    for rate in ORDER_RATES {
        for batch_records in [1, 256] {
            measure(rate, batch_records, seed).await;
        }
    }
}

/// Measures and prints one rate with one batch limit.
async fn measure(rate: u32, batch_records: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let log = FakeLog::new(LOG_RETENTION);
    log.set_faults(LogFaults {
        slow_ms: LOG_CALL_MS,
        ..LogFaults::default()
    });
    let policy = ClaimPolicy {
        batch_records,
        append_spacing: Duration::ZERO,
        ..ClaimPolicy::new(SHARD_COUNT, LOG_RETENTION)
    };
    let policy = if batch_records > 1 {
        ClaimPolicy::new(SHARD_COUNT, LOG_RETENTION)
    } else {
        policy
    };
    let token = CancellationToken::new();
    let claims = ClaimService::new(log.clone(), policy, token.clone());
    tokio::spawn(claims.clone().run());
    let service = EffectService::new(ServiceTraits::default());
    let orders = rate * RUN_DURATION.as_secs() as u32;
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for _ in 0..orders {
        let run = OnceRun {
            claims: claims.clone(),
            dispatcher: service.connect(RequestHandling::Answer(Duration::from_millis(20))),
            start: build_claim(&log, &mut rng),
            deadline: Instant::now() + ANSWER_TIMEOUT,
        };
        callers.spawn(run.spawn());
        time::sleep(RUN_DURATION / orders).await;
    }
    let mut answered = 0;
    while let Some(reply) = callers.join_next().await {
        answered += u32::from(matches!(reply, Ok(Ok(Ok(_)))));
    }
    let appends = log.counts().appends as f64 / started.elapsed().as_secs_f64();
    let share = 100.0 * f64::from(answered) / f64::from(orders);
    println!("| {rate} | {batch_records} | {appends:.0} | {answered} of {orders} | {share:.1} % |");
    token.cancel();
}

/// Builds a claim with a unique key.
fn build_claim(log: &FakeLog, rng: &mut StdRng) -> ClaimStart {
    ClaimStart {
        account: "school".into(),
        attempt: orders::generate_attempt_id(rng),
        body_hash: "b0".into(),
        host: "h0".into(),
        key: orders::generate_key(log.now_ms(), rng),
        request: "r0".into(),
        template: "order".into(),
    }
}
