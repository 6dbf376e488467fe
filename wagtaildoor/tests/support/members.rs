//! Members on one in-memory network.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    membership::{
        MemberSettings,
        PeerMember, //
    },
    schema::{
        ConfigHead,
        HostView, //
    },
    timeline::{
        EventFilter,
        EventRecorder, //
    },
};
use wagtaildoor_fakes::fake_network::FakeNetwork;

/// Secret all members share.
pub const SECRET: [u8; 32] = [7; 32];
/// Time between two probes.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Events kept of each member.
const NOTED_EVENTS: usize = 1_000;

/// One member of a group.
pub struct GroupMember {
    /// Its place in the group.
    pub index: usize,
    /// The member.
    pub member: PeerMember,
    /// What it noted.
    pub recorder: EventRecorder,
    /// Ends it.
    pub token: CancellationToken,
}

/// Members on one network.
pub struct MemberGroup {
    /// The network.
    pub network: FakeNetwork,
    /// The members.
    pub members: Vec<GroupMember>,
    /// Failure domains over which they are spread in turn.
    pub domains: usize,
    /// Starts so far, which give each its incarnation.
    starts: u64,
}

impl MemberGroup {
    /// Members over some failure domains, each with the first two as seeds.
    pub async fn start(count: usize, domains: usize) -> Self {
        let mut group = Self {
            network: FakeNetwork::default(),
            members: Vec::new(),
            domains,
            starts: 0,
        };
        for index in 0..count {
            let member = group.launch(index).await;
            group.members.push(member);
        }
        group
    }

    /// Starts the member of a place, with nothing but its seeds.
    pub async fn launch(&mut self, index: usize) -> GroupMember {
        self.starts += 1;
        let address = address(index);
        let settings = MemberSettings {
            host: host(index).into(),
            domain: format!("domain-{}", index % self.domains).into(),
            peers: address,
            entries: address,
            operators: address,
            probe: PERIOD,
            incarnation: self.starts,
            seed: self.starts,
        };
        let token = CancellationToken::new();
        let port = self.network.open(address);
        let recorder = EventRecorder::new(&host(index), "test", NOTED_EVENTS, silent_log());
        let noted = Some(recorder.clone());
        let member = PeerMember::new(settings, &SECRET, port, noted, token.clone());
        let member = member.expect("a good secret");
        member.seed(vec![self::address(0), self::address(1)]).await;
        GroupMember {
            index,
            member,
            recorder,
            token,
        }
    }

    /// Ends a member as a crash does.
    pub fn kill(&self, index: usize) {
        self.network.kill(address(index));
        self.members[index].token.cancel();
    }

    /// Starts a member anew in the place of an ended one.
    pub async fn restart(&mut self, index: usize) {
        self.kill(index);
        let member = self.launch(index).await;
        self.members[index] = member;
    }

    /// Waits until each of some members sees just these hosts alive.
    pub async fn await_alive(&self, watchers: &[usize], expected: &[usize], limit: Duration) {
        let mut names: Vec<String> = expected.iter().map(|index| host(*index)).collect();
        names.sort_unstable();
        for watcher in watchers {
            let watcher = &self.members[*watcher];
            let mut hosts = watcher.member.hosts();
            let wanted = |hosts: &Vec<HostView>| alive(hosts) == names;
            let seen = tokio::time::timeout(limit, hosts.wait_for(wanted)).await;
            let seen = seen.is_ok();
            let last = alive(&watcher.member.hosts().borrow());
            let noted = watcher.recorder.page(&EventFilter::default()).events;
            let name = host(watcher.index);
            assert!(seen, "{name} sees {last:?}, not {names:?}; noted {noted:?}");
        }
    }
}

/// A log that goes nowhere.
fn silent_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Name of the host of a place.
pub fn host(index: usize) -> String {
    format!("host-{index:03}")
}

/// Address of the host of a place.
pub fn address(index: usize) -> SocketAddr {
    let port = 1000 + u16::try_from(index).expect("a small group");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Names of the hosts that are alive in a view.
pub fn alive(hosts: &[HostView]) -> Vec<String> {
    let alive = hosts.iter().filter(|host| host.alive);
    alive.map(|host| host.id.to_string()).collect()
}

/// A head with a sequence number.
pub fn head(sequence: u64) -> ConfigHead {
    ConfigHead {
        hash: format!("{sequence:064}").into(),
        offset: sequence,
        sequence,
    }
}
