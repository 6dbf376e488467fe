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
        counts::MemberCounters,
        payload::PayloadKind,
        probe_targets::{
            self,
            ProbeSchedule, //
        },
        MemberCommand,
        MemberSettings, //
    },
    peer_datagram::{
        DatagramCodec,
        ReplayFilter, //
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

mod publish;
mod receive;
mod send;

/// Other hosts are asked to probe a host that has not acknowledged within 1/3 of a period.
const INDIRECT_PROBE_DIVISOR: u32 = 3;
/// Suspicion timeout of the smallest system, in periods; each doubling of the hosts adds one.
const BASE_SUSPICION_PERIODS: u32 = 3;
/// Interval between two summaries to another failure domain, in periods.
const SUMMARY_INTERVAL_PERIODS: u64 = 5;
/// Interval between two probes of a host that is gone, in periods.
const GONE_PROBE_INTERVAL_PERIODS: u64 = 10;
/// Time without contact after which a failure domain counts as unreachable, in periods.
const DOMAIN_TIMEOUT_PERIODS: u32 = 30;
/// How long a host that is gone is remembered, in periods.
const TOMBSTONE_TTL_PERIODS: u32 = 3_600;
/// Seeds probed per period while no peer is known.
const JOIN_SEED_PROBES: usize = 3;
/// Number of first periods in which a new member requests summaries.
const JOIN_PERIODS: u64 = 20;
/// Peers probed in each group at once when the configuration head changes.
const HEAD_GOSSIP_FANOUT: usize = 3;
/// Peers probed in each group at once when this host leaves.
const LEAVE_GOSSIP_FANOUT: usize = 5;
/// How long a leaving host waits for an acknowledgement, in periods.
const LEAVE_TIMEOUT_PERIODS: u32 = 2;
/// Maximum number of unfinished probes on behalf of other hosts.
const MAX_RELAYED_PROBES: usize = 64;
/// Delay before receiving again after the transport returned an error.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(10);

/// Settings and dependencies of a member.
pub struct MemberContext<P> {
    /// Identity and addresses of this host.
    pub settings: MemberSettings,
    /// Encodes and authenticates datagrams.
    pub codec: DatagramCodec,
    /// Sends and receives datagrams.
    pub transport: P,
    /// Event timeline of the process, if it has one.
    pub recorder: Option<EventRecorder>,
    /// Datagram counters, shared with the handle.
    pub counts: Arc<MemberCounters>,
}

/// State of the membership task.
pub struct MemberTask<P> {
    context: MemberContext<P>,
    /// Clock used when there is no event timeline.
    local_clock: HybridClock,
    /// Known peers and their states.
    table: PeerTable,
    /// Rumours still to be passed on.
    queue: RumourQueue,
    /// Newest stamp of each sender, to reject replayed datagrams.
    replay_filter: ReplayFilter,
    /// Time of the last contact with each other failure domain.
    domain_contacts: HashMap<DomainId, Instant>,
    /// Time of the last valid datagram from any peer.
    last_contact: Instant,
    /// Order in which hosts are probed.
    schedule: ProbeSchedule,
    rng: StdRng,
    last_probe_number: u64,
    /// Unacknowledged probe of this period.
    pending_probe: Option<PendingProbe>,
    /// Unacknowledged probes on behalf of other hosts, by probe number.
    relayed_probes: HashMap<u64, RelayedProbe>,
    /// Addresses at which peers may be found.
    seeds: Vec<SocketAddr>,
    /// Number of periods since the start.
    period_count: u64,
    /// The caller that waits for this host's departure to be acknowledged.
    leave_wait: Option<LeaveWait>,
    /// Published view of all known hosts.
    hosts: watch::Sender<Vec<HostView>>,
}

/// A probe that has not been acknowledged yet.
struct PendingProbe {
    number: u64,
    host: HostId,
    /// When to request indirect probes; `None` once they were requested.
    indirect_probe_at: Option<Instant>,
}

/// A probe sent on behalf of another host.
struct RelayedProbe {
    /// Address of the host that requested the probe.
    requester: SocketAddr,
    /// Probe number used by the requesting host.
    number: u64,
    requested_at: Instant,
}

/// A caller that waits for this host's departure to be acknowledged.
struct LeaveWait {
    /// Notified on the first acknowledgement or at the deadline.
    ack_sender: oneshot::Sender<()>,
    deadline: Instant,
}

impl<P: DatagramTransport> MemberTask<P> {
    /// Creates a member that knows no peers.
    pub fn new(context: MemberContext<P>) -> Self {
        let settings = &context.settings;
        let own = PeerRumour {
            address: settings.peer_address,
            domain: settings.domain.clone(),
            entries: settings.entry_address,
            head: empty_head(),
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            operators: settings.operator_address,
            state: PeerState::Alive,
        };
        let rng = StdRng::seed_from_u64(settings.seed);
        let now = Instant::now();
        let mut task = Self {
            local_clock: HybridClock::new(),
            table: PeerTable::new(own),
            queue: RumourQueue::default(),
            replay_filter: ReplayFilter::default(),
            domain_contacts: HashMap::new(),
            last_contact: now,
            schedule: ProbeSchedule::default(),
            rng,
            last_probe_number: 0,
            pending_probe: None,
            relayed_probes: HashMap::new(),
            seeds: Vec::new(),
            period_count: 0,
            leave_wait: None,
            hosts: watch::Sender::new(Vec::new()),
            context,
        };
        task.publish_hosts();
        task
    }

    /// Subscribes to the view of all known hosts.
    pub fn hosts(&self) -> watch::Receiver<Vec<HostView>> {
        self.hosts.subscribe()
    }

    /// Runs until the token is cancelled or the handle is dropped.
    pub async fn run(mut self, mut inbox: mpsc::Receiver<MemberCommand>, token: CancellationToken) {
        let mut ticks = time::interval(self.context.settings.probe_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let indirect_probe_at = self.indirect_probe_time();
            tokio::select! {
                () = token.cancelled() => return,
                received = self.context.transport.receive() => match received {
                    Ok(datagram) => self.handle_datagram(datagram).await,
                    Err(_) => time::sleep(RECEIVE_ERROR_DELAY).await,
                },
                _ = ticks.tick() => self.run_period().await,
                () = sleep_until(indirect_probe_at) => self.probe_indirectly().await,
                command = inbox.recv() => match command {
                    Some(command) => self.handle_command(command).await,
                    None => return,
                },
            }
        }
    }

    /// Runs one period: expires the last probe and other state, then sends the next probes.
    async fn run_period(&mut self) {
        let now = Instant::now();
        self.expire_probe(now);
        self.expire_state(now);
        self.period_count += 1;
        if let Some(host) = self.schedule.next_host(&self.table, &mut self.rng) {
            self.start_probe(host, now).await;
        }
        if self.period_count % SUMMARY_INTERVAL_PERIODS == 1 {
            let remote = self.schedule.next_remote(&self.table, &mut self.rng);
            if let Some(host) = remote {
                self.send_ping(&host, PayloadKind::Summary).await;
            }
        }
        if self.period_count % GONE_PROBE_INTERVAL_PERIODS == 0 {
            if let Some(host) = probe_targets::select_gone_host(&self.table, &mut self.rng) {
                self.send_ping(&host, PayloadKind::Regular).await;
            }
        }
        self.ping_seeds().await;
        self.publish_hosts();
    }

    /// Marks the host of the last probe unresponsive if it has not acknowledged the probe.
    fn expire_probe(&mut self, now: Instant) {
        let Some(probe) = self.pending_probe.take() else {
            return;
        };
        match self.table.mark_unresponsive(&probe.host, now) {
            Some(PeerState::Suspect) => {
                self.record_event(
                    EventKind::PeerSuspected,
                    &probe.host,
                    "did not acknowledge a probe",
                );
                self.queue.push(probe.host);
            }
            Some(_) => {
                self.record_event(EventKind::PeerGone, &probe.host, "left");
                self.queue.push(probe.host);
            }
            None => {}
        }
    }

    /// Expires suspicions, hosts that are gone, relayed probes and the wait for leaving.
    fn expire_state(&mut self, now: Instant) {
        let period = self.context.settings.probe_interval;
        if !self.is_isolated(now) {
            for host in self.table.expire_suspicions(self.suspicion_timeout(), now) {
                self.record_event(
                    EventKind::PeerGone,
                    &host,
                    "stayed suspected until the timeout",
                );
                self.queue.push(host);
            }
        }
        for host in self.table.remove_gone(period * TOMBSTONE_TTL_PERIODS, now) {
            self.replay_filter.remove(&host);
            self.queue.remove(&host);
        }
        self.relayed_probes
            .retain(|_, relay| now.duration_since(relay.requested_at) < period);
        let is_expired = self
            .leave_wait
            .as_ref()
            .is_some_and(|wait| now >= wait.deadline);
        if is_expired {
            self.finish_leave();
        }
    }

    /// Returns how long a suspicion lasts, which grows with the logarithm of the known hosts.
    fn suspicion_timeout(&self) -> Duration {
        let hosts = self.table.peers().count() + 1;
        let periods = BASE_SUSPICION_PERIODS + rumour_queue::ceil_log2(hosts);
        self.context.settings.probe_interval * periods
    }

    /// Returns whether this host receives nothing from its peers.
    ///
    /// An isolated host can't tell which of the others are gone.
    fn is_isolated(&self, now: Instant) -> bool {
        let is_silent =
            now.saturating_duration_since(self.last_contact) >= self.suspicion_timeout();
        is_silent && self.table.peers().next().is_some()
    }

    /// Returns when to request indirect probes of the host probed in this period.
    fn indirect_probe_time(&self) -> Option<Instant> {
        self.pending_probe.as_ref()?.indirect_probe_at
    }

    async fn handle_command(&mut self, command: MemberCommand) {
        match command {
            MemberCommand::SetHead(head) => {
                if self.table.set_head(head) {
                    self.publish_hosts();
                    self.gossip_to_peers(HEAD_GOSSIP_FANOUT).await;
                }
            }
            MemberCommand::SetSeeds(seeds) => {
                self.seeds = seeds;
                if self.table.peers().next().is_none() {
                    self.ping_seeds().await;
                }
            }
            MemberCommand::Leave(ack_sender) => {
                let wait = self.context.settings.probe_interval * LEAVE_TIMEOUT_PERIODS;
                let deadline = Instant::now() + wait;
                self.leave_wait = Some(LeaveWait {
                    ack_sender,
                    deadline,
                });
                self.table.mark_leaving();
                self.queue.push(self.table.own().host.clone());
                self.gossip_to_peers(LEAVE_GOSSIP_FANOUT).await;
            }
        }
    }

    /// Notifies the caller of `leave`.
    fn finish_leave(&mut self) {
        if let Some(wait) = self.leave_wait.take() {
            // The caller may have stopped waiting.
            let _ = wait.ack_sender.send(());
        }
    }

    /// Returns the clock of the event timeline, or the local one without a timeline.
    fn clock(&self) -> &HybridClock {
        let recorder = self.context.recorder.as_ref();
        recorder.map_or(&self.local_clock, EventRecorder::clock)
    }

    /// Records an event about a host in the event timeline.
    fn record_event(&self, kind: EventKind, host: &HostId, detail: &str) {
        if let Some(recorder) = &self.context.recorder {
            recorder.record(EventDraft::new(kind, format!("host {host} {detail}")));
        }
    }
}

/// Returns the head of a host that has no configuration yet.
fn empty_head() -> ConfigHead {
    ConfigHead {
        hash: "".into(),
        offset: 0,
        sequence: 0,
    }
}

/// Sleeps until the given time, or forever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
