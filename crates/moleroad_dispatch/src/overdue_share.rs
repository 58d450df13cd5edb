//! How many places requests without hope of their wanted latency may take.
//!
//! Each of them that runs may make another late. How many places are to spare
//! differs between deployments and moments, and an entry sees it: requests that
//! come in time find places, or they do not while overdue ones run.

/// Largest share of the places.
const MOST: f64 = 0.3;
/// Smallest share of the places: some of those that wait are served always.
const LEAST: f64 = 0.03;
/// Factor for each request that missed its time while overdue ones ran.
const SHRINK: f64 = 0.85;
/// What each request that found a place in time adds.
const GROWTH: f64 = 0.004;

/// The share of an entry's part of all places that overdue requests may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverdueShare {
    share: f64,
    running: u32,
}

impl Default for OverdueShare {
    fn default() -> Self {
        Self {
            share: MOST,
            running: 0,
        }
    }
}

impl OverdueShare {
    /// Notes that a request found a place in time.
    pub fn in_time_placed(&mut self) {
        self.share = (self.share + GROWTH).min(MOST);
    }

    /// Notes that a request found no place in time.
    pub fn in_time_missed(&mut self) {
        if self.running > 0 {
            self.share = (self.share * SHRINK).max(LEAST);
        }
    }

    /// Notes that an overdue request is sent.
    pub fn started(&mut self) {
        self.running += 1;
    }

    /// Notes that an overdue request ended.
    pub fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Whether another overdue request may be sent, where this entry's part of
    /// all places is `places`.
    pub fn admits(&self, places: f64) -> bool {
        f64::from(self.running) < (places * self.share).max(1.0)
    }
}
