//! Requests under which targets terminated, as known to one daemon.
//!
//! Each termination of a target while it ran a request is one fact, identified by the
//! request's fingerprint and the target's incarnation. Daemons pass these facts on to
//! each other, and the set of facts only grows, so that every daemon reaches the same
//! decision whatever the path and order of the facts: a request is held once
//! [`TERMINATIONS_TO_HOLD`] targets terminated under it and none of these terminations
//! is excused. A request that completes anywhere is excused: it does not terminate
//! *every* target, but ran beside one that does, or its target terminated for another
//! reason.

use crate::fingerprint::RequestFingerprint;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Number of targets that terminate under a request before it is held. A request may
/// run beside the cause once or twice by chance; the platform allows three
/// terminations.
pub const TERMINATIONS_TO_HOLD: usize = 3;
/// How long a termination counts, in milliseconds. An engine that a request terminates
/// is out of service for about 5 s, so that a request that is tried again every hour
/// costs 4 in 1,000 of the service time.
pub const TERMINATION_TTL_MS: u64 = 3_600_000;
/// Time after the start of a hold in which copies of the request wait instead of being
/// refused, in milliseconds: if it completes at another entry, all know within four
/// gossip rounds of 100 ms. Without this wait, an entry refused a harmless request for
/// 20 ms in 2 of 56 fault injection runs.
pub const HOLD_DECISION_MS: u64 = 400;
/// Maximum number of suspect requests. A target that terminates adds those that were
/// running or waiting there; beyond the limit, the least suspect is evicted.
pub const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of terminations stored per request: enough to hold it, and one more.
pub const MAX_TERMINATIONS: usize = TERMINATIONS_TO_HOLD + 1;
/// Maximum number of reports in one message; the rest follows in the next.
pub const MAX_REPORTS_PER_MESSAGE: usize = 256;

/// Number of other targets that terminate at about the same time from which on it is
/// doubtful that the request is the cause.
const CORRELATED_TARGETS: usize = 2;
/// Maximum distance between terminations with a common cause, in milliseconds: a
/// failing rack or a bad engine version takes targets down within a second.
const CORRELATION_MS: u64 = 1_000;

/// One incarnation of a target: its identity and start time, since a target may restart
/// under the same identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The target.
    pub target: TargetId,
    /// Start time that it reported, Unix time in milliseconds; 0 if it reported none.
    pub born_ms: u64,
}

/// A report, exchanged between daemons, that an incarnation of a target terminated
/// while running a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The incarnation that terminated.
    pub life: TargetIncarnation,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
    /// Whether the request completed elsewhere.
    pub is_excused: bool,
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It was already known.
    Unchanged,
    /// It was new.
    Recorded,
    /// It was new, and from now on the request is held.
    Held,
}

#[derive(Clone, Debug)]
struct Termination {
    at: Millis,
    is_excused: bool,
    /// Position of its last change.
    changed: u64,
}

impl Termination {
    fn counts(&self, now: Millis) -> bool {
        !self.is_excused && now.since(self.at) < TERMINATION_TTL_MS
    }
}

type Terminations = BTreeMap<TargetIncarnation, Termination>;

/// Requests under which targets terminated.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    terminations: HashMap<RequestFingerprint, Terminations>,
    position: u64,
}

impl Suspects {
    /// Returns the position of the last change; positions increase by one per change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the number of requests under which targets terminated.
    pub fn len(&self) -> usize {
        self.terminations.len()
    }

    /// Returns whether no target terminated under any request.
    pub fn is_empty(&self) -> bool {
        self.terminations.is_empty()
    }

    /// Records a report that was produced here or received from another daemon.
    pub fn record(&mut self, now: Millis, report: TerminationReport) -> RecordOutcome {
        if report.age_ms >= TERMINATION_TTL_MS {
            return RecordOutcome::Unchanged;
        }
        let request = report.request;
        let was_held = self.hold_left_ms(now, &request).is_some();
        let at = Millis(now.0.saturating_sub(report.age_ms));
        if !self.insert_report(at, report) {
            return RecordOutcome::Unchanged;
        }
        self.evict_excess(now, &request);
        let is_held = self.hold_left_ms(now, &request).is_some();
        if is_held && !was_held {
            RecordOutcome::Held
        } else {
            RecordOutcome::Recorded
        }
    }

    /// Excuses a request that completed; returns true if targets had terminated under
    /// it.
    pub fn excuse(&mut self, request: &RequestFingerprint) -> bool {
        let Some(terminations) = self.terminations.get_mut(request) else {
            return false;
        };
        let unexcused = terminations
            .values_mut()
            .filter(|termination| !termination.is_excused);
        let mut changed = false;
        for termination in unexcused {
            self.position += 1;
            termination.is_excused = true;
            termination.changed = self.position;
            changed = true;
        }
        changed
    }

    /// Returns the remaining time of a request's hold, in milliseconds; `None` if it
    /// may be sent.
    pub fn hold_left_ms(&self, now: Millis, request: &RequestFingerprint) -> Option<u64> {
        let terminations = self.terminations.get(request)?;
        let mut counted: Vec<Millis> = counted(terminations, now)
            .map(|termination| termination.at)
            .collect();
        counted.sort();
        // The hold lasts until so many terminations have expired that too few are left.
        let last = counted.len().checked_sub(TERMINATIONS_TO_HOLD)?;
        Some((counted[last] + TERMINATION_TTL_MS).since(now))
    }

    /// Returns for how much longer a hold is provisional, in milliseconds; 0 if it is
    /// final or the request is not held.
    pub fn decision_left_ms(&self, now: Millis, request: &RequestFingerprint) -> u64 {
        let Some(terminations) = self.terminations.get(request) else {
            return 0;
        };
        let mut counted: Vec<Millis> = counted(terminations, now)
            .map(|termination| termination.at)
            .collect();
        counted.sort();
        let began = counted.get(TERMINATIONS_TO_HOLD - 1);
        began.map_or(0, |began| (*began + HOLD_DECISION_MS).since(now))
    }

    /// Iterates over the requests that are held now.
    pub fn held(&self, now: Millis) -> impl Iterator<Item = RequestFingerprint> {
        let is_held =
            move |request: &&RequestFingerprint| self.hold_left_ms(now, request).is_some();
        self.terminations.keys().filter(is_held).copied()
    }

    /// Iterates over the targets that terminated under a request and still count.
    pub fn terminations_under(
        &self,
        now: Millis,
        request: &RequestFingerprint,
    ) -> impl Iterator<Item = &TargetIncarnation> {
        let terminations = self.terminations.get(request).into_iter().flatten();
        terminations
            .filter(move |(_, termination)| termination.counts(now))
            .map(|(life, _)| life)
    }

    /// Returns whether something other than the held request may have terminated its
    /// targets: another held request was on one of them, or one of them terminated
    /// together with targets that did not have the request.
    pub fn has_other_explanation(&self, now: Millis, request: &RequestFingerprint) -> bool {
        let Some(terminations) = self.terminations.get(request) else {
            return false;
        };
        let mut counted = terminations
            .iter()
            .filter(|(_, termination)| termination.counts(now));
        self.shares_target_with_held(now, request)
            || counted.any(|(_, termination)| {
                self.others_near(termination.at, terminations) >= CORRELATED_TARGETS
            })
    }

    fn shares_target_with_held(&self, now: Millis, request: &RequestFingerprint) -> bool {
        let lives: BTreeSet<&TargetIncarnation> = self.terminations_under(now, request).collect();
        self.held(now).filter(|held| held != request).any(|held| {
            self.terminations_under(now, &held)
                .any(|life| lives.contains(life))
        })
    }

    /// Number of targets that terminated at about the same time, without those in
    /// `terminations`.
    fn others_near(&self, at: Millis, terminations: &Terminations) -> usize {
        let is_near = |termination: &Termination| termination.at.0.abs_diff(at.0) < CORRELATION_MS;
        let all = self.terminations.values().flatten();
        let nearby = all
            .filter(|(life, termination)| is_near(termination) && !terminations.contains_key(life));
        let others: BTreeSet<&TargetIncarnation> = nearby.map(|(life, _)| life).collect();
        others.len()
    }

    /// Returns the changes after `position`, oldest first, and the position up to which
    /// they are complete.
    pub fn changes_since(&self, now: Millis, position: u64) -> (Vec<TerminationReport>, u64) {
        if position >= self.position {
            return (Vec::new(), self.position);
        }
        let all = self
            .terminations
            .iter()
            .flat_map(|(request, terminations)| {
                terminations
                    .iter()
                    .map(move |(life, termination)| (request, life, termination))
            });
        let mut changed: Vec<_> = all
            .filter(|(_, _, termination)| termination.changed > position)
            .collect();
        changed.sort_by_key(|(_, _, termination)| termination.changed);
        let is_all = changed.len() <= MAX_REPORTS_PER_MESSAGE;
        changed.truncate(MAX_REPORTS_PER_MESSAGE);
        let reached = match changed.last() {
            Some((_, _, termination)) if !is_all => termination.changed,
            _ => self.position,
        };
        let reports = changed
            .into_iter()
            .map(|(request, life, termination)| TerminationReport {
                request: *request,
                life: life.clone(),
                age_ms: now.since(termination.at),
                is_excused: termination.is_excused,
            });
        (reports.collect(), reached)
    }

    /// Drops terminations that no longer count.
    pub fn expire(&mut self, now: Millis) {
        self.terminations.retain(|_, terminations| {
            terminations.retain(|_, termination| now.since(termination.at) < TERMINATION_TTL_MS);
            !terminations.is_empty()
        });
    }

    /// Inserts a report; returns true if it is new.
    fn insert_report(&mut self, at: Millis, report: TerminationReport) -> bool {
        let next = self.position + 1;
        let terminations = self.terminations.entry(report.request).or_default();
        match terminations.get_mut(&report.life) {
            Some(known) if known.is_excused || !report.is_excused => return false,
            Some(known) => {
                known.is_excused = true;
                known.changed = next;
            }
            None => {
                let termination = Termination {
                    at,
                    is_excused: report.is_excused,
                    changed: next,
                };
                terminations.insert(report.life, termination);
            }
        }
        self.position = next;
        true
    }

    fn evict_excess(&mut self, now: Millis, newest: &RequestFingerprint) {
        if let Some(terminations) = self.terminations.get_mut(newest)
            && terminations.len() > MAX_TERMINATIONS
            && let Some(least) = least_relevant(terminations)
        {
            terminations.remove(&least);
        }
        if self.terminations.len() > MAX_SUSPECTS
            && let Some(least) = self.least_suspect(now)
        {
            self.terminations.remove(&least);
        }
    }

    /// Returns the request with the fewest counted terminations, and of those the one
    /// whose latest termination is the oldest.
    fn least_suspect(&self, now: Millis) -> Option<RequestFingerprint> {
        let rank = |(request, terminations): &(&RequestFingerprint, &Terminations)| {
            let newest = terminations
                .values()
                .map(|termination| termination.at)
                .max();
            (counted(terminations, now).count(), newest, **request)
        };
        let least = self.terminations.iter().min_by_key(rank);
        least.map(|(request, _)| *request)
    }
}

fn counted(terminations: &Terminations, now: Millis) -> impl Iterator<Item = &Termination> {
    terminations
        .values()
        .filter(move |termination| termination.counts(now))
}

/// Returns the least relevant termination: an excused one, else the oldest.
fn least_relevant(terminations: &Terminations) -> Option<TargetIncarnation> {
    let rank = |(_, termination): &(&TargetIncarnation, &Termination)| {
        (!termination.is_excused, termination.at)
    };
    let least = terminations.iter().min_by_key(rank);
    least.map(|(life, _)| life.clone())
}
