//! What choosing a target costs, with its slope over the number of targets.

use criterion::{Criterion, criterion_group, criterion_main};
use moleroad_routing::prelude::*;
use moleroad_types::prelude::*;
use moleroad_types::target::{Destination, Served};
use std::hint::black_box;

fn router(targets: usize, policy: Policy) -> Router {
    let settings = RouterSettings {
        policy,
        ..RouterSettings::default()
    };
    let mut router = Router::new(settings, "hall-0".into(), 1);
    for number in 0..targets {
        let instance = InstanceId::new(format!("engine-{number}"));
        let id = WeightsId {
            account: "pallets".into(),
            model: "notes".into(),
            version: "v1".into(),
            root: RootDigest::of(b"v1"),
        };
        let route = TargetRoute {
            instance: instance.clone(),
            data_hall: DataHall::new(format!("hall-{}", number % 7)),
            address: "127.0.0.1:9000".parse().expect("an address"),
            incarnation: Incarnation(1),
            serves: Served::Weights(id),
        };
        router.set_route(Millis(0), instance, Some(route));
    }
    router
}

fn choose(c: &mut Criterion) {
    let destination = Destination::Model("pallets".into(), "notes".into());
    for targets in [12, 100, 600] {
        for policy in [Policy::Random, Policy::LeastInFlight, Policy::ExpectedWork] {
            let mut router = router(targets, policy);
            let shape = RequestShape {
                prefix: Some(7),
                ..RequestShape::new(destination.clone(), 100)
            };
            c.bench_function(&format!("choose {policy:?} of {targets}"), |b| {
                b.iter(|| router.choose(Millis(10_000), black_box(&shape), &[]));
            });
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(1));
    targets = choose
}
criterion_main!(benches);
