//! A host whose task is paused for a while must not report other hosts as gone afterwards.

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
/// How long the host is frozen: far longer than the suspicion timeout of four hosts.
const FREEZE_TIME: Duration = Duration::from_secs(15);
/// Timeout for all hosts to see each other alive.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of hosts; the last one is frozen.
const HOSTS: usize = 4;

/// Suspends a task, as a stopped process would be.
#[derive(Clone, Default)]
struct TaskFreezer {
    state: Arc<Mutex<FreezeState>>,
}

/// Whether the task is frozen, with the waker to call when that changes.
#[derive(Default)]
struct FreezeState {
    is_frozen: bool,
    waker: Option<Waker>,
}

impl TaskFreezer {
    /// Polls a task except while it is frozen; its timers and messages wait meanwhile.
    async fn run(self, task: impl Future<Output = ()>) {
        let mut task = pin!(task);
        future::poll_fn(|context| {
            let mut state = self.state.lock().expect("no panic elsewhere");
            state.waker = Some(context.waker().clone());
            if state.is_frozen {
                return Poll::Pending;
            }
            drop(state);
            task.as_mut().poll(context)
        })
        .await;
    }

    /// Freezes or resumes the task.
    fn set_frozen(&self, frozen: bool) {
        let mut state = self.state.lock().expect("no panic elsewhere");
        state.is_frozen = frozen;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }
}

/// A member whose task can be frozen.
struct FreezableMember {
    member: MembershipHandle,
    recorder: EventRecorder,
    freezer: TaskFreezer,
}

impl FreezableMember {
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
        let recorded = Some(recorder.clone());
        let token = CancellationToken::new();
        let (member, task) =
            MembershipHandle::new_with_task(settings, &[7; 32], transport, recorded, token)
                .expect("a good secret");
        let freezer = TaskFreezer::default();
        tokio::spawn(freezer.clone().run(task));
        Self {
            member,
            recorder,
            freezer,
        }
    }

    /// Waits until this member sees `count` live hosts.
    async fn await_alive(&self, count: usize) {
        let mut hosts = self.member.hosts();
        let all = hosts.wait_for(|hosts| hosts.iter().filter(|host| host.alive).count() == count);
        let waited = time::timeout(RECOVERY_TIMEOUT, all).await;
        waited.expect("in time").expect("a running member");
    }

    /// Returns the details of the recorded events of a kind.
    fn event_details(&self, kind: EventKind) -> Vec<Box<str>> {
        let events = self.recorder.page(&EventFilter::default()).events;
        let wanted = events.into_iter().filter(|event| event.kind == kind);
        wanted.map(|event| event.detail).collect()
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + index as u16))
}

#[tokio::test(start_paused = true)]
async fn a_frozen_host_is_detected_and_does_not_report_others_as_gone() {
    let network = FakeNetwork::default();
    let members: Vec<FreezableMember> = (0..HOSTS)
        .map(|index| FreezableMember::start(&network, index))
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
        frozen.freezer.set_frozen(true);
        time::sleep(FREEZE_TIME).await;
        for member in others {
            member.await_alive(HOSTS - 1).await;
        }
        frozen.freezer.set_frozen(false);
        for member in &members {
            member.await_alive(HOSTS).await;
        }
        // Any wrong conclusion of the frozen host would spread in this time.
        time::sleep(FREEZE_TIME).await;
        assert_eq!(
            frozen.event_details(EventKind::PeerGone),
            [],
            "round {round}"
        );
        let suspected = frozen.event_details(EventKind::PeerSuspected);
        assert_eq!(suspected, [], "round {round}");
    }
    for member in others {
        let lost_hosts = member.event_details(EventKind::PeerGone);
        let unexpected: Vec<_> = lost_hosts
            .iter()
            .filter(|detail| !detail.starts_with("host host-3 "))
            .collect();
        assert!(!lost_hosts.is_empty(), "no host was reported as gone");
        assert!(unexpected.is_empty(), "{unexpected:?}");
    }
}
