//! Trials of what is held: one more send of a request that carries something that may be
//! held by mistake, and the release of the hold if it succeeds.

use crate::control_state::ControlCommand;
use crate::front::request::AcceptedRequest;
use crate::node::Node;
use crate::operator;
use crate::view::View;
use moleroad_quarantine::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time that a request must have left for a trial, in milliseconds: the
/// control group answers within 0.1 s while it has a leader, and the send takes some
/// time as well.
const MIN_TIME_LEFT_MS: u64 = 500;
/// Fraction of the remaining time of a request that it waits for the control group.
const CONTROL_WAIT_FRACTION: f64 = 0.5;
/// Retry delay of copies of a request while its trial runs, in milliseconds, instead of
/// the hour of its hold: most requests run for less.
const TRIAL_RETRY_MS: u64 = 5_000;
/// Interval between orders for the same request, in milliseconds: an answer of the
/// control group may take 0.85 s. Limits the load on it from copies of a held request
/// at one entry.
const ORDER_INTERVAL_MS: u64 = 1_000;

/// Returns whether this copy of a held request is sent as a trial; false when the
/// request is not held.
///
/// Waits for the hold to be decided first. If the request stays held and its targets
/// may have terminated for another reason, asks the control group, which grants a trial
/// to a single request across all entries. A request that carries more than one held
/// suspect proves nothing and is not tried. Without a leader no trial is granted, and the
/// request is refused immediately.
pub async fn obtain(node: &Arc<Node>, request: &AcceptedRequest) -> bool {
    let is_held = node
        .wait_for_hold_decision(&request.suspects, request.until)
        .await;
    let left_ms = request.until.since(node.clock.now());
    if !is_held || left_ms < MIN_TIME_LEFT_MS {
        return false;
    }
    let Some(suspect) = node.claim_trial(&request.suspects) else {
        return false;
    };
    let order = TrialOrder {
        suspect: suspect.fingerprint(),
        token: TrialToken(rand::random()),
        at: node.clock.unix_time(),
    };
    let limit = Duration::from_millis((left_ms as f64 * CONTROL_WAIT_FRACTION) as u64);
    let answer = operator::request_trial(node, order);
    let is_granted = tokio::time::timeout(limit, answer).await.unwrap_or(false);
    node.metrics.count(if is_granted {
        "trial_granted"
    } else {
        "trial_refused"
    });
    log::info!(
        event = "trial_asked",
        request = request.id.to_str().unwrap_or("-"),
        fingerprint:% = suspect.fingerprint(),
        kind = suspect.kind(),
        granted = is_granted;
        ""
    );
    is_granted
}

impl Node {
    /// Returns the suspect of a request that this entry may ask to try now, and records the
    /// order if there is one.
    fn claim_trial(&self, request: &RequestSuspects) -> Option<Suspect> {
        let now = self.clock.now();
        let mut view = self.view();
        view.leader.as_ref()?;
        let suspect = self.only_held_suspect(&view, request)?;
        let fingerprint = suspect.fingerprint();
        let may_be_tried = view.state.reviews.trial_at(&fingerprint).is_none_or(|at| {
            let age_ms = self.clock.unix_time().0.saturating_sub(at.0);
            age_ms >= TERMINATION_TTL_MS
        });
        let quarantine = &mut view.quarantine;
        let is_claimed = may_be_tried
            && quarantine.suspects.has_other_explanation(now, &suspect)
            && quarantine.claim_order(now, fingerprint, ORDER_INTERVAL_MS);
        is_claimed.then_some(suspect)
    }

    fn only_held_suspect(&self, view: &View, request: &RequestSuspects) -> Option<Suspect> {
        match self.held_suspects(view, request)[..] {
            [(suspect, _)] => Some(suspect),
            _ => None,
        }
    }

    /// Returns the retry delay of a held request, in milliseconds; `left_ms` is the
    /// remaining time of its hold. The delay is short while a trial is pending or
    /// running.
    pub(crate) fn held_retry_ms(
        &self,
        view: &View,
        request: &RequestSuspects,
        left_ms: u64,
    ) -> u64 {
        let Some(suspect) = self.only_held_suspect(view, request) else {
            return left_ms;
        };
        let unix_time = self.clock.unix_time();
        let is_undecided = match view.state.reviews.trial_at(&suspect.fingerprint()) {
            Some(at) => unix_time.0.saturating_sub(at.0) < TRIAL_RETRY_MS,
            None => {
                let suspects = &view.quarantine.suspects;
                suspects.has_other_explanation(self.clock.now(), &suspect)
            }
        };
        if is_undecided {
            left_ms.min(TRIAL_RETRY_MS)
        } else {
            left_ms
        }
    }

    /// Submits the release of what is held and succeeded here to the control group.
    pub fn submit_releases(self: &Arc<Self>) {
        for order in self.releases_to_submit() {
            let node = self.clone();
            tokio::spawn(async move {
                let key = order.key;
                let command = ControlCommand::ReleaseRequest(order);
                let is_committed = operator::commit(&node, command).await;
                log::info!(event = "release_told", fingerprint:% = key, kept = is_committed; "");
            });
        }
    }

    fn releases_to_submit(&self) -> Vec<ReleaseOrder> {
        let mut view = self.view();
        if view.state.holds.is_empty() {
            return Vec::new();
        }
        let (now, at) = (self.clock.now(), self.clock.unix_time());
        let View {
            quarantine, state, ..
        } = &mut *view;
        let held = state.holds.keys();
        let held = held.filter(|key| state.hold_left_ms(at, key).is_some());
        let mut orders = Vec::new();
        for key in held {
            if quarantine.has_succeeded_under(now, key)
                && quarantine.claim_order(now, *key, ORDER_INTERVAL_MS)
            {
                orders.push(ReleaseOrder { key: *key, at });
            }
        }
        orders
    }
}
