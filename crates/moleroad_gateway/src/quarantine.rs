//! Quarantine of requests that terminate targets. A held request is not sent to any
//! target. Daemons exchange reports of terminations, each derives the holds from them,
//! and the control group persists the holds.

use crate::control_state::ControlCommand;
use crate::node::Node;
use crate::operator;
use crate::target_ends::ATTRIBUTION_MS;
use crate::view::View;
use moleroad_directory::prelude::{Cursor, TargetId};
use moleroad_quarantine::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Range of the random delay with which entries that learned of a hold from others
/// submit it to the control group, in milliseconds. The entry that found it submits it
/// as soon as it is decided, so that most of the others then need no write.
const SUBMIT_JITTER_MS: u64 = 1_000;
/// Interval between attempts to submit a hold to the control group, in milliseconds: an
/// answer may take 0.85 s.
const SUBMIT_INTERVAL_MS: u64 = 1_000;
/// Interval at which a waiting request checks whether it is still held, in
/// milliseconds: a tenth of the time in which a successful run elsewhere becomes known.
const HOLD_POLL_MS: u64 = HOLD_DECISION_MS / 10;

/// This daemon's knowledge of requests that terminate targets.
#[derive(Default)]
pub struct Quarantine {
    /// Targets that terminated, by the requests that they were running.
    pub suspects: Suspects,
    successes: RecentSuccesses,
    /// Held requests that are not yet committed by the control group, and when to
    /// submit each.
    unsubmitted_holds: HashMap<RequestFingerprint, Millis>,
    /// When the control group was last asked to try or release a request.
    last_orders: HashMap<RequestFingerprint, Millis>,
}

/// Origin of a termination report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationSource {
    /// This daemon saw the target terminate.
    Here,
    /// Another daemon reported it.
    Greeting,
}

impl Quarantine {
    /// Merges reports, and excuses requests that recently succeeded here; returns the
    /// requests that are held from now on.
    pub fn merge(
        &mut self,
        now: Millis,
        reports: Vec<TerminationReport>,
        source: TerminationSource,
    ) -> Vec<RequestFingerprint> {
        let mut held = Vec::new();
        for report in reports {
            let request = report.request;
            let outcome = self.suspects.record(now, report);
            if outcome != RecordOutcome::Unchanged && self.successes.has_succeeded(now, &request) {
                self.suspects.excuse(&request);
            } else if outcome == RecordOutcome::Held {
                self.unsubmitted_holds
                    .insert(request, now + submit_delay_ms(source));
                held.push(request);
            }
        }
        held
    }

    /// Returns whether a request recently succeeded here.
    pub fn has_recent_success(&self, now: Millis, request: &RequestFingerprint) -> bool {
        self.successes.has_succeeded(now, request)
    }

    /// Returns whether a command for a request may be sent to the control group now, at
    /// least `pause_ms` after the previous one, and records it if so.
    pub fn claim_order(&mut self, now: Millis, request: RequestFingerprint, pause_ms: u64) -> bool {
        self.last_orders.retain(|_, at| now.since(*at) < pause_ms);
        let is_due = !self.last_orders.contains_key(&request);
        if is_due {
            self.last_orders.insert(request, now);
        }
        is_due
    }

    /// Records that a request succeeded; returns true if that excuses it.
    pub fn record_success(&mut self, now: Millis, request: RequestFingerprint) -> bool {
        self.successes.note(now, request);
        self.suspects.excuse(&request)
    }
}

/// Returns the target incarnation that a report names, if it terminated so recently
/// that requests may have been on their way to it.
fn recently_terminated(report: &TerminationReport) -> Option<TargetIncarnation> {
    (report.age_ms < ATTRIBUTION_MS).then(|| report.life.clone())
}

fn submit_delay_ms(source: TerminationSource) -> u64 {
    match source {
        TerminationSource::Here => HOLD_DECISION_MS,
        TerminationSource::Greeting => HOLD_DECISION_MS + rand::random::<u64>() % SUBMIT_JITTER_MS,
    }
}

impl View {
    /// Returns the current incarnation of a target, as known here.
    pub fn incarnation_of(&self, target: &TargetId) -> TargetIncarnation {
        let observed = self.directory.target(target);
        TargetIncarnation {
            target: target.clone(),
            born_ms: observed.map_or(0, |observed| observed.record.born_ms),
        }
    }

    /// Returns the reports that changed here after `position`, and the position that they
    /// reach.
    pub fn target_ends_since(&self, now: Millis, position: u64) -> (Vec<TerminationReport>, u64) {
        self.quarantine.suspects.changes_since(now, position)
    }

    /// Returns the reports after `known`, the position that another daemon has reached;
    /// none for a daemon that requests none.
    pub fn target_ends_after(
        &self,
        now: Millis,
        known: Option<Cursor>,
    ) -> (Vec<TerminationReport>, Cursor) {
        let incarnation = self.own.incarnation;
        let Some(known) = known else {
            return (Vec::new(), Cursor::default());
        };
        let is_same_incarnation = known.incarnation == incarnation;
        let position = if is_same_incarnation {
            known.position
        } else {
            0
        };
        let (ends, position) = self.target_ends_since(now, position);
        let cursor = Cursor {
            incarnation,
            position,
        };
        (ends, cursor)
    }
}

impl Node {
    /// Returns how much longer a request is held, by terminations that daemons observed or by
    /// a committed hold, in milliseconds; `None` when it may be sent.
    pub fn hold_left_ms(&self, view: &View, request: &RequestFingerprint) -> Option<u64> {
        let (quarantine, state) = (&view.quarantine, &view.state);
        let suspects = &quarantine.suspects;
        // Both are nearly always empty, which avoids reading a clock.
        let observed = (!suspects.is_empty())
            .then(|| suspects.hold_left_ms(self.clock.now(), request))
            .flatten();
        // The committed hold may be older than a recent success here.
        let committed = (!state.holds.is_empty())
            .then(|| state.hold_left_ms(self.clock.unix_time(), request))
            .flatten()
            .filter(|_| !quarantine.has_recent_success(self.clock.now(), request));
        observed.max(committed)
    }

    /// Waits while the hold on a request is undecided, since daemons may be reporting
    /// that it succeeded, but not beyond `until`; returns whether it is held then.
    pub(crate) async fn wait_for_hold_decision(
        &self,
        request: &RequestFingerprint,
        until: Millis,
    ) -> bool {
        loop {
            let now = self.clock.now();
            let (is_held, left_ms) = {
                let view = self.view();
                let is_held = self.hold_left_ms(&view, request).is_some();
                (
                    is_held,
                    view.quarantine.suspects.decision_left_ms(now, request),
                )
            };
            let wait_ms = left_ms.min(until.since(now)).min(HOLD_POLL_MS);
            if !is_held || wait_ms == 0 {
                return is_held;
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Merges reports from another daemon. Requests that this entry gave up at the
    /// terminated targets may have terminated them as well.
    pub fn receive_target_ends(&self, reports: Vec<TerminationReport>) {
        let incarnations: BTreeSet<TargetIncarnation> =
            reports.iter().filter_map(recently_terminated).collect();
        self.merge_terminations(reports, TerminationSource::Greeting);
        for incarnation in incarnations {
            let now = self.clock.now();
            let abandoned = self.target_ends().record_termination(now, &incarnation);
            self.report_terminations(&incarnation, abandoned);
        }
    }

    /// Merges reports of targets that terminated under requests.
    pub fn merge_terminations(&self, reports: Vec<TerminationReport>, source: TerminationSource) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut view = self.view();
        for request in view.quarantine.merge(now, reports, source) {
            self.metrics.count("request_held");
            let terminated = view.quarantine.suspects.terminations_under(now, &request);
            let terminated: Vec<&str> = terminated
                .map(|incarnation| incarnation.target.as_str())
                .collect();
            log::warn!(
                event = "request_held",
                fingerprint:% = request,
                ended = terminated.join(",").as_str(),
                source:? = source;
                ""
            );
        }
        drop(view);
        self.state_changed.notify_waiters();
    }

    /// Records that a request succeeded.
    pub fn record_success(&self, request: RequestFingerprint) {
        let now = self.clock.now();
        if self.view().quarantine.record_success(now, request) {
            self.metrics.count("request_excused");
            log::info!(event = "request_excused", fingerprint:% = request; "");
            self.state_changed.notify_waiters();
        }
    }

    /// Submits holds to the control group until they are committed, so that they
    /// survive a restart of every daemon.
    pub fn submit_holds(self: &Arc<Self>) {
        for order in self.holds_to_submit() {
            let node = self.clone();
            tokio::spawn(async move {
                let request = order.request;
                let is_committed =
                    operator::commit(&node, ControlCommand::HoldRequest(order)).await;
                log::info!(event = "hold_told", fingerprint:% = request, kept = is_committed; "");
            });
        }
    }

    fn holds_to_submit(&self) -> Vec<HoldOrder> {
        let mut view = self.view();
        if view.quarantine.unsubmitted_holds.is_empty() {
            return Vec::new();
        }
        let (now, unix_time) = (self.clock.now(), self.clock.unix_time());
        let View {
            quarantine, state, ..
        } = &mut *view;
        let mut orders = Vec::new();
        let suspects = &quarantine.suspects;
        quarantine.unsubmitted_holds.retain(|request, submit_at| {
            let Some(left_ms) = suspects.hold_left_ms(now, request) else {
                return false;
            };
            let order = HoldOrder {
                request: *request,
                until: UnixMillis(unix_time.0 + left_ms),
            };
            if state.holds.includes(&order) {
                return false;
            }
            if now >= *submit_at {
                *submit_at = now + SUBMIT_INTERVAL_MS;
                orders.push(order);
            }
            true
        });
        orders
    }
}
