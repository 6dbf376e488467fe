//! News that a host is about to tell the others.

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
        PlacedPrefix, //
    },
};

use crate::endpoint::EndpointKey;

/// News kept until the next datagram; more is dropped, since hints are only hints.
const QUEUE_LIMIT: usize = 2_048;

/// News since the last datagram.
#[derive(Debug, Default)]
pub struct HintQueue {
    /// Prefixes that went to engines.
    placed: Vec<PlacedPrefix>,
    /// Weights of engines.
    weights: Vec<EngineWeights>,
    /// Engines whose work for this host has changed.
    work: HashSet<EndpointKey>,
    /// The operator's stream has gone on.
    has_operator_advanced: bool,
}

impl HintQueue {
    /// Adds a prefix that went to an engine.
    pub fn push_prefix(&mut self, prefix: PrefixId, endpoint: EndpointKey, is_read: bool) {
        if self.placed.len() < QUEUE_LIMIT {
            self.placed.push(PlacedPrefix {
                prefix,
                endpoint,
                is_read,
            });
        }
    }

    /// Adds weights of an engine.
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

    /// Notes that an engine's work for this host has changed.
    pub fn mark_load_changed(&mut self, endpoint: EndpointKey) {
        self.work.insert(endpoint);
    }

    /// Takes engines whose work for this host has changed.
    pub fn take_changed_engines(&mut self) -> HashSet<EndpointKey> {
        mem::take(&mut self.work)
    }

    /// Notes that the operator's stream has gone on.
    pub fn mark_operator_advanced(&mut self) {
        self.has_operator_advanced = true;
    }

    /// Whether there is anything to tell.
    pub fn is_empty(&self) -> bool {
        self.placed.is_empty()
            && self.weights.is_empty()
            && self.work.is_empty()
            && !self.has_operator_advanced
    }

    /// Takes so many prefixes at most, and all weights.
    pub fn take_batch(&mut self, prefixes: usize) -> (Vec<PlacedPrefix>, Vec<EngineWeights>) {
        self.has_operator_advanced = false;
        let count = prefixes.min(self.placed.len());
        let placed = self.placed.drain(..count).collect();
        (placed, mem::take(&mut self.weights))
    }
}
