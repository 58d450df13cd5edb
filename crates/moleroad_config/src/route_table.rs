//! A configuration in the form that requests are looked up in.

use crate::configuration::{Backend, ConfigVersion, Configuration, Limits, Route, Service, Tenant};
use std::collections::HashMap;
use std::sync::Arc;

/// Routes by host and longest prefix, tenants by key, services by name.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: ConfigVersion,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    keys: HashMap<String, Arc<Tenant>>,
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
        let mut keys = HashMap::new();
        for tenant in &configuration.tenants {
            let shared = Arc::new(tenant.clone());
            for key in &tenant.keys {
                keys.insert(key.clone(), shared.clone());
            }
        }
        let services = configuration.services.iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service.clone())));
        Self {
            version: configuration.version,
            hosts,
            keys,
            services: services.collect(),
            limits: configuration.limits,
            needs_key: !configuration.tenants.is_empty(),
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

    /// Whether requests to routes that are not public need a key.
    pub fn needs_key(&self) -> bool {
        self.needs_key
    }

    /// The tenant that holds `key`.
    pub fn tenant_of(&self, key: &str) -> Option<&Arc<Tenant>> {
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

    /// The backend that `draw`, any number, falls on by weight.
    pub fn backend_of(route: &Route, draw: u64) -> Option<&Backend> {
        let total: u64 = route.backends.iter().map(|backend| backend.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for backend in &route.backends {
            if left < backend.weight {
                return Some(backend);
            }
            left -= backend.weight;
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
