//! Look-up of routes and client accounts in one version of the configuration.

use std::{
    collections::HashMap,
    rc::Rc, //
};

use wagtaildoor::ids::ServiceId;

use crate::{
    prefix_hash,
    service_config::{
        AccountRule,
        CallerLimits,
        RouteRule,
        ServiceConfig,
        ServiceKind,
        ServiceRule, //
    },
};

/// One version of the configuration, prepared for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    /// Version.
    version: u64,
    /// Routes by host, those with the longest path first.
    routes: HashMap<Box<str>, Vec<Rc<RouteRule>>>,
    /// Services by name.
    services: HashMap<ServiceId, ServiceRule>,
    /// Accounts by key; `None` lets everybody in.
    accounts: Option<HashMap<Box<str>, Rc<AccountRule>>>,
    /// Limits on callers.
    limits: CallerLimits,
}

/// What a caller's key says.
#[derive(Clone, Debug)]
pub enum KeyVerdict {
    /// It belongs to an account.
    Account(Rc<AccountRule>),
    /// The request needs no key.
    Anonymous,
    /// It is missing, or belongs to nobody.
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
        let services = config.services.into_iter();
        Self {
            version: config.version,
            routes,
            services: services.map(|rule| (rule.id.clone(), rule)).collect(),
            accounts: config.accounts.map(accounts_by_key),
            limits: config.limits,
        }
    }
}

impl RouteTable {
    /// Version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route of a request: that with the longest prefix of its path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteRule>> {
        let same_host = self.routes.get(host)?;
        same_host
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Whether a caller with a key may use a route.
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

    /// A service.
    pub fn service(&self, id: &str) -> Option<&ServiceRule> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// Services whose endpoints are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = &ServiceRule> {
        let services = self.services.values();
        services.filter(|rule| matches!(rule.kind, ServiceKind::Engine(_)))
    }
}

/// Services of a route in the order in which one request should try them.
///
/// The first is drawn by weight from the request's id, so that every host and every try of the
/// same request agree.
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

/// Accounts by each of their keys.
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
