//! What the routing table claims of caches, against engines whose true cache is known.

#[path = "support/seeds.rs"]
mod seeds;

#[path = "residency/cache_world.rs"]
mod cache_world;

use quickcheck::{
    Arbitrary,
    Gen, //
};

use cache_world::CacheWorld;

/// One step of a random case.
#[derive(Clone, Copy, Debug)]
pub enum CacheStep {
    /// Sends a request of an account for a document, and takes its answer now or later.
    Send {
        /// Account.
        account: u8,
        /// Document.
        document: u8,
        /// The answer is held back.
        late: bool,
    },
    /// Sends a request whose answer is lost.
    Lose {
        /// Account.
        account: u8,
        /// Document.
        document: u8,
    },
    /// Gives the table the oldest answer held back.
    Deliver,
    /// An engine crashes and comes back empty.
    Crash(u8),
    /// An engine serves the next weights, without a new start.
    Reload(u8),
    /// The table is told of an engine as it is.
    Tell(u8),
    /// What an engine is now is kept, to be told later.
    Keep(u8),
    /// What was kept is told.
    TellKept,
    /// The cache events of an engine are read.
    Poll(u8),
    /// The table gets the cache events that were read.
    News,
    /// An endpoint leaves the list and comes back.
    Relist(u8),
    /// Time passes.
    Advance(u8),
    /// Everything is told, and claims must be exact unless something was lost or late.
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
            8 => CacheStep::Lose { account, document },
            9..=10 => CacheStep::Deliver,
            11 => CacheStep::Crash(number),
            12 => CacheStep::Reload(number),
            13..=14 => CacheStep::Tell(number),
            15 => CacheStep::Keep(number),
            16 => CacheStep::TellKept,
            17..=18 => CacheStep::Poll(number),
            19 => CacheStep::News,
            20 => CacheStep::Relist(number),
            21 => CacheStep::Advance(number),
            _ => CacheStep::Settle,
        }
    }
}

/// Runs a case on a paused clock, with a share of cache events lost.
fn run(steps: &[CacheStep], loss_percent: u32) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut world = CacheWorld::new(loss_percent);
        for &step in steps {
            world
                .take(step)
                .await
                .map_err(|fault| format!("{step:?}: {fault}"))?;
        }
        Ok(())
    })
}

/// A case without lost events.
fn whole_events(steps: Vec<CacheStep>) -> Result<(), String> {
    run(&steps, 0)
}

/// A case with a third of all events lost.
fn lossy_events(steps: Vec<CacheStep>) -> Result<(), String> {
    run(&steps, 33)
}

#[test]
fn claims_are_of_the_present_start_weights_and_account() {
    seeds::check("whole events", whole_events as fn(Vec<CacheStep>) -> _);
}

#[test]
fn claims_stay_so_when_events_are_lost() {
    seeds::check("lossy events", lossy_events as fn(Vec<CacheStep>) -> _);
}
