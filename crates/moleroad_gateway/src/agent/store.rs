//! The store of the engine beside this agent: pieces are put there before
//! the engine is ordered to take them.

use crate::agent::bring::Wanted;
use crate::agent::calls::call;
use crate::agent::fetch::Fetched;
use crate::agent::pieces;
use crate::interface::PieceDigests;
use crate::node::Node;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Time for the engine's store to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pieces at the start that are missing or of another version when the store
/// counts as holding nothing of the version.
const MISSES_OF_EMPTY_STORE: u32 = 4;

/// Whether all that is staged is sound; what turned bad is staged again.
pub async fn is_sound(node: &Node, fetched: &Fetched) -> bool {
    let target = &fetched.wanted;
    let bad = bad_pieces(node, target, &fetched.digests).await;
    if bad.is_empty() {
        return true;
    }
    log::info!(event = "pieces_turned_bad", count = bad.len() as u64; "");
    let in_memory = pieces::in_memory(node, target.version);
    let again: Vec<(u32, Bytes)> = in_memory
        .into_iter()
        .filter(|(piece, _)| bad.contains(piece))
        .collect();
    put_all(node, target, &again).await;
    let still_bad = bad_pieces(node, target, &fetched.digests).await;
    pieces::lost(node, &target.model, target.version, &still_bad);
    still_bad.is_empty()
}

/// Puts pieces into the engine's store.
pub async fn put_all(node: &Node, target: &Wanted, staged: &[(u32, Bytes)]) {
    for (piece, bytes) in staged {
        // What did not arrive is found when all is checked.
        put(node, target, *piece, bytes).await;
    }
}

/// Puts a piece into the engine's store.
pub async fn put(node: &Node, target: &Wanted, piece: u32, bytes: &Bytes) {
    let Some(engine) = node.settings.engine else {
        return;
    };
    let model = &target.model.model;
    let put = node.interface.put_staged(model, piece, bytes.to_vec());
    let stored = call(node, engine, put, STORE_TIMEOUT).await;
    if stored.is_some_and(|(status, _)| status.is_success()) {
        pieces::note_staged(node, target.version, piece);
    }
}

/// Pieces in the engine's store that are not what they must be.
async fn bad_pieces(node: &Node, target: &Wanted, digests: &PieceDigests) -> Vec<u32> {
    let mut bad = Vec::new();
    for (piece, digest) in digests.digests.iter().enumerate() {
        let piece = piece as u32;
        let held = get(node, &target.model.model, piece).await;
        if held.is_none_or(|bytes| Sha256::digest(&bytes).as_slice() != digest) {
            bad.push(piece);
        }
    }
    bad
}

/// One piece from the engine's store, whatever version it is of.
pub async fn get(node: &Node, model: &str, piece: u32) -> Option<Bytes> {
    let asked = node.interface.get_staged(model, piece);
    let (status, bytes) = call(node, node.settings.engine?, asked, STORE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}

/// Finds the pieces of the version that the engine's store holds: it outlasts
/// a crash of the engine and the end of this process.
pub async fn find(node: &Node, wanted: &Wanted, digests: &PieceDigests) {
    let mut missed = 0;
    let mut found = 0_u64;
    for (piece, digest) in digests.digests.iter().enumerate() {
        let held = get(node, &wanted.model.model, piece as u32).await;
        if held.is_some_and(|bytes| Sha256::digest(&bytes).as_slice() == digest) {
            pieces::keep_staged(node, &wanted.model, wanted.version, piece as u32);
            found += 1;
            continue;
        }
        missed += 1;
        if found == 0 && missed >= MISSES_OF_EMPTY_STORE {
            return;
        }
    }
    log::info!(event = "pieces_in_store", version = wanted.version, found = found; "");
}
