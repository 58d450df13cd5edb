//! Targets that asked this daemon for rest: they turned a request away and said
//! for how long they want nothing more from it.
//!
//! The wish is between one daemon and one life of a target. Other daemons are not
//! bound by it, a daemon that begins anew knows nothing of it, and it ends with the
//! life of the target. It is kept apart from the list of targets, since a target
//! may leave the list and come back within its rest.

use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::Millis;
use std::collections::HashMap;

/// Longest rest that is kept, in milliseconds: an hour. A target that asks for
/// more by mistake is lost to this daemon for no longer than that.
pub const LONGEST_REST_MS: u64 = 3_600_000;

/// Reads a rest that is given in seconds; returns milliseconds, rounded up and
/// at most [`LONGEST_REST_MS`]. Whole numbers and decimal fractions are taken;
/// anything else, also a negative number or a date, is `None`.
pub fn read_rest_ms(seconds: &str) -> Option<u64> {
    let digits = seconds.trim();
    let is_decimal = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = digits.parse().ok().filter(|_| is_decimal)?;
    Some((seconds * 1_000.0).ceil().min(LONGEST_REST_MS as f64) as u64)
}

/// A life of a target, as far as it is known when the target answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answering<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// Unix time of its start as it said, in milliseconds; 0 when it did not.
    pub born_ms: u64,
    /// Unix time of the answer by this daemon's clock, in milliseconds.
    pub answered_unix_ms: u64,
}

/// One wish for rest.
#[derive(Clone, Copy, Debug)]
struct Rest {
    born_ms: u64,
    answered_unix_ms: u64,
    until: Millis,
}

impl Rest {
    /// Whether the life that asked for it is the one that began at `born_ms`. A
    /// target that began again may answer before its heartbeat says so: what
    /// was answered after that start is the new life's wish.
    fn is_of(&self, born_ms: u64) -> bool {
        let is_known = self.born_ms != 0 && born_ms != 0;
        !is_known || self.born_ms == born_ms || born_ms <= self.answered_unix_ms
    }
}

/// The targets that rest from this daemon.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    by_target: HashMap<TargetId, Rest>,
}

impl Rests {
    /// Takes a wish for rest; returns until when the target rests. A shorter wish
    /// takes nothing from one that was made before.
    pub fn ask(&mut self, now: Millis, answering: &Answering<'_>, rest_ms: u64) -> Millis {
        self.by_target.retain(|_, rest| rest.until > now);
        let known = self.by_target.get(answering.target);
        let known = known.filter(|rest| rest.is_of(answering.born_ms));
        let asked_until = now + rest_ms;
        let until = known.map_or(asked_until, |rest| rest.until.max(asked_until));
        let rest = Rest {
            born_ms: answering.born_ms,
            answered_unix_ms: answering.answered_unix_ms,
            until,
        };
        self.by_target.insert(answering.target.clone(), rest);
        until
    }

    /// Until when the life of a target that began at `born_ms` rests; `None` when it
    /// does not.
    pub fn until(&self, now: Millis, target: &TargetId, born_ms: u64) -> Option<Millis> {
        let rest = self.by_target.get(target)?;
        (rest.until > now && rest.is_of(born_ms)).then_some(rest.until)
    }
}
