//! The agents that take part in a rollout, and how long they wait for each other.

use moleroad_types::prelude::InstanceId;

/// An agent that takes part in a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Instance of the agent.
    pub instance: InstanceId,
    /// Region of the agent.
    pub region: String,
}

/// The sources from which an agent may fetch a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllowedSources {
    /// Agents in other regions.
    pub across_regions: bool,
    /// The origin.
    pub from_origin: bool,
}

/// How long an agent that receives nothing waits for the responsible agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverTimeouts {
    /// Time without a new piece after which the next agent of the region takes over
    /// from the one before it, in milliseconds.
    pub across_regions_ms: u64,
    /// Time without a new piece, in addition to the wait for its rank, after which an
    /// agent outside the origin's region fetches pieces from the origin, in
    /// milliseconds.
    pub origin_ms: u64,
}

impl TakeoverTimeouts {
    /// Returns the timeouts for pieces of `piece_bytes` over a link of `link_mbps`.
    pub fn for_pieces(piece_bytes: u64, link_mbps: f64) -> Self {
        let piece_ms = piece_bytes as f64 * 8.0 / (link_mbps.max(0.1) * 1_000.0);
        let across = (piece_ms * TIMEOUT_PIECES) as u64;
        let across_regions_ms = across.clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
        Self {
            across_regions_ms,
            origin_ms: across_regions_ms * 2,
        }
    }
}

/// Timeout as a multiple of the time that a link takes for one piece.
const TIMEOUT_PIECES: f64 = 8.0;
const MIN_TIMEOUT_MS: u64 = 200;
const MAX_TIMEOUT_MS: u64 = 2_000;

/// Returns the time in which all pieces of a copy leave an origin, in milliseconds. A
/// piece that is still missing after it is not in transit.
pub fn copy_ms(copy_bytes: u64, origin_kbps: u64) -> u64 {
    let sending_ms = copy_bytes * 8 / origin_kbps.max(1);
    sending_ms + sending_ms / COPY_MARGIN_DIVISOR
}

/// Margin for delays, as a fraction (divisor) of the minimum time of a copy.
const COPY_MARGIN_DIVISOR: u64 = 4;

/// Result of asking another agent for the digests of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestQueryResult {
    /// No agent that might have them was reached.
    NoHolderReached,
    /// The agent has pieces but no digests.
    PiecesOnly,
}

/// Returns whether an agent asks the origin for the digests of a version.
///
/// An engine that had the weights from its start needs no digests, so its agent never
/// asks for them; waiting for others to provide them would be futile.
pub fn may_ask_origin_for_digests(is_own_turn: bool, asked: DigestQueryResult) -> bool {
    is_own_turn || asked == DigestQueryResult::PiecesOnly
}
