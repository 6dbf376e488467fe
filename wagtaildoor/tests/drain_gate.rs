//! Graceful shutdown: waits for the quiet period and for running work, up to a timeout.

use std::time::Duration;

use tokio::{
    sync::oneshot,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor::drain_gate::{
    DrainGate,
    DrainLimits, //
    DrainOutcome,
};

const LIMITS: DrainLimits = DrainLimits {
    quiet_period: Duration::from_secs(2),
    total_timeout: Duration::from_secs(60),
};

/// Drains without a second signal. Returns the outcome and the time it took.
async fn drain(gate: &DrainGate) -> (DrainOutcome, Duration) {
    let started = Instant::now();
    let end = gate.drain(LIMITS, std::future::pending()).await;
    (end, started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn drain_without_work_waits_for_the_quiet_period() {
    let gate = DrainGate::new();
    time::sleep(Duration::from_secs(100)).await;
    assert_eq!(
        drain(&gate).await,
        (DrainOutcome::Finished, LIMITS.quiet_period)
    );
}

#[tokio::test(start_paused = true)]
async fn work_started_before_and_during_the_drain_is_finished() {
    let gate = DrainGate::new();
    let early = gate.start_work();
    let late = gate.clone();
    tokio::spawn(async move {
        time::sleep(Duration::from_secs(10)).await;
        drop(early);
        // The load balancer sends one more request within the quiet period.
        time::sleep(Duration::from_secs(1)).await;
        assert!(late.is_leaving(), "the gate must report that it is leaving");
        let more = late.start_work();
        time::sleep(Duration::from_secs(5)).await;
        drop(more);
    });
    let expected = Duration::from_secs(16) + LIMITS.quiet_period;
    assert_eq!(drain(&gate).await, (DrainOutcome::Finished, expected));
    assert_eq!(gate.running(), 0);
}

#[tokio::test(start_paused = true)]
async fn drain_times_out_when_work_does_not_end() {
    let gate = DrainGate::new();
    let _work = gate.start_work();
    assert_eq!(
        drain(&gate).await,
        (DrainOutcome::TimedOut, LIMITS.total_timeout)
    );
}

#[tokio::test(start_paused = true)]
async fn a_second_signal_aborts_the_drain() {
    let gate = DrainGate::new();
    let _work = gate.start_work();
    let (signal, signalled) = oneshot::channel();
    tokio::spawn(async move {
        time::sleep(Duration::from_secs(3)).await;
        let _ = signal.send(());
    });
    let started = Instant::now();
    let abort = async {
        let _ = signalled.await;
    };
    let end = gate.drain(LIMITS, abort).await;
    assert_eq!(end, DrainOutcome::Aborted);
    assert_eq!(started.elapsed(), Duration::from_secs(3));
}

/// Guards against LOST: work that comes late in a shutdown, with a deadline after its end, is begun and cut.
#[tokio::test(start_paused = true)]
async fn work_with_a_deadline_after_the_end_of_the_drain_does_not_fit() {
    let gate = DrainGate::new();
    let far = Instant::now() + LIMITS.total_timeout * 10;
    assert!(gate.fits(far), "no shutdown has begun");
    let _work = gate.start_work();
    let draining = gate.clone();
    let drain = tokio::spawn(async move { drain(&draining).await });
    time::sleep(LIMITS.total_timeout / 2).await;
    assert!(gate.is_leaving());
    assert!(gate.fits(Instant::now() + LIMITS.total_timeout / 3));
    assert!(!gate.fits(Instant::now() + LIMITS.total_timeout));
    let (end, _) = drain.await.expect("the drain ends");
    assert_eq!(end, DrainOutcome::TimedOut);
}
