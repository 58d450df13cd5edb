//! The store of this agent's engine. Pieces are staged there before the engine
//! is ordered to load them.

use crate::agent::calls::call;
use crate::agent::fetch::Fetched;
use crate::agent::pieces;
use crate::agent::update_loop::WantedVersion;
use crate::interface::PieceDigests;
use crate::node::Node;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Time limit for a request to the engine's store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of leading pieces that may be missing or of another version before
/// the store counts as holding nothing of the version.
const MAX_LEADING_MISSES: u32 = 4;

/// Verifies all staged pieces and stages corrupted ones again. Returns whether
/// all are valid afterwards.
pub async fn verify_staged(node: &Node, fetched: &Fetched) -> bool {
    let wanted = &fetched.wanted;
    let corrupt = corrupt_pieces(node, wanted, &fetched.digests).await;
    if corrupt.is_empty() {
        return true;
    }
    log::info!(event = "pieces_turned_bad", count = corrupt.len() as u64; "");
    let in_memory = pieces::in_memory(node, wanted.version);
    let again: Vec<(u32, Bytes)> = in_memory
        .into_iter()
        .filter(|(piece, _)| corrupt.contains(piece))
        .collect();
    stage_all(node, wanted, &again).await;
    let still_corrupt = corrupt_pieces(node, wanted, &fetched.digests).await;
    pieces::mark_missing(node, &wanted.model, wanted.version, &still_corrupt);
    still_corrupt.is_empty()
}

/// Writes pieces to the engine's store.
pub async fn stage_all(node: &Node, wanted: &WantedVersion, staged: &[(u32, Bytes)]) {
    for (piece, bytes) in staged {
        // A failed write is detected when all pieces are verified.
        put(node, wanted, *piece, bytes).await;
    }
}

/// Writes a piece to the engine's store.
pub async fn put(node: &Node, wanted: &WantedVersion, piece: u32, bytes: &Bytes) {
    let Some(engine) = node.settings.engine else {
        return;
    };
    let model = &wanted.model.model;
    let put = node.interface.put_staged(model, piece, bytes.to_vec());
    let stored = call(node, engine, put, STORE_TIMEOUT).await;
    if stored.is_some_and(|(status, _)| status.is_success()) {
        pieces::mark_staged(node, wanted.version, piece);
    }
}

/// Returns the pieces that are missing from the engine's store or do not match
/// their digests.
async fn corrupt_pieces(node: &Node, wanted: &WantedVersion, digests: &PieceDigests) -> Vec<u32> {
    let mut corrupt = Vec::new();
    for (piece, digest) in digests.digests.iter().enumerate() {
        let piece = piece as u32;
        let bytes = get(node, &wanted.model.model, piece).await;
        if bytes.is_none_or(|bytes| Sha256::digest(&bytes).as_slice() != digest) {
            corrupt.push(piece);
        }
    }
    corrupt
}

/// Reads a piece from the engine's store. It may be of any version.
pub async fn get(node: &Node, model: &str, piece: u32) -> Option<Bytes> {
    let request = node.interface.get_staged(model, piece);
    let (status, bytes) = call(node, node.settings.engine?, request, STORE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}

/// Searches the engine's store for pieces of the version. The store survives a
/// crash of the engine and a restart of this process.
pub async fn find_staged(node: &Node, wanted: &WantedVersion, digests: &PieceDigests) {
    let mut missed = 0;
    let mut found = 0_u64;
    for (piece, digest) in digests.digests.iter().enumerate() {
        let bytes = get(node, &wanted.model.model, piece as u32).await;
        if bytes.is_some_and(|bytes| Sha256::digest(&bytes).as_slice() == digest) {
            pieces::record_staged_piece(node, &wanted.model, wanted.version, piece as u32);
            found += 1;
            continue;
        }
        missed += 1;
        if found == 0 && missed >= MAX_LEADING_MISSES {
            return;
        }
    }
    log::info!(event = "pieces_in_store", version = wanted.version, found = found; "");
}
