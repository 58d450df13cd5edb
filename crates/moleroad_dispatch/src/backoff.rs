//! Targets that asked this daemon to back off: they rejected a request and said with
//! `Retry-After` for how long they want no more requests.
//!
//! A backoff applies between one daemon and one incarnation of a target. It does not
//! bind other daemons, is lost when the daemon restarts, and ends with the incarnation.
//! It is kept apart from the list of targets, since a target may leave the list and
//! return while the backoff lasts.

use moleroad_directory::prelude::{TargetId, TargetRecord};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum backoff that is honored, in milliseconds: one hour. A target that asks for
/// more by mistake is unusable for this daemon for no longer than that.
pub const MAX_BACKOFF_MS: u64 = 3_600_000;

/// Parses a `Retry-After` value in seconds. Returns milliseconds, rounded up and
/// limited to [`MAX_BACKOFF_MS`]. Accepts whole numbers and decimal fractions; anything
/// else, such as a negative number or a date, is `None`.
pub fn parse_retry_after_ms(seconds: &str) -> Option<u64> {
    let digits = seconds.trim();
    let is_decimal = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = digits.parse().ok().filter(|_| is_decimal)?;
    Some((seconds * 1_000.0).ceil().min(MAX_BACKOFF_MS as f64) as u64)
}

/// The target that sent an answer, as known when the request was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Responder {
    /// Address.
    pub address: SocketAddr,
    /// Identity.
    pub target: TargetId,
    /// Start time that it reported, Unix time in milliseconds; 0 if it reported none.
    pub born_ms: u64,
}

impl Responder {
    /// Returns the target that a record describes.
    pub fn of(record: &TargetRecord) -> Self {
        Self {
            address: record.address,
            target: record.id.clone(),
            born_ms: record.born_ms,
        }
    }
}

/// A backoff requested by a target.
#[derive(Clone, Debug)]
struct Backoff {
    from: Responder,
    /// Unix time of the answer by this daemon's clock, in milliseconds.
    answered_unix_ms: u64,
    until: Millis,
}

impl Backoff {
    /// Returns whether it applies to the incarnation of `target` that started at
    /// `born_ms`. An incarnation that started before the answer is the one that sent
    /// it, even if its first heartbeat arrived later: an address has one incarnation at
    /// a time. The wall clock may be wrong by seconds; then this daemon may back off
    /// from a target that has just started, or fail to back off from one that asked.
    fn applies_to(&self, target: &TargetId, born_ms: u64) -> bool {
        let is_same_target = self.from.target == *target;
        if self.from.born_ms == 0 || born_ms == 0 {
            return is_same_target;
        }
        let is_same_incarnation = is_same_target && self.from.born_ms == born_ms;
        is_same_incarnation || born_ms <= self.answered_unix_ms
    }
}

/// The targets that this daemon backs off from, by address.
#[derive(Clone, Debug, Default)]
pub struct TargetBackoffs {
    by_address: HashMap<SocketAddr, Backoff>,
}

impl TargetBackoffs {
    /// Records the backoff requested in an answer sent at `answered_unix_ms`, Unix time
    /// in milliseconds. A shorter backoff does not shorten an earlier one.
    pub fn record(&mut self, now: Millis, from: Responder, answered_unix_ms: u64, backoff_ms: u64) {
        self.by_address.retain(|_, backoff| backoff.until > now);
        let requested_until = now + backoff_ms;
        let known = self.by_address.get(&from.address);
        let known = known.filter(|backoff| backoff.applies_to(&from.target, from.born_ms));
        let until = known.map_or(requested_until, |backoff| {
            backoff.until.max(requested_until)
        });
        let backoff = Backoff {
            from,
            answered_unix_ms,
            until,
        };
        self.by_address.insert(backoff.from.address, backoff);
    }

    /// Returns until when to back off from a target; `None` if no backoff applies.
    pub fn until(&self, now: Millis, target: &Responder) -> Option<Millis> {
        let backoff = self.by_address.get(&target.address)?;
        let applies = backoff.applies_to(&target.target, target.born_ms);
        (backoff.until > now && applies).then_some(backoff.until)
    }
}
