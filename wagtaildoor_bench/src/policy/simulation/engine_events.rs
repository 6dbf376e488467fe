//! What engines tell all hosts, crashes of engines, and restarts of entries.

use rand::Rng;
use wagtaildoor::{
    retry_budget::AttemptBudget,
    schema::PrefixNews, //
};

use crate::policy::{
    deciders::{
        Decider,
        EngineReport, //
    },
    run_event::RunEvent,
    simulation::{
        Simulation,
        RETRY_PERCENT, //
    },
    workload::{
        SimMicros,
        SECOND, //
    },
};

/// Delay of a load report until it reaches the entries.
const REPORT_DELAY: SimMicros = SECOND / 2;
/// Delay of a load report under the load lag fault.
const REPORT_FAULT_DELAY: SimMicros = 5 * SECOND;
/// Delay of a cache event until it reaches the entries.
const CACHE_EVENT_DELAY: SimMicros = SECOND;

impl<D: Decider, F: Fn(usize, SimMicros) -> D> Simulation<'_, D, F> {
    /// Sends the load reports of all running engines.
    pub(super) fn send_reports(&mut self, now: SimMicros) {
        let age = match self.faults.load_lag {
            true => REPORT_FAULT_DELAY,
            false => REPORT_DELAY,
        };
        for (number, engine) in self.engines.iter().enumerate() {
            if engine.is_up {
                let report = EngineReport {
                    engine: number,
                    boot_id: engine.boot_id(),
                    running: engine.running(),
                    queued: engine.queued(),
                    age,
                };
                self.events
                    .push(now + age, RunEvent::ReportReceived(report));
            }
        }
    }

    /// Publishes pending cache events, some of which are lost under the event loss fault.
    pub(super) fn publish_cache_events(&mut self, now: SimMicros) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let boot_id = engine.boot_id();
            for change in engine.drain_changes() {
                if self.rng.random_bool(self.faults.event_loss) {
                    self.has_gap[number] = true;
                    continue;
                }
                let news = PrefixNews {
                    endpoint: format!("e{number}").into(),
                    boot_id: boot_id.clone(),
                    kind: change.kind,
                    blocks: change.blocks,
                    gap: std::mem::take(&mut self.has_gap[number]),
                };
                self.events
                    .push(now + CACHE_EVENT_DELAY, RunEvent::CacheEvent(news));
            }
        }
    }

    /// Crashes an engine and fails its work.
    pub(super) fn crash_engine(&mut self, engine: usize, now: SimMicros) {
        for job in self.engines[engine].crash() {
            self.send_failure(engine, &job, now);
        }
    }

    /// Restarts all entries with empty state; requests in flight continue.
    pub(super) fn restart_entries(&mut self, now: SimMicros) {
        for host in 0..self.deciders.len() {
            self.deciders[host] = (self.start)(host, now);
            self.budgets[host] = AttemptBudget::new(RETRY_PERCENT);
        }
        for progress in &mut self.progress {
            progress.is_forgotten = progress.attempts > 0;
        }
    }
}
