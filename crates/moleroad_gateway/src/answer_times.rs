//! How long answers have recently taken, by route.

use moleroad_types::prelude::Millis;
use std::collections::HashMap;

/// Time for which an answer is remembered at least, in milliseconds; at most twice as
/// long.
const WINDOW_MS: u64 = 60_000;
/// Share of the answers that end within the time that is likely.
const LIKELY_SHARE: f64 = 0.99;
/// Number of recent answers from which that share can be told.
const MIN_KNOWN_ANSWERS: u64 = 100;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 50.0;
/// Ratio of the upper bounds of two successive buckets.
const BOUND_RATIO: f64 = 1.25;
/// Number of buckets; the last bound is over a quarter of an hour.
const BUCKETS: usize = 48;

/// Times of the recent answers of each route, from the arrival of the request to the last
/// byte written to its caller.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    window_begins: Millis,
    current: HashMap<String, Histogram>,
    previous: HashMap<String, Histogram>,
}

/// Number of answers by the time that they took.
#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKETS],
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
        }
    }
}

fn bucket_of(ms: u64) -> usize {
    let steps = (ms as f64 / FIRST_BOUND_MS).max(1.0).ln() / BOUND_RATIO.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}

fn upper_bound_ms(bucket: usize) -> u64 {
    (FIRST_BOUND_MS * BOUND_RATIO.powi(bucket as i32)).ceil() as u64
}

impl AnswerTimes {
    /// Records an answer of `route` that took `ms` milliseconds.
    pub fn record(&mut self, now: Millis, route: &str, ms: u64) {
        self.advance(now);
        let bucket = bucket_of(ms);
        match self.current.get_mut(route) {
            Some(histogram) => histogram.counts[bucket] += 1,
            None => {
                let mut histogram = Histogram::default();
                histogram.counts[bucket] = 1;
                self.current.insert(route.to_string(), histogram);
            }
        }
    }

    /// Returns the time within which an answer of `route` is likely to end, in
    /// milliseconds; `None` if too few are known.
    pub fn likely_ms(&mut self, now: Millis, route: &str) -> Option<u64> {
        if self.count(now, route) < MIN_KNOWN_ANSWERS {
            return None;
        }
        self.quantile_ms(now, route, LIKELY_SHARE)
    }

    /// Returns the number of recent answers of `route`.
    fn count(&mut self, now: Millis, route: &str) -> u64 {
        self.advance(now);
        let windows = [&self.current, &self.previous].into_iter();
        let histograms = windows.filter_map(|window| window.get(route));
        let counts = histograms.flat_map(|histogram| histogram.counts);
        counts.map(u64::from).sum()
    }

    /// Returns the time within which the given share of the recent answers of `route`
    /// ended, in milliseconds, rounded up by a quarter at most; `None` if there was none.
    pub fn quantile_ms(&mut self, now: Millis, route: &str, share: f64) -> Option<u64> {
        self.advance(now);
        let histograms: Vec<&Histogram> = [&self.current, &self.previous]
            .into_iter()
            .filter_map(|window| window.get(route))
            .collect();
        let count = |bucket: usize| -> u64 {
            let counts = histograms.iter().map(|known| known.counts[bucket]);
            counts.map(u64::from).sum()
        };
        let total: u64 = (0..BUCKETS).map(count).sum();
        let wanted = (total as f64 * share).ceil() as u64;
        let mut ended = 0;
        let reached = (0..BUCKETS).find(|bucket| {
            ended += count(*bucket);
            ended > 0 && ended >= wanted
        });
        reached.map(upper_bound_ms)
    }

    fn advance(&mut self, now: Millis) {
        let age_ms = now.since(self.window_begins);
        if age_ms < WINDOW_MS {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = if age_ms < 2 * WINDOW_MS {
            ended
        } else {
            HashMap::new()
        };
        self.window_begins = now;
    }
}
