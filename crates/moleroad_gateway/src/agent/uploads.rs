//! Serves pieces to other agents.

use crate::agent::watch::serves;
use crate::agent::{pieces, store};
use crate::node::Node;
use crate::peer::CatalogModel;
use serde_bytes::ByteBuf;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of pieces queued for the link ahead of a requested one.
/// Requests beyond that are refused: other agents have the piece or will soon,
/// and their links are free. In the model (`moleroad_rollout`,
/// `tests/swarm.rs`), 200 agents have all pieces after 3.5 s with a limit of
/// two, and after 4.4 s with eight.
const MAX_QUEUED_PIECES: u32 = 2;
/// Share of the link that pieces may use while the engine serves. Its response
/// streams use the same link and are delayed more the closer the link is to its
/// capacity (docs/POLICY.md has the figures for 0.92 and 0.7).
const LINK_SHARE_SERVING: f64 = 0.85;
/// Share of the link that pieces may use while the engine serves nothing.
const LINK_SHARE_IDLE: f64 = 0.95;

/// Time at which the link has sent all pieces accepted so far.
static LINK_FREE_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// Reserves the link for one more piece. Returns when its transfer may start,
/// or `None` if too many pieces are queued.
fn reserve_link(bytes: usize, rate_kbps: f64) -> Option<Instant> {
    let sending = Duration::from_secs_f64(bytes as f64 * 8.0 / (rate_kbps.max(100.0) * 1e3));
    let mut free_at = LINK_FREE_AT.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let start = free_at.unwrap_or(now).max(now);
    if start - now >= sending * MAX_QUEUED_PIECES {
        return None;
    }
    *free_at = Some(start + sending);
    Some(start)
}

/// Returns the bytes of a piece once the link is free for it, or `None` if this
/// agent does not have it or too many pieces are queued. The receiver verifies
/// the bytes.
pub async fn serve_piece(node: &Node, model: &str, version: u64, piece: u32) -> Option<ByteBuf> {
    let has_piece = |node: &Node| {
        let view = node.view();
        let map = view.own.pieces_of(model, version);
        map.is_some_and(|map| map.has(piece))
    };
    if !has_piece(node) {
        return None;
    }
    let bytes = match pieces::get(node, version, piece) {
        Some(bytes) => bytes,
        None => store::get(node, &catalog_model(node, model)?, piece).await?,
    };
    // Another version may have been staged in the meantime.
    if !has_piece(node) {
        return None;
    }
    let free_at = reserve_link(bytes.len(), link_kbps(node))?;
    tokio::time::sleep_until(free_at).await;
    Some(ByteBuf::from(bytes.to_vec()))
}

fn catalog_model(node: &Node, name: &str) -> Option<CatalogModel> {
    let view = node.view();
    let mut models = view.catalog.models.iter();
    models.find(|model| model.model == name).cloned()
}

/// Returns the rate at which pieces may use this instance's link, in kbit/s.
pub fn link_kbps(node: &Node) -> f64 {
    let share = if serves(node) {
        LINK_SHARE_SERVING
    } else {
        LINK_SHARE_IDLE
    };
    node.settings.link_mbps * share * 1_000.0
}
