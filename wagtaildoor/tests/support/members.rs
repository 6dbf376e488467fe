//! A group of members on an in-memory network.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    membership::{
        MemberSettings,
        MembershipHandle, //
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

/// Secret shared by all members.
pub const SECRET: [u8; 32] = [7; 32];
/// Probe interval.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Timeline events kept per member.
const MAX_RECORDED_EVENTS: usize = 1_000;

/// A running member with the handles that tests use to observe and stop it.
pub struct GroupMember {
    /// Index of the member in the group.
    pub index: usize,
    /// Membership handle under test.
    pub member: MembershipHandle,
    /// Timeline of the member.
    pub recorder: EventRecorder,
    /// Stops the member when cancelled.
    pub token: CancellationToken,
}

/// Members on one network.
pub struct MemberGroup {
    /// Network that connects the members.
    pub network: FakeNetwork,
    /// Members by index.
    pub members: Vec<GroupMember>,
    /// Number of failure domains; members are assigned to them in turn.
    pub domains: usize,
    /// Number of starts so far, which is also the latest incarnation.
    starts: u64,
}

impl MemberGroup {
    /// Starts `count` members over `domains` failure domains, with the first two as seeds.
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

    /// Starts the member of an index, which knows only its seeds.
    pub async fn launch(&mut self, index: usize) -> GroupMember {
        self.starts += 1;
        let address = address(index);
        let settings = MemberSettings {
            host: host(index).into(),
            domain: format!("domain-{}", index % self.domains).into(),
            peer_address: address,
            entry_address: address,
            operator_address: address,
            probe_interval: PERIOD,
            incarnation: self.starts,
            seed: self.starts,
        };
        let token = CancellationToken::new();
        let port = self.network.open(address);
        let recorder = EventRecorder::new(&host(index), "test", MAX_RECORDED_EVENTS, silent_log());
        let member_recorder = Some(recorder.clone());
        let member = MembershipHandle::new(settings, &SECRET, port, member_recorder, token.clone());
        let member = member.expect("a good secret");
        member
            .set_seeds(vec![self::address(0), self::address(1)])
            .await;
        GroupMember {
            index,
            member,
            recorder,
            token,
        }
    }

    /// Stops a member without notice, as in a crash.
    pub fn kill(&self, index: usize) {
        self.network.kill(address(index));
        self.members[index].token.cancel();
    }

    /// Kills a member and starts it anew under the same index.
    pub async fn restart(&mut self, index: usize) {
        self.kill(index);
        let member = self.launch(index).await;
        self.members[index] = member;
    }

    /// Waits until each watcher sees exactly the expected members alive; fails after `limit`.
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
            let events = watcher.recorder.page(&EventFilter::default()).events;
            let name = host(watcher.index);
            assert!(
                seen,
                "{name} sees {last:?}, not {names:?}; events {events:?}"
            );
        }
    }
}

/// Creates a log without output.
fn silent_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Returns the id of a member's host, such as `host-007`.
pub fn host(index: usize) -> String {
    format!("host-{index:03}")
}

/// Returns the loopback address of a member; the port is 1000 plus the index.
pub fn address(index: usize) -> SocketAddr {
    let port = 1000 + u16::try_from(index).expect("a small group");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the ids of the live hosts in a view.
pub fn alive(hosts: &[HostView]) -> Vec<String> {
    let alive = hosts.iter().filter(|host| host.alive);
    alive.map(|host| host.id.to_string()).collect()
}

/// Builds a configuration head with a sequence number.
pub fn head(sequence: u64) -> ConfigHead {
    ConfigHead {
        hash: format!("{sequence:064}").into(),
        offset: sequence,
        sequence,
    }
}
