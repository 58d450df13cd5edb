//! Whether a target is cold, as one entry believes.
//!
//! A target that is cold takes fewer requests a second than usual. What tells
//! so comes late or not at all, so each source counts by itself: a target is
//! cold as long as any of them says so.

use crate::division::Division;
use crate::rate_bound::RateBound;
use moleroad_types::prelude::Millis;

/// What says that a target is cold, from assumed to told: of two that end at once
/// the later one is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ColdSource {
    /// It was first heard of a moment ago.
    FirstHeard,
    /// Its data hall was taken back after an evacuation.
    Restored,
    /// The target itself.
    Heartbeat,
    /// The agent beside it.
    Agent,
}

impl ColdSource {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            ColdSource::FirstHeard => "first_heard",
            ColdSource::Restored => "restored",
            ColdSource::Heartbeat => "heartbeat",
            ColdSource::Agent => "agent",
        }
    }
}

/// What is known of a target when its state is worked out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdEvidence {
    /// How long a target is cold after its start, in milliseconds.
    pub lasts_ms: u64,
    /// When it was first heard of.
    pub first_heard: Millis,
    /// When it last spoke.
    pub heard: Millis,
    /// How much longer it was cold then, in milliseconds.
    pub left_ms: u64,
    /// When its data hall was taken back, if it was.
    pub restored: Option<Millis>,
}

impl ColdEvidence {
    /// Until when the target counts as cold, and what says so.
    pub fn until(self) -> (Millis, ColdSource) {
        // Its own word that it is not cold ends what was only assumed before.
        let spoke_since = |at: Millis| self.left_ms == 0 && self.heard > at;
        let assumed = |from: Millis| {
            let is_over = spoke_since(from);
            if is_over {
                Millis(0)
            } else {
                from + self.lasts_ms
            }
        };
        let restored = self.restored.map_or(Millis(0), assumed);
        [
            (assumed(self.first_heard), ColdSource::FirstHeard),
            (restored, ColdSource::Restored),
            (self.said_until(), ColdSource::Heartbeat),
        ]
        .into_iter()
        .max()
        .unwrap_or((Millis(0), ColdSource::FirstHeard))
    }

    /// Until when the target is cold by its own word.
    pub fn said_until(self) -> Millis {
        if self.left_ms > 0 {
            self.heard + self.left_ms
        } else {
            Millis(0)
        }
    }
}

/// A bound on a target while it is cold, and until when that is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTarget {
    /// The bound.
    pub bound: RateBound,
    /// Until when it holds, by what this entry heard.
    pub until: Millis,
    /// What says so.
    pub source: ColdSource,
    /// Until when it is cold by its own word.
    pub said_until: Millis,
    /// How long a target is cold after its start, in milliseconds.
    pub lasts_ms: u64,
    /// Whether requests go there on grants of the agent beside it only.
    pub requires_grant: bool,
    /// Requests in a second that this entry may send without a grant.
    pub part: u32,
    /// From when on it may.
    pub quota_from: Millis,
}

impl ColdTarget {
    /// How much longer it is cold by what it said itself, in milliseconds: what
    /// others may rely on. What was only assumed of it, as after its data hall
    /// was taken back, ends here with its own word, and elsewhere would not.
    pub fn reported_left_ms(&self, now: Millis) -> u64 {
        self.said_until.since(now)
    }

    /// The part of `own` among `entries` that are ready; none where grants are
    /// given.
    pub fn with_quota(mut self, own: &str, entries: &[&str], target: &str) -> Self {
        if self.requires_grant {
            return self;
        }
        self.part = Division::of(self.bound).part_of(own, entries, target);
        self
    }
}

/// How a request may go to a target now, from the freest way on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Without asking.
    Unrestricted,
    /// Without asking, as a send that counts toward this entry's part.
    Quota,
    /// On a grant.
    Grant,
    /// Not now.
    Denied,
}
