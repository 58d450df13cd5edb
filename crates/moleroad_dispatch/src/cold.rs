//! Cold targets, as seen by one entry.
//!
//! A cold target accepts fewer requests per second than usual. Evidence that it is cold
//! arrives late or not at all, so each source counts independently: a target is cold as
//! long as any source says so.

use crate::division::Division;
use crate::rate_bound::RateBound;
use moleroad_types::prelude::Millis;

/// Evidence that a target is cold, ordered from assumed to reported. If two sources
/// expire at the same time, the later one is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ColdSource {
    /// It was discovered only recently.
    FirstHeard,
    /// Its data hall was returned to service after an evacuation.
    Restored,
    /// The target's own heartbeat.
    Heartbeat,
    /// The target's agent.
    Agent,
}

impl ColdSource {
    /// Returns its name in log events.
    pub fn name(self) -> &'static str {
        match self {
            ColdSource::FirstHeard => "first_heard",
            ColdSource::Restored => "restored",
            ColdSource::Heartbeat => "heartbeat",
            ColdSource::Agent => "agent",
        }
    }
}

/// The evidence from which a target's cold period is computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdEvidence {
    /// How long a target is cold after its start, in milliseconds.
    pub cold_duration_ms: u64,
    /// When it was discovered.
    pub first_heard: Millis,
    /// Time of its last heartbeat.
    pub last_heartbeat: Millis,
    /// Remaining cold time according to that heartbeat, in milliseconds.
    pub left_ms: u64,
    /// When its data hall was returned to service after an evacuation, if it was.
    pub restored: Option<Millis>,
}

impl ColdEvidence {
    /// Returns until when the target counts as cold, and by which source.
    pub fn until(self) -> (Millis, ColdSource) {
        // A heartbeat that says the target is not cold overrides earlier assumptions.
        let reported_warm_since = |at: Millis| self.left_ms == 0 && self.last_heartbeat > at;
        let assumed = |from: Millis| {
            let is_over = reported_warm_since(from);
            if is_over {
                Millis(0)
            } else {
                from + self.cold_duration_ms
            }
        };
        let restored = self.restored.map_or(Millis(0), assumed);
        [
            (assumed(self.first_heard), ColdSource::FirstHeard),
            (restored, ColdSource::Restored),
            (self.reported_until(), ColdSource::Heartbeat),
        ]
        .into_iter()
        .max()
        .unwrap_or((Millis(0), ColdSource::FirstHeard))
    }

    /// Returns until when the target is cold according to its own heartbeat.
    pub fn reported_until(self) -> Millis {
        if self.left_ms > 0 {
            self.last_heartbeat + self.left_ms
        } else {
            Millis(0)
        }
    }
}

/// Rate bound of a cold target, and its period of validity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTarget {
    /// The bound.
    pub bound: RateBound,
    /// Until when it applies, according to the evidence known to this entry.
    pub until: Millis,
    /// Source of that evidence.
    pub source: ColdSource,
    /// Until when it is cold according to its own heartbeat.
    pub reported_until: Millis,
    /// How long a target is cold after its start, in milliseconds.
    pub cold_duration_ms: u64,
    /// Whether each send needs a grant from the target's agent.
    pub requires_grant: bool,
    /// Requests that this entry may send without a grant in one quota window.
    pub quota: u32,
    /// From when on it may use that quota.
    pub quota_from: Millis,
}

impl ColdTarget {
    /// Returns the remaining cold time that the target itself reported, in
    /// milliseconds. Only this value is passed on to others: an assumption, such as
    /// after the end of an evacuation, is withdrawn here by the target's next
    /// heartbeat but would not be withdrawn elsewhere.
    pub fn reported_left_ms(&self, now: Millis) -> u64 {
        self.reported_until.since(now)
    }

    /// Sets the quota of the entry `own` among the ready `entries`; it stays 0 if sends
    /// need grants.
    pub fn with_quota(mut self, own: &str, entries: &[&str], target: &str) -> Self {
        if self.requires_grant {
            return self;
        }
        self.quota = Division::of(self.bound).quota_of(own, entries, target);
        self
    }
}

/// Condition on which a request may be sent to a target now, from the least to the most
/// restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// Without a grant or quota.
    Unrestricted,
    /// Without a grant, counted against this entry's quota.
    Quota,
    /// Only with a grant.
    Grant,
    /// Not at present.
    Denied,
}
