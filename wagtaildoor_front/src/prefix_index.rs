//! Which engines hold shared parts of prompts, as this host and its peers have sent them.

use std::{
    collections::HashMap,
    time::Duration, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    generation_map::GenerationMap,
    ids::PrefixId, //
};

use crate::endpoint::EndpointKey;

/// Prefixes that are remembered.
const REMEMBERED_LIMIT: usize = 32_768;
/// Engines remembered for one prefix.
const HOLDERS_LIMIT: usize = 6;
/// Time without use after which an engine is taken to have evicted a prefix.
const KEEP_TIME: Duration = Duration::from_secs(15);

/// An engine that holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
    /// Engine.
    pub endpoint: EndpointKey,
    /// When a request with the prefix was last sent there.
    pub used: BootInstant,
    /// Whether it has read the prefix; otherwise a request is on its way that will make it.
    pub is_read: bool,
}

/// Holders of all prefixes in use.
#[derive(Debug)]
pub struct PrefixIndex {
    /// Holders by prefix, the one used last at the end.
    holders: GenerationMap<PrefixId, Vec<PrefixHolder>>,
    /// Holders that lost all they had, and when.
    lost: HashMap<EndpointKey, BootInstant>,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self {
            holders: GenerationMap::new(REMEMBERED_LIMIT),
            lost: HashMap::new(),
        }
    }
}

impl PrefixIndex {
    /// Notes that a request with a prefix goes to an engine; tells whether that is new.
    pub fn record_holder(
        &mut self,
        prefix: PrefixId,
        endpoint: EndpointKey,
        is_read: bool,
        now: BootInstant,
    ) -> bool {
        let holders = self.holders.touch(prefix);
        let known = holders.iter().position(|h| h.endpoint == endpoint);
        let known = known.map(|index| holders.remove(index));
        holders.retain(|holder| now.since(holder.used) < KEEP_TIME);
        if holders.len() == HOLDERS_LIMIT {
            holders.remove(0);
        }
        let fresh = known.filter(|holder| now.since(holder.used) < KEEP_TIME);
        holders.push(PrefixHolder {
            endpoint,
            used: now,
            is_read: is_read || fresh.is_some_and(|holder| holder.is_read),
        });
        fresh.is_none_or(|holder| is_read && !holder.is_read)
    }

    /// Forgets that an engine holds a prefix, because a request did not get to it.
    pub fn remove_unread(&mut self, prefix: PrefixId, endpoint: EndpointKey) {
        if let Some(holders) = self.holders.get_mut(prefix) {
            holders.retain(|holder| holder.endpoint != endpoint || holder.is_read);
        }
    }

    /// Forgets all that an engine or a store held.
    pub fn invalidate_endpoint(&mut self, endpoint: EndpointKey) {
        self.lost.insert(endpoint, BootInstant::now());
    }

    /// Engines that hold a prefix, the one used last first.
    pub fn holders(
        &self,
        prefix: PrefixId,
        now: BootInstant,
    ) -> impl Iterator<Item = PrefixHolder> + '_ {
        let holders = self.holders.get(prefix).map_or(&[][..], Vec::as_slice);
        let kept = move |holder: &&PrefixHolder| {
            let lost = self.lost.get(&holder.endpoint);
            now.since(holder.used) < KEEP_TIME && lost.is_none_or(|&at| holder.used > at)
        };
        holders.iter().rev().filter(kept).copied()
    }

    /// What is known of one engine and a prefix.
    pub fn holder(
        &self,
        prefix: PrefixId,
        endpoint: EndpointKey,
        now: BootInstant,
    ) -> Option<PrefixHolder> {
        self.holders(prefix, now).find(|h| h.endpoint == endpoint)
    }
}
