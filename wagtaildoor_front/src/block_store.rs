//! Block stores from the configuration and whether they are reachable.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::time;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    endpoint::EndpointKey,
    endpoint_connection::{
        ConnectionPool,
        EndpointConnection, //
    },
    front::Front,
    prefix_hash,
    route_table::RouteTable,
    service_config::ServiceKind, //
};

/// Interval between checks of the connections to block stores.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between connection attempts to an unreachable block store.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// A store of cached blocks.
#[derive(Debug)]
pub struct BlockStore {
    /// Hash of the address; used like an engine's key.
    pub key: EndpointKey,
    /// Address for sending and fetching blocks.
    pub address: SocketAddr,
    /// Connections to the store; one is kept open to detect its loss.
    connections: ConnectionPool,
    /// Whether the last connection attempt succeeded.
    is_up: Cell<bool>,
}

impl BlockStore {
    /// Creates a store that counts as unreachable until the first connection.
    fn new(address: SocketAddr) -> Self {
        Self {
            key: prefix_hash::text_hash(&address.to_string()),
            address,
            connections: ConnectionPool::new(address),
            is_up: Cell::new(false),
        }
    }

    /// Whether the store was reachable at the last connection attempt.
    pub fn is_up(&self) -> bool {
        self.is_up.get()
    }
}

/// Block stores that a configuration names; stores from `known` keep their state.
pub fn configured_stores(table: &RouteTable, known: &[Rc<BlockStore>]) -> Vec<Rc<BlockStore>> {
    let addresses = table.services().filter_map(|service| match &service.kind {
        ServiceKind::BlockStore(rule) => Some(rule.address),
        ServiceKind::Plain | ServiceKind::Engine(_) => None,
    });
    let mut addresses: Vec<SocketAddr> = addresses.collect();
    addresses.sort();
    addresses.dedup();
    let stores = addresses.into_iter().map(|address| {
        let existing = known.iter().find(|store| store.address == address);
        existing
            .cloned()
            .unwrap_or_else(|| Rc::new(BlockStore::new(address)))
    });
    stores.collect()
}

/// Keeps a connection open to each store. If it is lost and cannot be opened again, all prefixes
/// that the store held are forgotten.
pub async fn monitor_stores(front: Rc<Front>) {
    let mut connections: Vec<(EndpointKey, EndpointConnection)> = Vec::new();
    let mut attempts: Vec<(EndpointKey, BootInstant)> = Vec::new();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let stores = front.block_stores.borrow().clone();
        connections.retain(|(_, connection)| connection.is_usable());
        for store in stores {
            if connections.iter().any(|(key, _)| *key == store.key) {
                continue;
            }
            let now = BootInstant::now();
            attempts.retain(|(_, at)| now.since(*at) < RECONNECT_INTERVAL);
            if attempts.iter().any(|(key, _)| *key == store.key) {
                continue;
            }
            attempts.push((store.key, now));
            let was_up = store.is_up();
            match store.connections.connect().await {
                Ok(connection) => {
                    connections.push((store.key, connection));
                    store.is_up.set(true);
                    if !was_up {
                        slog::info!(front.log, "block store regained"; "address" => %store.address);
                    }
                }
                Err(error) => {
                    store.is_up.set(false);
                    front.homes.borrow_mut().invalidate_endpoint(store.key);
                    if was_up {
                        slog::warn!(front.log, "block store lost"; "address" => %store.address,
                            "error" => %error);
                    }
                }
            }
        }
    }
}
