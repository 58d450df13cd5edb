//! Retrieves one piece from a source and verifies it before it is kept.

use crate::agent::calls::{CallFailure, CallLimits, call_once};
use crate::agent::fetch::PieceSource;
use crate::agent::update_loop::WantedVersion;
use crate::agent::{pieces, store};
use crate::node::Node;
use crate::peers::CallError;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for the transfer of a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Outcome of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferResult {
    /// The piece was received.
    Received,
    /// The source does not have the piece, is busy, or returned different
    /// bytes.
    NotProvided,
    /// The source is unreachable.
    Unreachable,
}

/// Retrieves a piece into memory and, unless the engine's store is reserved for
/// another version, also into that.
pub async fn transfer_piece(
    node: Arc<Node>,
    wanted: WantedVersion,
    piece: u32,
    source: PieceSource,
    digest: [u8; 32],
) -> (u32, PieceSource, TransferResult) {
    let received = match source {
        PieceSource::Agent(address) => from_agent(&node, address, &wanted, piece).await,
        PieceSource::Origin(address) => from_origin(&node, address, &wanted, piece).await,
    };
    let bytes = match received {
        Ok(bytes) => bytes,
        Err(reason) => {
            node.metrics.count("piece_not_given");
            return (piece, source, reason);
        }
    };
    if Sha256::digest(&bytes).as_slice() != digest {
        node.metrics.count("piece_spoilt");
        log::info!(event = "piece_spoilt", piece = piece, source:? = source; "");
        return (piece, source, TransferResult::NotProvided);
    }
    node.metrics.count(match source {
        PieceSource::Agent(_) => "piece_from_agent",
        PieceSource::Origin(_) => "piece_from_origin",
    });
    pieces::insert_verified(&node, &wanted.model, wanted.version, piece, bytes.clone());
    // The store is reserved while the engine is about to load another version.
    let has_engine = node.view().own.report.is_some();
    if has_engine && pieces::loading_version(&node).is_none() {
        pieces::begin_staging(&node, wanted.version);
        store::put(&node, &wanted, piece, &bytes).await;
    }
    (piece, source, TransferResult::Received)
}

async fn from_agent(
    node: &Node,
    address: SocketAddr,
    wanted: &WantedVersion,
    piece: u32,
) -> Result<Bytes, TransferResult> {
    let (model, version) = (wanted.model.model.clone(), wanted.version);
    let call = |client: crate::peer::PeerClient, context| async move {
        client.piece(context, model, version, piece).await
    };
    match node.peers.call(address, PIECE_TIMEOUT, call).await {
        Ok(Some(bytes)) => Ok(Bytes::from(bytes.into_vec())),
        Ok(None) | Err(CallError::Busy) => Err(TransferResult::NotProvided),
        Err(CallError::Unreachable | CallError::NoAnswer) => Err(TransferResult::Unreachable),
    }
}

async fn from_origin(
    node: &Node,
    address: SocketAddr,
    wanted: &WantedVersion,
    piece: u32,
) -> Result<Bytes, TransferResult> {
    let request = node
        .interface
        .request_piece(&wanted.model.model, wanted.version, piece);
    let limits = CallLimits {
        timeout: PIECE_TIMEOUT,
        max_bytes: wanted.model.max_piece_bytes(),
    };
    let answer = call_once(node, address, request, limits).await;
    let (status, bytes) = answer.map_err(|failure| match failure {
        CallFailure::NoAnswer => TransferResult::Unreachable,
        CallFailure::TooLarge => TransferResult::NotProvided,
    })?;
    let provided = status.is_success().then_some(bytes);
    provided.ok_or(TransferResult::NotProvided)
}
