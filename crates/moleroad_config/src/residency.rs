//! Data residency: the regions in which requests may be served under the
//! current configuration.

use crate::configuration::{ClientAccount, ConfigVersion, Route};
use crate::route_table::RouteTable;
use moleroad_types::prelude::{AllowedRegions, Region};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;
use std::sync::Arc;

/// Properties of a request that select its route and account.
#[derive(Debug)]
struct RequestLookup {
    host: String,
    path: String,
    key: Option<String>,
}

/// Regions in which a request may be served: those that both its route and its
/// account allow.
///
/// A request may outlive the configuration under which it was accepted; it can
/// be evaluated again under a later one.
#[derive(Clone, Debug)]
pub struct Residency {
    lookup: Arc<RequestLookup>,
    version: ConfigVersion,
    route: AllowedRegions,
    account: AllowedRegions,
    allowed: AllowedRegions,
}

impl Residency {
    /// Evaluates a request for `host` and `path` that carries `key`.
    pub fn new(table: &RouteTable, host: &str, path: &str, key: Option<&str>) -> Self {
        let lookup = RequestLookup {
            host: host.to_string(),
            path: path.to_string(),
            key: key.map(str::to_string),
        };
        let all = AllowedRegions::all();
        Self::resolve(Arc::new(lookup), table, &all, &all)
    }

    /// Evaluates the request under the configuration of `table`. A route or
    /// account that no longer exists keeps its last restriction.
    pub fn for_configuration(&self, table: &RouteTable) -> Self {
        if table.version() == self.version {
            return self.clone();
        }
        Self::resolve(self.lookup.clone(), table, &self.route, &self.account)
    }

    fn resolve(
        lookup: Arc<RequestLookup>,
        table: &RouteTable,
        last_route: &AllowedRegions,
        last_account: &AllowedRegions,
    ) -> Self {
        let route = table.find(&lookup.host, &lookup.path);
        let route = route.map_or(last_route, |route| &route.allowed_regions);
        let key = lookup.key.as_deref();
        let account = key.and_then(|key| table.account_by_key(key));
        let account = account.map_or(last_account, |account| &account.allowed_regions);
        Self {
            lookup,
            version: table.version(),
            route: route.clone(),
            account: account.clone(),
            allowed: route.intersection(account),
        }
    }

    /// Returns the regions in which the request may be served.
    pub fn allowed(&self) -> &AllowedRegions {
        &self.allowed
    }

    /// Returns the version of the evaluated configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }
}

/// Doubtful regions in a configuration. The configuration is valid
/// nevertheless: requests that cannot be served under it are rejected one by
/// one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResidencyWarning {
    /// A region without a data hall.
    UnknownRegion {
        /// The region.
        region: Region,
        /// The first route or account that refers to it.
        named_by: String,
    },
    /// A route and an account that allow no common region.
    NoCommonRegion {
        /// The route.
        route: String,
        /// The account.
        account: String,
    },
}

impl fmt::Display for ResidencyWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownRegion { region, named_by } => {
                write!(
                    f,
                    "{named_by} allows region {region}, which has no data hall"
                )
            }
            Self::NoCommonRegion { route, account } => {
                write!(
                    f,
                    "route {route} and account {account} allow no common region"
                )
            }
        }
    }
}

/// Returns the warnings about the regions of a configuration. `known` holds the
/// regions with data halls; if it is empty, no region is reported as unknown.
/// There is at most one warning for each region, and one for each pair of
/// region sets without a common region.
pub fn residency_warnings(table: &RouteTable, known: &BTreeSet<Region>) -> Vec<ResidencyWarning> {
    let routes = first_name_of_each_set(table.routes().map(|route| route_regions(route)));
    let accounts = first_name_of_each_set(table.accounts().map(|account| account_regions(account)));
    let mut warnings = unknown_regions(&routes, &accounts, known);
    for (route_allowed, route) in &routes {
        for (account_allowed, account) in &accounts {
            if route_allowed.intersection(account_allowed).is_empty() {
                warnings.push(ResidencyWarning::NoCommonRegion {
                    route: route.clone(),
                    account: account.clone(),
                });
            }
        }
    }
    warnings
}

fn route_regions(route: &Route) -> (AllowedRegions, String) {
    (route.allowed_regions.clone(), route.name.clone())
}

fn account_regions(account: &ClientAccount) -> (AllowedRegions, String) {
    (account.allowed_regions.clone(), account.name.clone())
}

/// Returns each distinct restricted set of regions with the alphabetically
/// first name that has it.
fn first_name_of_each_set(
    named: impl Iterator<Item = (AllowedRegions, String)>,
) -> Vec<(AllowedRegions, String)> {
    let mut restricted: Vec<_> = named
        .filter(|(regions, _)| !regions.is_unrestricted())
        .collect();
    restricted.sort_by(|left, right| left.1.cmp(&right.1));
    let mut seen = HashSet::new();
    restricted.retain(|(regions, _)| seen.insert(regions.clone()));
    restricted
}

fn unknown_regions(
    routes: &[(AllowedRegions, String)],
    accounts: &[(AllowedRegions, String)],
    known: &BTreeSet<Region>,
) -> Vec<ResidencyWarning> {
    let mut unknown: BTreeMap<&Region, &String> = BTreeMap::new();
    for (regions, name) in routes.iter().chain(accounts) {
        for region in regions.as_slice().into_iter().flatten() {
            if !known.is_empty() && !known.contains(region) {
                unknown.entry(region).or_insert(name);
            }
        }
    }
    let warning = |(region, name): (&Region, &String)| ResidencyWarning::UnknownRegion {
        region: region.clone(),
        named_by: name.clone(),
    };
    unknown.into_iter().map(warning).collect()
}
