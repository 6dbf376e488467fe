//! Lookup of routes, services and client accounts in a configuration version.

use std::{
    collections::HashMap,
    rc::Rc, //
};

use wagtaildoor::ids::{
    AccountId,
    RouteId,
    ServiceId, //
};

use crate::{
    prefix_hash,
    route_table::account_isolation::{
        AccountIsolation,
        SharingGroup, //
    },
    service_config::{
        AccountRule,
        CallerLimits,
        QuotaRule,
        RouteRule,
        ServiceConfig,
        ServiceKind,
        ServiceRule, //
    },
};

pub mod account_isolation;

/// A configuration version with indexes for lookups.
#[derive(Debug)]
pub struct RouteTable {
    /// Configuration version.
    version: u64,
    /// Routes by host name, sorted by descending length of the path prefix.
    routes: HashMap<Box<str>, Vec<Rc<RouteRule>>>,
    services: HashMap<ServiceId, ServiceRule>,
    /// Client accounts by key; `None` disables authentication.
    accounts: Option<HashMap<Box<str>, Rc<AccountRule>>>,
    /// Which accounts share cached blocks.
    isolation: AccountIsolation,
    /// Accounts that have a quota.
    quotas: Vec<(AccountId, QuotaRule)>,
    /// Limits for callers' requests and connections.
    limits: CallerLimits,
}

/// Result of checking a caller's key.
#[derive(Clone, Debug)]
pub enum KeyVerdict {
    /// The key belongs to the account.
    Account(Rc<AccountRule>),
    /// The request needs no key.
    Anonymous,
    /// The key is missing or belongs to no account.
    Unknown,
}

impl From<ServiceConfig> for RouteTable {
    fn from(config: ServiceConfig) -> Self {
        let mut routes: HashMap<Box<str>, Vec<Rc<RouteRule>>> = HashMap::new();
        for route in config.routes {
            let same_host = routes.entry(route.host.clone()).or_default();
            same_host.push(Rc::new(route));
        }
        for same_host in routes.values_mut() {
            same_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let accounts = config.accounts.iter().flatten();
        let quotas = accounts.filter_map(|account| Some((account.id.clone(), account.quota?)));
        let quotas = quotas.collect();
        let isolation = config.accounts.iter().flatten().collect();
        let services = config.services.into_iter();
        Self {
            version: config.version,
            routes,
            services: services.map(|rule| (rule.id.clone(), rule)).collect(),
            accounts: config.accounts.map(accounts_by_key),
            isolation,
            quotas,
            limits: config.limits,
        }
    }
}

impl RouteTable {
    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits for callers' requests and connections.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route with the longest matching path prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let same_host = self.routes.get(host)?;
        same_host
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Checks whether a caller with the given key may use a route.
    pub fn check_key(&self, route: &RouteRule, key: Option<&str>) -> KeyVerdict {
        let Some(accounts) = &self.accounts else {
            return KeyVerdict::Anonymous;
        };
        match key.and_then(|key| accounts.get(key)) {
            Some(account) => KeyVerdict::Account(account.clone()),
            None if route.allows_anonymous => KeyVerdict::Anonymous,
            None => KeyVerdict::Unknown,
        }
    }

    /// Accounts with which an account, or an anonymous caller, shares cached blocks.
    pub fn sharing_group<'a>(&'a self, account: Option<&'a AccountId>) -> SharingGroup<'a> {
        self.isolation.group(account)
    }

    /// Accounts that have a quota.
    pub fn quotas(&self) -> impl Iterator<Item = (&AccountId, QuotaRule)> {
        self.quotas.iter().map(|(account, quota)| (account, *quota))
    }

    /// Returns a service by its id, if the configuration names it.
    pub fn service(&self, id: &str) -> Option<&ServiceRule> {
        self.services.get(id)
    }

    /// Whether a route is configured.
    pub fn has_route(&self, id: &RouteId) -> bool {
        self.routes.values().flatten().any(|route| route.id == *id)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// Services whose endpoints are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = &ServiceRule> {
        let services = self.services.values();
        services.filter(|rule| matches!(rule.kind, ServiceKind::Engine(_)))
    }
}

/// Services of a route in the order in which a request tries them.
///
/// The first one is selected by weight from a hash of the request's id, so that every host and
/// every attempt computes the same order. Services with weight 0 are left out.
pub fn ordered_targets<'a>(route: &'a RouteRule, request: &str) -> Vec<&'a ServiceId> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut draw = prefix_hash::text_hash(request) % total.max(1);
    let mut first = 0;
    for (index, target) in route.targets.iter().enumerate() {
        let weight = u64::from(target.weight);
        if draw < weight {
            first = index;
            break;
        }
        draw -= weight;
    }
    let usable = |target: &&crate::service_config::RouteTarget| target.weight > 0;
    let (before, from) = route.targets.split_at(first);
    from.iter()
        .chain(before)
        .filter(usable)
        .map(|target| &target.service)
        .collect()
}

/// Indexes accounts by each of their keys.
fn accounts_by_key(accounts: Vec<AccountRule>) -> HashMap<Box<str>, Rc<AccountRule>> {
    let mut by_key = HashMap::new();
    for account in accounts {
        let account = Rc::new(account);
        for key in &account.keys {
            by_key.insert(key.clone(), account.clone());
        }
    }
    by_key
}
