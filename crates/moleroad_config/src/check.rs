//! Validation of configurations before they take effect.

use crate::configuration::Configuration;
use quick_error::quick_error;
use std::collections::HashSet;

quick_error! {
    /// Reason why a configuration is rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// The configuration could not be parsed completely.
        Unreadable(reason: String) {
            display("MR-6101 the configuration cannot be read: {}", reason)
        }
        /// A route refers to a service that is not listed.
        UnknownService(route: String, service: String) {
            display("MR-6102 route {} names the unknown service {}", route, service)
        }
        /// Two routes have the same host and prefix.
        DuplicateRoute(host: String, prefix: String) {
            display("MR-6103 two routes share host {} and prefix {}", host, prefix)
        }
        /// The weights of a route sum to 0.
        ZeroWeight(route: String) {
            display("MR-6104 the weights of route {} add up to 0", route)
        }
        /// The timeout of a route is 0.
        ZeroTimeout(route: String) {
            display("MR-6105 the time-out of route {} is 0", route)
        }
        /// A key belongs to two accounts.
        DuplicateKey(first: String, second: String) {
            display("MR-6106 accounts {} and {} share a key", first, second)
        }
        /// A service is listed twice.
        DuplicateService(service: String) {
            display("MR-6107 service {} is listed twice", service)
        }
        /// A prefix does not begin and end with a slash.
        InvalidPrefix(route: String) {
            display("MR-6108 the prefix of route {} must begin and end with a slash", route)
        }
        /// The version is 0, which stands for the absence of a configuration.
        MissingVersion {
            display("MR-6109 the version must be above 0")
        }
    }
}

/// Checks that a configuration may take effect.
///
/// # Errors
/// Returns the first error found.
pub fn check(configuration: &Configuration) -> Result<(), ConfigurationError> {
    if configuration.version.0 == 0 {
        return Err(ConfigurationError::MissingVersion);
    }
    let services = check_services(configuration)?;
    check_routes(configuration, &services)?;
    check_keys(configuration)
}

fn check_services(configuration: &Configuration) -> Result<HashSet<&str>, ConfigurationError> {
    let mut names = HashSet::new();
    for service in &configuration.services {
        if !names.insert(service.name.as_str()) {
            return Err(ConfigurationError::DuplicateService(service.name.clone()));
        }
    }
    Ok(names)
}

fn check_routes(
    configuration: &Configuration,
    services: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    let mut seen = HashSet::new();
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
            return Err(ConfigurationError::ZeroWeight(route.name.clone()));
        }
        if route.timeout_ms == 0 {
            return Err(ConfigurationError::ZeroTimeout(route.name.clone()));
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(ConfigurationError::InvalidPrefix(route.name.clone()));
        }
        let host = route.host.to_ascii_lowercase();
        if !seen.insert((host, route.prefix.as_str())) {
            let pair = (route.host.clone(), route.prefix.clone());
            return Err(ConfigurationError::DuplicateRoute(pair.0, pair.1));
        }
    }
    Ok(())
}

fn check_keys(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let mut owners: std::collections::HashMap<&str, &str> = Default::default();
    for account in &configuration.accounts {
        for key in &account.keys {
            let owner = owners.insert(key, &account.name);
            if let Some(first) = owner.filter(|first| *first != account.name) {
                let pair = (first.to_string(), account.name.clone());
                return Err(ConfigurationError::DuplicateKey(pair.0, pair.1));
            }
        }
    }
    Ok(())
}
