//! Keeps retries a small share of the requests.

/// Retries that may be made: a share of the requests, and a few to start with.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    /// Saved retries, in hundredths.
    saved: u32,
}

/// Hundredths that one retry costs.
const ONE_RETRY: u32 = 100;
/// Retries that may be saved up.
const MAX_SAVED: u32 = 50 * ONE_RETRY;
/// Retries that a new budget holds, so that a quiet account can retry too.
const INITIAL: u32 = 5 * ONE_RETRY;

impl RetryBudget {
    /// A budget of `percent` of the requests.
    pub fn new(percent: u32) -> Self {
        Self { percent, saved: INITIAL }
    }

    /// Counts a request.
    pub fn note_request(&mut self) {
        self.saved = (self.saved + self.percent).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn take(&mut self) -> bool {
        if self.saved < ONE_RETRY {
            return false;
        }
        self.saved -= ONE_RETRY;
        true
    }
}
