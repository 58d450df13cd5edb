//! Who takes part, and how long an agent keeps to the division of work.

use moleroad_types::prelude::InstanceId;

/// One agent that takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Instance of the agent.
    pub instance: InstanceId,
    /// Its region.
    pub region: String,
}

/// What an agent may do for one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowedSources {
    /// Take it from agents of other regions.
    pub across_regions: bool,
    /// Take it from the origin.
    pub from_origin: bool,
}

/// How long an agent that gets nothing keeps to the division of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverTimeouts {
    /// Without a new piece for this long the next agent of the region takes
    /// over from the one before it, in milliseconds.
    pub across_regions_ms: u64,
    /// Without a new piece for this long, beside its turn, an agent outside
    /// the origin's region takes pieces from the origin, in milliseconds.
    pub origin_ms: u64,
}

impl TakeoverTimeouts {
    /// Patience that fits pieces of `piece_bytes` over a link of `link_mbps`.
    pub fn for_pieces(piece_bytes: u64, link_mbps: f64) -> Self {
        let piece_ms = piece_bytes as f64 * 8.0 / (link_mbps.max(0.1) * 1_000.0);
        let across = (piece_ms * PIECES_OF_PATIENCE) as u64;
        let across_regions_ms = across.clamp(SHORTEST_PATIENCE_MS, LONGEST_PATIENCE_MS);
        Self {
            across_regions_ms,
            origin_ms: across_regions_ms * 2,
        }
    }
}

/// Patience as a number of times that a link takes for one piece.
const PIECES_OF_PATIENCE: f64 = 8.0;
const SHORTEST_PATIENCE_MS: u64 = 200;
const LONGEST_PATIENCE_MS: u64 = 2_000;

/// Time in which all pieces of a copy have left an origin, in milliseconds; a
/// piece that is still missing then is not on its way.
pub fn copy_ms(copy_bytes: u64, origin_kbps: u64) -> u64 {
    let sending_ms = copy_bytes * 8 / origin_kbps.max(1);
    sending_ms + sending_ms / COPY_MARGIN_PART
}

/// Part of the bare time of a copy that is allowed for delays.
const COPY_MARGIN_PART: u64 = 4;

/// What came of asking another agent for the digests of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestQueryResult {
    /// Nobody that might have them was reached.
    NoHolderReached,
    /// It has pieces and no digests.
    PiecesOnly,
}

/// Whether an agent asks the origin for the digests of a version.
///
/// An engine that held the weights from its start needs no digests, and its
/// agent never asks for them: to wait until others bring them is in vain.
pub fn may_ask_origin_for_digests(is_own_turn: bool, asked: DigestQueryResult) -> bool {
    is_own_turn || asked == DigestQueryResult::PiecesOnly
}
