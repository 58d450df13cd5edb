//! How long answers have recently taken, by route.

use moleroad_types::prelude::Millis;
use std::collections::HashMap;

/// Time for which a long answer is remembered at least, in milliseconds; at most twice
/// as long.
const WINDOW_MS: u64 = 60_000;

/// The longest recent answers of each route, from the arrival of the request to the last
/// byte written to its caller.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    window_begins: Millis,
    current: HashMap<String, u64>,
    previous: HashMap<String, u64>,
}

impl AnswerTimes {
    /// Records an answer of `route` that took `ms` milliseconds.
    pub fn record(&mut self, now: Millis, route: &str, ms: u64) {
        self.advance(now);
        match self.current.get_mut(route) {
            Some(longest) => *longest = ms.max(*longest),
            None => {
                self.current.insert(route.to_string(), ms);
            }
        }
    }

    /// Returns the longest recent answer of `route`, in milliseconds; `None` if there was
    /// none.
    pub fn longest_ms(&mut self, now: Millis, route: &str) -> Option<u64> {
        self.advance(now);
        let windows = [&self.current, &self.previous].into_iter();
        windows
            .filter_map(|window| window.get(route))
            .max()
            .copied()
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
