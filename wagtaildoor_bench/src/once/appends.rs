//! Appends a second used by orders a second, batched and one by one.

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

/// Orders a second of each case.
const RATES: [u32; 4] = [20, 100, 400, 800];
/// Time for which orders come.
const RUN_TIME: Duration = Duration::from_secs(5);
/// Time of each call to the log, in milliseconds.
const LOG_CALL_MS: u64 = 5;
/// Longest time a caller waits.
const DEADLINE: Duration = Duration::from_secs(8);
/// Claim streams.
const SHARDS: u32 = 4;
/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Measures and prints all rates.
pub async fn print(seed: u64) {
    println!();
    println!("| orders/s at one host | batch limit | appends/s | answered | answered in time |");
    println!("|---|---|---|---|---|");
    for rate in RATES {
        for batch_records in [1, 256] {
            measure(rate, batch_records, seed).await;
        }
    }
}

/// Measures and prints one rate with one batch limit.
async fn measure(rate: u32, batch_records: usize, seed: u64) {
    let mut draw = StdRng::seed_from_u64(seed);
    let log = FakeLog::new(RETENTION);
    log.set_faults(LogFaults {
        slow_ms: LOG_CALL_MS,
        ..LogFaults::default()
    });
    let policy = ClaimPolicy {
        batch_records,
        append_spacing: Duration::ZERO,
        ..ClaimPolicy::new(SHARDS, RETENTION)
    };
    let policy = if batch_records > 1 {
        ClaimPolicy::new(SHARDS, RETENTION)
    } else {
        policy
    };
    let token = CancellationToken::new();
    let claims = ClaimService::new(log.clone(), policy, token.clone());
    tokio::spawn(claims.clone().run());
    let service = EffectService::new(ServiceTraits::default());
    let orders = rate * RUN_TIME.as_secs() as u32;
    let mut callers = JoinSet::new();
    let started = Instant::now();
    for _ in 0..orders {
        let run = OnceRun {
            claims: claims.clone(),
            dispatcher: service.connect(RequestHandling::Answer(Duration::from_millis(20))),
            start: start(&log, &mut draw),
            deadline: Instant::now() + DEADLINE,
        };
        callers.spawn(run.spawn());
        time::sleep(RUN_TIME / orders).await;
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

/// A claim with a key of its own.
fn start(log: &FakeLog, draw: &mut StdRng) -> ClaimStart {
    ClaimStart {
        account: "school".into(),
        attempt: orders::attempt_id(draw),
        body_hash: "b0".into(),
        host: "h0".into(),
        key: orders::key_at(log.now_ms(), draw),
        request: "r0".into(),
        template: "order".into(),
    }
}
