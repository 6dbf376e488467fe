//! Stores of cached blocks that the configuration names, and whether they can be reached.

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

/// Pause between two looks at the connections to stores.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Pause before a store that cannot be reached is tried again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// A store of cached blocks.
#[derive(Debug)]
pub struct BlockStore {
    /// Hash of its address, in the place of an engine's key.
    pub key: EndpointKey,
    /// Address.
    pub address: SocketAddr,
    /// Connections, of which one is held open to see the store end.
    connections: ConnectionPool,
    /// Whether it can be reached.
    is_up: Cell<bool>,
}

impl BlockStore {
    /// A store that was not reached yet.
    fn new(address: SocketAddr) -> Self {
        Self {
            key: prefix_hash::text_hash(&address.to_string()),
            address,
            connections: ConnectionPool::new(address),
            is_up: Cell::new(false),
        }
    }

    /// Whether it can be reached.
    pub fn is_up(&self) -> bool {
        self.is_up.get()
    }
}

/// Stores that a configuration names; those that were known stay as they are.
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

/// Holds a connection to each store. One that ends takes all that the store held with it.
pub async fn monitor_stores(front: Rc<Front>) {
    let mut held: Vec<(EndpointKey, EndpointConnection)> = Vec::new();
    let mut tried: Vec<(EndpointKey, BootInstant)> = Vec::new();
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let stores = front.block_stores.borrow().clone();
        held.retain(|(_, connection)| connection.is_usable());
        for store in stores {
            if held.iter().any(|(key, _)| *key == store.key) {
                continue;
            }
            let now = BootInstant::now();
            tried.retain(|(_, at)| now.since(*at) < RECONNECT_INTERVAL);
            if tried.iter().any(|(key, _)| *key == store.key) {
                continue;
            }
            tried.push((store.key, now));
            let was_up = store.is_up();
            match store.connections.connect().await {
                Ok(connection) => {
                    held.push((store.key, connection));
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
