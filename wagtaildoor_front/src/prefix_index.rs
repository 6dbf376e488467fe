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

/// An engine or a store that holds a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
    /// Key of the engine or store.
    pub endpoint: EndpointKey,
    /// When a request with the prefix was last sent there.
    pub last_used: BootInstant,
    /// Whether the prefill of the prefix is done; if not, a request that will do it was sent.
    pub is_read: bool,
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
        });
        fresh.is_none_or(|holder| is_read && !holder.is_read)
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
