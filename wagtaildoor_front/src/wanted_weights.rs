//! Weights versions that the operator named for one model, and when.

use std::collections::VecDeque;

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::WeightsVersion, //
};

/// Number of named versions that are kept.
const MAX_NAMED_VERSIONS: usize = 32;

/// A version that the operator named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct NamedVersion {
    version: WeightsVersion,
    since: BootInstant,
}

/// Weights that the operator wants for a model.
///
/// Each named version has a time limit of its own, which a later one does not extend: an engine that
/// missed several versions is late by the first of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedWeights {
    /// Newest version.
    pub version: WeightsVersion,
    /// Time when this host learned of the newest version.
    pub since: BootInstant,
    /// All versions, in the order in which they were named.
    named: VecDeque<NamedVersion>,
}

impl WantedWeights {
    /// Creates wanted weights with a first version.
    pub fn new(version: WeightsVersion, since: BootInstant) -> Self {
        Self {
            version,
            since,
            named: VecDeque::from([NamedVersion { version, since }]),
        }
    }

    /// Adds a newer version; an older one has no effect. Returns whether it was added.
    pub fn add(&mut self, version: WeightsVersion, since: BootInstant) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.since = since;
        self.named.push_back(NamedVersion { version, since });
        if self.named.len() > MAX_NAMED_VERSIONS {
            // The next version takes the time of the dropped one, so that no limit is extended.
            let dropped = self.named.pop_front();
            if let (Some(dropped), Some(next)) = (dropped, self.named.front_mut()) {
                next.since = dropped.since;
            }
        }
        true
    }

    /// Time since which `version` is outdated; `None` if no newer one was named.
    pub fn outdated_since(&self, version: WeightsVersion) -> Option<BootInstant> {
        let newer = self.named.iter().find(|named| named.version > version);
        newer.map(|named| named.since)
    }
}
