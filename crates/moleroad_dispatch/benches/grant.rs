//! Cost for an agent to give a grant, and for an entry to compute its quota of a
//! target.

use criterion::{Criterion, criterion_group, criterion_main};
use moleroad_dispatch::prelude::*;
use moleroad_types::prelude::Millis;
use std::hint::black_box;

fn grants(c: &mut Criterion) {
    let bound = RateBound::new(15.0, 1.5, 5.0);
    c.bench_function("one grant, with its terms", |b| {
        let params = bound.bucket_params().expect("terms");
        let mut bucket = TokenBucket::new(Millis(0), params);
        let mut at = 0;
        b.iter(|| {
            at += 1;
            bucket.set_params(Millis(at), black_box(bound).bucket_params().expect("terms"));
            black_box(bucket.take(Millis(at)))
        });
    });
    for count in [45, 350] {
        let names: Vec<String> = (0..count).map(|n| format!("entry-{n}")).collect();
        let entries: Vec<&str> = names.iter().map(String::as_str).collect();
        let division = Division::of(bound);
        c.bench_function(&format!("own part of a target among {count}"), |b| {
            b.iter(|| division.quota_of("entry-7", black_box(&entries), "target"));
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(1));
    targets = grants
}
criterion_main!(benches);
