//! The graceful stop of a process.
//!
//! The phases of [`StopPhase`] follow each other in order, in every role. A phase ends
//! when the answers that it waits for are written, and all of them end within the grace
//! period.

use crate::connections::open_answers::OpenAnswer;
use crate::control_member::MemberInput;
use crate::front::request::AcceptedRequest;
use crate::node::Node;
use crate::settings::RoleSetting;
use moleroad_types::prelude::Millis;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;

/// Interval of checks whether a phase has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the end of the grace period at which the process exits even if answers
/// are open, in milliseconds.
const EXIT_MARGIN_MS: u64 = 250;
/// Time before the exit by which answers must end, in milliseconds: their last bytes are
/// written in it.
const WRITE_MARGIN_MS: u64 = 100;
/// Time for which callers keep a list of entries, in milliseconds: three times the time to
/// live of a directory answer (1 s).
const LIST_LIFETIME_MS: u64 = 3_000;
/// Time for which callers may then still use a connection, in milliseconds.
const LIST_MARGIN_MS: u64 = 400;
/// Time for which a control daemon that shuts down still accepts calls, in
/// milliseconds: operators and targets wait 1 s for an answer.
const CALL_DRAIN_MS: u64 = 1_000;
/// Callers may come for at most this many quarters of the grace period.
const MAX_DRAIN_QUARTERS: u64 = 3;
/// Interval at which a waiting request checks whether it can still be answered.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of open answers that are logged at the exit.
const MAX_LOGGED_ANSWERS: usize = 64;

/// A phase of the life of a process; later phases include earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process was not asked to stop.
    Running,
    /// Callers are told to go elsewhere; those that still come are served.
    Leaving,
    /// No connection of callers is accepted, and each ends after its answer.
    ClosingFront,
    /// The same for connections of the management API.
    ClosingManagement,
    /// The process exits.
    Exiting,
}

/// Tells all tasks of a process in which phase it is.
pub struct StopSignal {
    phase: watch::Sender<StopPhase>,
    plan: OnceLock<StopPlan>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Running),
            plan: OnceLock::new(),
        }
    }
}

impl StopSignal {
    /// Returns the current phase.
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Begins to stop by `plan`.
    pub fn begin(&self, plan: StopPlan) {
        self.plan.get_or_init(|| plan);
        self.enter(StopPhase::Leaving);
    }

    /// Enters a phase.
    pub fn enter(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the process is in `phase` or a later one.
    pub async fn reached(&self, phase: StopPhase) {
        let mut current = self.phase.subscribe();
        // The sender is a field of `self` and outlives the receiver.
        let _ = current.wait_for(|current| *current >= phase).await;
    }
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// The process began to stop then.
    pub began_at: Millis,
    /// Until then lists of entries may name this process.
    pub lists_expire_at: Millis,
    /// Until then callers may still come.
    pub callers_leave_at: Millis,
    /// An answer that ends by then is written before the process exits or is killed. A
    /// request that has no answer by then gets a failure.
    pub answers_end_by: Millis,
    /// The process exits then, whatever is open.
    pub exits_at: Millis,
}

/// What is known of a request that has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// Time at which the whole request was read.
    pub received: Millis,
    /// Deadline for the answer, which ends by then in any case.
    pub until: Millis,
    /// Time within which an answer of the route is likely to end, in milliseconds; `None`
    /// if none is known.
    pub likely_ms: Option<u64>,
    /// Whether a caller whose answer is cut may send the request again.
    pub is_idempotent: bool,
}

impl StopPlan {
    /// Plans a stop whose signal is handled at `now` and was sent at `sent_at` or later.
    /// The process is killed `grace_ms` after the signal was sent.
    pub fn new(now: Millis, sent_at: Millis, grace_ms: u64, role: RoleSetting) -> Self {
        let (lists_ms, drain_ms) = match role {
            RoleSetting::Entry => (LIST_LIFETIME_MS, LIST_LIFETIME_MS + LIST_MARGIN_MS),
            RoleSetting::Control => (0, CALL_DRAIN_MS),
            RoleSetting::Agent => (0, 0),
        };
        let run_ms = grace_ms.saturating_sub(EXIT_MARGIN_MS);
        Self {
            began_at: now,
            lists_expire_at: sent_at + lists_ms,
            callers_leave_at: now + drain_ms.min(grace_ms * MAX_DRAIN_QUARTERS / 4),
            answers_end_by: sent_at + run_ms.saturating_sub(WRITE_MARGIN_MS),
            exits_at: now + run_ms,
        }
    }

    /// Returns whether `request` may begin at `now`.
    ///
    /// Its deadline must be before the end of the process: how long other answers took
    /// says what is likely, not what is certain. While lists of entries may still name
    /// this one, its callers come in good faith; it is then enough that the answer is
    /// likely to end, if the caller can send the request again.
    pub fn may_begin(&self, now: Millis, request: PendingRequest) -> bool {
        if request.until <= self.answers_end_by {
            return true;
        }
        let is_early = request.received <= self.lists_expire_at;
        let likely_end = request.likely_ms.map(|likely_ms| now + likely_ms);
        let is_likely = likely_end.is_some_and(|end| end <= self.answers_end_by + WRITE_MARGIN_MS);
        is_early && request.is_idempotent && is_likely
    }
}

/// Returns whether the process stops and could not complete an answer to `request` before
/// it exits, if the request began now.
pub fn is_too_late_for(node: &Node, request: &AcceptedRequest) -> bool {
    let plan = node.stop.plan.get();
    plan.is_some_and(|plan| !plan.may_begin(node.clock.now(), pending(node, request)))
}

/// Waits until [`is_too_late_for`].
pub async fn too_late_for(node: &Node, request: &AcceptedRequest) {
    node.stop.reached(StopPhase::Leaving).await;
    while !is_too_late_for(node, request) {
        tokio::time::sleep(LATE_CHECK_INTERVAL).await;
    }
}

/// Waits until the process stops and has no more time to wait for targets.
pub async fn out_of_time(node: &Node) {
    node.stop.reached(StopPhase::Leaving).await;
    let Some(plan) = node.stop.plan.get() else {
        return std::future::pending().await;
    };
    sleep_until(node, plan.answers_end_by).await;
}

async fn sleep_until(node: &Node, at: Millis) {
    while node.clock.now() < at {
        tokio::time::sleep_until(node.clock.instant(at)).await;
    }
}

fn pending(node: &Node, request: &AcceptedRequest) -> PendingRequest {
    PendingRequest {
        received: request.received,
        until: request.until,
        likely_ms: node.open_answers.likely_ms(&request.route.name),
        is_idempotent: request.is_idempotent(),
    }
}

/// Stops the process gracefully; returns when it may exit.
pub async fn shut_down(node: &Arc<Node>) {
    let settings = &node.settings;
    let now = node.clock.now();
    let sent_at = node.ticks().earliest_event(now);
    let plan = StopPlan::new(now, sent_at, settings.bounds.grace_ms, settings.role);
    log::info!(
        event = "stop_begins",
        signal_age_ms = now.since(sent_at),
        in_flight = node.open_answers.count() as u64;
        ""
    );
    node.leave(plan);
    if let Some(control_member) = &node.control_member {
        control_member.send(MemberInput::Retire);
    }
    sleep_until(node, plan.callers_leave_at).await;
    close(node, StopPhase::ClosingFront, plan).await;
    close(node, StopPhase::ClosingManagement, plan).await;
    node.stop.enter(StopPhase::Exiting);
    log_open_answers(node, plan);
}

/// Enters a phase that closes connections, and waits until their answers are written and
/// their callers have closed them.
async fn close(node: &Node, phase: StopPhase, plan: StopPlan) {
    node.stop.enter(phase);
    loop {
        // The connections take what they have received before they close.
        tokio::time::sleep(POLL_INTERVAL).await;
        if open_count(node, phase) == 0 || node.clock.now() >= plan.exits_at {
            return;
        }
    }
}

/// Returns the number of answers and connections that `phase` waits for. A connection whose
/// request arrives late may begin an answer in any phase.
fn open_count(node: &Node, phase: StopPhase) -> usize {
    let calls = match phase {
        StopPhase::ClosingManagement => node.open_calls.count(),
        _ => 0,
    };
    node.open_answers.count() + node.closing_connections.count() + calls
}

/// Logs a request that is passed on to a target although the process stops.
pub fn log_taken(node: &Node, request: &AcceptedRequest) {
    let Some(plan) = node.stop.plan.get() else {
        return;
    };
    let now = node.clock.now();
    let likely_ms = node.open_answers.likely_ms(&request.route.name);
    node.metrics.count("taken_while_stopping");
    log::info!(
        event = "taken_while_stopping",
        request = request.id.to_str().unwrap_or("-"),
        route = request.route.name.as_str(),
        arrived_after_ms = request.arrived.since(plan.began_at),
        waited_ms = now.since(request.arrived),
        limit_ms = request.until.since(now),
        likely_ms = likely_ms.unwrap_or(0),
        exit_in_ms = plan.exits_at.since(now);
        ""
    );
}

/// Logs what the process leaves behind at its exit.
fn log_open_answers(node: &Node, plan: StopPlan) {
    let now = node.clock.now();
    for answer in node.open_answers.oldest(MAX_LOGGED_ANSWERS) {
        node.metrics.count("left_unanswered");
        log_left_answer(now, &answer, plan);
    }
    log::info!(
        event = "stop",
        after_ms = now.since(plan.began_at),
        is_planned_end = now >= plan.exits_at,
        in_flight = node.open_answers.count() as u64,
        calls = node.open_calls.count() as u64,
        closing = node.closing_connections.count() as u64;
        ""
    );
}

fn log_left_answer(now: Millis, answer: &OpenAnswer, plan: StopPlan) {
    let id = answer.id.as_ref().and_then(|id| id.to_str().ok());
    let route = answer.route.as_ref();
    let until = answer.until.unwrap_or(answer.arrived);
    let progress = &answer.progress;
    let sent_at = progress.last_sent_at().unwrap_or(answer.arrived);
    log::warn!(
        event = "left_unanswered",
        request = id.unwrap_or("-"),
        route = route.map_or("-", |route| route.name.as_str()),
        phase = progress.phase(),
        arrived_after_ms = answer.arrived.since(plan.began_at),
        elapsed_ms = now.since(answer.arrived),
        limit_ms = until.since(answer.arrived),
        sends = progress.sends(),
        last_sent_after_ms = sent_at.since(answer.arrived),
        written_bytes = progress.written_bytes();
        ""
    );
}
