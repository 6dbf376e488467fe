//! Random sequences against oracles: the fold of rumours, and members among faults.

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

/// Longest wait for all members to agree after the faults.
const LIMIT: Duration = Duration::from_secs(600);
/// Members in the random runs.
const MEMBERS: usize = 7;
/// Random runs for each seed.
const CASES: u64 = 25;
/// Steps of the longest random run.
const STEPS: usize = 25;
/// Failure domains in the random runs.
const DOMAINS: usize = 3;

/// A rumour about one of a few hosts.
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
    fn rumour(&self) -> PeerRumour {
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

/// Whatever the order, a table holds of each host the newest incarnation's worst state, and the
/// newest head that came with that incarnation; of itself, nothing that others say.
fn fold_holds(rumours: &[RandomRumour]) -> Result<(), String> {
    let now = Instant::now();
    let own = RandomRumour {
        host: 0,
        incarnation: 1,
        state: PeerState::Alive,
        sequence: 0,
    };
    let mut table = PeerTable::new(own.rumour());
    let mut oracle: HashMap<usize, (u64, PeerState, u64)> = HashMap::new();
    for random in rumours {
        let before = table.own().incarnation;
        table.apply(random.rumour(), now);
        if random.host == 0 {
            let own = table.own();
            let contradicted = random.incarnation > before
                || (random.incarnation == before && random.state != PeerState::Alive);
            if own.state != PeerState::Alive
                || (contradicted && own.incarnation <= random.incarnation)
            {
                return Err(format!("own rumour after {random:?}: {own:?}"));
            }
            continue;
        }
        let seen = (random.incarnation, random.state, random.sequence);
        let held = oracle.entry(random.host).or_insert(seen);
        if seen.0 > held.0 {
            *held = seen;
        } else if seen.0 == held.0 {
            *held = (held.0, held.1.max(seen.1), held.2.max(seen.2));
        }
        let record = table.get(&host(random.host)).expect("a record");
        let rumour = &record.rumour;
        let kept = (rumour.incarnation, rumour.state, rumour.head.sequence);
        if kept != *held {
            return Err(format!("after {random:?}: {kept:?}, not {held:?}"));
        }
    }
    Ok(())
}

#[test]
fn the_fold_does_not_depend_on_order() {
    let property: fn(Vec<RandomRumour>) -> Result<(), String> = |rumours| fold_holds(&rumours);
    seeds::check("fold", property);
}

/// One step of a run with faults.
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
        let place = usize::arbitrary(g) % MEMBERS;
        match u8::arbitrary(g) % 10 {
            0 => Self::Kill(place),
            1 | 2 => Self::Restart(place),
            3 => Self::Cut(place),
            4 => Self::CutPair(place, usize::arbitrary(g) % MEMBERS),
            5 => Self::Heal,
            6 => Self::Lose(u64::arbitrary(g) % 8),
            7 => Self::Double(u64::arbitrary(g) % 4),
            8 => Self::Publish(place),
            _ => Self::Wait(u64::arbitrary(g) % 40),
        }
    }
}

/// Runs the steps, ends all faults, and checks that all who live agree on who lives, and that
/// nobody's own head ever went back.
async fn run_steps(steps: &[RandomStep]) {
    let mut group = MemberGroup::start(MEMBERS, DOMAINS).await;
    let mut dead = [false; MEMBERS];
    let mut newest = [0; MEMBERS];
    let mut sequence = 0;
    for step in steps {
        match *step {
            RandomStep::Kill(place) => {
                group.kill(place);
                dead[place] = true;
            }
            RandomStep::Restart(place) => {
                group.restart(place).await;
                dead[place] = false;
                newest[place] = 0;
            }
            RandomStep::Cut(place) => group.network.put_on_side(address(place), 1),
            RandomStep::CutPair(one, other) => {
                group.network.cut_pair(address(one), address(other));
            }
            RandomStep::Heal => group.network.heal(),
            // Less than every third lost: beyond it even an unbroken member may be suspected.
            RandomStep::Lose(every) => group.network.lose_every(if every < 3 { 0 } else { every }),
            RandomStep::Double(every) => group.network.double_every(every),
            RandomStep::Publish(place) if !dead[place] => {
                sequence += 1;
                newest[place] = sequence;
                group.members[place].member.set_head(head(sequence)).await;
                // An older head after it must change nothing.
                group.members[place]
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
    group.network.lose_every(0);
    group.network.double_every(0);
    // Commands to members are carried out in their order, but not at once.
    tokio::time::sleep(PERIOD).await;
    let live: Vec<usize> = (0..MEMBERS).filter(|place| !dead[*place]).collect();
    group.await_alive(&live, &live, LIMIT).await;
    for place in live {
        let hosts = group.members[place].member.hosts();
        let hosts = hosts.borrow();
        let own = hosts.iter().find(|view| *view.id == *host(place));
        let held = own.map(|own| own.head.sequence);
        assert_eq!(held, Some(newest[place]), "head of {}", host(place));
    }
}

/// As `run_steps`, in a runtime with a paused clock.
fn steps_hold(steps: &[RandomStep]) -> Result<(), String> {
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
fn members_agree_after_any_faults() {
    let property: fn(Vec<RandomStep>) -> Result<(), String> = |steps| steps_hold(&steps);
    seeds::check_cases("members", CASES, STEPS, property);
}
