//! An in-memory network for datagrams, with switches for its faults.

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

/// Datagrams that wait at one port; more are dropped, as a socket does.
const PORT_CAPACITY: usize = 1024;

/// A network whose datagrams arrive at once, unless a fault is set.
#[derive(Clone, Default)]
pub struct FakeNetwork {
    /// State that all ports share.
    state: Arc<Mutex<NetworkState>>,
}

/// State of a network.
#[derive(Default)]
struct NetworkState {
    /// Open ports.
    ports: HashMap<SocketAddr, mpsc::Sender<ReceivedDatagram>>,
    /// Side of a cut each address is on; those without one are on side 0.
    sides: HashMap<SocketAddr, u32>,
    /// Addresses that neither send nor receive.
    dead: HashSet<SocketAddr>,
    /// Pairs of addresses that do not reach each other.
    pairs: HashSet<(SocketAddr, SocketAddr)>,
    /// Every so many-th datagram is lost; 0 loses none.
    drop_every: u64,
    /// Every so many-th datagram arrives twice; 0 doubles none.
    duplicate_every: u64,
    /// Datagrams sent so far.
    sent: u64,
    /// Datagrams that arrived.
    arrived: u64,
    /// Bytes that arrived.
    arrived_bytes: u64,
}

/// What a network carried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NetworkCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams that arrived.
    pub arrived: u64,
    /// Bytes that arrived.
    pub arrived_bytes: u64,
}

impl FakeNetwork {
    /// Opens a port at an address, in place of an earlier one there.
    pub fn open(&self, address: SocketAddr) -> FakePort {
        let (sender, inbox) = mpsc::channel(PORT_CAPACITY);
        let mut state = self.state();
        state.ports.insert(address, sender);
        state.dead.remove(&address);
        FakePort {
            address,
            network: self.clone(),
            inbox: AsyncMutex::new(inbox),
        }
    }

    /// Puts an address on a side; datagrams do not pass between sides.
    pub fn set_partition(&self, address: SocketAddr, side: u32) {
        self.state().sides.insert(address, side);
    }

    /// Cuts two addresses off from each other only.
    pub fn block_pair(&self, one: SocketAddr, other: SocketAddr) {
        self.state().pairs.extend([(one, other), (other, one)]);
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        let mut state = self.state();
        state.sides.clear();
        state.pairs.clear();
    }

    /// Lets an address neither send nor receive.
    pub fn kill(&self, address: SocketAddr) {
        self.state().dead.insert(address);
    }

    /// Loses every so many-th datagram; 0 loses none.
    pub fn drop_every(&self, count: u64) {
        self.state().drop_every = count;
    }

    /// Lets every so many-th datagram arrive twice; 0 doubles none.
    pub fn duplicate_every(&self, count: u64) {
        self.state().duplicate_every = count;
    }

    /// What it carried so far.
    pub fn counts(&self) -> NetworkCounts {
        let state = self.state();
        NetworkCounts {
            sent: state.sent,
            arrived: state.arrived,
            arrived_bytes: state.arrived_bytes,
        }
    }

    /// The state; each change of it is one step, so that a panic leaves it whole.
    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl NetworkState {
    /// Carries a datagram.
    fn carry(&mut self, datagram: ReceivedDatagram, to: SocketAddr) {
        self.sent += 1;
        let every = |count: u64| count > 0 && self.sent % count == 0;
        let cut = self.side(&datagram.from) != self.side(&to)
            || self.pairs.contains(&(datagram.from, to));
        let dead = self.dead.contains(&datagram.from) || self.dead.contains(&to);
        if cut || dead || every(self.drop_every) {
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

    /// The side of a cut an address is on.
    fn side(&self, address: &SocketAddr) -> u32 {
        self.sides.get(address).copied().unwrap_or_default()
    }
}

/// A port of the network.
pub struct FakePort {
    /// Its address.
    address: SocketAddr,
    /// The network.
    network: FakeNetwork,
    /// Datagrams that arrived.
    inbox: AsyncMutex<mpsc::Receiver<ReceivedDatagram>>,
}

impl DatagramTransport for FakePort {
    async fn send(&self, bytes: bytes::Bytes, to: SocketAddr) -> Result<()> {
        let from = self.address;
        self.network
            .state()
            .carry(ReceivedDatagram { from, bytes }, to);
        Ok(())
    }

    async fn receive(&self) -> Result<ReceivedDatagram> {
        let received = self.inbox.lock().await.recv().await;
        received.ok_or_else(|| io::Error::from(io::ErrorKind::NotConnected))
    }
}
