//! What must fit together between files, and with what is in force.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use crate::{
    schema::{
        Configuration,
        PoolKind,
        Template, //
    },
    settings::fault::FaultList,
    template_file::{
        template::SECTION,
        FileSet,
        Placed, //
    },
};

/// Checks all files together; faults go into the set.
pub fn check(set: &mut FileSet, in_force: &Configuration) {
    let known = KnownNames::of(set, in_force);
    let mut found = Vec::new();
    for template in &set.templates {
        let mut faults = FaultList::new(&template.file);
        check_names(&template.value, &known, &mut faults);
        check_kind(&template.value, &known, &mut faults);
        found.extend(faults.into_errors().faults);
    }
    found.extend(repeated_templates(&set.templates).into_errors().faults);
    found.extend(repeated_tokens(set, in_force).into_errors().faults);
    set.errors.faults.extend(found);
}

/// Names that templates may give.
struct KnownNames {
    /// Kinds of the pools.
    pools: BTreeMap<Box<str>, PoolKind>,
    /// Client accounts.
    accounts: BTreeSet<Box<str>>,
    /// Sections with faults: what they name is not unknown.
    faulty: BTreeSet<Box<str>>,
}

impl KnownNames {
    /// Names in the files and in force; the files win.
    fn of(set: &FileSet, in_force: &Configuration) -> Self {
        let sections = set.errors.faults.iter();
        let faulty = sections.filter_map(|fault| fault.section.clone());
        let file_pools = set.pools.iter().map(|pool| &pool.value);
        let pools = in_force.pools.iter().chain(file_pools);
        let file_accounts = set.accounts.iter().map(|account| &account.value);
        let accounts = in_force.accounts.iter().chain(file_accounts);
        Self {
            pools: pools.map(|pool| (pool.id.clone(), pool.kind)).collect(),
            accounts: accounts.map(|account| account.id.clone()).collect(),
            faulty: faulty.collect(),
        }
    }

    /// Whether a pool may be named.
    fn has_pool(&self, id: &str) -> bool {
        let section = format!("pool.{id}");
        self.pools.contains_key(id) || self.faulty.contains(&*section)
    }

    /// Whether an account may be named.
    fn has_account(&self, id: &str) -> bool {
        let section = format!("account.{id}");
        self.accounts.contains(id) || self.faulty.contains(&*section)
    }
}

/// Names in a row, for what is allowed.
fn listed<'name>(names: impl Iterator<Item = &'name Box<str>>) -> String {
    let names: Vec<&str> = names.map(AsRef::as_ref).collect();
    match names.is_empty() {
        true => "none is known".to_string(),
        false => names.join(", "),
    }
}

/// Pool and accounts of a template must be known.
fn check_names(template: &Template, known: &KnownNames, faults: &mut FaultList) {
    if !known.has_pool(&template.pool) {
        let allowed = listed(known.pools.keys());
        faults.value(
            SECTION,
            "pool",
            &template.pool,
            "is no known pool",
            &allowed,
        );
    }
    for account in &template.accounts {
        if !known.has_account(account) {
            let allowed = listed(known.accounts.iter());
            faults.value(
                SECTION,
                "accounts",
                account,
                "is no known account",
                &allowed,
            );
        }
    }
}

/// A template must fit the kind of its pool.
fn check_kind(template: &Template, known: &KnownNames, faults: &mut FaultList) {
    match known.pools.get(&template.pool) {
        Some(PoolKind::Model) => check_model(template, faults),
        Some(PoolKind::Service) => check_service(template, faults),
        None => {}
    }
}

/// A template of a pool of models.
fn check_model(template: &Template, faults: &mut FaultList) {
    let problem = "does not fit a pool of models";
    if !template.path.is_empty() {
        faults.value(
            SECTION,
            "path",
            &template.path,
            problem,
            "only at a service",
        );
    }
    if !template.repeatable {
        let allowed = "true: an engine does not keep a request from running twice";
        faults.value(SECTION, "repeatable", "false", problem, allowed);
    }
    if template.max_tokens == 0 {
        faults.value(SECTION, "max_tokens", "0", problem, "1 or more");
    }
}

/// A template of a pool of a plain service.
fn check_service(template: &Template, faults: &mut FaultList) {
    let problem = "does not fit a service";
    if template.path.is_empty() {
        faults.key(
            SECTION,
            "path",
            "is missing",
            "a path, such as /orders/print",
        );
    }
    if !template.adapter.is_empty() {
        let adapter = &template.adapter;
        faults.value(SECTION, "adapter", adapter, problem, "only at a model");
    }
    if template.max_tokens != 0 {
        let tokens = template.max_tokens.to_string();
        faults.value(SECTION, "max_tokens", &tokens, problem, "0 or no such key");
    }
    for level in &template.levels {
        let section = format!("level.{}", level.name);
        faults.section(&section, problem, "only at a model");
    }
}

/// Each template's id must be its own.
fn repeated_templates(templates: &[Placed<Template>]) -> FaultList {
    let mut first: HashMap<&str, &str> = HashMap::new();
    let mut faults = FaultList::new("");
    for template in templates {
        let id = &*template.value.id;
        if let Some(other) = first.get(id) {
            let problem = format!("is the id of {other} too");
            faults.value_in(
                &template.file,
                SECTION,
                "id",
                id,
                &problem,
                "an id of its own",
            );
        }
        first.entry(id).or_insert(&template.file);
    }
    faults
}

/// Each account's token must be its own, or callers would pass for another account.
fn repeated_tokens(set: &FileSet, in_force: &Configuration) -> FaultList {
    let mut owner: HashMap<&str, &str> = HashMap::new();
    for account in &in_force.accounts {
        owner.insert(&account.token_hash, &account.id);
    }
    let mut faults = FaultList::new("");
    for account in &set.accounts {
        let Placed {
            file,
            section,
            value,
        } = account;
        let other = owner.insert(&value.token_hash, &value.id);
        if let Some(other) = other.filter(|other| **other != *value.id) {
            let problem = format!("is the token of account {other} too");
            faults.key_in(file, section, "token", &problem, "a token of its own");
        }
    }
    faults
}
