//! Giving pieces to other agents.

use crate::agent::calls::call;
use crate::agent::pieces;
use crate::agent::watch::serves;
use crate::node::Node;
use bytes::Bytes;
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Most pieces that are given at once: more would only share the link.
const MOST_AT_ONCE: usize = 4;
/// Time for the engine's store to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Share of the link that pieces may take while the engine serves: its streams
/// pass over the same link, and the nearer that is to full, the longer they
/// wait (docs/POLICY.md has the figures of 0.92 and 0.7).
const LINK_SHARE_SERVING: f64 = 0.7;
/// The same while the engine serves nothing.
const LINK_SHARE_IDLE: f64 = 0.95;

static GIVING: AtomicUsize = AtomicUsize::new(0);
/// When the link has sent the pieces that were given so far.
static LINK_FREE_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// Reserves the link for one more piece; when it has sent what was given
/// before.
fn reserve_link(bytes: usize, rate_mbps: f64) -> Instant {
    let sending = bytes as f64 * 8.0 / (rate_mbps.max(0.1) * 1e6);
    let mut free_at = LINK_FREE_AT.lock().unwrap_or_else(|e| e.into_inner());
    let start = free_at.unwrap_or_else(Instant::now).max(Instant::now());
    *free_at = Some(start + Duration::from_secs_f64(sending));
    start
}

struct Giving;

impl Giving {
    fn begin() -> Option<Self> {
        let others = GIVING.fetch_add(1, Ordering::Relaxed);
        let giving = Giving;
        (others < MOST_AT_ONCE).then_some(giving)
    }
}

impl Drop for Giving {
    fn drop(&mut self) {
        GIVING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The bytes of a piece, if this agent has it and is not too busy. Whoever
/// takes it checks it.
pub async fn give(node: &Node, model: &str, version: u64, piece: u32) -> Option<ByteBuf> {
    let engine = node.settings.engine?;
    let _giving = Giving::begin()?;
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
        None => from_store(node, engine, model, piece).await?,
    };
    // Another version may have been staged meanwhile.
    if !has_piece(node) {
        return None;
    }
    let share = if serves(node) {
        LINK_SHARE_SERVING
    } else {
        LINK_SHARE_IDLE
    };
    let free_at = reserve_link(bytes.len(), node.settings.link_mbps * share);
    tokio::time::sleep_until(free_at).await;
    Some(ByteBuf::from(bytes.to_vec()))
}

async fn from_store(node: &Node, engine: SocketAddr, model: &str, piece: u32) -> Option<Bytes> {
    let asked = node.interface.get_staged(model, piece);
    let (status, bytes) = call(node, engine, asked, STORE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}
