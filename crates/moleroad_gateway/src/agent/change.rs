//! Letting the engine take the weights that are staged.

use crate::agent::bring::{Held, Wanted, held_version, wanted};
use crate::agent::calls::call;
use crate::agent::watch;
use crate::interface::{PieceDigests, StartMode};
use crate::node::Node;
use moleroad_directory::prelude::*;
use moleroad_directory::target::whole_version;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::InstanceId;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at whether it is this engine's turn.
const LOOK_EVERY: Duration = Duration::from_millis(40);
/// Time in which entries learn that the engine gets nothing new.
const SETTLE: Duration = Duration::from_millis(60);
/// Time for the engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for the engine's store to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between looks at whether running requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time after which an order that had no effect is given again.
const ORDER_AGAIN_MS: u64 = 1_500;
/// Time for an engine to take weights and for entries to learn of it, in
/// milliseconds.
const TAKE_OVER_MS: u64 = 450;
/// Time before the bound of a version at which the last engine is done, in
/// milliseconds.
const SAFETY_MS: u64 = 900;
/// How much longer a copy takes than the bare rate of the link.
const COPY_SLOWNESS: f64 = 1.4;

/// What became of a change.
pub enum Changed {
    /// The engine serves the version.
    Done,
    /// These pieces turned bad in the store.
    BadPieces(Vec<u32>),
    /// Another version is wanted by now.
    Overtaken,
}

/// Waits for this engine's turn, checks what is staged, gives the order and
/// waits until the engine serves the version.
pub async fn change(node: &Arc<Node>, target: &Wanted, digests: &PieceDigests) -> Changed {
    while !is_turn(node, target) {
        if is_overtaken(node, target) {
            return Changed::Overtaken;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    let bad = bad_pieces(node, target, digests).await;
    if !bad.is_empty() {
        log::info!(event = "pieces_turned_bad", count = bad.len() as u64; "");
        return Changed::BadPieces(bad);
    }
    watch::set_switching(node, true);
    tokio::time::sleep(SETTLE).await;
    drain(node, target).await;
    let changed = order_until_served(node, target).await;
    watch::set_switching(node, false);
    changed
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

async fn order_until_served(node: &Arc<Node>, target: &Wanted) -> Changed {
    let mut ordered_at = None;
    loop {
        let state = watch::read(node).await;
        if let Some(state) = &state {
            watch::tell(node, Some(state.report.clone()));
        }
        if let Held::Version(version) = held_version(node, &target.model)
            && version >= target.version
        {
            return Changed::Done;
        }
        let now = node.clock.now();
        let may_order = ordered_at.is_none_or(|at| now.since(at) >= ORDER_AGAIN_MS);
        if let Some(state) = state
            && !state.busy
            && may_order
        {
            if ordered_at.is_some() {
                // The order had no effect: what is staged is looked at again.
                return Changed::BadPieces(Vec::new());
            }
            let taken = order(node, target, state.orders_taken).await;
            log::info!(event = "order", version = target.version, taken = taken; "");
            ordered_at = Some(now);
        }
        if ordered_at.is_none() && is_overtaken(node, target) {
            return Changed::Overtaken;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn order(node: &Node, target: &Wanted, orders_taken: u64) -> bool {
    let Some(engine) = node.settings.engine else {
        return false;
    };
    let model = target.model.model.as_str();
    let order =
        node.interface
            .order_start(model, target.version, StartMode::CutRunning, orders_taken);
    let answer = call(node, engine, order, ORDER_TIMEOUT).await;
    answer.is_some_and(|(status, _)| status.is_success())
}

fn is_overtaken(node: &Node, target: &Wanted) -> bool {
    wanted(node).map(|now| now.version) != Some(target.version)
}

fn is_turn(node: &Node, target: &Wanted) -> bool {
    let now = node.clock.now();
    let view = node.view();
    let own = &view.own;
    let serves_something = own.report.as_ref().is_some_and(|r| !r.holdings.is_empty());
    let Some(named_at) = target.named_at.filter(|_| serves_something) else {
        // An engine that serves nothing has nothing to wait for.
        return true;
    };
    let others: Vec<(InstanceId, EngineStage, bool)> = view
        .directory
        .daemons()
        .map(|heard| &heard.record)
        .filter(|other| other.instance != own.instance && other.service == own.service)
        .filter_map(|other| stage_of(other, target))
        .collect();
    let plan = wave_plan(node, target, others.len() + 1);
    plan.may_begin(&own.instance, &others, now.since(named_at))
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
        begin_from_ms: (copy_ms * COPY_SLOWNESS) as u64,
        begin_by_ms: last_ms.saturating_sub(turn_ms + SAFETY_MS),
    }
}

/// How far another agent's engine is; `None` when it serves nothing.
fn stage_of(other: &DaemonRecord, target: &Wanted) -> Option<(InstanceId, EngineStage, bool)> {
    let report = other.report.as_ref()?;
    let model = &target.model;
    let version = whole_version(&report.holdings, &model.model, model.layers);
    let stage = match version {
        Some(version) if version >= target.version => EngineStage::Done,
        _ if report.switching => EngineStage::Switching,
        Some(_) => EngineStage::Old,
        None => return None,
    };
    let staged = other
        .pieces
        .as_ref()
        .is_some_and(|map| map.version == target.version && map.count() == model.pieces);
    Some((other.instance.clone(), stage, staged))
}

/// Pieces in the engine's store that are not what they must be.
async fn bad_pieces(node: &Node, target: &Wanted, digests: &PieceDigests) -> Vec<u32> {
    let Some(engine) = node.settings.engine else {
        return Vec::new();
    };
    let mut bad = Vec::new();
    for (piece, digest) in digests.digests.iter().enumerate() {
        let piece = piece as u32;
        let asked = node.interface.get_staged(&target.model.model, piece);
        let held = call(node, engine, asked, STORE_TIMEOUT).await;
        let sound = held.is_some_and(|(status, bytes)| {
            status.is_success() && Sha256::digest(&bytes).as_slice() == digest
        });
        if !sound {
            bad.push(piece);
        }
    }
    bad
}
