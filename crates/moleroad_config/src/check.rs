//! What a configuration must keep to before it may be in force.

use crate::configuration::Configuration;
use quick_error::quick_error;
use std::collections::HashSet;

quick_error! {
    /// Why a configuration is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// It could not be read whole.
        Unreadable(reason: String) {
            display("MR-6101 the configuration cannot be read: {}", reason)
        }
        /// A route names a service that is not listed.
        UnknownService(route: String, service: String) {
            display("MR-6102 route {} names the unknown service {}", route, service)
        }
        /// Two routes have the same host and prefix.
        SamePlace(host: String, prefix: String) {
            display("MR-6103 two routes share host {} and prefix {}", host, prefix)
        }
        /// The weights of a route add up to nothing.
        NoWeight(route: String) {
            display("MR-6104 the weights of route {} add up to 0", route)
        }
        /// A route has no time to answer.
        NoTimeout(route: String) {
            display("MR-6105 the time-out of route {} is 0", route)
        }
        /// A key belongs to two accounts.
        SharedKey(first: String, second: String) {
            display("MR-6106 accounts {} and {} share a key", first, second)
        }
        /// A service is listed twice.
        SameService(service: String) {
            display("MR-6107 service {} is listed twice", service)
        }
        /// A prefix does not begin and end with a slash.
        BadPrefix(route: String) {
            display("MR-6108 the prefix of route {} must begin and end with a slash", route)
        }
        /// The version is 0, which stands for no configuration.
        NoVersion {
            display("MR-6109 the version must be above 0")
        }
    }
}

/// Refuses a configuration that may never be in force.
///
/// # Errors
/// The first fault found, in the order of the document.
pub fn check(configuration: &Configuration) -> Result<(), ConfigurationError> {
    if configuration.version.0 == 0 {
        return Err(ConfigurationError::NoVersion);
    }
    let services = check_services(configuration)?;
    check_routes(configuration, &services)?;
    check_keys(configuration)
}

fn check_services(configuration: &Configuration) -> Result<HashSet<&str>, ConfigurationError> {
    let mut names = HashSet::new();
    for service in &configuration.services {
        if !names.insert(service.name.as_str()) {
            return Err(ConfigurationError::SameService(service.name.clone()));
        }
    }
    Ok(names)
}

fn check_routes(
    configuration: &Configuration,
    services: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    let mut places = HashSet::new();
    for route in &configuration.routes {
        let unknown = route
            .weighted_services
            .iter()
            .find(|weighted| !services.contains(weighted.service.as_str()));
        if let Some(weighted) = unknown {
            let service = weighted.service.clone();
            return Err(ConfigurationError::UnknownService(
                route.name.clone(),
                service,
            ));
        }
        if route
            .weighted_services
            .iter()
            .all(|weighted| weighted.weight == 0)
        {
            return Err(ConfigurationError::NoWeight(route.name.clone()));
        }
        if route.timeout_ms == 0 {
            return Err(ConfigurationError::NoTimeout(route.name.clone()));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(ConfigurationError::BadPrefix(route.name.clone()));
        }
        let host = route.host.to_ascii_lowercase();
        if !places.insert((host, route.prefix.as_str())) {
            let place = (route.host.clone(), route.prefix.clone());
            return Err(ConfigurationError::SamePlace(place.0, place.1));
        }
    }
    Ok(())
}

fn check_keys(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let mut holders: std::collections::HashMap<&str, &str> = Default::default();
    for account in &configuration.accounts {
        for key in &account.keys {
            let holder = holders.insert(key, &account.name);
            if let Some(first) = holder.filter(|first| *first != account.name) {
                let pair = (first.to_string(), account.name.clone());
                return Err(ConfigurationError::SharedKey(pair.0, pair.1));
            }
        }
    }
    Ok(())
}
