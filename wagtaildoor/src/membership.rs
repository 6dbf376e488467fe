//! Membership among keepers: who is there, in which state, with which configuration.
//!
//! Every keeper sends one probe a period to a peer of its failure domain and, when no answer
//! comes, asks a few others to try. News travels on the probes and their answers. Two hosts of
//! each failure domain exchange summaries with the other failure domains, less often. What one
//! host spends does not depend on the number of hosts.

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

/// Commands on their way to the task.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Who this host is among its peers.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its address for datagrams, as others reach it.
    pub peer_address: SocketAddr,
    /// Its address for entries.
    pub entry_address: SocketAddr,
    /// Its address for operators.
    pub operator_address: SocketAddr,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Incarnation to start with; a start later in time should have a higher one.
    pub incarnation: u64,
    /// Seed of the order in which peers are probed.
    pub seed: u64,
}

/// What the task is asked for.
enum MemberCommand {
    /// This host holds a newer configuration.
    SetHead(ConfigHead),
    /// Addresses at which there may be peers.
    SetSeeds(Vec<SocketAddr>),
    /// Tells peers that this host leaves; answered once one has heard it, or soon after.
    Leave(oneshot::Sender<()>),
}

/// A member among its peers; clones share it.
#[derive(Clone)]
pub struct MembershipHandle {
    /// Way to the task.
    commands: mpsc::Sender<MemberCommand>,
    /// Hosts as they are known.
    hosts: watch::Receiver<Vec<HostView>>,
    /// What was sent, taken and dropped.
    counts: Arc<MemberCounters>,
    /// Name of this host.
    own_host: HostId,
}

impl MembershipHandle {
    /// Joins the peers, and stays among them until the token is cancelled.
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

    /// A member, and its task for the caller to run.
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

    /// All hosts as they are known, this one too, in the order of their names.
    pub fn hosts(&self) -> watch::Receiver<Vec<HostView>> {
        self.hosts.clone()
    }

    /// What was sent, taken and dropped so far.
    pub fn counts(&self) -> CounterSnapshot {
        self.counts.snapshot()
    }

    /// Tells peers of a configuration that this host now holds.
    pub async fn set_head(&self, head: ConfigHead) {
        self.send_command(MemberCommand::SetHead(head)).await;
    }

    /// Gives the addresses at which there may be peers, in place of those given before.
    pub async fn set_seeds(&self, addresses: Vec<SocketAddr>) {
        self.send_command(MemberCommand::SetSeeds(addresses)).await;
    }

    /// Tells peers that this host leaves, and returns once one has heard it, or soon after.
    pub async fn leave(&self) {
        let (ack_sender, acked) = oneshot::channel();
        self.send_command(MemberCommand::Leave(ack_sender)).await;
        // An error says that the task has ended, and with it the membership.
        let _ = acked.await;
    }

    /// The live host with the newest configuration, when it is newer than this host's own.
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

    /// Hands a command to the task; without the task there is nothing to do.
    async fn send_command(&self, command: MemberCommand) {
        let _ = self.commands.send(command).await;
    }
}
