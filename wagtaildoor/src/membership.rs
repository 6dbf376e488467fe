//! Membership protocol between keepers: which hosts are alive, in which state and with which
//! configuration.
//!
//! In each period, every keeper probes one peer of its failure domain and, without an
//! acknowledgement, asks a few others to probe it. Rumours, which are gossip updates about the
//! state of a host, travel with probes and their acknowledgements. Two hosts of each failure
//! domain exchange summaries with the other failure domains, less often. The load of one host does
//! not depend on the number of hosts.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use tokio::sync::{
    mpsc,
    oneshot,
    watch, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    datagram_transport::DatagramTransport,
    ids::{
        DomainId,
        HostId, //
    },
    peer_datagram::{
        DatagramCodec,
        Result, //
    },
    schema::{
        ConfigHead,
        HostView, //
    },
    timeline::EventRecorder,
};

mod counts;
mod payload;
mod probe_targets;
mod task;

pub use counts::{
    CounterSnapshot,
    MemberCounters, //
};

/// Commands queued for the membership task.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Identity, addresses and timing of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: DomainId,
    /// Address for datagrams, as peers reach it.
    pub peer_address: SocketAddr,
    /// Address for entries.
    pub entry_address: SocketAddr,
    /// Address at which this host serves operators.
    pub operator_address: SocketAddr,
    /// Interval between two probes; this is the period of the protocol.
    pub probe_interval: Duration,
    /// Initial incarnation; each later start of the host must use a higher one.
    pub incarnation: u64,
    /// Seed of the random order in which peers are probed.
    pub seed: u64,
}

/// A command to the membership task.
enum MemberCommand {
    /// Sets the configuration head of this host.
    SetHead(ConfigHead),
    /// Replaces the addresses at which peers may be found.
    SetSeeds(Vec<SocketAddr>),
    /// Announces that this host leaves; completes on an acknowledgement or after a timeout.
    Leave(oneshot::Sender<()>),
}

/// Handle to a membership task; clones share the task.
#[derive(Clone)]
pub struct MembershipHandle {
    /// Queue of the task.
    commands: mpsc::Sender<MemberCommand>,
    /// Published view of all known hosts.
    hosts: watch::Receiver<Vec<HostView>>,
    counts: Arc<MemberCounters>,
    own_host: HostId,
}

impl MembershipHandle {
    /// Joins the peers and takes part in the protocol until the token is cancelled.
    pub fn new<P: DatagramTransport>(
        settings: MemberSettings,
        secret: &[u8],
        transport: P,
        recorder: Option<EventRecorder>,
        token: CancellationToken,
    ) -> Result<Self> {
        let (member, task) = Self::new_with_task(settings, secret, transport, recorder, token)?;
        tokio::spawn(task);
        Ok(member)
    }

    /// Creates a handle and its task, which the caller must run.
    pub fn new_with_task<P: DatagramTransport>(
        settings: MemberSettings,
        secret: &[u8],
        transport: P,
        recorder: Option<EventRecorder>,
        token: CancellationToken,
    ) -> Result<(Self, impl Future<Output = ()> + Send)> {
        let codec = DatagramCodec::new(secret)?;
        let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let counts = Arc::new(MemberCounters::default());
        let own_host = settings.host.clone();
        let context = task::MemberContext {
            settings,
            codec,
            transport,
            recorder,
            counts: Arc::clone(&counts),
        };
        let task = task::MemberTask::new(context);
        let member = Self {
            commands,
            hosts: task.hosts(),
            counts,
            own_host,
        };
        Ok((member, task.run(inbox, token)))
    }

    /// Subscribes to the view of all known hosts, including this one, sorted by name.
    pub fn hosts(&self) -> watch::Receiver<Vec<HostView>> {
        self.hosts.clone()
    }

    /// Returns the current datagram counters.
    pub fn counts(&self) -> CounterSnapshot {
        self.counts.snapshot()
    }

    /// Announces the head of the configuration that this host now holds.
    pub async fn set_head(&self, head: ConfigHead) {
        self.send_command(MemberCommand::SetHead(head)).await;
    }

    /// Replaces the addresses at which peers may be found.
    pub async fn set_seeds(&self, addresses: Vec<SocketAddr>) {
        self.send_command(MemberCommand::SetSeeds(addresses)).await;
    }

    /// Announces that this host leaves; returns on an acknowledgement or after a timeout.
    pub async fn leave(&self) {
        let (ack_sender, acked) = oneshot::channel();
        self.send_command(MemberCommand::Leave(ack_sender)).await;
        // An error means that the task has ended and this host takes part no longer.
        let _ = acked.await;
    }

    /// Returns the live host with the newest configuration, if newer than this host's own.
    pub fn host_with_newest_head(&self) -> Option<HostView> {
        let hosts = self.hosts.borrow();
        let own = hosts.iter().find(|host| host.id == self.own_host);
        let own_sequence = own.map_or(0, |host| host.head.sequence);
        hosts
            .iter()
            .filter(|host| host.alive && host.head.sequence > own_sequence)
            .max_by_key(|host| host.head.sequence)
            .cloned()
    }

    /// Sends a command to the task; does nothing if the task has ended.
    async fn send_command(&self, command: MemberCommand) {
        let _ = self.commands.send(command).await;
    }
}
