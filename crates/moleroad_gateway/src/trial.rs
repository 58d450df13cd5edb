//! One more send of a request that may be held by mistake, and what a good end
//! does to its hold.

use crate::control_state::ControlCommand;
use crate::front::request::Accepted;
use crate::node::Node;
use crate::operator;
use crate::view::View;
use moleroad_quarantine::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// Time that a request must have left to be tried, in milliseconds: the control
/// group answers within 0.1 s while it has a leader, and the send needs some.
const LEAST_LEFT_MS: u64 = 500;
/// Share of a request's time for which it waits for the control group.
const ASKING_SHARE: f64 = 0.5;
/// Time after which copies of a request that is being tried come back, in
/// milliseconds, in place of the hour of its hold: most requests run for less.
const TRIAL_DECIDES_MS: u64 = 5_000;
/// Time between two orders for the same request, in milliseconds: an answer of
/// the control group may take 0.85 s. Bounds what copies of a held request cost
/// it at one entry.
const ASKS_AGAIN_MS: u64 = 1_000;

/// Whether this copy of a request is sent once although the request is held;
/// false where it is not held.
///
/// Waits for the verdict first. If the request stays held and something else may
/// have ended its targets, the control group is asked, which grants one copy of
/// all at all entries. Without a leader none is, and the request is refused at
/// once.
pub async fn is_granted(node: &Arc<Node>, request: &Accepted) -> bool {
    let is_held = node
        .wait_for_hold_decision(&request.fingerprint, request.until)
        .await;
    let left_ms = request.until.since(node.clock.now());
    if !is_held || left_ms < LEAST_LEFT_MS || !node.claims_trial(&request.fingerprint) {
        return false;
    }
    let order = TrialOrder {
        request: request.fingerprint,
        token: TrialToken(rand::random()),
        at: node.clock.unix_time(),
    };
    let limit = Duration::from_millis((left_ms as f64 * ASKING_SHARE) as u64);
    let asking = operator::request_trial(node, order);
    let is_granted = tokio::time::timeout(limit, asking).await.unwrap_or(false);
    node.metrics.count(if is_granted {
        "trial_granted"
    } else {
        "trial_refused"
    });
    log::info!(
        event = "trial_asked",
        request = request.id.to_str().unwrap_or("-"),
        fingerprint:% = request.fingerprint,
        granted = is_granted;
        ""
    );
    is_granted
}

impl Node {
    /// Whether this entry is to ask for a trial of a request now; notes that it
    /// does.
    fn claims_trial(&self, request: &RequestFingerprint) -> bool {
        let now = self.clock.now();
        let mut view = self.view();
        if view.leader.is_none() {
            return false;
        }
        let is_open = view.state.reviews.trial_at(request).is_none_or(|at| {
            let age_ms = self.clock.unix_time().0.saturating_sub(at.0);
            age_ms >= TERMINATION_TTL_MS
        });
        let has_other_explanation = view.quarantine.suspects.has_other_explanation(now, request);
        is_open
            && has_other_explanation
            && view.quarantine.claim_order(now, *request, ASKS_AGAIN_MS)
    }

    /// When a copy of a held request that comes now may come back, in
    /// milliseconds; `left_ms` is the rest of its hold. Soon while a trial decides.
    pub(crate) fn held_retry_ms(
        &self,
        view: &View,
        request: &RequestFingerprint,
        left_ms: u64,
    ) -> u64 {
        let unix_time = self.clock.unix_time();
        let decides = match view.state.reviews.trial_at(request) {
            Some(at) => unix_time.0.saturating_sub(at.0) < TRIAL_DECIDES_MS,
            None => {
                let suspects = &view.quarantine.suspects;
                suspects.has_other_explanation(self.clock.now(), request)
            }
        };
        if decides {
            left_ms.min(TRIAL_DECIDES_MS)
        } else {
            left_ms
        }
    }

    /// Tells the control group of requests that it holds and that ran to a good
    /// end here.
    pub fn submit_releases(self: &Arc<Self>) {
        for order in self.releases_to_tell() {
            let node = self.clone();
            tokio::spawn(async move {
                let request = order.request;
                let command = ControlCommand::ReleaseRequest(order);
                let is_kept = operator::commit(&node, command).await;
                log::info!(event = "release_told", fingerprint:% = request, kept = is_kept; "");
            });
        }
    }

    fn releases_to_tell(&self) -> Vec<ReleaseOrder> {
        let mut view = self.view();
        if view.state.holds.is_empty() {
            return Vec::new();
        }
        let (now, at) = (self.clock.now(), self.clock.unix_time());
        let View {
            quarantine, state, ..
        } = &mut *view;
        let held = state.holds.requests();
        let held = held.filter(|request| state.hold_left_ms(at, request).is_some());
        let mut orders = Vec::new();
        for request in held {
            if quarantine.speaks_for(now, request)
                && quarantine.claim_order(now, *request, ASKS_AGAIN_MS)
            {
                let request = *request;
                orders.push(ReleaseOrder { request, at });
            }
        }
        orders
    }
}
