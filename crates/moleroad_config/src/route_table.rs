//! Compiled form of a configuration for request lookups.

use crate::configuration::{
    ClientAccount, ConfigVersion, Configuration, Limits, Route, Service, WeightedService,
};
use moleroad_types::prelude::AllowedRegions;
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host and longest prefix, accounts by key, and services by name.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: ConfigVersion,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    host_regions: HashMap<String, AllowedRegions>,
    keys: HashMap<String, Arc<ClientAccount>>,
    accounts: Vec<Arc<ClientAccount>>,
    services: HashMap<String, Arc<Service>>,
    limits: Limits,
    needs_key: bool,
    max_timeout_ms: u64,
}

impl RouteTable {
    /// Compiles a validated configuration.
    pub fn compile(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let host_regions = hosts.iter().map(|(host, routes)| {
            let regions = entry_regions(routes);
            (host.clone(), regions)
        });
        let host_regions = host_regions.collect();
        let mut keys = HashMap::new();
        let mut accounts = Vec::new();
        for account in &configuration.accounts {
            let shared = Arc::new(account.clone());
            accounts.push(shared.clone());
            for key in &account.keys {
                keys.insert(key.clone(), shared.clone());
            }
        }
        let timeouts = configuration.routes.iter().map(|route| route.timeout_ms);
        let max_timeout_ms = timeouts.max();
        let services = configuration.services.iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service.clone())));
        Self {
            version: configuration.version,
            hosts,
            host_regions,
            keys,
            accounts,
            services: services.collect(),
            limits: configuration.limits,
            needs_key: !configuration.accounts.is_empty(),
            max_timeout_ms: max_timeout_ms.unwrap_or_default(),
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the longest time-out of a route, in milliseconds; 0 without routes.
    pub fn max_timeout_ms(&self) -> u64 {
        self.max_timeout_ms
    }

    /// Returns the route of a request: of the routes of its host, the one with
    /// the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns all routes in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.accounts.iter()
    }

    /// Returns the preferred regions of entries for callers of `host`. Callers
    /// that look for an entry specify only the host, so these are the regions
    /// that all of its routes allow or, if there are none, those that any
    /// restricted route allows. Unrestricted routes can be served through an
    /// entry in any region.
    pub fn regions_of_host(&self, host: &str) -> AllowedRegions {
        let name = host_name(host).to_ascii_lowercase();
        let regions = self.host_regions.get(&name);
        regions.cloned().unwrap_or_default()
    }

    /// Returns whether requests to routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// Returns the account that holds `key`.
    pub fn account_by_key(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.keys.get(key)
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services in arbitrary order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Selects a service of `route` by weight. `random` is any random number.
    /// Returns `None` if the weights sum to 0.
    pub fn select_service(route: &Route, random: u64) -> Option<&WeightedService> {
        let total: u64 = route
            .weighted_services
            .iter()
            .map(|weighted| weighted.weight)
            .sum();
        let mut remaining = random.checked_rem(total)?;
        for weighted in &route.weighted_services {
            if remaining < weighted.weight {
                return Some(weighted);
            }
            remaining -= weighted.weight;
        }
        None
    }
}

/// Returns the host of a `Host` header without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn entry_regions(routes: &[Arc<Route>]) -> AllowedRegions {
    let sets = routes.iter().map(|route| &route.allowed_regions);
    let common = sets
        .clone()
        .fold(AllowedRegions::all(), |all, set| all.intersection(set));
    if !common.is_empty() {
        return common;
    }
    // Unrestricted routes express no preference.
    let restricted = sets.filter(|set| !set.is_unrestricted());
    let none = AllowedRegions::only([]);
    restricted.fold(none, |any, set| any.union(set))
}
