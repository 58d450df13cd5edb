//! Log lines about the sends of a request.

use crate::acquire::ReservedSlot;
use crate::front::attempt::Attempts;
use crate::front::exchange::{Reply, ReplyClass, SendError};
use crate::no_place::{NoPlace, NoPlaceCause};
use moleroad_dispatch::prelude::ExclusionCounts;
use moleroad_quarantine::prelude::{Fingerprint, Suspect};
use moleroad_types::prelude::Millis;

impl Attempts {
    /// Logs why there is no slot, and the known state of the targets.
    pub(super) fn log_no_place(&self, no_place: &NoPlace) {
        match no_place.cause {
            NoPlaceCause::Busy
            | NoPlaceCause::Evacuated
            | NoPlaceCause::Resting
            | NoPlaceCause::TurnedAway => {
                self.log_no_room(no_place);
            }
            NoPlaceCause::Quarantined => self.log_quarantined(no_place),
            NoPlaceCause::DisjointRegions => {
                self.log_no_allowed_target(no_place, ExclusionCounts::default());
            }
            NoPlaceCause::EmptyRegions(tally) => self.log_no_allowed_target(no_place, tally),
        }
    }

    fn log_no_allowed_target(&self, no_place: &NoPlace, exclusions: ExclusionCounts) {
        self.node.metrics.count("no_allowed_target");
        let residency = self.node.view().residency(&self.request.residency);
        log::info!(
            event = "no_allowed_target",
            request = self.request.id.to_str().unwrap_or("-"),
            service = self.request.service.as_str(),
            regions:% = residency.allowed(),
            configuration = residency.version().0,
            accepted_under = self.request.config_version,
            candidates = no_place.candidates as u64,
            in_other_regions = exclusions.region as u64,
            evacuated = exclusions.evacuated as u64,
            tried = exclusions.tried as u64,
            unreachable = exclusions.eligible as u64,
            sends = self.sends(),
            retry_after_ms = no_place.retry_after_ms;
            ""
        );
    }

    fn log_quarantined(&self, no_place: &NoPlace) {
        self.node.metrics.count("request_quarantined");
        let view = self.node.view();
        let held = self.node.held_suspects(&view, &self.request.suspects);
        let held = held.first().map(|(suspect, _)| *suspect);
        drop(view);
        let held = held.unwrap_or(Suspect::Content(self.request.suspects.content()));
        log::info!(
            event = "request_quarantined",
            request = self.request.id.to_str().unwrap_or("-"),
            fingerprint:% = held.fingerprint(),
            part = self.prompt_part_of(&held).unwrap_or("-"),
            sends = self.sends(),
            retry_after_ms = no_place.retry_after_ms;
            ""
        );
    }

    /// Returns the identifier of a suspect that is a part of this request's prompt.
    fn prompt_part_of(&self, suspect: &Suspect) -> Option<&str> {
        suspect.account()?;
        let mut parts = self.request.prompt_parts.iter();
        let part = parts.find(|id| Fingerprint::of_prompt_part(id) == suspect.fingerprint());
        part.map(String::as_str)
    }

    fn log_no_room(&self, no_place: &NoPlace) {
        log::info!(
            event = "no_place",
            request = self.request.id.to_str().unwrap_or("-"),
            service = self.request.service.as_str(),
            cause:? = no_place.cause,
            candidates = no_place.candidates as u64,
            free_places = no_place.free_places,
            waiting = no_place.waiting as u64,
            retry_after_ms = no_place.retry_after_ms,
            prompt_tokens = self.request.prompt_tokens;
            ""
        );
    }

    /// Counts and logs a request that waits to be served after its target latency.
    pub(super) fn log_held(&self, now: Millis, until: Millis, expected_ms: Option<u64>) {
        self.node.metrics.count("held_overdue");
        log::info!(
            event = "held_overdue",
            request = self.request.id.to_str().unwrap_or("-"),
            service = self.request.service.as_str(),
            expected_ms = expected_ms.unwrap_or(0),
            held_for_ms = until.since(now);
            ""
        );
    }

    /// Counts and logs a target that stays silent while another one is looked for.
    pub(super) fn log_silent(&self, slot: &ReservedSlot) {
        self.node.metrics.count("stream_silent");
        log::info!(
            event = "target_silent",
            request = self.request.id.to_str().unwrap_or("-"),
            target:% = slot.candidate.id,
            has_event = slot.has_event(),
            elapsed_ms = self.node.clock.now().since(self.request.arrived);
            ""
        );
    }

    /// Counts a send by outcome, and logs it unless it was answered.
    pub(super) fn log_send(&self, slot: &ReservedSlot, sent: &Result<Reply, SendError>) {
        let candidate = &slot.candidate;
        let outcome = match sent {
            Ok(reply) => match reply.class {
                ReplyClass::Succeeded => "answered",
                ReplyClass::Rejected => "turned_away",
                ReplyClass::Failed => "failed",
                ReplyClass::Final => "final",
            },
            Err(SendError::Unreachable) => "unreachable",
            Err(SendError::Expired) => "lapsed",
            Err(SendError::Ineligible) => "barred",
            Err(SendError::Broken) => "broken",
            Err(SendError::TooLarge) => "too_large",
            Err(SendError::InvalidAnswer) => "spoilt",
            Err(SendError::TimedOut) => "timed_out",
        };
        self.node.metrics.sends.with_label_values(&[outcome]).inc();
        if outcome == "answered" {
            return;
        }
        let now = self.node.clock.now();
        let estimate = slot.load_estimate;
        log::info!(
            event = "send",
            request = self.request.id.to_str().unwrap_or("-"),
            target:% = candidate.id,
            outcome = outcome,
            send = self.sends() + 1,
            believed_requests = estimate.requests,
            believed_unread_tokens = estimate.unread_tokens,
            report_age_ms = estimate.report_age_ms.unwrap_or(0),
            weights = candidate.version.unwrap_or(0),
            elapsed_ms = now.since(self.request.arrived);
            ""
        );
    }
}
