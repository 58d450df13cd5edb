//! Bringing one piece from a source, checked before it is kept.

use crate::agent::bring::Wanted;
use crate::agent::calls::call_once;
use crate::agent::fetch::Source;
use crate::agent::{pieces, store};
use crate::node::Node;
use crate::peers::CallError;
use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How asking for a piece ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Brought {
    /// It is here.
    Yes,
    /// The source does not have it, is busy, or gave other bytes.
    NotGiven,
    /// The source cannot be reached.
    Unreachable,
}

/// Brings a piece into memory and, if the engine's store is free, into that.
pub async fn bring_piece(
    node: Arc<Node>,
    wanted: Wanted,
    piece: u32,
    source: Source,
    digest: [u8; 32],
) -> (u32, Source, Brought) {
    let asked = match source {
        Source::Agent(address) => from_agent(&node, address, &wanted, piece).await,
        Source::Origin(address) => from_origin(&node, address, &wanted, piece).await,
    };
    let bytes = match asked {
        Ok(bytes) => bytes,
        Err(reason) => {
            node.metrics.count("piece_not_given");
            return (piece, source, reason);
        }
    };
    if Sha256::digest(&bytes).as_slice() != digest {
        node.metrics.count("piece_spoilt");
        log::info!(event = "piece_spoilt", piece = piece, source:? = source; "");
        return (piece, source, Brought::NotGiven);
    }
    node.metrics.count(match source {
        Source::Agent(_) => "piece_from_agent",
        Source::Origin(_) => "piece_from_origin",
    });
    pieces::keep(&node, &wanted.model, wanted.version, piece, bytes.clone());
    // The engine's store is free unless it is left to an earlier version.
    let has_engine = node.view().own.report.is_some();
    if has_engine && pieces::taking(&node).is_none() {
        pieces::begin_staging(&node, wanted.version);
        store::put(&node, &wanted, piece, &bytes).await;
    }
    (piece, source, Brought::Yes)
}

async fn from_agent(
    node: &Node,
    address: SocketAddr,
    wanted: &Wanted,
    piece: u32,
) -> Result<Bytes, Brought> {
    let (model, version) = (wanted.model.model.clone(), wanted.version);
    let call = |client: crate::peer::PeerClient, context| async move {
        client.piece(context, model, version, piece).await
    };
    match node.peers.call(address, PIECE_TIMEOUT, call).await {
        Ok(Some(bytes)) => Ok(Bytes::from(bytes.into_vec())),
        Ok(None) | Err(CallError::Busy) => Err(Brought::NotGiven),
        Err(CallError::Unreachable | CallError::NoAnswer) => Err(Brought::Unreachable),
    }
}

async fn from_origin(
    node: &Node,
    address: SocketAddr,
    wanted: &Wanted,
    piece: u32,
) -> Result<Bytes, Brought> {
    let asked = node
        .interface
        .request_piece(&wanted.model.model, wanted.version, piece);
    let answer = call_once(node, address, asked, PIECE_TIMEOUT).await;
    let (status, bytes) = answer.ok_or(Brought::Unreachable)?;
    let given = status.is_success().then_some(bytes);
    given.ok_or(Brought::NotGiven)
}
