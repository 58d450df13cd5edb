//! Giving pieces to other agents.

use crate::agent::watch::serves;
use crate::agent::{pieces, store};
use crate::node::Node;
use serde_bytes::ByteBuf;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Pieces that wait for the link before one that is asked for, at the most. An
/// agent that is asked for more refuses: others have the piece, or will soon, and
/// their links are free. In the model (`moleroad_rollout`, `tests/swarm.rs`) 200
/// agents have all pieces after 3.5 s with two, 4.4 s with eight.
const MOST_WAITING: u32 = 2;
/// Share of the link that pieces may take while the engine serves: its streams
/// pass over the same link, and the nearer that is to full, the longer they
/// wait (docs/POLICY.md has the figures of 0.92 and 0.7).
const LINK_SHARE_SERVING: f64 = 0.85;
/// The same while the engine serves nothing.
const LINK_SHARE_IDLE: f64 = 0.95;

/// When the link has sent the pieces that were given so far.
static LINK_FREE_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// Reserves the link for one more piece and says when it has sent what was
/// given before; `None` when too much waits for it already.
fn reserve_link(bytes: usize, rate_kbps: f64) -> Option<Instant> {
    let sending = Duration::from_secs_f64(bytes as f64 * 8.0 / (rate_kbps.max(100.0) * 1e3));
    let mut free_at = LINK_FREE_AT.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let start = free_at.unwrap_or(now).max(now);
    if start - now >= sending * MOST_WAITING {
        return None;
    }
    *free_at = Some(start + sending);
    Some(start)
}

/// The bytes of a piece, if this agent has it and is not too busy. Whoever
/// takes it checks it.
pub async fn give(node: &Node, model: &str, version: u64, piece: u32) -> Option<ByteBuf> {
    let has_piece = |node: &Node| {
        let view = node.view();
        let map = view.own.pieces_of(model, version);
        map.is_some_and(|map| map.has(piece))
    };
    if !has_piece(node) {
        return None;
    }
    let bytes = match pieces::from_memory(node, version, piece) {
        Some(bytes) => bytes,
        None => store::get(node, model, piece).await?,
    };
    // Another version may have been staged meanwhile.
    if !has_piece(node) {
        return None;
    }
    let free_at = reserve_link(bytes.len(), link_kbps(node))?;
    tokio::time::sleep_until(free_at).await;
    Some(ByteBuf::from(bytes.to_vec()))
}

/// The rate at which pieces may pass over the link of this instance, in kbit/s.
pub fn link_kbps(node: &Node) -> f64 {
    let share = if serves(node) {
        LINK_SHARE_SERVING
    } else {
        LINK_SHARE_IDLE
    };
    node.settings.link_mbps * share * 1_000.0
}
