//! How long answers have recently taken, by route.

use moleroad_types::prelude::Millis;
use std::collections::HashMap;

/// Time for which an answer is remembered at least, in milliseconds; at most twice as
/// long.
const WINDOW_MS: u64 = 60_000;
/// Share of the answers that end within the time that is likely.
const LIKELY_SHARE: f64 = 0.99;
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

impl Histogram {
    fn record(&mut self, ms: u64) {
        self.counts[bucket_of(ms)] += 1;
    }

    fn merged(mut self, other: Self) -> Self {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        self
    }

    fn quantile_ms(&self, share: f64) -> Option<u64> {
        let total: u64 = self.counts.iter().copied().map(u64::from).sum();
        let wanted = (total as f64 * share).ceil() as u64;
        let mut ended = 0;
        let reached = (0..BUCKETS).find(|bucket| {
            ended += u64::from(self.counts[*bucket]);
            ended > 0 && ended >= wanted
        });
        reached.map(upper_bound_ms)
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
        match self.current.get_mut(route) {
            Some(histogram) => histogram.record(ms),
            None => {
                let mut histogram = Histogram::default();
                histogram.record(ms);
                self.current.insert(route.to_string(), histogram);
            }
        }
    }

    /// Returns the time within which an answer of `route` is likely to end, in
    /// milliseconds; `None` if no answer has ended. An answer that is open for some time
    /// (`open_ms`) counts as one that took so long: targets may have become slower.
    pub fn likely_ms(
        &mut self,
        now: Millis,
        route: &str,
        open_ms: impl Iterator<Item = u64>,
    ) -> Option<u64> {
        let mut known = self.ended(now, route)?;
        open_ms.for_each(|ms| known.record(ms));
        known.quantile_ms(LIKELY_SHARE)
    }

    /// Returns the time within which the given share of the recent answers of `route`
    /// ended, in milliseconds, rounded up by a quarter at most; `None` if there was none.
    pub fn quantile_ms(&mut self, now: Millis, route: &str, share: f64) -> Option<u64> {
        self.ended(now, route)?.quantile_ms(share)
    }

    /// Returns the recent answers of `route`; `None` if there was none.
    fn ended(&mut self, now: Millis, route: &str) -> Option<Histogram> {
        self.advance(now);
        let windows = [&self.current, &self.previous].into_iter();
        let histograms = windows.filter_map(|window| window.get(route)).cloned();
        histograms.reduce(Histogram::merged)
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
