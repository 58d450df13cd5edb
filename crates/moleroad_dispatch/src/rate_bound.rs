//! A bound of requests a second on one target that all entries keep together.
//!
//! One owner beside the target gives grants from a [`TokenBucket`]; an entry
//! sends only on a grant, and only within the grant's life. Entries need not
//! agree on anything, and it does not matter which of them are in touch: what
//! arrives in a second was granted in that second, or at most a life and a
//! delay on the way before it. So at most `rate × (1 + life + delay) + depth`
//! requests arrive in any second. [`RateBound::terms`] chooses rate and depth
//! so that this stays below the bound with a margin.
//!
//! Targets that have no such owner are divided up: see
//! [`division`](crate::division).

use moleroad_types::prelude::Millis;

/// How long a grant may be used, in milliseconds, counted at the entry from
/// when it asked: an answer on the way back, and a new connection to the
/// target.
pub const GRANT_TTL_MS: u64 = 150;
/// Longest way of a request that was sent, in milliseconds, that the sums allow
/// for: a crowded link between two regions.
pub const DELAY_MS: u64 = 100;
/// Part of the bound that is used at most: entries that learn of the bound a
/// moment late have sent a few requests without grants.
const USED_PART: f64 = 0.9;
/// Grants that are kept for the next moment, as a time at the rate, in
/// milliseconds: requests come by chance, and what nobody asks for is lost.
pub(crate) const DEPTH_MS: f64 = 200.0;
pub(crate) const MS_PER_S: f64 = 1_000.0;

/// What a target should get, and what it must never get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Requests a second that it should get when there are enough.
    pub requests_per_s: f64,
    /// Most requests in any one second, from all entries.
    pub most_in_a_second: f64,
}

impl RateBound {
    /// The bound on a target that bears `requests_per_s`, of which `overshoot`
    /// times as many and `slack` more are borne in a single second.
    pub fn new(requests_per_s: f64, overshoot: f64, slack: f64) -> Self {
        Self {
            requests_per_s,
            most_in_a_second: requests_per_s * overshoot + slack,
        }
    }

    /// Whole requests that may come in one second.
    pub fn whole(self) -> f64 {
        self.most_in_a_second.max(0.0).floor()
    }

    /// Rate and depth of the grants; `None` when not even one request may come
    /// in a second.
    pub fn terms(self) -> Option<GrantTerms> {
        let whole = self.whole();
        if whole < 1.0 || self.requests_per_s <= 0.0 {
            return None;
        }
        let used = whole * USED_PART;
        // A bucket of one token gives at most `rate × window + 1` in a window,
        // rounded down: that is the bound itself while `rate × window` is less.
        let per_s = self.requests_per_s.min(used / WINDOW_S);
        let room = used + 1.0 - per_s * WINDOW_S;
        let depth = (per_s * DEPTH_MS / MS_PER_S).min(room).max(1.0);
        Some(GrantTerms { per_s, depth })
    }
}

/// Span in which requests were granted that arrive in one second, in seconds.
const WINDOW_S: f64 = 1.0 + (GRANT_TTL_MS + DELAY_MS) as f64 / MS_PER_S;

/// How grants are given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantTerms {
    /// Grants in a second.
    pub per_s: f64,
    /// Most grants that are given at one moment.
    pub depth: f64,
}

impl GrantTerms {
    /// Most requests that arrive in one second, whoever sends them.
    pub fn most_in_a_second(self) -> f64 {
        (self.per_s * WINDOW_S + self.depth).floor()
    }
}

/// Gives grants at a rate. It is empty when it begins: grants of an earlier
/// owner may still be under way.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    terms: GrantTerms,
    tokens: f64,
    at: Millis,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(now: Millis, terms: GrantTerms) -> Self {
        Self {
            terms,
            tokens: 0.0,
            at: now,
        }
    }

    /// A bucket with all the grants that it can have.
    pub fn full(now: Millis, terms: GrantTerms) -> Self {
        Self {
            tokens: terms.depth,
            ..Self::new(now, terms)
        }
    }

    /// Whether it has all the grants that it can have.
    pub fn is_full(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.tokens >= self.terms.depth
    }

    /// Goes on under other terms; true if they differ.
    pub fn set_params(&mut self, now: Millis, terms: GrantTerms) -> bool {
        self.fill(now);
        let differ = self.terms != terms;
        self.terms = terms;
        self.tokens = self.tokens.min(terms.depth);
        differ
    }

    /// Gives one grant, if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.fill(now);
        let is_given = self.tokens >= 1.0;
        if is_given {
            self.tokens -= 1.0;
        }
        is_given
    }

    /// Grants that can be given now.
    pub fn free(&mut self, now: Millis) -> u32 {
        self.fill(now);
        self.tokens as u32
    }

    /// Gives nothing of what came up until now: its owner stood still, and so
    /// perhaps did those whom it gave grants.
    pub fn empty(&mut self, now: Millis) {
        self.tokens = 0.0;
        self.at = self.at.max(now);
    }

    /// A clock that stands or steps back adds nothing.
    fn fill(&mut self, now: Millis) {
        let passed_s = now.since(self.at) as f64 / MS_PER_S;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed_s * self.terms.per_s).min(self.terms.depth);
    }
}
