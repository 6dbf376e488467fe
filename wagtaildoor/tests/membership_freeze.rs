//! A host that is frozen and comes back, on sockets and in real time.

use std::{
    net::SocketAddr,
    sync::mpsc,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    runtime,
    sync::watch, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    datagram_port::UdpPort,
    membership::{
        MemberSettings,
        PeerMember, //
    },
    schema::{
        EventKind,
        HostView, //
    },
    timeline::{
        EventFilter,
        EventRecorder, //
    },
};

/// Time between two probes.
const PERIOD: Duration = Duration::from_millis(100);
/// How long the host is frozen: many times the longest suspicion among four.
const FREEZE: Duration = Duration::from_millis(1_500);
/// Longest wait for what must come to pass.
const LIMIT: Duration = Duration::from_secs(30);
/// Hosts.
const HOSTS: usize = 4;
/// Periods for which the others are watched after the return.
const WATCHED_PERIODS: u32 = 15;

/// A member in a thread of its own, which can be frozen.
struct FrozenMember {
    address: SocketAddr,
    hosts: watch::Receiver<Vec<HostView>>,
    recorder: EventRecorder,
    member: PeerMember,
    handle: runtime::Handle,
    token: CancellationToken,
}

impl FrozenMember {
    fn start(index: usize) -> Self {
        let (sender, started) = mpsc::channel();
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime");
            runtime.block_on(async {
                let (member, token) = Self::join(index).await;
                let handle = runtime::Handle::current();
                let member = Self { handle, ..member };
                sender.send(member).expect("a test");
                token.cancelled().await;
            });
        });
        started.recv().expect("a member")
    }

    async fn join(index: usize) -> (Self, CancellationToken) {
        let any: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
        let port = UdpPort::bind(any).await.expect("a port");
        let address = port.address().expect("an address");
        let name = format!("host-{index}");
        let settings = MemberSettings {
            host: name.as_str().into(),
            domain: "savannah".into(),
            peers: address,
            entries: address,
            operators: address,
            probe: PERIOD,
            incarnation: 1,
            seed: index as u64,
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let recorder = EventRecorder::new(&name, "test", 1_000, log);
        let token = CancellationToken::new();
        let noted = Some(recorder.clone());
        let member = PeerMember::new(settings, &[7; 32], port, noted, token.clone());
        let member = member.expect("a good secret");
        let started = Self {
            address,
            hosts: member.hosts(),
            recorder,
            member,
            handle: runtime::Handle::current(),
            token: token.clone(),
        };
        (started, token)
    }

    /// Stops everything in the member's thread for a time.
    fn freeze(&self, time: Duration) {
        let (sender, over) = mpsc::channel();
        self.handle.spawn(async move {
            thread::sleep(time);
            sender.send(()).expect("a test");
        });
        over.recv().expect("a thawed member");
    }

    /// Waits until so many hosts are alive.
    fn await_alive(&self, count: usize) {
        let started = Instant::now();
        while self.alive() != count {
            assert!(
                started.elapsed() < LIMIT,
                "{} alive, not {count}",
                self.alive()
            );
            thread::sleep(PERIOD);
        }
    }

    fn alive(&self) -> usize {
        self.hosts.borrow().iter().filter(|host| host.alive).count()
    }

    /// Details of the noted events of a kind.
    fn noted(&self, kind: EventKind) -> Vec<Box<str>> {
        let events = self.recorder.page(&EventFilter::default()).events;
        let wanted = events.into_iter().filter(|event| event.kind == kind);
        wanted.map(|event| event.detail).collect()
    }
}

#[test]
fn a_frozen_host_is_missed_and_its_return_loses_nobody_else() {
    let members: Vec<FrozenMember> = (0..HOSTS).map(FrozenMember::start).collect();
    let seeds: Vec<SocketAddr> = members.iter().map(|member| member.address).collect();
    for member in &members {
        let (inner, seeds) = (member.member.clone(), seeds.clone());
        member.handle.spawn(async move { inner.seed(seeds).await });
    }
    for member in &members {
        member.await_alive(HOSTS);
    }
    let (frozen, others) = members.split_last().expect("members");
    for round in 0..3 {
        frozen.freeze(FREEZE);
        for member in &members {
            member.await_alive(HOSTS);
        }
        // Whatever the frozen host wrongly concluded would go round within these.
        thread::sleep(PERIOD * WATCHED_PERIODS);
        assert_eq!(frozen.noted(EventKind::PeerGone), [], "round {round}");
        let suspected = frozen.noted(EventKind::PeerSuspected);
        assert_eq!(suspected, [], "round {round}");
    }
    let name = "host host-3 ";
    for member in others {
        let gone = member.noted(EventKind::PeerGone);
        assert!(
            gone.iter().any(|detail| detail.starts_with(name)),
            "{gone:?}"
        );
        assert!(
            gone.iter().all(|detail| detail.starts_with(name)),
            "{gone:?}"
        );
    }
    members.iter().for_each(|member| member.token.cancel());
}
