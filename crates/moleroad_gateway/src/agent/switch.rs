//! Switches the engine to staged weights.

use crate::agent::calls::{CallLimits, MAX_ACKNOWLEDGEMENT_BYTES, call_undelayed};
use crate::agent::digests::live_agents;
use crate::agent::fetch::Fetched;
use crate::agent::pieces;
use crate::agent::store::{self, CheckOutcome};
use crate::agent::update_loop::{CHECK_INTERVAL, HeldVersion, WantedVersion, held_version};
use crate::agent::watch;
use crate::experiments::Mechanism;
use crate::interface::StartMode;
use crate::node::Node;
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_directory::target::complete_version;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time that is allowed for entries to learn that the engine accepts no new
/// requests.
const SWITCHING_PROPAGATION: Duration = Duration::from_millis(60);
/// Limits of the engine's answer to an order.
const ORDER_LIMITS: CallLimits = CallLimits {
    timeout: Duration::from_millis(800),
    max_bytes: MAX_ACKNOWLEDGEMENT_BYTES,
};
/// Time between two checks whether running requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an engine to load weights and for entries to learn of it, in
/// milliseconds.
const LOAD_MS: u64 = 450;
/// Time between the end of the last engine's switch and the deadline of a
/// version, in milliseconds.
const SAFETY_MARGIN_MS: u64 = 400;
/// Ratio of the time for a complete copy to the time at the full rate of the
/// link.
const COPY_TIME_RATIO: f64 = 1.4;

/// Outcome of a switch.
pub enum SwitchOutcome {
    /// The engine serves the version.
    Serving,
    /// Pieces were lost that are no longer in memory either; they must be
    /// fetched again.
    Incomplete,
    /// A newer version was fetched and takes precedence.
    Superseded(Box<Fetched>),
}

/// Stages the fetched pieces, waits for this engine's wave, verifies the staged
/// pieces, orders the engine to load them and waits until it serves the
/// version.
pub async fn switch_version(
    node: &Arc<Node>,
    fetched: &Fetched,
    newer: &mut mpsc::Receiver<Fetched>,
) -> SwitchOutcome {
    let wanted = &fetched.wanted;
    // Pieces may have been fetched before the engine has started.
    while node.view().own.report.is_none() {
        if let Ok(newer) = newer.try_recv() {
            return SwitchOutcome::Superseded(Box::new(newer));
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    if last_observation(node, wanted) == EngineObservation::Serving {
        return SwitchOutcome::Serving;
    }
    pieces::begin_staging(node, wanted.version);
    store::stage_all(node, wanted, &pieces::unstaged(node, wanted.version)).await;
    let staged_at = node.clock.now();
    let mut switch = Switch::new(fetched.digests.digests.len());
    loop {
        if switch.may_be_superseded()
            && let Ok(newer) = newer.try_recv()
        {
            return SwitchOutcome::Superseded(Box::new(newer));
        }
        let may_begin = may_switch(node, wanted, staged_at);
        // While the engine waits for its wave, the reports of the regular polls suffice.
        let (engine, accepted_orders) = if may_begin || !switch.may_be_superseded() {
            observe(node, wanted).await
        } else {
            (last_observation(node, wanted), 0)
        };
        match switch.next(node.clock.now(), engine, may_begin) {
            SwitchStep::Wait => tokio::time::sleep(CHECK_INTERVAL).await,
            SwitchStep::Check { parallel_reads } => {
                let check = match store::check_staged(node, fetched, parallel_reads).await {
                    CheckOutcome::Intact(check) => Some(check),
                    CheckOutcome::Unanswered => None,
                    CheckOutcome::Corrupt => {
                        watch::set_switching(node, false);
                        return SwitchOutcome::Incomplete;
                    }
                };
                log_check(node, wanted, check.as_ref(), parallel_reads);
                switch.record_check(node.clock.now(), check);
            }
            SwitchStep::Withdraw => {
                watch::set_switching(node, true);
                tokio::time::sleep(SWITCHING_PROPAGATION).await;
                drain(node, wanted).await;
            }
            SwitchStep::Order(check) => order(node, wanted, accepted_orders, check).await,
            SwitchStep::Restore => {
                log::info!(event = "switch_restarted", version = wanted.version, engine:? = engine; "");
                watch::set_switching(node, false);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            SwitchStep::Done => {
                watch::set_switching(node, false);
                return SwitchOutcome::Serving;
            }
        }
    }
}

/// Polls the engine. Returns what it does, and how many orders it has accepted.
async fn observe(node: &Arc<Node>, wanted: &WantedVersion) -> (EngineObservation, u64) {
    let Some(state) = watch::read(node).await else {
        return (EngineObservation::Silent, 0);
    };
    watch::publish_report(node, Some(state.report));
    let observation = match last_observation(node, wanted) {
        EngineObservation::Ready if state.busy => EngineObservation::Busy,
        observation => observation,
    };
    (observation, state.accepted_orders)
}

/// Returns what the engine did according to its last report, which does not say whether
/// it executes an order.
fn last_observation(node: &Node, wanted: &WantedVersion) -> EngineObservation {
    match held_version(node, &wanted.model) {
        HeldVersion::Unknown => EngineObservation::Silent,
        HeldVersion::Version(version) if version >= wanted.version => EngineObservation::Serving,
        _ if is_draining(node) => EngineObservation::Leaving,
        HeldVersion::Version(_) | HeldVersion::Nothing => EngineObservation::Ready,
    }
}

fn log_check(
    node: &Node,
    wanted: &WantedVersion,
    check: Option<&StagedCheck>,
    parallel_reads: usize,
) {
    log::info!(
        event = "pieces_checked",
        version = wanted.version,
        is_intact = check.is_some(),
        took_ms = check.map_or(0, |check| check.age_ms(node.clock.now())),
        parallel_reads = parallel_reads as u64;
        ""
    );
}

/// Waits until running requests have ended, but no longer than the typical
/// duration of a request. Requests that still run then are aborted and continue
/// at another engine.
async fn drain(node: &Arc<Node>, wanted: &WantedVersion) {
    let until = node.clock.now() + wanted.model.usual_request_ms;
    while node.clock.now() < until {
        if let Some(state) = watch::read(node).await
            && state.report.running + state.report.queued == 0
        {
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Orders the engine to load the version from its store, which `check` has verified.
/// Nothing is sent if the check has become too old by then: the process may have been
/// suspended.
async fn order(node: &Node, wanted: &WantedVersion, accepted_orders: u64, check: StagedCheck) {
    let Some(engine) = node.settings.engine else {
        return;
    };
    let order = node.interface.order_start(
        wanted.model.model.as_str(),
        wanted.version,
        StartMode::AbortRunning,
        accepted_orders,
    );
    let check_age_ms = check.age_ms(node.clock.now());
    let may_send = || check.permits_order(node.clock.now());
    let answer = call_undelayed(node, engine, order, ORDER_LIMITS, may_send).await;
    log::info!(
        event = "order",
        version = wanted.version,
        taken = answer.is_ok_and(|(status, _)| status.is_success()),
        check_age_ms = check_age_ms;
        ""
    );
}

/// Returns whether the engine may switch now: its wave has started, or the
/// switch takes no capacity from callers.
fn may_switch(node: &Node, wanted: &WantedVersion, staged_at: Millis) -> bool {
    if !node.settings.experiments.is_enabled(Mechanism::Waves) {
        return true;
    }
    let now = node.clock.now();
    let view = node.view();
    let own = &view.own;
    let serves_something = own.report.as_ref().is_some_and(|r| !r.holdings.is_empty());
    let Some(named_at) = wanted.named_at.filter(|_| serves_something) else {
        // An engine that serves nothing takes no capacity away.
        return true;
    };
    if is_idle_and_evacuated(&view) {
        return true;
    }
    let live_agents = live_agents(&view, now);
    let others: Vec<&InstanceId> = live_agents
        .into_iter()
        .filter(|other| holds_complete_version(other, wanted) && !view.is_evacuated(&other.hall))
        .map(|other| &other.instance)
        .collect();
    let plan = wave_plan(node, wanted, others.len() + 1);
    let (elapsed_ms, staged_ms) = (now.since(named_at), staged_at.since(named_at));
    plan.may_begin(&own.instance, others, elapsed_ms, staged_ms)
}

/// Returns whether the engine is draining. An order would abort the requests
/// that still run there, for weights that will not be used.
fn is_draining(node: &Node) -> bool {
    let view = node.view();
    let engine = node.settings.engine;
    let observed = engine.and_then(|engine| view.directory.target_at(engine));
    observed.is_some_and(|observed| observed.record.life != TargetLifecycle::Ready)
}

/// Returns whether the engine's hall is evacuated and the engine is idle. Its
/// switch takes no capacity from callers, so it need not wait for a wave.
fn is_idle_and_evacuated(view: &View) -> bool {
    let report = view.own.report.as_ref();
    let is_idle = report.is_some_and(|report| report.running + report.queued == 0);
    is_idle && view.is_evacuated(&view.own.hall)
}

/// Returns whether the engine of another agent holds a complete version.
fn holds_complete_version(other: &DaemonRecord, wanted: &WantedVersion) -> bool {
    let model = &wanted.model;
    let report = other.report.as_ref();
    report.is_some_and(|report| {
        complete_version(&report.holdings, &model.model, model.layers).is_some()
    })
}

/// Distributes the switches of all engines evenly over the time until the
/// version's deadline.
fn wave_plan(node: &Node, wanted: &WantedVersion, engines: usize) -> WavePlan {
    let model = &wanted.model;
    let outage_ms = model.usual_request_ms + LOAD_MS;
    let bits = model.piece_bytes as f64 * f64::from(model.pieces) * 8.0;
    let copy_ms = bits / (node.settings.link_mbps.max(0.1) * 1_000.0);
    let last_ms = node.settings.bounds.version_ms;
    WavePlan {
        engines,
        outage_ms,
        earliest_start_ms: (copy_ms * COPY_TIME_RATIO) as u64,
        latest_start_ms: last_ms.saturating_sub(outage_ms + SAFETY_MARGIN_MS),
    }
}
