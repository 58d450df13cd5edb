//! What one entry knows of a target's load and health.

use moleroad_types::prelude::*;

/// How a request ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The answer came whole.
    Answered,
    /// The target could not be reached, or broke off.
    Failed,
    /// The target or its agent refused the request before running it.
    Refused,
}

/// Load and health of one target, seen from one entry.
///
/// It lives as long as the target's incarnation: a process that restarts at
/// the same address starts with a fresh one.
#[derive(Clone, Debug)]
pub struct TargetLoad {
    /// Work that this entry has in flight there, in tokens.
    own_work: u64,
    /// The part of the reported work that was other entries'.
    others_at_report: u64,
    reported_at: Millis,
    /// Failures in a row.
    failures: u32,
    /// Until when the target gets no requests after failures.
    ejected_until: Millis,
    /// When the target appeared, for its slow start.
    since: Millis,
    /// Answers so far.
    answered: u64,
}

/// Failures in a row after which a target is left out for a while.
const FAILURES_TO_EJECT: u32 = 2;
/// First such while; it doubles with each further failure.
const FIRST_EJECTION_MS: u64 = 500;
/// Longest such while.
const LONGEST_EJECTION_MS: u64 = 30_000;
/// Work that a target without an answer yet is taken to have besides its own,
/// so that a new target is not flooded before it has shown that it works.
const UNPROVEN_WORK: u64 = 64;

impl TargetLoad {
    /// A target that just appeared.
    pub fn new(now: Millis) -> Self {
        Self {
            own_work: 0,
            others_at_report: 0,
            reported_at: now,
            failures: 0,
            ejected_until: Millis(0),
            since: now,
            answered: 0,
        }
    }

    /// Counts a request of `work` tokens as in flight.
    pub fn started(&mut self, work: u64) {
        self.own_work += work;
    }

    /// Takes a request of `work` tokens off.
    pub fn finished(&mut self, now: Millis, work: u64, finish: Finish) {
        self.own_work = self.own_work.saturating_sub(work);
        match finish {
            Finish::Answered => {
                self.failures = 0;
                self.answered += 1;
            }
            Finish::Failed => self.note_failure(now),
            Finish::Refused => {}
        }
    }

    fn note_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_EJECT).min(16);
        let while_ms = (FIRST_EJECTION_MS << doublings).min(LONGEST_EJECTION_MS);
        self.ejected_until = now + while_ms;
    }

    /// Takes the work that the target reports with an answer.
    pub fn reported(&mut self, now: Millis, work: u64) {
        self.others_at_report = work.saturating_sub(self.own_work);
        self.reported_at = now;
    }

    /// Whether the target is left out because it failed.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Work expected ahead of a new request, in tokens: what others had there
    /// when the target last reported, and what this entry has there now.
    ///
    /// The others' part fades over `fade_ms`, the usual time of a request:
    /// kept up, it would keep this entry from a target that is long idle and
    /// from which it would therefore never hear better.
    pub fn expected_work(&self, now: Millis, slow_start_ms: u64, fade_ms: u64) -> u64 {
        let age_ms = now.since(self.reported_at).min(fade_ms);
        let others = self.others_at_report * (fade_ms - age_ms) / fade_ms.max(1);
        let unproven = if self.answered == 0 {
            UNPROVEN_WORK.min(self.own_work * 2)
        } else {
            0
        };
        let work = others + self.own_work + unproven;
        let age_ms = now.since(self.since);
        if age_ms >= slow_start_ms {
            return work;
        }
        // A new replica counts as up to four times as loaded as it is.
        work + work * 3 * (slow_start_ms - age_ms) / slow_start_ms
    }

    /// Work that this entry has in flight there.
    pub fn own_work(&self) -> u64 {
        self.own_work
    }
}
