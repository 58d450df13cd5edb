//! Giving pieces to other agents.

use crate::agent::calls::call;
use crate::agent::pieces;
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

/// Share of the link that pieces may take: streams of the engine pass over
/// the same link and must not wait behind them.
const LINK_SHARE: f64 = 0.92;

static GIVING: AtomicUsize = AtomicUsize::new(0);
/// When the link has sent the pieces that were given so far.
static LINK_FREE_AT: Mutex<Option<Instant>> = Mutex::new(None);

/// Waits until the link has sent what was given before.
async fn wait_for_link(bytes: usize, link_mbps: f64) {
    let sending = bytes as f64 * 8.0 / (link_mbps.max(0.1) * LINK_SHARE * 1e6);
    let start = {
        let mut free_at = LINK_FREE_AT.lock().unwrap_or_else(|e| e.into_inner());
        let start = free_at.unwrap_or_else(Instant::now).max(Instant::now());
        *free_at = Some(start + Duration::from_secs_f64(sending));
        start
    };
    tokio::time::sleep_until(start).await;
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
    wait_for_link(bytes.len(), node.settings.link_mbps).await;
    Some(ByteBuf::from(bytes.to_vec()))
}

async fn from_store(node: &Node, engine: SocketAddr, model: &str, piece: u32) -> Option<Bytes> {
    let asked = node.interface.get_staged(model, piece);
    let (status, bytes) = call(node, engine, asked, STORE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}
