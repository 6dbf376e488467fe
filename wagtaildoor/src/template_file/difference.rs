//! Compares wanted changes with the configuration in force.

use std::collections::HashSet;

use crate::{
    ids::{
        PoolId,
        TemplateId, //
    },
    schema::{
        ConfigChange,
        Configuration,
        Pool,
        WeightsChange, //
    },
};

/// Changes to publish, and deviations to report to the operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDifference {
    /// Wanted changes that are not in force yet.
    pub changes: Vec<ConfigChange>,
    /// Pools whose weights in force are newer than wanted; these stay, since weights are never lowered.
    pub newer_weights: Vec<PoolId>,
    /// Templates in force that the wanted changes do not put.
    pub unlisted_templates: Vec<TemplateId>,
}

/// Returns the wanted changes that are not in force yet, and what they leave unchanged.
pub fn compare(in_force: &Configuration, wanted: Vec<ConfigChange>) -> ConfigDifference {
    let mut difference = ConfigDifference::default();
    let mut wanted_templates = HashSet::new();
    for change in wanted {
        if let ConfigChange::PutTemplate(template) = &change {
            wanted_templates.insert(template.id.clone());
        }
        difference.add_change(in_force, change);
    }
    let templates = in_force.templates.iter().map(|template| &template.id);
    let unlisted_templates = templates
        .filter(|id| !wanted_templates.contains(*id))
        .cloned();
    difference.unlisted_templates = unlisted_templates.collect();
    difference
}

impl ConfigDifference {
    /// Adds a change unless it is already in force.
    fn add_change(&mut self, in_force: &Configuration, change: ConfigChange) {
        match change {
            ConfigChange::PutPool(pool) => self.add_pool_change(in_force, pool),
            change if is_in_force(in_force, &change) => {}
            change => self.changes.push(change),
        }
    }

    /// Adds the changes of a pool; the weights version of an existing pool is only ever raised.
    fn add_pool_change(&mut self, in_force: &Configuration, mut pool: Pool) {
        let old = in_force.pools.iter().find(|old| old.id == pool.id);
        let Some(old) = old else {
            self.changes.push(ConfigChange::PutPool(pool));
            return;
        };
        let wanted = pool.weights_version;
        pool.weights_version = old.weights_version;
        if &pool != old {
            self.changes.push(ConfigChange::PutPool(pool.clone()));
        }
        if wanted > old.weights_version {
            self.changes.push(ConfigChange::RaiseWeights(WeightsChange {
                pool: pool.id,
                version: wanted,
            }));
        } else if wanted < old.weights_version {
            self.newer_weights.push(pool.id);
        }
    }
}

/// Returns true if the change would not alter the configuration.
fn is_in_force(in_force: &Configuration, change: &ConfigChange) -> bool {
    match change {
        ConfigChange::PutText(text) => in_force.texts.iter().any(|old| old.hash == text.hash),
        ConfigChange::PutAccount(account) => in_force.accounts.contains(account),
        ConfigChange::PutPool(pool) => in_force.pools.contains(pool),
        ConfigChange::PutTemplate(template) => in_force.templates.contains(template),
        ConfigChange::RemoveTemplate(id) => !in_force.templates.iter().any(|old| old.id == *id),
        ConfigChange::RaiseWeights(raise) => {
            let pool = in_force.pools.iter().find(|pool| pool.id == raise.pool);
            pool.is_some_and(|pool| pool.weights_version >= raise.version)
        }
    }
}
