//! Targets that asked this daemon for rest: they turned a request away and said
//! for how long they want nothing more from it.
//!
//! The wish is between one daemon and one life of a target. Other daemons are not
//! bound by it, a daemon that begins anew knows nothing of it, and it ends with the
//! life of the target. It is kept apart from the list of targets, since a target
//! may leave the list and come back within its rest.

use moleroad_directory::prelude::{TargetId, TargetRecord};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Longest rest that is kept, in milliseconds: an hour. A target that asks for
/// more by mistake is lost to this daemon for no longer than that.
pub const LONGEST_REST_MS: u64 = 3_600_000;

/// Reads a rest that is given in seconds; returns milliseconds, rounded up and
/// at most [`LONGEST_REST_MS`]. Whole numbers and decimal fractions are taken;
/// anything else, also a negative number or a date, is `None`.
pub fn parse_retry_after_ms(seconds: &str) -> Option<u64> {
    let digits = seconds.trim();
    let is_decimal = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = digits.parse().ok().filter(|_| is_decimal)?;
    Some((seconds * 1_000.0).ceil().min(LONGEST_REST_MS as f64) as u64)
}

/// The target that answers, as far as it was known when it was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Responder {
    /// Address.
    pub address: SocketAddr,
    /// Identity.
    pub target: TargetId,
    /// Unix time of its start as it said, in milliseconds; 0 when it did not.
    pub born_ms: u64,
}

impl Responder {
    /// The target as its record tells.
    pub fn of(record: &TargetRecord) -> Self {
        Self {
            address: record.address,
            target: record.id.clone(),
            born_ms: record.born_ms,
        }
    }
}

/// One wish for rest.
#[derive(Clone, Debug)]
struct Rest {
    from: Responder,
    /// Unix time of the answer by this daemon's clock, in milliseconds.
    answered_unix_ms: u64,
    until: Millis,
}

impl Rest {
    /// Whether the life of `target` that began at `born_ms` asked for it. A life that
    /// began before the answer made it, also where its first heartbeat came here
    /// after that: an address has one life at a time. The time of day may be wrong by
    /// seconds; then a target that has just begun rests in vain, or one that asked
    /// for it does not.
    fn is_of(&self, target: &TargetId, born_ms: u64) -> bool {
        let is_same_target = self.from.target == *target;
        if self.from.born_ms == 0 || born_ms == 0 {
            return is_same_target;
        }
        let is_same_life = is_same_target && self.from.born_ms == born_ms;
        is_same_life || born_ms <= self.answered_unix_ms
    }
}

/// The targets that rest from this daemon, by their addresses.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    by_address: HashMap<SocketAddr, Rest>,
}

impl Rests {
    /// Takes the wish of a target that answered at `answered_unix_ms`, Unix time in
    /// milliseconds. A shorter wish takes nothing from one that was made before.
    pub fn ask(&mut self, now: Millis, from: Responder, answered_unix_ms: u64, rest_ms: u64) {
        self.by_address.retain(|_, rest| rest.until > now);
        let asked_until = now + rest_ms;
        let known = self.by_address.get(&from.address);
        let known = known.filter(|rest| rest.is_of(&from.target, from.born_ms));
        let until = known.map_or(asked_until, |rest| rest.until.max(asked_until));
        let rest = Rest {
            from,
            answered_unix_ms,
            until,
        };
        self.by_address.insert(rest.from.address, rest);
    }

    /// Until when a target rests; `None` when it does not.
    pub fn until(&self, now: Millis, target: &Responder) -> Option<Millis> {
        let rest = self.by_address.get(&target.address)?;
        let is_its_own = rest.is_of(&target.target, target.born_ms);
        (rest.until > now && is_its_own).then_some(rest.until)
    }
}
