//! Where requests may be served, by whichever configuration is in force.

use crate::configuration::{ClientAccount, ConfigVersion, Route};
use crate::route_table::RouteTable;
use moleroad_types::prelude::{AllowedRegions, Region};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;
use std::sync::Arc;

/// What the route and the account of a request are found by.
#[derive(Debug)]
struct FoundBy {
    host: String,
    path: String,
    key: Option<String>,
}

/// Where one request may be served: in the regions that its route and its
/// account both allow.
///
/// A request may outlive the configuration that it was accepted under;
/// [`Residency::under`] says what holds under another one.
#[derive(Clone, Debug)]
pub struct Residency {
    found_by: Arc<FoundBy>,
    version: ConfigVersion,
    route: AllowedRegions,
    account: AllowedRegions,
    allowed: AllowedRegions,
}

impl Residency {
    /// Looks up a request for `host` and `path` that is sent with `key`.
    pub fn new(table: &RouteTable, host: &str, path: &str, key: Option<&str>) -> Self {
        let found_by = FoundBy {
            host: host.to_string(),
            path: path.to_string(),
            key: key.map(str::to_string),
        };
        let all = AllowedRegions::all();
        Self::look_up(Arc::new(found_by), table, &all, &all)
    }

    /// The same request under another configuration. A route or an account that
    /// is not there any more binds by what it allowed last.
    pub fn under(&self, table: &RouteTable) -> Self {
        if table.version() == self.version {
            return self.clone();
        }
        Self::look_up(self.found_by.clone(), table, &self.route, &self.account)
    }

    fn look_up(
        found_by: Arc<FoundBy>,
        table: &RouteTable,
        last_route: &AllowedRegions,
        last_account: &AllowedRegions,
    ) -> Self {
        let route = table.find(&found_by.host, &found_by.path);
        let route = route.map_or(last_route, |route| &route.allowed_regions);
        let key = found_by.key.as_deref();
        let account = key.and_then(|key| table.account_of(key));
        let account = account.map_or(last_account, |account| &account.allowed_regions);
        Self {
            found_by,
            version: table.version(),
            route: route.clone(),
            account: account.clone(),
            allowed: route.and(account),
        }
    }

    /// The regions in which the request may be served.
    pub fn allowed(&self) -> &AllowedRegions {
        &self.allowed
    }

    /// Version of the configuration that says so.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }
}

/// A configuration that names regions to no use. It is valid: what it forbids
/// is refused request by request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResidencyWarning {
    /// A region in which no data hall stands.
    UnknownRegion {
        /// The region.
        region: Region,
        /// The first route or account that names it.
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

/// What is doubtful about the regions of a configuration, where data halls
/// stand in the `known` regions, or anywhere while none is known: at most one
/// warning for each region, and one for each two sets without a common region.
pub fn residency_warnings(table: &RouteTable, known: &BTreeSet<Region>) -> Vec<ResidencyWarning> {
    let routes = first_of_each_set(table.routes().map(|route| of_route(route)));
    let accounts = first_of_each_set(table.accounts().map(|account| of_account(account)));
    let mut warnings = unknown_regions(&routes, &accounts, known);
    for (by_route, route) in &routes {
        for (by_account, account) in &accounts {
            if by_route.and(by_account).is_none() {
                warnings.push(ResidencyWarning::NoCommonRegion {
                    route: route.clone(),
                    account: account.clone(),
                });
            }
        }
    }
    warnings
}

fn of_route(route: &Route) -> (AllowedRegions, String) {
    (route.allowed_regions.clone(), route.name.clone())
}

fn of_account(account: &ClientAccount) -> (AllowedRegions, String) {
    (account.allowed_regions.clone(), account.name.clone())
}

/// Each restricted set with the first name, in the order of names, that has it.
fn first_of_each_set(
    named: impl Iterator<Item = (AllowedRegions, String)>,
) -> Vec<(AllowedRegions, String)> {
    let mut restricted: Vec<_> = named.filter(|(regions, _)| !regions.is_all()).collect();
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
        for region in regions.named().into_iter().flatten() {
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
