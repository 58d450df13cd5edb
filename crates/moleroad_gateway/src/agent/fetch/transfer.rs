//! One piece, from another agent or the origin, checked and staged.

use super::Source;
use crate::agent::bring::Wanted;
use crate::agent::calls::call;
use crate::agent::{change, pieces};
use crate::node::Node;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Brings one piece; the last value says whether it is here.
pub(super) async fn bring_piece(
    node: Arc<Node>,
    wanted: Wanted,
    piece: u32,
    source: Source,
    digest: [u8; 32],
) -> (u32, Source, bool) {
    let bytes = match source {
        Source::Agent { address, is_far } => {
            from_agent(&node, address, is_far, &wanted, piece).await
        }
        Source::Origin(address) => from_origin(&node, address, &wanted, piece).await,
    };
    let Some(bytes) = bytes else {
        node.metrics.count("piece_not_given");
        return (piece, source, false);
    };
    if Sha256::digest(&bytes).as_slice() != digest {
        node.metrics.count("piece_spoilt");
        log::info!(event = "piece_spoilt", piece = piece, source:? = source; "");
        return (piece, source, false);
    }
    node.metrics.count(match source {
        Source::Agent { .. } => "piece_from_agent",
        Source::Origin(_) => "piece_from_origin",
    });
    pieces::keep(&node, &wanted.model, wanted.version, piece, bytes.clone());
    // The engine's store is free unless it is left to an earlier version.
    if pieces::taking(&node).is_none() {
        pieces::begin_staging(&node, wanted.version);
        change::stage_piece(&node, &wanted, piece, &bytes).await;
    }
    (piece, source, true)
}

async fn from_agent(
    node: &Node,
    address: SocketAddr,
    is_far: bool,
    wanted: &Wanted,
    piece: u32,
) -> Option<Bytes> {
    let (model, version) = (wanted.model.model.clone(), wanted.version);
    let call = |client: crate::peer::PeerClient, context| async move {
        client.piece(context, model, version, piece, is_far).await
    };
    let given = node.peers.call(address, PIECE_TIMEOUT, call).await;
    given
        .ok()
        .flatten()
        .map(|bytes| Bytes::from(bytes.into_vec()))
}

async fn from_origin(
    node: &Node,
    address: SocketAddr,
    wanted: &Wanted,
    piece: u32,
) -> Option<Bytes> {
    let asked = node
        .interface
        .ask_piece(&wanted.model.model, wanted.version, piece);
    let (status, bytes) = call(node, address, asked, PIECE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}
