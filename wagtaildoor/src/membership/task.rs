//! The one task of a member: sends probes, answers those of others, keeps the table.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

use rand::{
    rngs::StdRng,
    SeedableRng, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::{
        self,
        Duration,
        Instant,
        MissedTickBehavior, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::HybridClock,
    datagram_transport::DatagramTransport,
    ids::{
        DomainId,
        HostId, //
    },
    membership::{
        counts::MemberCounts,
        payload::PayloadKind,
        prober::{
            self,
            ProbeOrder, //
        },
        MemberCommand,
        MemberSettings, //
    },
    peer_datagram::{
        DatagramSeal,
        StampWindow, //
    },
    peer_table::PeerTable,
    rumour_queue::{
        self,
        RumourQueue, //
    },
    schema::{
        ConfigHead,
        EventKind,
        HostView,
        PeerRumour,
        PeerState, //
    },
    timeline::{
        EventDraft,
        EventRecorder, //
    },
};

mod receive;
mod send;
mod show;

/// Part of a period after which others are asked to probe too.
const INDIRECT_SHARE: u32 = 3;
/// Periods a suspicion lasts in the smallest system; each doubling of the hosts adds one.
const SUSPICION_PERIODS: u32 = 3;
/// Periods between two summaries to other failure domains.
const SUMMARY_PERIODS: u64 = 5;
/// Periods between two probes of hosts that are gone.
const GONE_PERIODS: u64 = 10;
/// Periods after which a failure domain that was not heard counts as out of reach.
const REACH_PERIODS: u32 = 30;
/// Periods for which a host that is gone is remembered.
const TOMBSTONE_PERIODS: u32 = 3_600;
/// Seeds probed a period while no peer is known.
const FIRST_SEEDS: usize = 3;
/// Periods for which a new member asks for summaries.
const JOIN_PERIODS: u64 = 20;
/// Peers told of a new head at once.
const HEAD_LISTENERS: usize = 3;
/// Peers told at once that this host leaves.
const LEAVE_LISTENERS: usize = 5;
/// Periods a leaving host waits to be heard.
const LEAVE_PERIODS: u32 = 2;
/// Probes in work for others at a time.
const RELAY_LIMIT: usize = 64;
/// Wait after the port failed.
const PORT_PAUSE: Duration = Duration::from_millis(10);

/// What a member is made of.
pub struct MemberParts<P> {
    /// Who this host is.
    pub settings: MemberSettings,
    /// Seal of its datagrams.
    pub seal: DatagramSeal,
    /// Where they go out and come in.
    pub port: P,
    /// Time line of the process.
    pub recorder: Option<EventRecorder>,
    /// Counters.
    pub counts: Arc<MemberCounts>,
}

/// State of a member.
pub struct MemberTask<P> {
    /// What it is made of.
    parts: MemberParts<P>,
    /// Clock when there is no time line.
    clock: HybridClock,
    /// What is held of the peers.
    table: PeerTable,
    /// News to pass on.
    queue: RumourQueue,
    /// Newest stamp of each sender.
    stamps: StampWindow,
    /// When each other failure domain was last heard.
    reach: HashMap<DomainId, Instant>,
    /// When any peer was last heard.
    heard: Instant,
    /// Whom to probe.
    order: ProbeOrder,
    /// Source of random choices.
    random: StdRng,
    /// Number of the last probe.
    number: u64,
    /// Probe of this period.
    probe: Option<OpenProbe>,
    /// Probes in work for others, by number.
    relays: HashMap<u64, RelayedProbe>,
    /// Addresses at which there may be peers.
    seeds: Vec<SocketAddr>,
    /// Periods since the start.
    period: u64,
    /// Who waits for this host's leaving to be heard.
    leaving: Option<LeaveWait>,
    /// Hosts as they are known.
    hosts: watch::Sender<Vec<HostView>>,
}

/// A probe without an answer.
struct OpenProbe {
    /// Its number.
    number: u64,
    /// Host that is probed.
    host: HostId,
    /// When others are asked to probe too; `None` once they were.
    indirect_at: Option<Instant>,
}

/// A probe sent for another host.
struct RelayedProbe {
    /// Who asked for it.
    requester: SocketAddr,
    /// Its number there.
    number: u64,
    /// When it was asked for.
    since: Instant,
}

/// Someone who waits for this host's leaving to be heard.
struct LeaveWait {
    /// Told when it was.
    told: oneshot::Sender<()>,
    /// When to stop waiting.
    until: Instant,
}

impl<P: DatagramTransport> MemberTask<P> {
    /// A member that knows nobody yet.
    pub fn new(parts: MemberParts<P>) -> Self {
        let settings = &parts.settings;
        let own = PeerRumour {
            address: settings.peer_address,
            domain: settings.domain.clone(),
            entries: settings.entry_address,
            head: no_head(),
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            operators: settings.operator_address,
            state: PeerState::Alive,
        };
        let random = StdRng::seed_from_u64(settings.seed);
        let now = Instant::now();
        let mut task = Self {
            clock: HybridClock::new(),
            table: PeerTable::new(own),
            queue: RumourQueue::default(),
            stamps: StampWindow::default(),
            reach: HashMap::new(),
            heard: now,
            order: ProbeOrder::default(),
            random,
            number: 0,
            probe: None,
            relays: HashMap::new(),
            seeds: Vec::new(),
            period: 0,
            leaving: None,
            hosts: watch::Sender::new(Vec::new()),
            parts,
        };
        task.show();
        task
    }

    /// Hosts as they are known.
    pub fn hosts(&self) -> watch::Receiver<Vec<HostView>> {
        self.hosts.subscribe()
    }

    /// Runs until the token is cancelled.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<MemberCommand>, token: CancellationToken) {
        let mut ticks = time::interval(self.parts.settings.probe_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let indirect_at = self.indirect_at();
            tokio::select! {
                () = token.cancelled() => return,
                received = self.parts.port.receive() => match received {
                    Ok(datagram) => self.take(datagram).await,
                    Err(_) => time::sleep(PORT_PAUSE).await,
                },
                _ = ticks.tick() => self.tick().await,
                () = sleep_until(indirect_at) => self.probe_indirectly().await,
                command = inbox.recv() => match command {
                    Some(command) => self.obey(command).await,
                    None => return,
                },
            }
        }
    }

    /// Starts a period: judges the last probe, and sends the next ones.
    async fn tick(&mut self) {
        let now = Instant::now();
        self.judge_probe(now);
        self.sweep(now);
        self.period += 1;
        if let Some(host) = self.order.next(&self.table, &mut self.random) {
            self.start_probe(host, now).await;
        }
        if self.period % SUMMARY_PERIODS == 1 {
            let remote = self.order.next_remote(&self.table, &mut self.random);
            if let Some(host) = remote {
                self.ping(&host, PayloadKind::Summary).await;
            }
        }
        if self.period % GONE_PERIODS == 0 {
            if let Some(host) = prober::gone_host(&self.table, &mut self.random) {
                self.ping(&host, PayloadKind::Usual).await;
            }
        }
        self.ping_seeds().await;
        self.show();
    }

    /// Suspects the host that did not answer the last probe.
    fn judge_probe(&mut self, now: Instant) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        match self.table.suspect(&probe.host, now) {
            Some(PeerState::Suspect) => {
                self.note(EventKind::PeerSuspected, &probe.host, "does not answer");
                self.queue.push(probe.host);
            }
            Some(_) => {
                self.note(EventKind::PeerGone, &probe.host, "left");
                self.queue.push(probe.host);
            }
            None => {}
        }
    }

    /// Drops what has lasted too long.
    fn sweep(&mut self, now: Instant) {
        let period = self.parts.settings.probe_interval;
        if !self.is_isolated(now) {
            for host in self.table.expire(self.suspicion(), now) {
                self.note(EventKind::PeerGone, &host, "was suspected for too long");
                self.queue.push(host);
            }
        }
        for host in self.table.forget(period * TOMBSTONE_PERIODS, now) {
            self.stamps.forget(&host);
            self.queue.remove(&host);
        }
        self.relays
            .retain(|_, relay| now.duration_since(relay.since) < period);
        let over = self.leaving.as_ref().is_some_and(|wait| now >= wait.until);
        if over {
            self.end_leaving();
        }
    }

    /// How long a suspicion lasts among as many hosts as are known.
    fn suspicion(&self) -> Duration {
        let hosts = self.table.peers().count() + 1;
        let periods = SUSPICION_PERIODS + rumour_queue::doublings(hosts);
        self.parts.settings.probe_interval * periods
    }

    /// Whether this host hears nobody, so that it cannot tell who else is gone.
    fn is_isolated(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.heard) >= self.suspicion();
        silent && self.table.peers().next().is_some()
    }

    /// When others are to be asked for the probe of this period.
    fn indirect_at(&self) -> Option<Instant> {
        self.probe.as_ref()?.indirect_at
    }

    /// Does what a command says.
    async fn obey(&mut self, command: MemberCommand) {
        match command {
            MemberCommand::SetHead(head) => {
                if self.table.set_head(head) {
                    self.show();
                    self.tell(HEAD_LISTENERS).await;
                }
            }
            MemberCommand::Seed(seeds) => {
                self.seeds = seeds;
                if self.table.peers().next().is_none() {
                    self.ping_seeds().await;
                }
            }
            MemberCommand::Leave(told) => {
                let wait = self.parts.settings.probe_interval * LEAVE_PERIODS;
                let until = Instant::now() + wait;
                self.leaving = Some(LeaveWait { told, until });
                self.table.leave();
                self.queue.push(self.table.own().host.clone());
                self.tell(LEAVE_LISTENERS).await;
            }
        }
    }

    /// Tells whoever waits that this host's leaving was heard.
    fn end_leaving(&mut self) {
        if let Some(wait) = self.leaving.take() {
            // Whoever waited may have given up.
            let _ = wait.told.send(());
        }
    }

    /// The clock of the process.
    fn clock(&self) -> &HybridClock {
        let recorder = self.parts.recorder.as_ref();
        recorder.map_or(&self.clock, EventRecorder::clock)
    }

    /// Notes something of a host in the time line.
    fn note(&self, kind: EventKind, host: &HostId, what: &str) {
        if let Some(recorder) = &self.parts.recorder {
            recorder.record(EventDraft::new(kind, format!("host {host} {what}")));
        }
    }
}

/// The head before the first configuration.
fn no_head() -> ConfigHead {
    ConfigHead {
        hash: "".into(),
        offset: 0,
        sequence: 0,
    }
}

/// Sleeps until a time, or for ever without one.
async fn sleep_until(until: Option<Instant>) {
    match until {
        Some(until) => time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
