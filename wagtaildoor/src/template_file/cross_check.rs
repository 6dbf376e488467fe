//! Checks that files are consistent with each other and with the configuration in force.

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
        template::TEMPLATE_SECTION,
        FileSet,
        Located, //
    },
};

/// Checks references and duplicates across all files; adds the faults to the set.
pub fn check_files(set: &mut FileSet, in_force: &Configuration) {
    let known = KnownNames::from_files(set, in_force);
    let mut found = Vec::new();
    for template in &set.templates {
        let mut faults = FaultList::new(&template.file);
        check_names(&template.value, &known, &mut faults);
        check_pool_kind(&template.value, &known, &mut faults);
        found.extend(faults.into_errors().faults);
    }
    found.extend(find_duplicate_ids(&set.templates).into_errors().faults);
    found.extend(find_duplicate_tokens(set, in_force).into_errors().faults);
    set.errors.faults.extend(found);
}

/// Pools and accounts that templates may refer to.
struct KnownNames {
    pools: BTreeMap<Box<str>, PoolKind>,
    /// Ids of the client accounts.
    accounts: BTreeSet<Box<str>>,
    /// Names of sections with faults; references to them are not reported as unknown.
    faulty_sections: BTreeSet<Box<str>>,
}

impl KnownNames {
    /// Collects the names in the files and in force; a pool in the files takes precedence.
    fn from_files(set: &FileSet, in_force: &Configuration) -> Self {
        let sections = set.errors.faults.iter();
        let faulty_sections = sections.filter_map(|fault| fault.section.clone());
        let file_pools = set.pools.iter().map(|pool| &pool.value);
        let pools = in_force.pools.iter().chain(file_pools);
        let file_accounts = set.accounts.iter().map(|account| &account.value);
        let accounts = in_force.accounts.iter().chain(file_accounts);
        Self {
            pools: pools.map(|pool| (pool.id.clone(), pool.kind)).collect(),
            accounts: accounts.map(|account| account.id.clone()).collect(),
            faulty_sections: faulty_sections.collect(),
        }
    }

    /// Returns true if a template may refer to the pool.
    fn has_pool(&self, id: &str) -> bool {
        let section = format!("pool.{id}");
        self.pools.contains_key(id) || self.faulty_sections.contains(&*section)
    }

    /// Returns true if a template may refer to the account.
    fn has_account(&self, id: &str) -> bool {
        let section = format!("account.{id}");
        self.accounts.contains(id) || self.faulty_sections.contains(&*section)
    }
}

/// Joins the names with commas, for error messages.
fn list_names<'name>(names: impl Iterator<Item = &'name Box<str>>) -> String {
    let names: Vec<&str> = names.map(AsRef::as_ref).collect();
    match names.is_empty() {
        true => "none is defined".to_string(),
        false => names.join(", "),
    }
}

/// Checks that the pool and accounts of a template are known.
fn check_names(template: &Template, known: &KnownNames, faults: &mut FaultList) {
    if !known.has_pool(&template.pool) {
        let allowed = list_names(known.pools.keys());
        faults.add_value_fault(
            TEMPLATE_SECTION,
            "pool",
            &template.pool,
            "is not a known pool",
            &allowed,
        );
    }
    for account in &template.accounts {
        if !known.has_account(account) {
            let allowed = list_names(known.accounts.iter());
            faults.add_value_fault(
                TEMPLATE_SECTION,
                "accounts",
                account,
                "is not a known account",
                &allowed,
            );
        }
    }
}

/// Checks a template against the kind of its pool; an unknown pool is skipped.
fn check_pool_kind(template: &Template, known: &KnownNames, faults: &mut FaultList) {
    match known.pools.get(&template.pool) {
        Some(PoolKind::Model) => check_model_template(template, faults),
        Some(PoolKind::Service) => check_service_template(template, faults),
        None => {}
    }
}

/// Checks a template of a model pool.
fn check_model_template(template: &Template, faults: &mut FaultList) {
    let problem = "is not allowed for a model pool";
    if !template.path.is_empty() {
        faults.add_value_fault(
            TEMPLATE_SECTION,
            "path",
            &template.path,
            problem,
            "only for a service",
        );
    }
    if !template.repeatable {
        let allowed = "true: engines do not prevent a request from running twice";
        faults.add_value_fault(TEMPLATE_SECTION, "repeatable", "false", problem, allowed);
    }
    if template.max_tokens == 0 {
        faults.add_value_fault(TEMPLATE_SECTION, "max_tokens", "0", problem, "1 or more");
    }
}

/// Checks a template of a plain service.
fn check_service_template(template: &Template, faults: &mut FaultList) {
    let problem = "is not allowed for a service";
    if template.path.is_empty() {
        faults.add_key_fault(
            TEMPLATE_SECTION,
            "path",
            "is missing",
            "a path, such as /orders/print",
        );
    }
    if !template.adapter.is_empty() {
        let adapter = &template.adapter;
        faults.add_value_fault(
            TEMPLATE_SECTION,
            "adapter",
            adapter,
            problem,
            "only for a model",
        );
    }
    if template.max_tokens != 0 {
        let tokens = template.max_tokens.to_string();
        faults.add_value_fault(
            TEMPLATE_SECTION,
            "max_tokens",
            &tokens,
            problem,
            "0, or leave the key out",
        );
    }
    for level in &template.levels {
        let section = format!("level.{}", level.name);
        faults.add_section_fault(&section, problem, "only for a model");
    }
}

/// Returns a fault for each template whose id is already used by an earlier one.
fn find_duplicate_ids(templates: &[Located<Template>]) -> FaultList {
    let mut files_by_id: HashMap<&str, &str> = HashMap::new();
    let mut faults = FaultList::new("");
    for template in templates {
        let id = &*template.value.id;
        if let Some(other) = files_by_id.get(id) {
            let problem = format!("is also the id of {other}");
            faults.add_value_fault_in(
                &template.file,
                TEMPLATE_SECTION,
                "id",
                id,
                &problem,
                "a unique id",
            );
        }
        files_by_id.entry(id).or_insert(&template.file);
    }
    faults
}

/// Returns a fault for each account that shares its token with another account.
///
/// Callers with a shared token would be treated as another account.
fn find_duplicate_tokens(set: &FileSet, in_force: &Configuration) -> FaultList {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for account in &in_force.accounts {
        owners.insert(&account.token_hash, &account.id);
    }
    let mut faults = FaultList::new("");
    for account in &set.accounts {
        let Located {
            file,
            section,
            value,
        } = account;
        let other = owners.insert(&value.token_hash, &value.id);
        if let Some(other) = other.filter(|other| **other != *value.id) {
            let problem = format!("is also the token of account {other}");
            faults.add_key_fault_in(file, section, "token", &problem, "a unique token");
        }
    }
    faults
}
