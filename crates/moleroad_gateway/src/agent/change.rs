//! Letting the engine take the weights that are staged.

use crate::agent::bring::{Held, LOOK_EVERY, Wanted, held_version};
use crate::agent::calls::call;
use crate::agent::digests::fellows;
use crate::agent::fetch::Fetched;
use crate::agent::pieces;
use crate::agent::store;
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

/// Time in which entries learn that the engine gets nothing new.
const SETTLE: Duration = Duration::from_millis(60);
/// Time for the engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between looks at whether running requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time after which an order that had no effect is given again.
const ORDER_AGAIN_MS: u64 = 1_500;
/// Time for an engine to take weights and for entries to learn of it, in
/// milliseconds.
const TAKE_OVER_MS: u64 = 450;
/// Time before the bound of a version at which the last engine is done, in
/// milliseconds.
const SAFETY_MS: u64 = 400;
/// How much longer a copy takes than the bare rate of the link.
const COPY_SLOWNESS: f64 = 1.4;

/// What became of a change.
pub enum Changed {
    /// The engine serves the version.
    Done,
    /// Pieces were lost that are not in memory either; they must be fetched.
    Incomplete,
    /// A newer version is here and goes first.
    Overtaken(Box<Fetched>),
}

/// Stages what was fetched, waits for this engine's turn, checks what is
/// staged, gives the order and waits until the engine serves the version.
pub async fn change(
    node: &Arc<Node>,
    fetched: &Fetched,
    newer: &mut mpsc::Receiver<Fetched>,
) -> Changed {
    let target = &fetched.wanted;
    // Pieces may be here before the engine is.
    while node.view().own.report.is_none() {
        if let Ok(newer) = newer.try_recv() {
            return Changed::Overtaken(Box::new(newer));
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    if let Held::Version(version) = held_version(node, &target.model)
        && version >= target.version
    {
        return Changed::Done;
    }
    pieces::begin_staging(node, target.version);
    store::put_all(node, target, &pieces::not_staged(node, target.version)).await;
    let staged_at = node.clock.now();
    loop {
        while !is_turn(node, target, staged_at) || leaves(node) {
            if let Ok(newer) = newer.try_recv() {
                return Changed::Overtaken(Box::new(newer));
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        if !store::is_sound(node, fetched).await {
            return Changed::Incomplete;
        }
        watch::set_switching(node, true);
        tokio::time::sleep(SETTLE).await;
        drain(node, target).await;
        let is_served = order_until_served(node, target).await;
        watch::set_switching(node, false);
        if is_served {
            return Changed::Done;
        }
    }
}

/// Waits until running requests have ended, but no longer than a usual one
/// takes: what still runs then is cut and goes on at another engine.
async fn drain(node: &Arc<Node>, target: &Wanted) {
    let until = node.clock.now() + target.model.usual_request_ms;
    while node.clock.now() < until {
        if let Some(state) = watch::read(node).await
            && state.report.running + state.report.queued == 0
        {
            return;
        }
        tokio::time::sleep(DRAIN_LOOK).await;
    }
}

/// Gives the order once; false when it had no effect.
async fn order_until_served(node: &Arc<Node>, target: &Wanted) -> bool {
    let mut ordered_at = None;
    loop {
        let state = watch::read(node).await;
        if let Some(state) = &state {
            watch::tell(node, Some(state.report.clone()));
        }
        if let Held::Version(version) = held_version(node, &target.model)
            && version >= target.version
        {
            return true;
        }
        let now = node.clock.now();
        let is_over = ordered_at.is_some_and(|at| now.since(at) >= ORDER_AGAIN_MS);
        if let Some(state) = state.filter(|state| !state.busy) {
            if is_over {
                return false;
            }
            if ordered_at.is_none() {
                let taken = order(node, target, state.accepted_orders).await;
                log::info!(event = "order", version = target.version, taken = taken; "");
                ordered_at = Some(now);
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn order(node: &Node, target: &Wanted, accepted_orders: u64) -> bool {
    let Some(engine) = node.settings.engine else {
        return false;
    };
    let model = target.model.model.as_str();
    let order = node.interface.order_start(
        model,
        target.version,
        StartMode::AbortRunning,
        accepted_orders,
    );
    let answer = call(node, engine, order, ORDER_TIMEOUT).await;
    answer.is_some_and(|(status, _)| status.is_success())
}

fn is_turn(node: &Node, target: &Wanted, staged_at: Millis) -> bool {
    if !node.settings.experiments.has(Mechanism::Waves) {
        return true;
    }
    let now = node.clock.now();
    let view = node.view();
    let own = &view.own;
    let serves_something = own.report.as_ref().is_some_and(|r| !r.holdings.is_empty());
    let Some(named_at) = target.named_at.filter(|_| serves_something) else {
        // An engine that serves nothing has nothing to wait for.
        return true;
    };
    if serves_nobody(&view) {
        return true;
    }
    let fellows = fellows(&view, now);
    let others: Vec<&InstanceId> = fellows
        .into_iter()
        .filter(|other| serves(other, target) && !view.is_evacuated(&other.hall))
        .map(|other| &other.instance)
        .collect();
    let plan = wave_plan(node, target, others.len() + 1);
    let (elapsed_ms, staged_ms) = (now.since(named_at), staged_at.since(named_at));
    plan.may_begin(&own.instance, others, elapsed_ms, staged_ms)
}

/// Whether the engine said that it leaves: an order would cut what still runs there
/// for weights that nobody will use.
fn leaves(node: &Node) -> bool {
    let view = node.view();
    let engine = node.settings.engine;
    let heard = engine.and_then(|engine| view.directory.target_at(engine));
    heard.is_some_and(|heard| heard.record.life != TargetLifecycle::Ready)
}

/// Whether the engine's hall is evacuated and nothing runs there any more: its
/// change takes no place from callers, so it needs no turn.
fn serves_nobody(view: &View) -> bool {
    let report = view.own.report.as_ref();
    let is_idle = report.is_some_and(|report| report.running + report.queued == 0);
    is_idle && view.is_evacuated(&view.own.hall)
}

/// Whether the engine beside another agent serves some version, or is changing
/// it.
fn serves(other: &DaemonRecord, target: &Wanted) -> bool {
    let model = &target.model;
    let report = other.report.as_ref();
    report.is_some_and(|report| {
        complete_version(&report.holdings, &model.model, model.layers).is_some()
    })
}

/// The time that the version leaves is shared out evenly.
fn wave_plan(node: &Node, target: &Wanted, engines: usize) -> WavePlan {
    let model = &target.model;
    let turn_ms = model.usual_request_ms + TAKE_OVER_MS;
    let bits = model.piece_bytes as f64 * f64::from(model.pieces) * 8.0;
    let copy_ms = bits / (node.settings.link_mbps.max(0.1) * 1_000.0);
    let last_ms = node.settings.bounds.version_ms;
    WavePlan {
        engines,
        turn_ms,
        earliest_start_ms: (copy_ms * COPY_SLOWNESS) as u64,
        latest_start_ms: last_ms.saturating_sub(turn_ms + SAFETY_MS),
    }
}
