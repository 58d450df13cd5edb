//! A configuration in the form that requests are looked up in.

use crate::configuration::{
    ClientAccount, ConfigVersion, Configuration, Limits, Route, Service, WeightedService,
};
use moleroad_types::prelude::AllowedRegions;
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host and longest prefix, accounts by key, services by name.
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
}

impl RouteTable {
    /// Compiles a configuration that was checked.
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
            let regions = regions_of(routes);
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
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route of a request: of its host's, the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host_name(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.accounts.iter()
    }

    /// Where entries for a host's callers stand best. Callers that look for an
    /// entry name the host alone, so these are the regions that all its routes
    /// allow, and where there is none, those that any restricted route names: an
    /// entry anywhere is right for the others.
    pub fn regions_of_host(&self, host: &str) -> AllowedRegions {
        let name = host_name(host).to_ascii_lowercase();
        let regions = self.host_regions.get(&name);
        regions.cloned().unwrap_or_default()
    }

    /// Whether requests to routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// The account that holds `key`.
    pub fn account_of(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.keys.get(key)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The service that `draw`, any number, falls on by weight.
    pub fn service_of(route: &Route, draw: u64) -> Option<&WeightedService> {
        let total: u64 = route
            .weighted_services
            .iter()
            .map(|weighted| weighted.weight)
            .sum();
        let mut left = draw.checked_rem(total)?;
        for weighted in &route.weighted_services {
            if left < weighted.weight {
                return Some(weighted);
            }
            left -= weighted.weight;
        }
        None
    }
}

/// The host of a `Host` header without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn regions_of(routes: &[Arc<Route>]) -> AllowedRegions {
    let sets = routes.iter().map(|route| &route.allowed_regions);
    let common = sets
        .clone()
        .fold(AllowedRegions::all(), |all, set| all.and(set));
    if !common.is_none() {
        return common;
    }
    // A route without a restriction says nothing of where to connect.
    let restricted = sets.filter(|set| !set.is_all());
    let none = AllowedRegions::only([]);
    restricted.fold(none, |any, set| any.or(set))
}
