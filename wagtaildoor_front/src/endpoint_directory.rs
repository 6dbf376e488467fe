//! Registry of the endpoints listed in the platform's store.

use std::{
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        EndpointId,
        ServiceId, //
    },
};

use crate::endpoint::{
    endpoint_statements::EndpointStatements,
    Endpoint,
    EndpointKey,
    EndpointRecord, //
};

/// Time after a store outage within which live endpoints register again.
pub const RELISTING_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which the statements of a removed endpoint are kept, longer than one serves that has left or
/// cannot reach the store.
const STATEMENTS_LIFETIME: Duration = Duration::from_secs(600);

/// Effect of a record on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// The endpoint, or this start of it, was not known before.
    Appeared,
    /// The endpoint no longer accepts work.
    Leaving,
    /// The endpoint accepts work again after it was leaving.
    Returned,
    /// Nothing that affects placement.
    None,
}

/// Registered endpoints, indexed by name, key and service.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    by_id: HashMap<EndpointId, Rc<Endpoint>>,
    by_key: HashMap<EndpointKey, Rc<Endpoint>>,
    /// Endpoints of each service, sorted by name.
    by_service: HashMap<ServiceId, Vec<Rc<Endpoint>>>,
    /// Endpoints not listed since a store outage, with the time at which they are removed.
    missing_until: HashMap<EndpointId, BootInstant>,
    /// Statements of removed endpoints, which may be listed again.
    former: HashMap<EndpointKey, FormerEndpoint>,
}

/// What is kept of a removed endpoint.
#[derive(Debug)]
struct FormerEndpoint {
    statements: Rc<EndpointStatements>,
    removed_at: BootInstant,
}

impl EndpointDirectory {
    /// Endpoints of a service, sorted by name; empty for an unknown service.
    pub fn service_endpoints(&self, id: &str) -> &[Rc<Endpoint>] {
        self.by_service.get(id).map_or(&[], Vec::as_slice)
    }

    /// Looks up an endpoint by name.
    pub fn get(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.by_id.get(id)
    }

    /// Looks up an endpoint by the key of one of its starts. A restarted endpoint has a new key.
    pub fn get_by_key(&self, key: EndpointKey) -> Option<&Rc<Endpoint>> {
        self.by_key.get(&key)
    }

    /// All registered endpoints, in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.by_id.values()
    }

    /// Number of registered endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Applies an endpoint's record. A newer start time, or a new address or service, replaces the
    /// endpoint; a record of an earlier start is ignored.
    pub fn apply_record(&mut self, record: EndpointRecord, now: BootInstant) -> DirectoryChange {
        let known = self.by_id.get(&record.id).cloned();
        if let Some(known) = known {
            if known.started_ms > record.started_ms {
                return DirectoryChange::None;
            }
            if known.matches_record(&record) {
                self.missing_until.remove(&record.id);
                let took_work = known.is_accepting_requests();
                known.update_record(record);
                return match (took_work, known.is_accepting_requests()) {
                    (true, false) => DirectoryChange::Leaving,
                    (false, true) => DirectoryChange::Returned,
                    _ => DirectoryChange::None,
                };
            }
            self.remove(&record.id, now);
        }
        let former = self.former.remove(&record.key());
        let statements = former.map_or_else(Rc::default, |former| former.statements);
        let endpoint = Endpoint::with_statements(record, statements, now);
        self.insert(Rc::new(endpoint));
        DirectoryChange::Appeared
    }

    /// Removes an endpoint that is no longer listed, and returns whether it was known. After a store
    /// outage it may be alive until `relisted_by`; it is then removed at that time, and `false` is
    /// returned.
    pub fn mark_gone(
        &mut self,
        id: &EndpointId,
        relisted_by: Option<BootInstant>,
        now: BootInstant,
    ) -> bool {
        if !self.by_id.contains_key(id) {
            return false;
        }
        let Some(until) = relisted_by.filter(|&until| now < until) else {
            return self.remove(id, now);
        };
        self.missing_until.entry(id.clone()).or_insert(until);
        false
    }

    /// Removes all endpoints that a complete list does not contain, and returns those removed now.
    pub fn retain_listed(
        &mut self,
        is_named: impl Fn(&str) -> bool,
        relisted_by: Option<BootInstant>,
        now: BootInstant,
    ) -> Vec<EndpointId> {
        let absent: Vec<EndpointId> = self
            .by_id
            .keys()
            .filter(|id| !is_named(id))
            .cloned()
            .collect();
        absent
            .into_iter()
            .filter(|id| self.mark_gone(id, relisted_by, now))
            .collect()
    }

    /// Removes the endpoints that did not register again within the grace period after an outage, and
    /// forgets what was removed long ago.
    pub fn expire_missing(&mut self, now: BootInstant) -> Vec<EndpointId> {
        let due = self.missing_until.iter().filter(|(_, &until)| now >= until);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.remove(id, now);
        }
        self.former
            .retain(|_, former| now.since(former.removed_at) < STATEMENTS_LIFETIME);
        due
    }

    fn insert(&mut self, endpoint: Rc<Endpoint>) {
        let same_service = self.by_service.entry(endpoint.service.clone()).or_default();
        let place = same_service.partition_point(|other| other.id < endpoint.id);
        same_service.insert(place, endpoint.clone());
        self.by_key.insert(endpoint.key, endpoint.clone());
        self.by_id.insert(endpoint.id.clone(), endpoint);
    }

    fn remove(&mut self, id: &EndpointId, now: BootInstant) -> bool {
        self.missing_until.remove(id);
        let Some(endpoint) = self.by_id.remove(id) else {
            return false;
        };
        self.by_key.remove(&endpoint.key);
        endpoint.retire();
        let former = FormerEndpoint {
            statements: endpoint.statements.clone(),
            removed_at: now,
        };
        self.former.insert(endpoint.key, former);
        if let Some(same_service) = self.by_service.get_mut(&endpoint.service) {
            same_service.retain(|other| other.id != endpoint.id);
        }
        true
    }
}
