//! Quarantine of requests that terminate targets. A request that carries something held,
//! its content or a part of its prompt, is not sent to any target. Daemons exchange
//! reports of terminations, each derives the holds from them, and the control group
//! persists the holds.

use crate::control_state::{ControlCommand, ControlState};
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

/// This daemon's knowledge of what terminates targets.
#[derive(Default)]
pub struct Quarantine {
    /// Targets that terminated, by what they were running.
    pub suspects: Suspects,
    /// Contents that completed.
    successes: RecentSuccesses,
    /// Parts of prompts that targets answered, for all accounts and for each. They are
    /// kept apart, so that no number of different contents displaces them.
    sound_parts: RecentSuccesses,
    /// What is held and not yet committed by the control group, and when to submit each.
    unsubmitted_holds: HashMap<Fingerprint, Millis>,
    /// When the control group was last asked to try or release something.
    last_orders: HashMap<Fingerprint, Millis>,
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
    /// Merges reports, and excuses what recently succeeded here; returns what is held from
    /// now on, or held for more accounts.
    pub fn merge(
        &mut self,
        now: Millis,
        reports: Vec<TerminationReport>,
        source: TerminationSource,
    ) -> Vec<Suspect> {
        let mut held = Vec::new();
        for report in reports {
            let suspect = report.suspect;
            let outcome = self.suspects.record(now, report);
            if outcome != RecordOutcome::Unchanged && self.has_recent_success(now, &suspect) {
                self.suspects.excuse(&suspect);
            } else if outcome == RecordOutcome::Held {
                self.unsubmitted_holds
                    .insert(suspect.fingerprint(), now + submit_delay_ms(source));
                held.push(suspect);
            }
        }
        held
    }

    /// Returns whether a suspect recently succeeded here, in a request of any account.
    pub fn has_recent_success(&self, now: Millis, suspect: &Suspect) -> bool {
        let successes = match suspect {
            Suspect::Content(_) => &self.successes,
            Suspect::PromptPart(..) => &self.sound_parts,
        };
        successes.has_succeeded(now, &suspect.fingerprint())
    }

    /// Returns whether a suspect is a part of a prompt that a target recently answered.
    /// Its terminations are not worth reporting.
    pub fn is_sound_part(&self, now: Millis, suspect: &Suspect) -> bool {
        suspect.account().is_some() && self.has_recent_success(now, suspect)
    }

    /// Returns whether what is held under a key recently succeeded here.
    pub(crate) fn has_succeeded_under(&self, now: Millis, key: &Fingerprint) -> bool {
        self.successes.has_succeeded(now, key) || self.sound_parts.has_succeeded(now, key)
    }

    /// Returns whether a command for a suspect may be sent to the control group now, at
    /// least `pause_ms` after the previous one, and records it if so.
    pub fn claim_order(&mut self, now: Millis, suspect: Fingerprint, pause_ms: u64) -> bool {
        self.last_orders.retain(|_, at| now.since(*at) < pause_ms);
        let is_due = !self.last_orders.contains_key(&suspect);
        if is_due {
            self.last_orders.insert(suspect, now);
        }
        is_due
    }

    /// Records that a request succeeded; returns what that excuses.
    pub fn record_success(&mut self, now: Millis, request: &RequestSuspects) -> Vec<Suspect> {
        self.successes.note(now, request.content());
        let content = Suspect::Content(request.content());
        let is_excused = self.suspects.excuse(&content);
        let mut excused = self.record_sound_parts(now, request);
        excused.extend(is_excused.then_some(content));
        excused
    }

    /// Records that a target answered a request, so that no part of its prompt terminates
    /// targets; returns what that excuses.
    pub fn record_sound_parts(&mut self, now: Millis, request: &RequestSuspects) -> Vec<Suspect> {
        let mut excused = Vec::new();
        for part in request.prompt_parts() {
            for key in part.hold_keys() {
                self.sound_parts.note(now, key);
            }
            if self.suspects.excuse(&part) {
                excused.push(part);
            }
        }
        excused
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
    /// Returns how much longer a request is held, in milliseconds; `None` when it may be
    /// sent.
    pub fn hold_left_ms(&self, view: &View, request: &RequestSuspects) -> Option<u64> {
        let held = self.held_suspects(view, request);
        held.into_iter().map(|(_, left_ms)| left_ms).max()
    }

    /// Returns what a request carries that is held, by terminations that daemons observed
    /// or by a committed hold, and for how much longer, in milliseconds.
    pub fn held_suspects(&self, view: &View, request: &RequestSuspects) -> Vec<(Suspect, u64)> {
        // Both are nearly always empty, which avoids reading a clock.
        if view.quarantine.suspects.is_empty() && view.state.holds.is_empty() {
            return Vec::new();
        }
        let (now, unix_time) = (self.clock.now(), self.clock.unix_time());
        let held = request.iter().filter_map(|suspect| {
            let left_ms = suspect_left_ms(view, now, unix_time, &suspect)?;
            Some((suspect, left_ms))
        });
        held.collect()
    }

    /// Waits while the hold on a request is undecided, since daemons may be reporting
    /// that what is held succeeded, but not beyond `until`; returns whether it is held
    /// then.
    pub(crate) async fn wait_for_hold_decision(
        &self,
        request: &RequestSuspects,
        until: Millis,
    ) -> bool {
        loop {
            let now = self.clock.now();
            let (is_held, left_ms) = {
                let view = self.view();
                let suspects = &view.quarantine.suspects;
                let held = self.held_suspects(&view, request);
                let undecided = held
                    .iter()
                    .map(|(suspect, _)| suspects.decision_left_ms(now, suspect));
                (!held.is_empty(), undecided.max().unwrap_or(0))
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
        for suspect in view.quarantine.merge(now, reports, source) {
            self.metrics.count("request_held");
            let fingerprint = suspect.fingerprint();
            let terminated = view
                .quarantine
                .suspects
                .terminations_under(now, &fingerprint);
            let terminated: Vec<&str> = terminated
                .map(|incarnation| incarnation.target.as_str())
                .collect();
            let holds = view.quarantine.suspects.holds_of(now, &fingerprint);
            let keys: Vec<String> = holds.iter().map(|hold| hold.key.to_string()).collect();
            log::warn!(
                event = "request_held",
                fingerprint:% = fingerprint,
                kind = suspect.kind(),
                keys = keys.join(",").as_str(),
                ended = terminated.join(",").as_str(),
                source:? = source;
                ""
            );
        }
        drop(view);
        self.state_changed.notify_waiters();
    }

    /// Records that a request succeeded.
    pub fn record_success(&self, request: &RequestSuspects) {
        let now = self.clock.now();
        let excused = self.view().quarantine.record_success(now, request);
        self.announce_excused(&excused);
    }

    /// Records that the answer to a request has gone on for so long that no part of its
    /// prompt terminates targets.
    pub fn record_sound_parts(&self, request: &RequestSuspects) {
        let now = self.clock.now();
        let excused = self.view().quarantine.record_sound_parts(now, request);
        self.announce_excused(&excused);
    }

    fn announce_excused(&self, excused: &[Suspect]) {
        for suspect in excused {
            self.metrics.count("request_excused");
            log::info!(
                event = "request_excused",
                fingerprint:% = suspect.fingerprint(),
                kind = suspect.kind();
                ""
            );
        }
        if !excused.is_empty() {
            self.state_changed.notify_waiters();
        }
    }

    /// Submits holds to the control group until they are committed, so that they
    /// survive a restart of every daemon.
    pub fn submit_holds(self: &Arc<Self>) {
        for order in self.holds_to_submit() {
            let node = self.clone();
            tokio::spawn(async move {
                let key = order.key;
                let is_committed =
                    operator::commit(&node, ControlCommand::HoldRequest(order)).await;
                log::info!(event = "hold_told", fingerprint:% = key, kept = is_committed; "");
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
        quarantine
            .unsubmitted_holds
            .retain(|fingerprint, submit_at| {
                let mut missing = missing_orders(suspects, state, now, unix_time, fingerprint);
                if missing.is_empty() {
                    return false;
                }
                if now >= *submit_at {
                    *submit_at = now + SUBMIT_INTERVAL_MS;
                    orders.append(&mut missing);
                }
                true
            });
        orders
    }
}

/// Returns the orders for holds that follow from known terminations and that the control
/// group does not store yet.
fn missing_orders(
    suspects: &Suspects,
    state: &ControlState,
    now: Millis,
    unix_time: UnixMillis,
    fingerprint: &Fingerprint,
) -> Vec<HoldOrder> {
    let holds = suspects.holds_of(now, fingerprint).into_iter();
    let orders = holds.map(|hold| HoldOrder {
        key: hold.key,
        until: UnixMillis(unix_time.0 + hold.until.since(now)),
    });
    orders
        .filter(|order| !state.holds.includes(order))
        .collect()
}

/// Returns how much longer a suspect is held, in milliseconds.
fn suspect_left_ms(
    view: &View,
    now: Millis,
    unix_time: UnixMillis,
    suspect: &Suspect,
) -> Option<u64> {
    let (quarantine, state) = (&view.quarantine, &view.state);
    let observed = quarantine.suspects.hold_left_ms(now, suspect);
    let committed = suspect
        .hold_keys()
        .filter_map(|key| state.hold_left_ms(unix_time, &key))
        .max();
    // The committed hold may be older than a recent success here.
    let committed = committed.filter(|_| !quarantine.has_recent_success(now, suspect));
    observed.max(committed)
}
