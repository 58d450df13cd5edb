//! The store of this agent's engine. Pieces are staged there before the engine
//! is ordered to load them.

use crate::agent::calls::{CallFailure, CallLimits, MAX_ACKNOWLEDGEMENT_BYTES, call};
use crate::agent::fetch::Fetched;
use crate::agent::pieces;
use crate::agent::update_loop::WantedVersion;
use crate::interface::PieceDigests;
use crate::node::Node;
use crate::peer::CatalogModel;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use moleroad_rollout::prelude::*;
use sha2::{Digest, Sha256};
use std::time::Duration;

/// Time limit for a request to the engine's store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of leading pieces that may be missing or of another version before
/// the store counts as holding nothing of the version.
const MAX_LEADING_MISSES: u32 = 4;

/// Number of attempts to read a piece: an answer may break off, and a kept connection may
/// have been closed.
const MAX_READ_ATTEMPTS: u32 = 3;

/// Outcome of a check of all staged pieces.
pub enum CheckOutcome {
    /// All pieces were read and match their digests.
    Intact(StagedCheck),
    /// The engine did not answer all reads.
    Unanswered,
    /// Pieces were lost that are no longer in memory either.
    Corrupt,
}

/// Reads all staged pieces, `parallel_reads` at a time, stages corrupted ones again
/// and reads these once more.
pub async fn check_staged(node: &Node, fetched: &Fetched, parallel_reads: usize) -> CheckOutcome {
    let wanted = &fetched.wanted;
    let digests = &fetched.digests;
    let mut reads = CheckReads::begin(node.clock.now(), digests.digests.len());
    read_unproven(node, wanted, digests, parallel_reads, &mut reads).await;
    let corrupt = reads.with(PieceRead::Corrupt);
    if !corrupt.is_empty() {
        log::info!(event = "pieces_turned_bad", count = corrupt.len() as u64; "");
        let mut again = pieces::in_memory(node, wanted.version);
        again.retain(|(piece, _)| corrupt.contains(piece));
        stage_all(node, wanted, &again).await;
        read_unproven(node, wanted, digests, parallel_reads, &mut reads).await;
    }
    if let Some(check) = reads.finish() {
        return CheckOutcome::Intact(check);
    }
    let corrupt = reads.with(PieceRead::Corrupt);
    if corrupt.is_empty() {
        return CheckOutcome::Unanswered;
    }
    pieces::mark_missing(node, &wanted.model, wanted.version, &corrupt);
    CheckOutcome::Corrupt
}

/// Reads all pieces that were not read intact yet, until the engine does not answer.
async fn read_unproven(
    node: &Node,
    wanted: &WantedVersion,
    digests: &PieceDigests,
    parallel_reads: usize,
    reads: &mut CheckReads,
) {
    let read = |piece: u32| async move {
        let digest = &digests.digests[piece as usize];
        (piece, read_piece(node, &wanted.model, piece, digest).await)
    };
    let unproven = reads.unproven();
    let mut results = stream::iter(unproven).map(read).buffered(parallel_reads);
    while let Some((piece, result)) = results.next().await {
        reads.record(piece, result);
        if result == PieceRead::Unanswered {
            return;
        }
    }
}

/// Reads a piece from the engine's store and compares it with its digest.
async fn read_piece(node: &Node, model: &CatalogModel, piece: u32, digest: &[u8; 32]) -> PieceRead {
    let Some(engine) = node.settings.engine else {
        return PieceRead::Unanswered;
    };
    for _ in 0..MAX_READ_ATTEMPTS {
        let request = node.interface.get_staged(&model.model, piece);
        let is_intact = match call(node, engine, request, read_limits(model)).await {
            Ok((status, bytes)) => {
                status.is_success() && Sha256::digest(&bytes).as_slice() == digest
            }
            Err(CallFailure::TooLarge) => false,
            Err(CallFailure::NoAnswer) => continue,
        };
        return if is_intact {
            PieceRead::Intact
        } else {
            PieceRead::Corrupt
        };
    }
    PieceRead::Unanswered
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
    let limits = CallLimits {
        timeout: STORE_TIMEOUT,
        max_bytes: MAX_ACKNOWLEDGEMENT_BYTES,
    };
    let stored = call(node, engine, put, limits).await;
    if stored.is_ok_and(|(status, _)| status.is_success()) {
        pieces::mark_staged(node, wanted.version, piece);
    }
}

/// Reads a piece from the engine's store. It may be of any version.
pub async fn get(node: &Node, model: &CatalogModel, piece: u32) -> Option<Bytes> {
    let request = node.interface.get_staged(&model.model, piece);
    let engine = node.settings.engine?;
    let (status, bytes) = call(node, engine, request, read_limits(model)).await.ok()?;
    status.is_success().then_some(bytes)
}

/// Returns the limits of a read from the engine's store.
fn read_limits(model: &CatalogModel) -> CallLimits {
    CallLimits {
        timeout: STORE_TIMEOUT,
        max_bytes: model.max_piece_bytes(),
    }
}

/// Searches the engine's store for pieces of the version. The store survives a
/// crash of the engine and a restart of this process.
pub async fn find_staged(node: &Node, wanted: &WantedVersion, digests: &PieceDigests) {
    let mut missed = 0;
    let mut found = 0_u64;
    for (piece, digest) in digests.digests.iter().enumerate() {
        let bytes = get(node, &wanted.model, piece as u32).await;
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
