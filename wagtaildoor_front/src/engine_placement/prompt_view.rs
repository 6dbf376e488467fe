//! Holders and home of a prompt's prefixes, looked up once per placement decision.

use std::{
    cell::OnceCell,
    time::Duration, //
};

use wagtaildoor::{
    ids::WeightsVersion,
    rendezvous::{
        self,
        HomeMember, //
    },
    residency::SlotIndex,
};

use super::{
    BlockSource,
    PlacementInput,
    SharedPrefix, //
};

/// Age of the last use up to which an engine is assumed to still hold a prefix. By specification,
/// the engines' cache turns over in four to five seconds.
const FRESH_HOLDER_AGE: Duration = Duration::from_millis(2_500);

/// A holder of a prefix that is among the candidates.
#[derive(Clone, Copy, Debug)]
struct CandidateHolder {
    /// The engine or store.
    source: BlockSource,
    /// Whether the holder has finished the prefill of the prefix.
    is_read: bool,
    /// Whether the holder may have evicted the prefix since.
    is_stale: bool,
}

/// A prompt's prefixes under one version of weights.
///
/// Holds the lookups that do not depend on the engine, so that they are made once for all engines.
#[derive(Debug)]
pub struct PromptView<'a> {
    input: &'a PlacementInput<'a>,
    weights: WeightsVersion,
    /// Prefixes of the prompt, shortest first.
    chain: &'a [SharedPrefix],
    /// Holders of each prefix, most recently used first.
    holders: Vec<Vec<CandidateHolder>>,
    /// Home of the longest prefix, computed on first use.
    home: OnceCell<Option<usize>>,
}

impl<'a> PromptView<'a> {
    /// Looks up the holders of all prefixes.
    pub fn new(
        input: &'a PlacementInput<'a>,
        weights: WeightsVersion,
        chain: &'a [SharedPrefix],
    ) -> Self {
        let holders = chain.iter().map(|prefix| candidate_holders(input, prefix));
        Self {
            input,
            weights,
            chain,
            holders: holders.collect(),
            home: OnceCell::new(),
        }
    }

    /// Version of the weights that the prefixes belong to.
    pub fn weights(&self) -> WeightsVersion {
        self.weights
    }

    /// Prefixes of the prompt, shortest first.
    pub fn chain(&self) -> &[SharedPrefix] {
        self.chain
    }

    /// Index in the chain of the longest prefix that an engine holds.
    pub fn longest_held(&self, engine: usize) -> Option<usize> {
        let source = BlockSource::Engine(engine);
        let holds = |holders: &Vec<CandidateHolder>| holders.iter().any(|h| h.source == source);
        self.holders.iter().rposition(holds)
    }

    /// Finds a source other than `target` that holds a prefix. Prefers a recent holder in the same
    /// failure domain, then one in another domain, then a store, then an engine that may have
    /// evicted the prefix.
    pub fn find_source(&self, prefix: usize, target: usize) -> Option<BlockSource> {
        let target_domain = self.input.engines[target].domain;
        let mut stale = None;
        let mut remote = None;
        let mut store = None;
        for holder in self.holders[prefix].iter().filter(|holder| holder.is_read) {
            let BlockSource::Engine(source) = holder.source else {
                store = store.or(Some(holder.source));
                continue;
            };
            let engine = &self.input.engines[source];
            if source == target || engine.weights != self.weights || engine.is_excluded {
                continue;
            }
            if holder.is_stale {
                stale = stale.or(Some(holder.source));
            } else if engine.domain == target_domain {
                return Some(holder.source);
            } else {
                remote = remote.or(Some(holder.source));
            }
        }
        remote.or(store).or(stale)
    }

    /// Home of the longest prefix by rendezvous hashing, which is the same on all hosts. Engines
    /// that cannot take requests are left out, since blocks cannot be fetched from them either.
    pub fn home(&self) -> Option<usize> {
        *self.home.get_or_init(|| {
            let members = self.input.engines.iter().enumerate();
            let members =
                members.filter(|(_, engine)| engine.weights == self.weights && !engine.is_excluded);
            let members = members.map(|(index, engine)| HomeMember {
                slot: index as SlotIndex,
                hash: engine.key,
            });
            let home = rendezvous::first_home(self.chain.last()?.id, members);
            home.map(|slot| slot as usize)
        })
    }

    /// Home of the longest prefix among the stores, by rendezvous hashing.
    pub fn home_store(&self) -> Option<usize> {
        let stores = self.input.stores.iter().enumerate();
        let members = stores.map(|(index, store)| HomeMember {
            slot: index as SlotIndex,
            hash: store.key,
        });
        let home = rendezvous::first_home(self.chain.last()?.id, members);
        home.map(|slot| slot as usize)
    }

    /// Whether a store holds the longest prefix or is about to receive it.
    pub fn is_held_by_store(&self, store: usize) -> bool {
        let source = BlockSource::Store(store);
        let holders = self.holders.last();
        holders.is_some_and(|holders| holders.iter().any(|holder| holder.source == source))
    }
}

/// Holders of a prefix that are among the candidates, most recently used first.
fn candidate_holders(input: &PlacementInput<'_>, prefix: &SharedPrefix) -> Vec<CandidateHolder> {
    let holders = input.prefix_index.holders(prefix.id, input.now);
    let candidates = holders.filter_map(|holder| {
        let mut engines = input.engines.iter();
        let mut stores = input.stores.iter();
        let engine = engines.position(|engine| engine.key == holder.endpoint);
        let mut store = || stores.position(|store| store.key == holder.endpoint);
        let source = engine
            .map(BlockSource::Engine)
            .or_else(|| store().map(BlockSource::Store))?;
        Some(CandidateHolder {
            source,
            is_read: holder.is_read,
            is_stale: input.now.since(holder.last_used) > FRESH_HOLDER_AGE,
        })
    });
    candidates.collect()
}
