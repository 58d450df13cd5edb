//! Tests of configuration checks and of lookups.

use moleroad_config::prelude::*;
use moleroad_types::prelude::AllowedRegions;

fn route(host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.into(),
        prefix: prefix.into(),
        weighted_services: vec![WeightedService {
            service: service.into(),
            weight: 1,
        }],
        repeatability: Repeatability::Idempotent,
        streaming: false,
        resumable: false,
        timeout_ms: 800,
        target_latency_ms: 100,
        target_pause_ms: 0,
        max_attempts: 2,
        priority: 1,
        public: false,
        allowed_regions: AllowedRegions::all(),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        max_connections: 10,
        health_path: None,
        slots: 0,
        models: Vec::new(),
        steps: None,
        origin: None,
        hall: None,
        cold_start: None,
    }
}

fn account(name: &str, keys: &[&str]) -> ClientAccount {
    ClientAccount {
        name: name.into(),
        keys: keys.iter().map(|key| key.to_string()).collect(),
        priority: None,
        allowed_regions: AllowedRegions::all(),
    }
}

fn valid_configuration() -> Configuration {
    Configuration {
        version: ConfigVersion(3),
        routes: vec![
            route("a.example", "/x/", "one"),
            route("a.example", "/x/y/", "two"),
        ],
        services: vec![service("one"), service("two")],
        limits: Limits::default(),
        accounts: vec![account("first", &["k1", "k2"]), account("second", &["k3"])],
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::compile(&valid_configuration());
    let service_at = |host: &str, path: &str| {
        let route = table.find(host, path)?;
        Some(route.weighted_services[0].service.clone())
    };
    assert_eq!(service_at("a.example", "/x/1").as_deref(), Some("one"));
    assert_eq!(service_at("A.example:80", "/x/y/1").as_deref(), Some("two"));
    assert_eq!(service_at("a.example", "/x"), None);
    assert_eq!(service_at("b.example", "/x/1"), None);
}

/// Introduces one error into a valid configuration.
type Mutation = Box<dyn Fn(&mut Configuration)>;

#[test]
fn each_kind_of_fault_is_refused_under_its_number() {
    let faults: Vec<(&str, Mutation)> = vec![
        ("MR-6102", Box::new(|c| c.services.truncate(1))),
        ("MR-6103", Box::new(|c| c.routes[1].prefix = "/x/".into())),
        (
            "MR-6104",
            Box::new(|c| c.routes[0].weighted_services[0].weight = 0),
        ),
        (
            "MR-6104",
            Box::new(|c| c.routes[0].weighted_services.clear()),
        ),
        ("MR-6105", Box::new(|c| c.routes[1].timeout_ms = 0)),
        ("MR-6106", Box::new(|c| c.accounts[1].keys[0] = "k2".into())),
        ("MR-6107", Box::new(|c| c.services.push(service("one")))),
        ("MR-6108", Box::new(|c| c.routes[0].prefix = "/x".into())),
        ("MR-6109", Box::new(|c| c.version = ConfigVersion(0))),
    ];
    assert_eq!(check(&valid_configuration()), Ok(()));
    for (number, mutate) in faults {
        let mut configuration = valid_configuration();
        mutate(&mut configuration);
        let error = check(&configuration).expect_err(number).to_string();
        assert!(error.starts_with(number), "{number}: {error}");
    }
}

#[test]
fn backends_are_drawn_by_weight() {
    let mut split = route("a.example", "/", "one");
    split.weighted_services = vec![
        WeightedService {
            service: "one".into(),
            weight: 90,
        },
        WeightedService {
            service: "none".into(),
            weight: 0,
        },
        WeightedService {
            service: "two".into(),
            weight: 10,
        },
    ];
    let drawn = |draw| RouteTable::select_service(&split, draw).map(|b| b.service.as_str());
    let ones = (0..1000).filter(|draw| drawn(*draw) == Some("one")).count();
    let twos = (0..1000).filter(|draw| drawn(*draw) == Some("two")).count();
    assert_eq!((ones, twos), (900, 100));
}

#[test]
fn a_key_names_its_client_account() {
    let table = RouteTable::compile(&valid_configuration());
    assert_eq!(
        table
            .account_by_key("k3")
            .map(|account| account.name.as_str()),
        Some("second")
    );
    assert!(table.account_by_key("k4").is_none());
    assert!(table.needs_key());
}
