//! What is known of a prompt's prefixes under one version of weights, gathered once for a choice.

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

/// Time since its last use in which an engine is trusted to hold a prefix; engines of the sheet
/// turn their memory over in four to five seconds.
const FRESH_TIME: Duration = Duration::from_millis(2_500);

/// A holder of a prefix among the candidates.
#[derive(Clone, Copy, Debug)]
struct PlacedHolder {
    /// Engine or store.
    place: BlockSource,
    /// Whether it has read the prefix.
    is_read: bool,
    /// Whether it may have evicted the prefix since.
    is_late: bool,
}

/// A prompt's prefixes under one version of weights.
///
/// Each engine is weighed against it, so it looks up once what does not depend on the engine.
#[derive(Debug)]
pub struct PromptView<'a> {
    /// What there is to choose from.
    field: &'a PlacementInput<'a>,
    /// Weights.
    weights: WeightsVersion,
    /// Prefixes, from the outside in.
    chain: &'a [SharedPrefix],
    /// Holders of each, the one used last first.
    holders: Vec<Vec<PlacedHolder>>,
    /// Engine at which all hosts would read the innermost prefix first, once it was asked for.
    home: OnceCell<Option<usize>>,
}

impl<'a> PromptView<'a> {
    /// Looks up the holders of all prefixes.
    pub fn new(
        field: &'a PlacementInput<'a>,
        weights: WeightsVersion,
        chain: &'a [SharedPrefix],
    ) -> Self {
        let holders = chain.iter().map(|prefix| placed_holders(field, prefix));
        Self {
            field,
            weights,
            chain,
            holders: holders.collect(),
            home: OnceCell::new(),
        }
    }

    /// Weights.
    pub fn weights(&self) -> WeightsVersion {
        self.weights
    }

    /// Prefixes, from the outside in.
    pub fn chain(&self) -> &[SharedPrefix] {
        self.chain
    }

    /// Place in the chain of the innermost prefix that an engine holds.
    pub fn held(&self, engine: usize) -> Option<usize> {
        let place = BlockSource::Engine(engine);
        let holds = |holders: &Vec<PlacedHolder>| holders.iter().any(|h| h.place == place);
        self.holders.iter().rposition(holds)
    }

    /// Where else a prefix is known to have been read: at an engine of late, in a store, or at an
    /// engine some time ago, when it may have been evicted since.
    pub fn known_source(&self, prefix: usize, target: usize) -> Option<BlockSource> {
        let target_domain = self.field.engines[target].domain;
        let mut late = None;
        let mut far = None;
        let mut store = None;
        for holder in self.holders[prefix].iter().filter(|holder| holder.is_read) {
            let BlockSource::Engine(place) = holder.place else {
                store = store.or(Some(holder.place));
                continue;
            };
            let engine = &self.field.engines[place];
            if place == target || engine.weights != self.weights || engine.is_excluded {
                continue;
            }
            if holder.is_late {
                late = late.or(Some(holder.place));
            } else if engine.domain == target_domain {
                return Some(holder.place);
            } else {
                far = far.or(Some(holder.place));
            }
        }
        far.or(store).or(late)
    }

    /// The engine at which all hosts would read the innermost prefix first; one that is silent is
    /// no home, and no source either.
    pub fn home(&self) -> Option<usize> {
        *self.home.get_or_init(|| {
            let members = self.field.engines.iter().enumerate();
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

    /// The store that keeps the innermost prefix.
    pub fn home_store(&self) -> Option<usize> {
        let stores = self.field.stores.iter().enumerate();
        let members = stores.map(|(index, store)| HomeMember {
            slot: index as SlotIndex,
            hash: store.key,
        });
        let home = rendezvous::first_home(self.chain.last()?.id, members);
        home.map(|slot| slot as usize)
    }

    /// Whether a store holds the innermost prefix, or will.
    pub fn is_in_store(&self, store: usize) -> bool {
        let place = BlockSource::Store(store);
        let holders = self.holders.last();
        holders.is_some_and(|holders| holders.iter().any(|holder| holder.place == place))
    }
}

/// Holders of a prefix that are among the candidates.
fn placed_holders(field: &PlacementInput<'_>, prefix: &SharedPrefix) -> Vec<PlacedHolder> {
    let holders = field.prefix_index.holders(prefix.id, field.now);
    let placed = holders.filter_map(|holder| {
        let mut engines = field.engines.iter();
        let mut stores = field.stores.iter();
        let engine = engines.position(|engine| engine.key == holder.endpoint);
        let mut store = || stores.position(|store| store.key == holder.endpoint);
        let place = engine
            .map(BlockSource::Engine)
            .or_else(|| store().map(BlockSource::Store))?;
        Some(PlacedHolder {
            place,
            is_read: holder.is_read,
            is_late: field.now.since(holder.used) > FRESH_TIME,
        })
    });
    placed.collect()
}
