//! In-memory datagram network with switchable faults.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use tokio::sync::{
    mpsc,
    Mutex as AsyncMutex, //
};
use wagtaildoor::datagram_transport::{
    DatagramTransport,
    ReceivedDatagram,
    Result, //
};

/// Maximum number of datagrams queued at a port; like a socket, it drops the excess.
const PORT_CAPACITY: usize = 1024;

/// A network that delivers datagrams immediately unless a fault applies; clones share it.
#[derive(Clone, Default)]
pub struct FakeNetwork {
    state: Arc<Mutex<NetworkState>>,
}

/// Mutable state of a network.
#[derive(Default)]
struct NetworkState {
    /// Receive queues of the open ports.
    ports: HashMap<SocketAddr, mpsc::Sender<ReceivedDatagram>>,
    /// Partition of each address; addresses without an entry are in partition 0.
    partitions: HashMap<SocketAddr, u32>,
    /// Addresses that neither send nor receive.
    dead_addresses: HashSet<SocketAddr>,
    /// Ordered pairs of sender and recipient between which datagrams are dropped.
    blocked_pairs: HashSet<(SocketAddr, SocketAddr)>,
    /// Drops every n-th datagram; 0 drops none.
    drop_every: u64,
    /// Delivers every n-th datagram twice; 0 duplicates none.
    duplicate_every: u64,
    /// Datagrams sent so far.
    sent: u64,
    /// Datagrams delivered so far.
    arrived: u64,
    /// Total size of the delivered datagrams, in bytes.
    arrived_bytes: u64,
}

/// Traffic of a network.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NetworkCounts {
    /// Datagrams sent, including dropped ones.
    pub sent: u64,
    /// Datagrams delivered; a duplicate counts twice.
    pub arrived: u64,
    /// Total size of the delivered datagrams, in bytes.
    pub arrived_bytes: u64,
}

impl FakeNetwork {
    /// Opens a port at an address and revives the address; replaces an earlier port there.
    pub fn open(&self, address: SocketAddr) -> FakePort {
        let (sender, inbox) = mpsc::channel(PORT_CAPACITY);
        let mut state = self.state();
        state.ports.insert(address, sender);
        state.dead_addresses.remove(&address);
        FakePort {
            address,
            network: self.clone(),
            inbox: AsyncMutex::new(inbox),
        }
    }

    /// Moves an address to a partition; datagrams between partitions are dropped.
    pub fn set_partition(&self, address: SocketAddr, partition: u32) {
        self.state().partitions.insert(address, partition);
    }

    /// Drops all datagrams between two addresses, in both directions.
    pub fn block_pair(&self, first: SocketAddr, second: SocketAddr) {
        self.state()
            .blocked_pairs
            .extend([(first, second), (second, first)]);
    }

    /// Removes all partitions and blocked pairs; dead addresses stay dead.
    pub fn heal(&self) {
        let mut state = self.state();
        state.partitions.clear();
        state.blocked_pairs.clear();
    }

    /// Drops all datagrams to and from an address until a port is opened there again.
    pub fn kill(&self, address: SocketAddr) {
        self.state().dead_addresses.insert(address);
    }

    /// Drops every n-th datagram; 0 drops none.
    pub fn drop_every(&self, count: u64) {
        self.state().drop_every = count;
    }

    /// Delivers every n-th datagram twice; 0 duplicates none.
    pub fn duplicate_every(&self, count: u64) {
        self.state().duplicate_every = count;
    }

    /// Returns the traffic so far.
    pub fn counts(&self) -> NetworkCounts {
        let state = self.state();
        NetworkCounts {
            sent: state.sent,
            arrived: state.arrived,
            arrived_bytes: state.arrived_bytes,
        }
    }

    /// Locks the state. Every change is a single step, so a poisoned state is still consistent.
    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl NetworkState {
    /// Delivers a datagram unless a fault drops it.
    fn deliver(&mut self, datagram: ReceivedDatagram, to: SocketAddr) {
        self.sent += 1;
        let every = |count: u64| count > 0 && self.sent % count == 0;
        let is_cut = self.partition(&datagram.from) != self.partition(&to)
            || self.blocked_pairs.contains(&(datagram.from, to));
        let is_dead =
            self.dead_addresses.contains(&datagram.from) || self.dead_addresses.contains(&to);
        if is_cut || is_dead || every(self.drop_every) {
            return;
        }
        let times = if every(self.duplicate_every) { 2 } else { 1 };
        let Some(port) = self.ports.get(&to) else {
            return;
        };
        for _ in 0..times {
            let bytes = datagram.bytes.len() as u64;
            if port.try_send(datagram.clone()).is_ok() {
                self.arrived += 1;
                self.arrived_bytes += bytes;
            }
        }
    }

    /// Returns the partition of an address, 0 by default. Datagrams between partitions are dropped.
    fn partition(&self, address: &SocketAddr) -> u32 {
        self.partitions.get(address).copied().unwrap_or_default()
    }
}

/// Sends and receives the datagrams of one address.
pub struct FakePort {
    address: SocketAddr,
    network: FakeNetwork,
    /// Delivered datagrams.
    inbox: AsyncMutex<mpsc::Receiver<ReceivedDatagram>>,
}

impl DatagramTransport for FakePort {
    async fn send(&self, bytes: bytes::Bytes, to: SocketAddr) -> Result<()> {
        let from = self.address;
        self.network
            .state()
            .deliver(ReceivedDatagram { from, bytes }, to);
        Ok(())
    }

    async fn receive(&self) -> Result<ReceivedDatagram> {
        let received = self.inbox.lock().await.recv().await;
        received.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))
    }
}
