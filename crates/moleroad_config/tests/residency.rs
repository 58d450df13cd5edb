//! Tests of the regions in which requests may be served, and of the warnings
//! about them.

use moleroad_config::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Region};
use std::collections::BTreeSet;

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::only(names.iter().map(|name| Region::new(*name)))
}

fn route(name: &str, allowed_regions: AllowedRegions) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/"),
        weighted_services: vec![WeightedService {
            service: "s".into(),
            weight: 1,
        }],
        repeatability: Repeatability::Idempotent,
        streaming: false,
        resumable: false,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_pause_ms: 0,
        max_attempts: 2,
        priority: 1,
        public: false,
        allowed_regions,
    }
}

fn account(name: &str, allowed_regions: AllowedRegions) -> ClientAccount {
    ClientAccount {
        name: name.into(),
        keys: vec![format!("key-{name}")],
        priority: None,
        allowed_regions,
    }
}

fn table(version: u64, routes: Vec<Route>, accounts: Vec<ClientAccount>) -> RouteTable {
    RouteTable::compile(&Configuration {
        version: ConfigVersion(version),
        routes,
        accounts,
        ..Configuration::default()
    })
}

fn residency(table: &RouteTable, path: &str) -> Residency {
    Residency::new(table, "a.example:80", path, Some("key-one"))
}

#[test]
fn allowed_regions_are_the_intersection_of_route_and_account() {
    let accounts = vec![account("one", only(&["east", "west"]))];
    let routes = vec![
        route("narrow", only(&["west", "south"])),
        route("free", AllowedRegions::all()),
        route("apart", only(&["north"])),
    ];
    let table = table(1, routes, accounts);
    assert_eq!(*residency(&table, "/narrow/x").allowed(), only(&["west"]));
    assert_eq!(
        *residency(&table, "/free/x").allowed(),
        only(&["east", "west"])
    );
    assert!(residency(&table, "/apart/x").allowed().is_empty());
    let without_key = Residency::new(&table, "a.example", "/free/x", None);
    assert!(without_key.allowed().is_unrestricted());
}

#[test]
fn a_request_uses_the_regions_of_the_current_configuration() {
    let accounts = || vec![account("one", AllowedRegions::all())];
    let wide = table(1, vec![route("r", only(&["east", "west"]))], accounts());
    let narrow = table(2, vec![route("r", only(&["west"]))], accounts());
    let lifted = table(3, vec![route("r", AllowedRegions::all())], accounts());
    let accepted = residency(&wide, "/r/x");
    assert_eq!(
        *accepted.for_configuration(&wide).allowed(),
        only(&["east", "west"])
    );
    assert_eq!(
        *accepted.for_configuration(&narrow).allowed(),
        only(&["west"])
    );
    assert_eq!(
        accepted.for_configuration(&narrow).version(),
        ConfigVersion(2)
    );
    assert!(
        accepted
            .for_configuration(&lifted)
            .allowed()
            .is_unrestricted()
    );
}

#[test]
fn the_last_regions_of_a_removed_route_or_account_stay_in_force() {
    let accounts = vec![account("one", only(&["west"]))];
    let before = table(1, vec![route("r", only(&["east", "west"]))], accounts);
    let other = vec![account("two", AllowedRegions::all())];
    let after = table(2, vec![route("other", AllowedRegions::all())], other);
    let accepted = residency(&before, "/r/x");
    assert_eq!(
        *accepted.for_configuration(&after).allowed(),
        only(&["west"])
    );
}

#[test]
fn entries_for_a_host_are_preferred_in_regions_common_to_its_routes() {
    let narrow = route("narrow", only(&["west", "south"]));
    let wide = route("wide", only(&["east", "west"]));
    let free = route("free", AllowedRegions::all());
    let apart = route("apart", only(&["north"]));
    let regions = |routes: Vec<Route>| table(1, routes, vec![]).regions_of_host("A.example:80");
    assert!(regions(vec![free.clone()]).is_unrestricted());
    let common = regions(vec![narrow.clone(), wide.clone(), free.clone()]);
    assert_eq!(common, only(&["west"]));
    let any = regions(vec![narrow, free, apart]);
    assert_eq!(any, only(&["north", "south", "west"]));
    assert!(
        table(1, vec![], vec![])
            .regions_of_host("b.example")
            .is_unrestricted()
    );
}

#[test]
fn regions_without_a_data_hall_cause_a_warning() {
    let known: BTreeSet<Region> = [Region::new("west")].into();
    let routes = vec![
        route("b", only(&["west", "wset"])),
        route("a", only(&["wset"])),
    ];
    let table = table(1, routes, vec![]);
    let expected = ResidencyWarning::UnknownRegion {
        region: Region::new("wset"),
        named_by: "a".into(),
    };
    assert_eq!(residency_warnings(&table, &known), [expected]);
    // Without a list of data halls, no region is reported as unknown.
    assert_eq!(residency_warnings(&table, &BTreeSet::new()), []);
}

#[test]
fn a_route_and_an_account_without_a_common_region_cause_a_warning() {
    let known: BTreeSet<Region> = ["east", "west"].map(Region::new).into();
    // All routes with the same set of regions share one warning.
    let routes = (0..50).map(|number| route(&format!("r{number:02}"), only(&["east"])));
    let accounts = vec![
        account("free", AllowedRegions::all()),
        account("two", only(&["west"])),
        account("three", only(&["west"])),
    ];
    let warnings = residency_warnings(&table(1, routes.collect(), accounts), &known);
    let expected = ResidencyWarning::NoCommonRegion {
        route: "r00".into(),
        account: "three".into(),
    };
    assert_eq!(warnings, [expected]);
}
