//! Held requests and parts of prompts as agreed by the control group, which survive a
//! restart of all daemons.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of holds that the control group stores; the ones that expire
/// first are evicted. 256 take 7 KB in each snapshot.
pub const MAX_HOLDS: usize = 256;
/// Two orders to hold the same that expire within this time of each other count
/// as the same, in milliseconds: several entries detect it concurrently, and one write
/// is enough.
pub(crate) const SAME_HOLD_MS: u64 = 600_000;

/// A wall-clock time, in milliseconds since 1970. The clocks of daemons differ by
/// seconds, while a hold lasts an hour.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

/// An order to hold a request, or all requests with a part of a prompt, until a
/// wall-clock time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldOrder {
    /// What is held: see [`Suspect::hold_keys`](crate::suspect::Suspect::hold_keys).
    pub key: Fingerprint,
    /// When the hold expires.
    pub until: UnixMillis,
}

/// Holds and the expiry of each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Holds(BTreeMap<Fingerprint, UnixMillis>);

impl Holds {
    /// Applies an order; returns true if it changed anything.
    pub fn apply(&mut self, order: &HoldOrder) -> bool {
        if self.includes(order) {
            return false;
        }
        self.extend(order.key, order.until)
    }

    /// Returns whether this is already held for about as long as the order demands.
    pub fn includes(&self, order: &HoldOrder) -> bool {
        let held = self.0.get(&order.key);
        held.is_some_and(|until| until.0 + SAME_HOLD_MS > order.until.0)
    }

    /// Merges the holds known to another daemon; returns true if anything was new.
    pub fn merge(&mut self, other: &Holds) -> bool {
        let mut changed = false;
        for (key, until) in &other.0 {
            changed |= self.extend(*key, *until);
        }
        changed
    }

    /// Returns when a hold expires, even if it has expired.
    pub fn until(&self, key: &Fingerprint) -> Option<UnixMillis> {
        self.0.get(key).copied()
    }

    /// Iterates over what is held, including what was held until lately.
    pub fn keys(&self) -> impl Iterator<Item = &Fingerprint> {
        self.0.keys()
    }

    /// Returns the remaining time of a hold, in milliseconds; `None` without one.
    pub fn left_ms(&self, now: UnixMillis, key: &Fingerprint) -> Option<u64> {
        let until = self.0.get(key)?;
        let left_ms = until.0.saturating_sub(now.0);
        (left_ms > 0).then_some(left_ms)
    }

    /// Returns the number of stored holds, including those that have expired.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no hold is stored.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Stores the later of two expiries; beyond [`MAX_HOLDS`] the hold that expires
    /// first is evicted. Returns true if anything changed.
    fn extend(&mut self, key: Fingerprint, until: UnixMillis) -> bool {
        if self.0.get(&key).is_some_and(|held| *held >= until) {
            return false;
        }
        self.0.insert(key, until);
        if self.0.len() <= MAX_HOLDS {
            return true;
        }
        let first = self.0.iter().min_by_key(|(key, until)| (**until, **key));
        let Some(first) = first.map(|(key, _)| *key) else {
            return true;
        };
        self.0.remove(&first);
        first != key
    }
}
