//! A host that is frozen and comes back, under a paused clock.

use std::{
    future::{
        self,
        Future, //
    },
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        Mutex, //
    },
    task::{
        Poll,
        Waker, //
    },
    time::Duration,
};

use tokio::time;
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    membership::{
        MemberSettings,
        MembershipHandle, //
    },
    schema::EventKind,
    timeline::{
        EventFilter,
        EventRecorder, //
    },
};
use wagtaildoor_fakes::fake_network::FakeNetwork;

/// Time between two probes.
const PERIOD: Duration = Duration::from_secs(1);
/// How long the host is frozen: many times the longest suspicion among four.
const FREEZE: Duration = Duration::from_secs(15);
/// Time within which all must see all again.
const RETURN: Duration = Duration::from_secs(30);
/// Hosts; the last one is frozen.
const HOSTS: usize = 4;

/// Keeps a task from running, as a stopped process is kept.
#[derive(Clone, Default)]
struct TaskFreezer {
    state: Arc<Mutex<FreezeState>>,
}

/// Whether the task is frozen, and who is to be woken when it thaws.
#[derive(Default)]
struct FreezeState {
    frozen: bool,
    waker: Option<Waker>,
}

impl TaskFreezer {
    /// Runs a task except while it is frozen: its timers and messages wait meanwhile.
    async fn run(self, task: impl Future<Output = ()>) {
        let mut task = pin!(task);
        future::poll_fn(|context| {
            let mut state = self.state.lock().expect("no panic elsewhere");
            state.waker = Some(context.waker().clone());
            if state.frozen {
                return Poll::Pending;
            }
            drop(state);
            task.as_mut().poll(context)
        })
        .await;
    }

    /// Freezes the task, or lets it go on.
    fn set(&self, frozen: bool) {
        let mut state = self.state.lock().expect("no panic elsewhere");
        state.frozen = frozen;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }
}

/// A member whose task can be frozen.
struct FrozenMember {
    member: MembershipHandle,
    recorder: EventRecorder,
    freezer: TaskFreezer,
}

impl FrozenMember {
    fn start(network: &FakeNetwork, index: usize) -> Self {
        let address = address(index);
        let name = format!("host-{index}");
        let settings = MemberSettings {
            host: name.as_str().into(),
            domain: "savannah".into(),
            peer_address: address,
            entry_address: address,
            operator_address: address,
            probe_interval: PERIOD,
            incarnation: 1,
            seed: index as u64,
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let recorder = EventRecorder::new(&name, "test", 1_000, log);
        let transport = network.open(address);
        let noted = Some(recorder.clone());
        let token = CancellationToken::new();
        let (member, task) =
            MembershipHandle::new_with_task(settings, &[7; 32], transport, noted, token)
                .expect("a good secret");
        let freezer = TaskFreezer::default();
        tokio::spawn(freezer.clone().run(task));
        Self {
            member,
            recorder,
            freezer,
        }
    }

    /// Waits until so many hosts are alive.
    async fn await_alive(&self, count: usize) {
        let mut hosts = self.member.hosts();
        let all = hosts.wait_for(|hosts| hosts.iter().filter(|host| host.alive).count() == count);
        let waited = time::timeout(RETURN, all).await;
        waited.expect("in time").expect("a running member");
    }

    /// Details of the noted events of a kind.
    fn noted(&self, kind: EventKind) -> Vec<Box<str>> {
        let events = self.recorder.page(&EventFilter::default()).events;
        let wanted = events.into_iter().filter(|event| event.kind == kind);
        wanted.map(|event| event.detail).collect()
    }
}

/// Address of a host.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + index as u16))
}

#[tokio::test(start_paused = true)]
async fn a_frozen_host_is_missed_and_its_return_loses_nobody_else() {
    let network = FakeNetwork::default();
    let members: Vec<FrozenMember> = (0..HOSTS)
        .map(|index| FrozenMember::start(&network, index))
        .collect();
    for member in &members {
        let seeds = (0..HOSTS).map(address).collect();
        member.member.set_seeds(seeds).await;
    }
    for member in &members {
        member.await_alive(HOSTS).await;
    }
    let (frozen, others) = members.split_last().expect("members");
    for round in 0..3 {
        frozen.freezer.set(true);
        time::sleep(FREEZE).await;
        for member in others {
            member.await_alive(HOSTS - 1).await;
        }
        frozen.freezer.set(false);
        for member in &members {
            member.await_alive(HOSTS).await;
        }
        // Whatever the frozen host wrongly concluded would go round meanwhile.
        time::sleep(FREEZE).await;
        assert_eq!(frozen.noted(EventKind::PeerGone), [], "round {round}");
        let suspected = frozen.noted(EventKind::PeerSuspected);
        assert_eq!(suspected, [], "round {round}");
    }
    for member in others {
        let gone = member.noted(EventKind::PeerGone);
        let wrong: Vec<_> = gone
            .iter()
            .filter(|detail| !detail.starts_with("host host-3 "))
            .collect();
        assert!(!gone.is_empty(), "nobody was missed");
        assert!(wrong.is_empty(), "{wrong:?}");
    }
}
