//! Cost of a choice among 600 targets, with and without restricted regions.

use criterion::{Criterion, criterion_group, criterion_main};
use moleroad_directory::prelude::TargetId;
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::{AllowedRegions, Millis, Region};
use std::hint::black_box;

const TARGETS: usize = 600;
const REGIONS: [&str; 3] = ["region-east", "region-south", "region-west"];

fn target(number: usize) -> Candidate {
    let region = REGIONS[number % REGIONS.len()];
    Candidate {
        id: TargetId::new(format!("target-{number}")),
        address: "127.0.0.1:9000".parse().expect("an address"),
        slots: 12,
        max_own: 12,
        share: 4,
        distance: if region == REGIONS[0] {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        },
        region: Region::new(region),
        evacuated: false,
        version: Some(1),
        switching: false,
        slowness: 1.0,
        agent: None,
        cold: None,
        limit: None,
        granted_until: None,
        backoff_until: None,
    }
}

/// Returns targets that each have a few requests in flight.
fn loaded_targets() -> Targets {
    let mut targets = Targets::default();
    targets.set((0..TARGETS).map(target).collect());
    for number in 0..TARGETS {
        let id = TargetId::new(format!("target-{number}"));
        targets.record_report(Millis(9_990), &id, (number % 7) as u32, 0);
    }
    targets
}

fn choose(c: &mut Criterion) {
    let targets = loaded_targets();
    let named =
        |count: usize| AllowedRegions::only(REGIONS[..count].iter().copied().map(Region::new));
    let sets = [
        ("all regions", AllowedRegions::all()),
        ("one region", named(1)),
        ("two regions", named(2)),
        ("three regions", named(3)),
    ];
    for (name, regions) in sets {
        let needs = Requirements {
            min_version: Some(1),
            prompt_tokens: 900,
            regions: Some(&regions),
            ..Requirements::default()
        };
        c.bench_function(&format!("choose among {TARGETS} targets, {name}"), |b| {
            b.iter(|| targets.choose(Millis(10_000), black_box(needs), 7));
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(50).measurement_time(std::time::Duration::from_secs(2));
    targets = choose
}
criterion_main!(benches);
