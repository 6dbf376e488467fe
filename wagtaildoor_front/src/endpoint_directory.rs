//! All endpoints that the platform's store names.

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
    Endpoint,
    EndpointKey,
    EndpointRecord, //
};

/// Time after an outage of the store in which endpoints that are alive are back on its list.
pub const RELISTING_GRACE: Duration = Duration::from_millis(2_300);

/// What a record changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// An endpoint was not known before.
    Appeared,
    /// An endpoint takes no more work.
    Leaving,
    /// An endpoint that was leaving takes work again.
    Returned,
    /// Nothing that matters to placement.
    None,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    /// Endpoints by name.
    by_id: HashMap<EndpointId, Rc<Endpoint>>,
    /// Endpoints by the hash of their name and start.
    by_key: HashMap<EndpointKey, Rc<Endpoint>>,
    /// Endpoints by service, in the order of their names.
    by_service: HashMap<ServiceId, Vec<Rc<Endpoint>>>,
    /// Endpoints that are missing since an outage of the store: when they are taken as gone.
    missing: HashMap<EndpointId, BootInstant>,
}

impl EndpointDirectory {
    /// Endpoints of a service.
    pub fn service_endpoints(&self, id: &str) -> &[Rc<Endpoint>] {
        self.by_service.get(id).map_or(&[], Vec::as_slice)
    }

    /// An endpoint.
    pub fn get(&self, id: &str) -> Option<&Rc<Endpoint>> {
        self.by_id.get(id)
    }

    /// The start of an endpoint that a key names.
    pub fn get_by_key(&self, key: EndpointKey) -> Option<&Rc<Endpoint>> {
        self.by_key.get(&key)
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.by_id.values()
    }

    /// Endpoints known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Takes a description.
    pub fn apply_record(&mut self, record: EndpointRecord, now: BootInstant) -> DirectoryChange {
        let known = self.by_id.get(&record.id).cloned();
        if let Some(known) = known {
            if known.started_ms > record.started_ms {
                return DirectoryChange::None;
            }
            if known.matches_record(&record) {
                self.missing.remove(&record.id);
                let worked = known.is_accepting_requests();
                known.update_record(record);
                return match (worked, known.is_accepting_requests()) {
                    (true, false) => DirectoryChange::Leaving,
                    (false, true) => DirectoryChange::Returned,
                    _ => DirectoryChange::None,
                };
            }
            self.remove(&record.id);
        }
        self.insert(Rc::new(Endpoint::new(record, now)));
        DirectoryChange::Appeared
    }

    /// Takes an endpoint off; after an outage of the store only once it had time to return.
    pub fn mark_gone(&mut self, id: &EndpointId, after_outage: bool, now: BootInstant) -> bool {
        if !self.by_id.contains_key(id) {
            return false;
        }
        if after_outage {
            let due = self.missing.entry(id.clone());
            due.or_insert(now + RELISTING_GRACE);
            return false;
        }
        self.remove(id)
    }

    /// Takes off all endpoints that a complete list does not name.
    pub fn retain_listed(
        &mut self,
        is_named: impl Fn(&str) -> bool,
        after_outage: bool,
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
            .filter(|id| self.mark_gone(id, after_outage, now))
            .collect()
    }

    /// Takes off the endpoints that did not return after an outage of the store.
    pub fn expire_missing(&mut self, now: BootInstant) -> Vec<EndpointId> {
        let due = self.missing.iter().filter(|(_, &until)| now >= until);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    /// Adds an endpoint.
    fn insert(&mut self, endpoint: Rc<Endpoint>) {
        let same_service = self.by_service.entry(endpoint.service.clone()).or_default();
        let place = same_service.partition_point(|other| other.id < endpoint.id);
        same_service.insert(place, endpoint.clone());
        self.by_key.insert(endpoint.key, endpoint.clone());
        self.by_id.insert(endpoint.id.clone(), endpoint);
    }

    /// Takes an endpoint off at once.
    fn remove(&mut self, id: &EndpointId) -> bool {
        self.missing.remove(id);
        let Some(endpoint) = self.by_id.remove(id) else {
            return false;
        };
        self.by_key.remove(&endpoint.key);
        endpoint.retire();
        if let Some(same_service) = self.by_service.get_mut(&endpoint.service) {
            same_service.retain(|other| other.id != endpoint.id);
        }
        true
    }
}
