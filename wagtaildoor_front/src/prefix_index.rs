//! Index of the engines and stores that hold prompt prefixes, as reported by all hosts.

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

/// Maximum number of prefixes in the index; those not used recently are dropped.
const MAX_PREFIXES: usize = 32_768;
/// Maximum number of holders kept per prefix.
const MAX_HOLDERS: usize = 6;
/// Time since the last use after which a holder is assumed to have evicted a prefix.
const HOLDER_TTL: Duration = Duration::from_secs(15);
/// Interval at which the other hosts are told again of a holder that is in use. Each host sees only
/// a small part of all uses, and takes a holder without known uses for one that evicted the prefix.
const HINT_INTERVAL: Duration = Duration::from_secs(1);

/// An engine or a store that holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
    /// Key of the engine or store.
    pub endpoint: EndpointKey,
    /// When a request with the prefix was last sent there.
    pub last_used: BootInstant,
    /// Whether the prefill of the prefix is done; if not, a request that will do it was sent.
    pub is_read: bool,
    /// When a host last told the others of the holder.
    pub hinted_at: BootInstant,
}

/// Known holders of prompt prefixes.
#[derive(Debug)]
pub struct PrefixIndex {
    /// Holders of each prefix, most recently used last.
    holders: GenerationMap<PrefixId, Vec<PrefixHolder>>,
    /// Endpoints that lost their cache, and when they did.
    invalidated_at: HashMap<EndpointKey, BootInstant>,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self {
            holders: GenerationMap::new(MAX_PREFIXES),
            invalidated_at: HashMap::new(),
        }
    }
}

impl PrefixIndex {
    /// Records that a request with a prefix is sent to a holder, or that its prefill is done.
    /// Returns whether a hint should be sent to the other hosts.
    pub fn record_holder(
        &mut self,
        prefix: PrefixId,
        endpoint: EndpointKey,
        is_read: bool,
        now: BootInstant,
    ) -> bool {
        let previous = self.update_holder(prefix, endpoint, is_read, now);
        let is_news = previous.is_none_or(|holder| {
            is_read && !holder.is_read || now.since(holder.hinted_at) >= HINT_INTERVAL
        });
        if let Some(previous) = previous.filter(|_| !is_news) {
            self.set_hinted_at(prefix, previous.hinted_at);
        }
        is_news
    }

    /// Records what another host told of a holder.
    pub fn record_hint(
        &mut self,
        prefix: PrefixId,
        endpoint: EndpointKey,
        is_read: bool,
        now: BootInstant,
    ) {
        self.update_holder(prefix, endpoint, is_read, now);
    }

    /// Replaces a holder's entry by one of now. Returns the earlier entry if it still counted.
    fn update_holder(
        &mut self,
        prefix: PrefixId,
        endpoint: EndpointKey,
        is_read: bool,
        now: BootInstant,
    ) -> Option<PrefixHolder> {
        let holders = self.holders.touch(prefix);
        let previous = holders.iter().position(|h| h.endpoint == endpoint);
        let previous = previous.map(|index| holders.remove(index));
        holders.retain(|holder| now.since(holder.last_used) < HOLDER_TTL);
        if holders.len() == MAX_HOLDERS {
            holders.remove(0);
        }
        let fresh = previous.filter(|holder| now.since(holder.last_used) < HOLDER_TTL);
        holders.push(PrefixHolder {
            endpoint,
            last_used: now,
            is_read: is_read || fresh.is_some_and(|holder| holder.is_read),
            hinted_at: now,
        });
        fresh
    }

    /// Restores the time of the last hint about the most recently used holder.
    fn set_hinted_at(&mut self, prefix: PrefixId, hinted_at: BootInstant) {
        let holders = self.holders.get_mut(prefix);
        if let Some(newest) = holders.and_then(|holders| holders.last_mut()) {
            newest.hinted_at = hinted_at;
        }
    }

    /// Removes a holder whose prefill of the prefix is not done, since the request failed.
    pub fn remove_unread(&mut self, prefix: PrefixId, endpoint: EndpointKey) {
        if let Some(holders) = self.holders.get_mut(prefix) {
            holders.retain(|holder| holder.endpoint != endpoint || holder.is_read);
        }
    }

    /// Drops all prefixes that an engine or a store has held until now.
    pub fn invalidate_endpoint(&mut self, endpoint: EndpointKey) {
        self.invalidated_at.insert(endpoint, BootInstant::now());
    }

    /// Current holders of a prefix, most recently used first.
    pub fn holders(
        &self,
        prefix: PrefixId,
        now: BootInstant,
    ) -> impl Iterator<Item = PrefixHolder> + '_ {
        let holders = self.holders.get(prefix).map_or(&[][..], Vec::as_slice);
        let kept = move |holder: &&PrefixHolder| {
            let invalidated_at = self.invalidated_at.get(&holder.endpoint);
            now.since(holder.last_used) < HOLDER_TTL
                && invalidated_at.is_none_or(|&at| holder.last_used > at)
        };
        holders.iter().rev().filter(kept).copied()
    }

    /// One holder's entry for a prefix; `None` if it does not hold the prefix.
    pub fn holder(
        &self,
        prefix: PrefixId,
        endpoint: EndpointKey,
        now: BootInstant,
    ) -> Option<PrefixHolder> {
        self.holders(prefix, now).find(|h| h.endpoint == endpoint)
    }
}
