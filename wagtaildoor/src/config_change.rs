//! Changes to a configuration, and the reasons to refuse them.

use std::collections::HashSet;

use crate::{
    ids::{
        AccountId,
        PoolId,
        TemplateId,
        TextHash,
        WeightsVersion, //
    },
    schema::{
        Account,
        ConfigChange,
        Configuration,
        LevelText,
        Pool,
        PoolKind,
        Template,
        WeightsChange, //
    },
};

/// Result of applying a change.
pub type Result<T> = std::result::Result<T, ConfigRefusal>;

/// Reason why a change is invalid.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum ConfigRefusal {
    /// A text does not match its hash.
    #[display("text {_0} has another hash than it is filed under")]
    TextHash(#[error(not(source))] TextHash),
    /// A template references a text that does not exist.
    #[display("template {template} names text {text}, which is not there")]
    UnknownText {
        /// The template with the reference.
        template: TemplateId,
        /// Hash of the missing text.
        text: TextHash,
    },
    /// A template references a pool that does not exist.
    #[display("template {template} names pool {pool}, which is not there")]
    UnknownPool {
        /// The template with the reference.
        template: TemplateId,
        /// The missing pool.
        pool: PoolId,
    },
    /// A template references an account that does not exist.
    #[display("template {template} names account {account}, which is not there")]
    UnknownAccount {
        /// The template with the reference.
        template: TemplateId,
        /// The missing account.
        account: AccountId,
    },
    /// A template of a plain service has no path, or a template of a model has one.
    #[display("template {_0} needs a path at a plain service, and none at a model")]
    PathMismatch(#[error(not(source))] TemplateId),
    /// The template to be removed does not exist.
    #[display("template {_0} is not there to be removed")]
    NoSuchTemplate(#[error(not(source))] TemplateId),
    /// The pool whose weights are to be raised does not exist.
    #[display("pool {_0} is not there to go on to other weights")]
    NoSuchPool(#[error(not(source))] PoolId),
    /// The kind of a pool cannot change while templates use the pool.
    #[display("pool {_0} serves templates and cannot become another kind of pool")]
    PoolKind(#[error(not(source))] PoolId),
    /// The weights version of a pool can only be raised, and only by a roll-out.
    #[display("pool {pool} is at weights {from} and cannot go to {to}; a roll-out raises them")]
    Weights {
        /// Pool whose version would change.
        pool: PoolId,
        /// Current weights version.
        from: WeightsVersion,
        /// Requested weights version.
        to: WeightsVersion,
    },
}

/// Configuration before the first record of the chain: no accounts, pools or templates.
pub fn empty() -> Configuration {
    Configuration {
        accounts: Vec::new(),
        pools: Vec::new(),
        templates: Vec::new(),
        texts: Vec::new(),
    }
}

/// Computes the hash under which the text of a level is stored.
pub fn text_hash(text: &str) -> TextHash {
    blake3::hash(text.as_bytes()).to_hex().as_str().into()
}

/// Returns the configuration after all changes, which take effect together or not at all.
pub fn apply(before: &Configuration, changes: &[ConfigChange]) -> Result<Configuration> {
    let mut after = before.clone();
    for change in changes {
        apply_change(&mut after, change)?;
    }
    // Checked at the end, so that the order of the changes does not matter.
    check_templates(&after)?;
    drop_unused_texts(&mut after);
    Ok(after)
}

fn apply_change(configuration: &mut Configuration, change: &ConfigChange) -> Result<()> {
    match change {
        ConfigChange::PutText(text) => put_text(configuration, text),
        ConfigChange::PutAccount(account) => {
            put_item(&mut configuration.accounts, account, |a: &Account| &a.id);
            Ok(())
        }
        ConfigChange::PutPool(pool) => put_pool(configuration, pool),
        ConfigChange::PutTemplate(template) => {
            put_item(&mut configuration.templates, template, |t: &Template| &t.id);
            Ok(())
        }
        ConfigChange::RemoveTemplate(id) => remove_template(configuration, id),
        ConfigChange::RaiseWeights(change) => raise_weights(configuration, change),
    }
}

/// Replaces the item with the same id, or appends the item.
fn put_item<T: Clone>(items: &mut Vec<T>, item: &T, id: impl Fn(&T) -> &Box<str>) {
    match items.iter_mut().find(|old| id(old) == id(item)) {
        Some(old) => *old = item.clone(),
        None => items.push(item.clone()),
    }
}

/// Adds a text after checking its hash.
fn put_text(configuration: &mut Configuration, text: &LevelText) -> Result<()> {
    if text_hash(&text.text) != text.hash {
        return Err(ConfigRefusal::TextHash(text.hash.clone()));
    }
    put_item(&mut configuration.texts, text, |t| &t.hash);
    Ok(())
}

/// Adds or replaces a pool. The weights version of an existing pool must not change.
fn put_pool(configuration: &mut Configuration, pool: &Pool) -> Result<()> {
    let old = configuration.pools.iter().find(|old| old.id == pool.id);
    if let Some(old) = old {
        if old.weights_version != pool.weights_version {
            return Err(ConfigRefusal::Weights {
                pool: pool.id.clone(),
                from: old.weights_version,
                to: pool.weights_version,
            });
        }
        let used = configuration.templates.iter().any(|t| t.pool == pool.id);
        if used && old.kind != pool.kind {
            return Err(ConfigRefusal::PoolKind(pool.id.clone()));
        }
    }
    put_item(&mut configuration.pools, pool, |p| &p.id);
    Ok(())
}

fn remove_template(configuration: &mut Configuration, id: &TemplateId) -> Result<()> {
    let before = configuration.templates.len();
    configuration
        .templates
        .retain(|template| template.id != *id);
    if configuration.templates.len() == before {
        return Err(ConfigRefusal::NoSuchTemplate(id.clone()));
    }
    Ok(())
}

/// Raises the weights version of a pool.
fn raise_weights(configuration: &mut Configuration, change: &WeightsChange) -> Result<()> {
    let pool = configuration
        .pools
        .iter_mut()
        .find(|pool| pool.id == change.pool)
        .ok_or_else(|| ConfigRefusal::NoSuchPool(change.pool.clone()))?;
    if change.version <= pool.weights_version {
        return Err(ConfigRefusal::Weights {
            pool: change.pool.clone(),
            from: pool.weights_version,
            to: change.version,
        });
    }
    pool.weights_version = change.version;
    Ok(())
}

/// Checks that everything that the templates reference exists.
fn check_templates(configuration: &Configuration) -> Result<()> {
    let texts: HashSet<&TextHash> = configuration.texts.iter().map(|t| &t.hash).collect();
    let accounts: HashSet<&AccountId> = configuration.accounts.iter().map(|a| &a.id).collect();
    for template in &configuration.templates {
        check_pool(configuration, template)?;
        if let Some(level) = template
            .levels
            .iter()
            .find(|level| !texts.contains(&level.text_hash))
        {
            return Err(ConfigRefusal::UnknownText {
                template: template.id.clone(),
                text: level.text_hash.clone(),
            });
        }
        if let Some(account) = template.accounts.iter().find(|a| !accounts.contains(a)) {
            return Err(ConfigRefusal::UnknownAccount {
                template: template.id.clone(),
                account: account.clone(),
            });
        }
    }
    Ok(())
}

/// Checks that the pool of a template exists and that the template fits its kind.
fn check_pool(configuration: &Configuration, template: &Template) -> Result<()> {
    let pool = configuration
        .pools
        .iter()
        .find(|pool| pool.id == template.pool)
        .ok_or_else(|| ConfigRefusal::UnknownPool {
            template: template.id.clone(),
            pool: template.pool.clone(),
        })?;
    if (pool.kind == PoolKind::Service) == template.path.is_empty() {
        return Err(ConfigRefusal::PathMismatch(template.id.clone()));
    }
    Ok(())
}

/// Removes texts that no template references.
fn drop_unused_texts(configuration: &mut Configuration) {
    let used: HashSet<TextHash> = configuration
        .templates
        .iter()
        .flat_map(|template| &template.levels)
        .map(|level| level.text_hash.clone())
        .collect();
    configuration.texts.retain(|text| used.contains(&text.hash));
}
