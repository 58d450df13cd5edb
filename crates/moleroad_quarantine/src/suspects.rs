//! What was running when targets terminated, as known to one daemon.
//!
//! Each termination of a target while it ran a request is one fact for the request's
//! content and one for each part of its prompt, identified by the suspect and the
//! target's incarnation. Daemons pass these facts on to each other, and the set of facts
//! only grows, so that every daemon reaches the same decision whatever the path and order
//! of the facts: a suspect is held once [`TERMINATIONS_TO_HOLD`] targets terminated under
//! it and none of these terminations is excused. A suspect that completes anywhere is
//! excused: it does not terminate *every* target, but ran beside one that does, or its
//! target terminated for another reason.
//!
//! Callers choose the identifiers of prompt parts. A part is therefore held for the
//! account whose requests terminated targets, and for all accounts only once two of them
//! did.
//!
//! [`TERMINATIONS_TO_HOLD`]: crate::terminations::TERMINATIONS_TO_HOLD

use crate::fingerprint::Fingerprint;
use crate::suspect::Suspect;
use crate::terminations::{
    DerivedHold, TERMINATION_TTL_MS, TargetIncarnation, Termination, Terminations,
};
use moleroad_types::prelude::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Time after the start of a hold in which copies of the request wait instead of being
/// refused, in milliseconds: if it completes at another entry, all know within four
/// gossip rounds of 100 ms. Without this wait, an entry refused a harmless request for
/// 20 ms in 2 of 56 fault injection runs.
pub const HOLD_DECISION_MS: u64 = 400;
/// Maximum number of suspects of each kind. A target that terminates adds those that
/// were running or waiting there; beyond the limit, the least suspect of the same kind is
/// evicted.
pub const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of reports in one message; the rest follows in the next.
pub const MAX_REPORTS_PER_MESSAGE: usize = 256;

/// Number of other targets that terminate at about the same time from which on it is
/// doubtful that the suspect is the cause.
const CORRELATED_TARGETS: usize = 2;
/// Maximum distance between terminations with a common cause, in milliseconds: a
/// failing rack or a bad engine version takes targets down within a second.
const CORRELATION_MS: u64 = 1_000;

/// A report, exchanged between daemons, that an incarnation of a target terminated
/// while running a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminationReport {
    /// What was running there.
    pub suspect: Suspect,
    /// The incarnation that terminated.
    pub life: TargetIncarnation,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
    /// Whether the suspect completed elsewhere.
    pub is_excused: bool,
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It was already known.
    Unchanged,
    /// It was new.
    Recorded,
    /// It was new, and from now on the suspect is held, or held for more accounts.
    Held,
}

/// Suspects under which targets terminated.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    terminations: HashMap<Fingerprint, Terminations>,
    position: u64,
}

impl Suspects {
    /// Returns the position of the last change; positions increase by one per change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the number of suspects under which targets terminated.
    pub fn len(&self) -> usize {
        self.terminations.len()
    }

    /// Returns whether no target terminated under any suspect.
    pub fn is_empty(&self) -> bool {
        self.terminations.is_empty()
    }

    /// Records a report that was produced here or received from another daemon.
    pub fn record(&mut self, now: Millis, report: TerminationReport) -> RecordOutcome {
        if report.age_ms >= TERMINATION_TTL_MS {
            return RecordOutcome::Unchanged;
        }
        let suspect = report.suspect;
        let held_before = self.holds_of(now, &suspect.fingerprint()).len();
        let at = Millis(now.0.saturating_sub(report.age_ms));
        if !self.insert_report(at, report) {
            return RecordOutcome::Unchanged;
        }
        self.evict_excess(now, &suspect);
        if self.holds_of(now, &suspect.fingerprint()).len() > held_before {
            RecordOutcome::Held
        } else {
            RecordOutcome::Recorded
        }
    }

    /// Excuses a suspect that completed, for all accounts; returns true if targets had
    /// terminated under it.
    pub fn excuse(&mut self, suspect: &Suspect) -> bool {
        let terminations = self.terminations.get_mut(&suspect.fingerprint());
        terminations.is_some_and(|terminations| terminations.excuse(&mut self.position))
    }

    /// Returns the holds that follow from the terminations under this fingerprint, each
    /// for one account or for all.
    pub fn holds_of(&self, now: Millis, fingerprint: &Fingerprint) -> Vec<DerivedHold> {
        let terminations = self.terminations.get(fingerprint);
        terminations.map_or_else(Vec::new, |terminations| {
            terminations.holds(now, fingerprint)
        })
    }

    /// Returns the holds that apply to a suspect.
    fn holds_on(&self, now: Millis, suspect: &Suspect) -> impl Iterator<Item = DerivedHold> {
        let holds = self.holds_of(now, &suspect.fingerprint());
        let keys: Vec<Fingerprint> = suspect.hold_keys().collect();
        holds
            .into_iter()
            .filter(move |hold| keys.contains(&hold.key))
    }

    /// Returns the remaining time of a suspect's hold, in milliseconds; `None` if it may
    /// be sent.
    pub fn hold_left_ms(&self, now: Millis, suspect: &Suspect) -> Option<u64> {
        self.holds_on(now, suspect)
            .map(|hold| hold.until.since(now))
            .max()
    }

    /// Returns for how much longer a hold is provisional, in milliseconds; 0 if it is
    /// final or the suspect is not held.
    pub fn decision_left_ms(&self, now: Millis, suspect: &Suspect) -> u64 {
        let began = self.holds_on(now, suspect).map(|hold| hold.began).min();
        began.map_or(0, |began| (began + HOLD_DECISION_MS).since(now))
    }

    /// Iterates over what is held now, for one account or for all.
    pub fn held(&self, now: Millis) -> impl Iterator<Item = Fingerprint> {
        let is_held = move |fingerprint: &&Fingerprint| !self.holds_of(now, fingerprint).is_empty();
        self.terminations.keys().filter(is_held).copied()
    }

    /// Iterates over the targets that terminated under a fingerprint and still count.
    pub fn terminations_under(
        &self,
        now: Millis,
        fingerprint: &Fingerprint,
    ) -> impl Iterator<Item = &TargetIncarnation> {
        let terminations = self.terminations.get(fingerprint);
        let lives: BTreeSet<&TargetIncarnation> = terminations
            .into_iter()
            .flat_map(|terminations| terminations.counted(now))
            .map(|((life, _), _)| life)
            .collect();
        lives.into_iter()
    }

    /// Returns whether something other than the held suspect may have terminated its
    /// targets: another held suspect was on one of them, one of them terminated together
    /// with targets that did not have it, or it never terminated one in a request of this
    /// account.
    pub fn has_other_explanation(&self, now: Millis, suspect: &Suspect) -> bool {
        let fingerprint = suspect.fingerprint();
        let Some(terminations) = self.terminations.get(&fingerprint) else {
            return false;
        };
        terminations.times(now, Some(suspect.account())).is_empty()
            || self.shares_target_with_held(now, &fingerprint)
            || terminations.counted(now).any(|(_, termination)| {
                self.others_near(termination.at, terminations) >= CORRELATED_TARGETS
            })
    }

    fn shares_target_with_held(&self, now: Millis, fingerprint: &Fingerprint) -> bool {
        let lives: BTreeSet<&TargetIncarnation> =
            self.terminations_under(now, fingerprint).collect();
        self.held(now)
            .filter(|held| held != fingerprint)
            .any(|held| {
                self.terminations_under(now, &held)
                    .any(|life| lives.contains(life))
            })
    }

    /// Number of targets that terminated at about the same time, without those in
    /// `terminations`.
    fn others_near(&self, at: Millis, terminations: &Terminations) -> usize {
        let own: BTreeSet<&TargetIncarnation> = terminations.lives().collect();
        let is_near = |termination: &Termination| termination.at.0.abs_diff(at.0) < CORRELATION_MS;
        let all = self.terminations.values().flat_map(Terminations::iter);
        let nearby = all.filter(|(_, termination)| is_near(termination));
        let others: BTreeSet<&TargetIncarnation> = nearby
            .map(|((life, _), _)| life)
            .filter(|life| !own.contains(life))
            .collect();
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
            .flat_map(|(fingerprint, terminations)| {
                terminations
                    .iter()
                    .map(move |(key, termination)| (fingerprint, key, termination))
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
            .map(
                |(fingerprint, (life, account), termination)| TerminationReport {
                    suspect: account.map_or(Suspect::Content(*fingerprint), |account| {
                        Suspect::PromptPart(*fingerprint, account)
                    }),
                    life: life.clone(),
                    age_ms: now.since(termination.at),
                    is_excused: termination.is_excused,
                },
            );
        (reports.collect(), reached)
    }

    /// Drops terminations that no longer count.
    pub fn expire(&mut self, now: Millis) {
        self.terminations.retain(|_, terminations| {
            terminations.expire(now);
            !terminations.is_empty()
        });
    }

    /// Inserts a report; returns true if it is new.
    fn insert_report(&mut self, at: Millis, report: TerminationReport) -> bool {
        let next = self.position + 1;
        let suspect = report.suspect;
        let terminations = self.terminations.entry(suspect.fingerprint());
        let terminations = terminations.or_default();
        let key = (report.life, suspect.account());
        let termination = Termination {
            at,
            is_excused: report.is_excused,
            changed: next,
        };
        let is_new = terminations.insert(key, termination);
        if is_new {
            self.position = next;
        }
        is_new
    }

    fn evict_excess(&mut self, now: Millis, newest: &Suspect) {
        if let Some(terminations) = self.terminations.get_mut(&newest.fingerprint()) {
            terminations.evict_excess();
        }
        if self.terminations.len() > MAX_SUSPECTS
            && let Some(least) = self.least_suspect(now, newest.account().is_some())
        {
            self.terminations.remove(&least);
        }
    }

    /// Returns the suspect to evict among the parts of prompts or the contents, if there
    /// are more than [`MAX_SUSPECTS`] of them: the one with the fewest counted
    /// terminations, and of those the one whose latest termination is the oldest.
    fn least_suspect(&self, now: Millis, are_parts: bool) -> Option<Fingerprint> {
        let same_kind = || {
            let all = self.terminations.iter();
            all.filter(move |(_, terminations)| terminations.are_of_prompt_part() == are_parts)
        };
        if same_kind().count() <= MAX_SUSPECTS {
            return None;
        }
        let rank = |(fingerprint, terminations): &(&Fingerprint, &Terminations)| {
            let all = terminations.iter();
            let newest = all.map(|(_, termination)| termination.at).max();
            (terminations.counted(now).count(), newest, **fingerprint)
        };
        let least = same_kind().min_by_key(rank);
        least.map(|(fingerprint, _)| *fingerprint)
    }
}
