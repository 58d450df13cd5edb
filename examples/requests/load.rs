//! Many requests at a time: the highest rate, more than the capacity, and the flood of one
//! account.

use crate::calls::{echo, request_stream, start};
use crate::measurement::{ms, percentile, rounded};
use moleroad_fakes::prelude::*;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of each load.
pub const LOAD_TIME: Duration = Duration::from_secs(3);
/// Number of engines in the overload test. Their capacity is engines times slots divided
/// by the time of a request.
const OVERLOAD_ENGINES: usize = 4;
/// Number of requests that such an engine runs at a time.
const OVERLOAD_SLOTS: usize = 4;
/// Length of a response in the overload test, in tokens.
const OVERLOAD_TOKENS: u64 = 10;
/// Time per token in the overload test.
const OVERLOAD_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Deadline of a request in the overload test, in milliseconds.
const OVERLOAD_DEADLINE_MS: u64 = 1_000;

/// Runs `work` repeatedly in `threads` threads for [`LOAD_TIME`]; returns all results.
pub fn in_threads<T: Send + 'static>(
    threads: usize,
    work: impl Fn(usize) -> T + Send + Sync + 'static,
) -> Vec<T> {
    let work = Arc::new(work);
    let end = Instant::now() + LOAD_TIME;
    let spawned: Vec<_> = (0..threads)
        .map(|number| {
            let work = Arc::clone(&work);
            thread::spawn(move || {
                let mut done = Vec::new();
                while Instant::now() < end {
                    done.push(work(number));
                }
                done
            })
        })
        .collect();
    spawned
        .into_iter()
        .flat_map(|thread| thread.join().unwrap_or_default())
        .collect()
}

/// Measures the rate of short streamed responses over all entries and engines, per
/// second.
pub fn throughput(deployment: &Deployment, wrong: &AtomicU64) -> f64 {
    let entries = deployment.entry_addresses();
    let answers = in_threads(32, move |number| {
        request_stream(entries[number % entries.len()], 1, 10_000)
    });
    let whole = answers
        .iter()
        .filter(|answer| answer.whole && answer.stream_texts().len() == 1)
        .count();
    let short = answers.iter().filter(|answer| answer.status == 200).count() - whole;
    wrong.fetch_add(short as u64, Ordering::AcqRel);
    rounded(whole as f64 / LOAD_TIME.as_secs_f64())
}

/// Offers one and a half times the capacity of the engines.
pub fn overload(wrong: &AtomicU64) -> Result<(f64, f64), Box<dyn Error>> {
    let (deployment, _) = start(DeploymentShape {
        engines: OVERLOAD_ENGINES,
        services: vec![],
        token_time: OVERLOAD_TOKEN_TIME,
        engine_slots: OVERLOAD_SLOTS,
        target_places: OVERLOAD_SLOTS,
        ..DeploymentShape::small()
    })?;
    let request_time = OVERLOAD_TOKEN_TIME * OVERLOAD_TOKENS as u32;
    let capacity = (OVERLOAD_ENGINES * OVERLOAD_SLOTS) as f64 / request_time.as_secs_f64();
    let entries = deployment.entry_addresses();
    // Open-loop load: requests start at fixed times, whether or not earlier ones have
    // ended.
    let interval = Duration::from_secs_f64(1.0 / (capacity * 1.5));
    let count = (LOAD_TIME.as_secs_f64() / interval.as_secs_f64()) as u32;
    let started = Instant::now();
    let mut asked = Vec::new();
    for number in 0..count {
        thread::sleep((started + interval * number).saturating_duration_since(Instant::now()));
        let entry = entries[number as usize % entries.len()];
        asked.push(thread::spawn(move || {
            let began = Instant::now();
            (
                request_stream(entry, OVERLOAD_TOKENS, OVERLOAD_DEADLINE_MS),
                began.elapsed(),
            )
        }));
    }
    let answers: Vec<_> = asked
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    let elapsed = started.elapsed().as_secs_f64();
    let deadline = Duration::from_millis(OVERLOAD_DEADLINE_MS);
    let in_time = answers.iter().filter(|(answer, duration)| {
        let whole = answer.whole && answer.stream_texts().len() as u64 == OVERLOAD_TOKENS;
        if answer.status == 200 && answer.whole && !whole {
            wrong.fetch_add(1, Ordering::AcqRel);
        }
        whole && *duration <= deadline
    });
    let goodput = in_time.count() as f64 / (capacity * elapsed);
    let refused = answers.iter().filter(|(answer, _)| answer.status != 200);
    let refusals: Vec<f64> = refused
        .map(|(_, duration)| duration.as_secs_f64() / deadline.as_secs_f64())
        .collect();
    Ok((rounded(goodput), rounded(percentile(&refusals, 99))))
}

/// Measures a small account's p99 latency while another account floods the service,
/// divided by its p99 without the flood.
pub fn flood(wrong: &AtomicU64) -> Result<f64, Box<dyn Error>> {
    let (deployment, _) = start(DeploymentShape {
        engines: 1,
        services: vec![("depot-api", 3)],
        service_time: Duration::from_millis(5),
        target_places: 4,
        ..DeploymentShape::small()
    })?;
    let entry = deployment.entry(0);
    let sample = || {
        let mut durations = Vec::new();
        let end = Instant::now() + LOAD_TIME;
        while Instant::now() < end {
            let started = Instant::now();
            let answer = echo(entry, "pallets", "small");
            durations.push(ms(started.elapsed()));
            if answer.status != 200 {
                wrong.fetch_add(1, Ordering::AcqRel);
            }
            thread::sleep(Duration::from_millis(5));
        }
        percentile(&durations, 99)
    };
    let calm = sample();
    let stop = Arc::new(AtomicBool::new(false));
    let flooding: Vec<_> = (0..24)
        .map(|number| {
            let (stop, entry) = (Arc::clone(&stop), deployment.entry(number % 3));
            thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    echo(entry, "labs", "large");
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let flooded = sample();
    stop.store(true, Ordering::Release);
    flooding.into_iter().for_each(|thread| drop(thread.join()));
    Ok(rounded(flooded / calm))
}
