//! Property tests: the peer table against a model, and members under random faults.

use std::collections::HashMap;

use quickcheck::{
    Arbitrary,
    Gen, //
};
use tokio::time::{
    Duration,
    Instant, //
};
use wagtaildoor::{
    peer_table::PeerTable,
    schema::{
        PeerRumour,
        PeerState, //
    },
};

use crate::members::{
    address,
    head,
    host,
    MemberGroup,
    PERIOD, //
};

#[path = "support/members.rs"]
mod members;
#[path = "support/seeds.rs"]
mod seeds;

/// Timeout for the members to agree after the faults.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(600);
/// Number of members in a random run.
const MEMBER_COUNT: usize = 7;
/// Number of random runs per seed.
const CASES_PER_SEED: u64 = 25;
/// Maximum number of steps in a random run.
const MAX_STEPS: usize = 25;
/// Number of failure domains in a random run.
const DOMAIN_COUNT: usize = 3;

/// A random rumour about one of four hosts.
#[derive(Clone, Debug)]
struct RandomRumour {
    host: usize,
    incarnation: u64,
    state: PeerState,
    sequence: u64,
}

impl Arbitrary for RandomRumour {
    fn arbitrary(g: &mut Gen) -> Self {
        let states = [
            PeerState::Alive,
            PeerState::Suspect,
            PeerState::Leaving,
            PeerState::Gone,
        ];
        Self {
            host: usize::arbitrary(g) % 4,
            incarnation: u64::arbitrary(g) % 4,
            state: *g.choose(&states).expect("a state"),
            sequence: u64::arbitrary(g) % 4,
        }
    }
}

impl RandomRumour {
    fn to_rumour(&self) -> PeerRumour {
        PeerRumour {
            address: address(self.host),
            domain: "d".into(),
            entries: address(self.host),
            head: head(self.sequence),
            host: host(self.host).into(),
            incarnation: self.incarnation,
            operators: address(self.host),
            state: self.state,
        }
    }
}

/// Checks a table against a model, in any order of rumours: each host has the newest incarnation,
/// its worst state and its newest head; rumours never change what the table says about itself.
fn check_table(rumours: &[RandomRumour]) -> Result<(), String> {
    let now = Instant::now();
    let own = RandomRumour {
        host: 0,
        incarnation: 1,
        state: PeerState::Alive,
        sequence: 0,
    };
    let mut table = PeerTable::new(own.to_rumour());
    let mut model: HashMap<usize, (u64, PeerState, u64)> = HashMap::new();
    for random in rumours {
        let before = table.own().incarnation;
        table.apply(random.to_rumour(), now);
        if random.host == 0 {
            let own = table.own();
            let must_refute = random.incarnation > before
                || (random.incarnation == before && random.state != PeerState::Alive);
            if own.state != PeerState::Alive
                || (must_refute && own.incarnation <= random.incarnation)
            {
                return Err(format!("own rumour after {random:?}: {own:?}"));
            }
            continue;
        }
        let seen = (random.incarnation, random.state, random.sequence);
        let expected = model.entry(random.host).or_insert(seen);
        if seen.0 > expected.0 {
            *expected = seen;
        } else if seen.0 == expected.0 {
            *expected = (expected.0, expected.1.max(seen.1), expected.2.max(seen.2));
        }
        let record = table.get(&host(random.host)).expect("a record");
        let rumour = &record.rumour;
        let actual = (rumour.incarnation, rumour.state, rumour.head.sequence);
        if actual != *expected {
            return Err(format!("after {random:?}: {actual:?}, not {expected:?}"));
        }
    }
    Ok(())
}

#[test]
fn the_table_does_not_depend_on_the_order_of_rumours() {
    let property: fn(Vec<RandomRumour>) -> Result<(), String> = |rumours| check_table(&rumours);
    seeds::check("fold", property);
}

/// One step of a random run.
#[derive(Clone, Debug)]
enum RandomStep {
    Kill(usize),
    Restart(usize),
    Cut(usize),
    CutPair(usize, usize),
    Heal,
    Lose(u64),
    Double(u64),
    Publish(usize),
    Wait(u64),
}

impl Arbitrary for RandomStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % MEMBER_COUNT;
        match u8::arbitrary(g) % 10 {
            0 => Self::Kill(index),
            1 | 2 => Self::Restart(index),
            3 => Self::Cut(index),
            4 => Self::CutPair(index, usize::arbitrary(g) % MEMBER_COUNT),
            5 => Self::Heal,
            6 => Self::Lose(u64::arbitrary(g) % 8),
            7 => Self::Double(u64::arbitrary(g) % 4),
            8 => Self::Publish(index),
            _ => Self::Wait(u64::arbitrary(g) % 40),
        }
    }
}

/// Runs the steps, ends all faults, and checks that the live members agree on which members are
/// live and that no member's own head was replaced by an older one.
async fn run_steps(steps: &[RandomStep]) {
    let mut group = MemberGroup::start(MEMBER_COUNT, DOMAIN_COUNT).await;
    let mut is_dead = [false; MEMBER_COUNT];
    let mut newest_sequence = [0; MEMBER_COUNT];
    let mut sequence = 0;
    for step in steps {
        match *step {
            RandomStep::Kill(index) => {
                group.kill(index);
                is_dead[index] = true;
            }
            RandomStep::Restart(index) => {
                group.restart(index).await;
                is_dead[index] = false;
                newest_sequence[index] = 0;
            }
            RandomStep::Cut(index) => group.network.set_partition(address(index), 1),
            RandomStep::CutPair(one, other) => {
                group.network.block_pair(address(one), address(other));
            }
            RandomStep::Heal => group.network.heal(),
            // Lose at most every third datagram; with more loss a healthy member may be suspected.
            RandomStep::Lose(every) => group.network.drop_every(if every < 3 { 0 } else { every }),
            RandomStep::Double(every) => group.network.duplicate_every(every),
            RandomStep::Publish(index) if !is_dead[index] => {
                sequence += 1;
                newest_sequence[index] = sequence;
                group.members[index].member.set_head(head(sequence)).await;
                // An older head must be ignored.
                group.members[index]
                    .member
                    .set_head(head(sequence / 2))
                    .await;
            }
            RandomStep::Publish(_) => {}
            RandomStep::Wait(periods) => {
                let wait = u32::try_from(periods).expect("a short wait");
                tokio::time::sleep(PERIOD * wait).await;
            }
        }
    }
    group.network.heal();
    group.network.drop_every(0);
    group.network.duplicate_every(0);
    // Members run commands in order, but asynchronously.
    tokio::time::sleep(PERIOD).await;
    let live: Vec<usize> = (0..MEMBER_COUNT).filter(|index| !is_dead[*index]).collect();
    group.await_alive(&live, &live, CONVERGENCE_TIMEOUT).await;
    for index in live {
        let hosts = group.members[index].member.hosts();
        let hosts = hosts.borrow();
        let own = hosts.iter().find(|view| *view.id == *host(index));
        let held = own.map(|own| own.head.sequence);
        assert_eq!(
            held,
            Some(newest_sequence[index]),
            "head of {}",
            host(index)
        );
    }
}

/// Runs `run_steps` in a runtime with a paused clock; returns a panic as an error.
fn check_steps(steps: &[RandomStep]) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let run = std::panic::AssertUnwindSafe(|| runtime.block_on(run_steps(steps)));
    std::panic::catch_unwind(run).map_err(|panic| {
        let text = panic.downcast_ref::<String>();
        text.map_or("a panic".into(), String::clone)
    })
}

#[test]
fn members_agree_after_random_faults() {
    let property: fn(Vec<RandomStep>) -> Result<(), String> = |steps| check_steps(&steps);
    seeds::check_cases("members", CASES_PER_SEED, MAX_STEPS, property);
}
