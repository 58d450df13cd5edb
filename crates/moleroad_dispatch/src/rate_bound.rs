//! Bound on the rate of requests to one target, kept by all entries together.
//!
//! One owner, the target's agent, gives grants from a [`TokenBucket`]. An entry sends
//! only with a grant, and only until the grant expires. The entries need no agreement,
//! and it does not matter which of them are connected: a request that arrives in some
//! second was granted in that second, or at most one grant lifetime and one network
//! delay before it. So at most `rate × (1 + lifetime + delay) + burst` requests arrive
//! in any second. The rate and burst are chosen so that this stays below the bound with
//! a margin ([`RateBound`]).
//!
//! For targets without such an owner, see [`division`](crate::division).

use moleroad_types::prelude::Millis;

/// Lifetime of a grant, in milliseconds, counted at the entry from the time of its
/// query: covers the transit of the answer and a new connection to the target.
pub const GRANT_TTL_MS: u64 = 150;
/// Maximum network delay of a request that the calculation allows for, in milliseconds:
/// a congested link between two regions.
pub const MAX_DELAY_MS: u64 = 100;
/// Fraction of the bound that is used: entries that learn of the bound late have
/// already sent a few requests without grants.
const USED_FRACTION: f64 = 0.9;
/// Burst of the token bucket, in milliseconds at its rate: requests arrive at random,
/// and a token that is not used while the bucket is full is lost.
pub(crate) const BURST_MS: f64 = 200.0;
pub(crate) const MS_PER_S: f64 = 1_000.0;

/// Desired and maximum request rate of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Requests per second that it should get if there is enough demand.
    pub requests_per_s: f64,
    /// Maximum number of requests in any one second, from all entries.
    pub most_in_a_second: f64,
}

impl RateBound {
    /// Returns the bound of a target that sustains `requests_per_s` and tolerates that
    /// rate times `overshoot`, plus `slack` requests, in a single second.
    pub fn new(requests_per_s: f64, overshoot: f64, slack: f64) -> Self {
        Self {
            requests_per_s,
            most_in_a_second: requests_per_s * overshoot + slack,
        }
    }

    /// Returns the whole number of requests that may arrive in one second.
    pub fn whole_requests(self) -> f64 {
        self.most_in_a_second.max(0.0).floor()
    }

    /// Returns the token bucket parameters; `None` if not even one request may arrive
    /// in a second.
    pub fn bucket_params(self) -> Option<BucketParams> {
        let whole_requests = self.whole_requests();
        if whole_requests < 1.0 || self.requests_per_s <= 0.0 {
            return None;
        }
        let used = whole_requests * USED_FRACTION;
        // A bucket with a burst of one gives at most `rate × window + 1` tokens in a
        // window, rounded down: that is the bound itself while `rate × window` is less.
        let per_s = self.requests_per_s.min(used / GRANT_WINDOW_S);
        let room = used + 1.0 - per_s * GRANT_WINDOW_S;
        let burst = (per_s * BURST_MS / MS_PER_S).min(room).max(1.0);
        Some(BucketParams { per_s, burst })
    }
}

/// Window in which requests that arrive within one second were granted, in seconds.
const GRANT_WINDOW_S: f64 = 1.0 + (GRANT_TTL_MS + MAX_DELAY_MS) as f64 / MS_PER_S;

/// Parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketParams {
    /// Grants per second.
    pub per_s: f64,
    /// Capacity: the maximum number of grants given at one instant.
    pub burst: f64,
}

impl BucketParams {
    /// Returns the maximum number of requests that arrive in one second, from all
    /// entries.
    pub fn most_in_a_second(self) -> f64 {
        (self.per_s * GRANT_WINDOW_S + self.burst).floor()
    }
}

/// Token bucket that gives grants. It starts empty, since grants of a previous owner
/// may still be in flight.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    params: BucketParams,
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Millis, params: BucketParams) -> Self {
        Self {
            params,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Creates a full bucket.
    pub fn full(now: Millis, params: BucketParams) -> Self {
        Self {
            tokens: params.burst,
            ..Self::new(now, params)
        }
    }

    /// Returns whether the bucket is full.
    pub fn is_full(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.tokens >= self.params.burst
    }

    /// Changes the parameters; returns true if they differ.
    pub fn set_params(&mut self, now: Millis, params: BucketParams) -> bool {
        self.refill(now);
        let differ = self.params != params;
        self.params = params;
        self.tokens = self.tokens.min(params.burst);
        differ
    }

    /// Takes one grant, if one is available.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the number of grants available now.
    pub fn available(&mut self, now: Millis) -> u32 {
        self.refill(now);
        self.tokens as u32
    }

    /// Discards all tokens up to `now`: the owner was suspended, and entries that hold
    /// its grants may have been suspended too.
    pub fn drain(&mut self, now: Millis) {
        self.tokens = 0.0;
        self.refilled_at = self.refilled_at.max(now);
    }

    /// A clock that stalls or goes backwards adds nothing.
    fn refill(&mut self, now: Millis) {
        let passed_s = now.since(self.refilled_at) as f64 / MS_PER_S;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + passed_s * self.params.per_s).min(self.params.burst);
    }
}
