//! Admission of requests to targets that may be cold or that have advertised a rate limit.

use crate::candidate::{Candidate, Requirements};
use crate::cold::Admission;
use crate::eligibility::exclusion;
use crate::limit::limit_bucket_params;
use crate::targets::Targets;
use moleroad_directory::prelude::TargetId;
use moleroad_types::prelude::Millis;

/// Added to the slowness of a cold target, where 1 is normal: prefilling its first
/// prompts takes about twice as long.
pub const COLD_SLOWNESS: f64 = 1.0;

impl Targets {
    /// Records that the target's agent considers it cold until `until`.
    pub fn agent_reported_cold(&mut self, id: &TargetId, until: Millis) {
        let load = self.loads.entry(id.clone()).or_default();
        load.agent_reported_cold(until);
    }

    /// Returns until when a target counts as cold; `None` if it is not cold.
    pub fn cold_until(&self, now: Millis, candidate: &Candidate) -> Option<Millis> {
        let cold = candidate.cold.as_deref()?;
        let until = cold.until.max(self.load(&candidate.id).cold_until());
        (until > now).then_some(until)
    }

    /// Returns on what condition a request may be sent to a target now.
    pub fn admission(&self, now: Millis, candidate: &Candidate) -> Admission {
        let while_cold = self.cold_admission(now, candidate);
        match &candidate.limit {
            Some(_) => while_cold.max(Admission::Grant),
            None => while_cold,
        }
    }

    fn cold_admission(&self, now: Millis, candidate: &Candidate) -> Admission {
        let Some(cold) = candidate.cold.as_deref() else {
            return Admission::Unrestricted;
        };
        if self.cold_until(now, candidate).is_none() {
            return Admission::Unrestricted;
        }
        if cold.requires_grant {
            // An agent unknown to this entry may be granting to other entries.
            return match candidate.agent {
                Some(_) => Admission::Grant,
                None => Admission::Denied,
            };
        }
        let sends = self.sends.get(&candidate.id);
        let has_room = sends.is_none_or(|sends| sends.has_room(now, cold.quota));
        if cold.quota > 0 && now >= cold.quota_from && has_room {
            Admission::Quota
        } else {
            Admission::Denied
        }
    }

    /// Returns whether a send to a previously chosen target may still start. Checks
    /// against the current state: the grant or quota reservation has not expired, and a
    /// target that turned cold or advertised a limit since it was chosen has one.
    pub fn may_still_send(&self, now: Millis, chosen: &Candidate) -> bool {
        // `None`: it was chosen without a grant or a quota reservation.
        let unexpired = chosen.granted_until.map(|until| now <= until);
        let Some(known) = self.candidate(&chosen.id) else {
            return false;
        };
        if unexpired == Some(false) {
            return false;
        }
        if !self.is_rate_limited(now, known) {
            return true;
        }
        if unexpired.is_none() || (known.limit.is_some() && chosen.limit.is_none()) {
            return false;
        }
        if self.cold_until(now, known).is_none() {
            return true;
        }
        let needs_agent_grant =
            |candidate: &Candidate| candidate.cold.as_deref().map(|cold| cold.requires_grant);
        // The quota is not checked again: this send already counts against it.
        let is_admitted = match known.cold.as_deref() {
            Some(cold) if !cold.requires_grant => cold.quota > 0 && now >= cold.quota_from,
            _ => self.admission(now, known) == Admission::Grant,
        };
        needs_agent_grant(chosen) == needs_agent_grant(known) && is_admitted
    }

    /// Returns whether the target's request rate is limited now, because it is cold or
    /// has advertised a limit.
    pub fn is_rate_limited(&self, now: Millis, candidate: &Candidate) -> bool {
        self.current_rate_limit(now, candidate).is_some()
    }

    /// Returns how many requests per second the target accepts now; `None` if
    /// unlimited.
    fn current_rate_limit(&self, now: Millis, candidate: &Candidate) -> Option<f64> {
        let cold = candidate.cold.as_deref();
        let cold = cold.filter(|_| self.cold_until(now, candidate).is_some());
        let while_cold = cold.map(|cold| cold.bound.requests_per_s);
        let advertised = candidate
            .limit
            .as_deref()
            .map(|limit| limit_bucket_params(limit.rate).per_s);
        [while_cold, advertised]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// Returns the average interval between sends, in milliseconds, while every
    /// eligible target is rate limited; `None` if any of them is not.
    pub fn rate_limited_interval_ms(&self, now: Millis, needs: Requirements<'_>) -> Option<f64> {
        let serving = || {
            self.candidates
                .iter()
                .filter(|c| exclusion(c, needs).is_none())
        };
        let rates = serving().map(|candidate| self.current_rate_limit(now, candidate));
        let per_s: f64 = rates.sum::<Option<f64>>()?;
        (per_s > 0.0).then_some(1_000.0 / per_s)
    }

    pub(crate) fn needs_no_grant(&self, now: Millis, candidate: &Candidate) -> bool {
        let admission = self.admission(now, candidate);
        matches!(admission, Admission::Unrestricted | Admission::Quota)
    }

    pub(crate) fn slowness(&self, now: Millis, candidate: &Candidate) -> f64 {
        let is_cold = self.cold_until(now, candidate).is_some();
        candidate.slowness + if is_cold { COLD_SLOWNESS } else { 0.0 }
    }
}
