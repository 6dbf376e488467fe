//! Updates to be sent to other hosts in the next hint datagram.

use std::{
    collections::HashSet,
    mem, //
};

use wagtaildoor::{
    ids::{
        ModelId,
        PrefixId,
        WeightsVersion, //
    },
    schema::{
        EngineWeights,
        LimitNews,
        PlacedPrefix, //
    },
};

use crate::endpoint::EndpointKey;

/// Prefixes kept until the next datagram. Further ones are dropped, since hints are best effort.
const MAX_QUEUED_PREFIXES: usize = 2_048;

/// Updates since the last datagram.
#[derive(Debug, Default)]
pub struct HintQueue {
    /// Prefixes that were sent to engines.
    placed: Vec<PlacedPrefix>,
    /// Weights that engines have or are loading.
    weights: Vec<EngineWeights>,
    /// What endpoints said about their limits.
    limits: Vec<LimitNews>,
    /// Engines whose pending prefill work for this host has changed.
    changed_engines: HashSet<EndpointKey>,
    /// Whether this host has read further in the operator's stream.
    has_operator_advanced: bool,
}

impl HintQueue {
    /// Queues a prefix that was sent to an engine, unless the queue is full.
    pub fn push_prefix(&mut self, prefix: PrefixId, endpoint: EndpointKey, is_read: bool) {
        if self.placed.len() < MAX_QUEUED_PREFIXES {
            self.placed.push(PlacedPrefix {
                prefix,
                endpoint,
                is_read,
            });
        }
    }

    /// Queues the weights that an engine has, or is loading.
    pub fn push_weights(
        &mut self,
        endpoint: EndpointKey,
        model: &ModelId,
        version: WeightsVersion,
        is_loading: bool,
    ) {
        self.weights.push(EngineWeights {
            endpoint,
            model: model.clone(),
            version,
            is_loading,
        });
    }

    /// Queues what an endpoint said about its limit, which replaces what it said before.
    pub fn push_limit(&mut self, news: LimitNews) {
        self.limits
            .retain(|queued| queued.endpoint != news.endpoint);
        self.limits.push(news);
    }

    /// Removes and returns up to `limit` statements about limits.
    pub fn take_limits(&mut self, limit: usize) -> Vec<LimitNews> {
        let count = limit.min(self.limits.len());
        self.limits.drain(..count).collect()
    }

    /// Records that an engine's pending prefill work for this host has changed.
    pub fn mark_load_changed(&mut self, endpoint: EndpointKey) {
        self.changed_engines.insert(endpoint);
    }

    /// Removes and returns the engines whose work for this host has changed.
    pub fn take_changed_engines(&mut self) -> HashSet<EndpointKey> {
        mem::take(&mut self.changed_engines)
    }

    /// Records that this host has read further in the operator's stream.
    pub fn mark_operator_advanced(&mut self) {
        self.has_operator_advanced = true;
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
            && self.weights.is_empty()
            && self.changed_engines.is_empty()
            && self.limits.is_empty()
            && !self.has_operator_advanced
    }

    /// Removes and returns up to `prefixes` prefixes, and all weights.
    pub fn take_batch(&mut self, prefixes: usize) -> (Vec<PlacedPrefix>, Vec<EngineWeights>) {
        self.has_operator_advanced = false;
        let count = prefixes.min(self.placed.len());
        let placed = self.placed.drain(..count).collect();
        (placed, mem::take(&mut self.weights))
    }
}
