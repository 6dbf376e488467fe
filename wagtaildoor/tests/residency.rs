//! Random test of the holders in the routing table, against engines whose caches are known.

#[path = "support/seeds.rs"]
mod seeds;

#[path = "residency/cache_simulation.rs"]
mod cache_simulation;

use quickcheck::{
    Arbitrary,
    Gen, //
};

use cache_simulation::CacheSimulation;

/// One step of a random sequence.
#[derive(Clone, Copy, Debug)]
pub enum CacheStep {
    /// Sends a request and delivers its response now or later.
    Send {
        /// Account, modulo the number of accounts.
        account: u8,
        /// Document, modulo the number of documents.
        document: u8,
        /// Whether the response is held back.
        late: bool,
    },
    /// Sends a request whose response is lost.
    SendLost {
        /// Account, modulo the number of accounts.
        account: u8,
        /// Document, modulo the number of documents.
        document: u8,
    },
    /// Delivers the oldest response that was held back.
    DeliverHeldResponse,
    /// Restarts an engine with an empty cache.
    Crash(u8),
    /// Loads the next weights into an engine without a restart.
    Reload(u8),
    /// Reports the current view of an engine to the table.
    ReportView(u8),
    /// Takes the current view of an engine, to be reported later.
    HoldView(u8),
    /// Reports the oldest held view.
    ReportHeldView,
    /// Reads the cache events of an engine.
    ReadEvents(u8),
    /// Delivers the cache events that were read.
    DeliverEvents,
    /// Removes an endpoint from the list and adds it again.
    Relist(u8),
    /// Advances the clock by tenths of a second.
    Advance(u8),
    /// Reports everything; confirmed holders must be exact unless something was lost or late.
    Settle,
}

impl Arbitrary for CacheStep {
    fn arbitrary(gen: &mut Gen) -> Self {
        let number = u8::arbitrary(gen);
        let account = u8::arbitrary(gen);
        let document = u8::arbitrary(gen);
        match u8::arbitrary(gen) % 24 {
            0..=7 => CacheStep::Send {
                account,
                document,
                late: number % 4 == 0,
            },
            8 => CacheStep::SendLost { account, document },
            9..=10 => CacheStep::DeliverHeldResponse,
            11 => CacheStep::Crash(number),
            12 => CacheStep::Reload(number),
            13..=14 => CacheStep::ReportView(number),
            15 => CacheStep::HoldView(number),
            16 => CacheStep::ReportHeldView,
            17..=18 => CacheStep::ReadEvents(number),
            19 => CacheStep::DeliverEvents,
            20 => CacheStep::Relist(number),
            21 => CacheStep::Advance(number),
            _ => CacheStep::Settle,
        }
    }
}

/// Runs a sequence on a paused clock while engines lose a percentage of their cache events.
fn run(steps: &[CacheStep], loss_percent: u32) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut simulation = CacheSimulation::new(loss_percent);
        for &step in steps {
            simulation
                .run_step(step)
                .await
                .map_err(|fault| format!("{step:?}: {fault}"))?;
        }
        Ok(())
    })
}

/// Property without lost events.
fn run_without_loss(steps: Vec<CacheStep>) -> Result<(), String> {
    run(&steps, 0)
}

/// Property with a third of all events lost.
fn run_with_loss(steps: Vec<CacheStep>) -> Result<(), String> {
    run(&steps, 33)
}

#[test]
fn claims_are_of_the_present_start_weights_and_account() {
    seeds::check("whole events", run_without_loss as fn(Vec<CacheStep>) -> _);
}

#[test]
fn claims_stay_so_when_events_are_lost() {
    seeds::check("lossy events", run_with_loss as fn(Vec<CacheStep>) -> _);
}
