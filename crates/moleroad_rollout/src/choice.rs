//! Which missing piece an agent fetches next, and from what kind of source.

use crate::sources::Patience;
use crate::spread::Spread;

/// What an agent knows of one piece that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingPiece {
    /// Number of the piece.
    pub piece: u32,
    /// Whether an agent that can be asked has offered it.
    pub offered: bool,
    /// Agents of the own region that can be asked and are known to have it.
    pub near: usize,
    /// Agents of other regions that can be asked and are known to have it.
    pub far: usize,
    /// Since when agents of other regions are known to have it, in
    /// milliseconds.
    pub far_known_ms: u64,
}

/// A kind of source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// An agent that offered the piece.
    Offer,
    /// An agent of the own region.
    Near,
    /// An agent of another region.
    Far,
    /// The origin.
    Origin,
}

/// What else the choice depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// How long the agent keeps to the division of work.
    pub patience: Patience,
    /// Time since the agent began with the version, or since pieces came again
    /// after a [`STALL_MS`], in milliseconds.
    pub elapsed_ms: u64,
    /// Time that the origin takes for one piece, in milliseconds.
    pub origin_piece_ms: u64,
    /// Time that the part of this agent's link that pieces may take needs for
    /// one piece, in milliseconds.
    pub link_piece_ms: u64,
    /// Whether the origin can be asked.
    pub origin_is_free: bool,
    /// Time since the origin last gave this agent nothing, in milliseconds.
    pub origin_failed_ms: Option<u64>,
    /// Whether a piece may be taken from another region without an offer.
    pub may_cross: bool,
}

/// Without a piece for this long a fetch stands still; when pieces come
/// again, the division of work begins anew, in milliseconds. Far above the time
/// between two pieces, and about the time in which one copy leaves an origin.
pub const STALL_MS: u64 = 1_000;
/// Order of the pieces that agents of the region are known to have, behind
/// all that were offered.
const NEAR_FROM: u32 = 1_000;

/// How many times their patience agents wait before they take over the way of a
/// piece into a region from each other: what is under way cannot be seen, and
/// the links between regions are shared with requests.
const CROSSING_SLOWNESS: u64 = 2;
/// Time after a failure of the origin by which each rank comes back later than
/// the one before it, in milliseconds: above the longest pause of a first agent.
const RETURN_STEP_MS: u64 = 1_500;

/// Where to take the piece from, and its order: the lowest is fetched first.
///
/// First what others wait for: a piece for which the agent stands high in
/// the tree. Then what few agents of the region have.
pub fn source_of(
    missing: MissingPiece,
    spread: &Spread,
    conditions: &Conditions,
) -> Option<(SourceKind, u32)> {
    let piece = missing.piece;
    let rank = spread.rank(piece).unwrap_or(0) as u32;
    let rank = rank.min(NEAR_FROM - 1);
    if missing.offered {
        return Some((SourceKind::Offer, rank));
    }
    if missing.near > 0 {
        return Some((SourceKind::Near, NEAR_FROM + missing.near as u32));
    }
    let known_ms = missing.far_known_ms / CROSSING_SLOWNESS;
    let crosses = spread.permission(piece, conditions.patience, known_ms);
    if crosses.across_regions && missing.far > 0 && conditions.may_cross {
        return Some((SourceKind::Far, 1));
    }
    let draws = spread.permission(piece, conditions.patience, conditions.overdue_ms(piece));
    let is_let_in = conditions.may_return(rank);
    // The origin gives one piece after the other: it shares its link among
    // all that is asked for, and the first piece would come with the last.
    let is_its_turn = conditions.elapsed_ms >= u64::from(piece) * conditions.origin_piece_ms;
    if draws.from_origin && is_its_turn && is_let_in && conditions.origin_is_free {
        return Some((SourceKind::Origin, rank));
    }
    None
}

impl Conditions {
    /// Whether an agent of this rank asks an origin again that gave nothing: the
    /// first agents of the pieces come back first, so that one copy leaves an
    /// origin that was away and not one for each agent.
    fn may_return(&self, rank: u32) -> bool {
        let pause_ms = u64::from(rank) * RETURN_STEP_MS;
        self.origin_failed_ms
            .is_none_or(|failed_ms| failed_ms >= pause_ms)
    }

    /// How long the piece is overdue: the time in which the pieces up to it
    /// leave the origin and pass over a link, and the patience with the agent
    /// that was to bring it, are over. In milliseconds.
    fn overdue_ms(&self, piece: u32) -> u64 {
        let piece_ms = self.origin_piece_ms.max(self.link_piece_ms);
        let due_ms = (u64::from(piece) + 1) * piece_ms + self.patience.origin_ms;
        self.elapsed_ms.saturating_sub(due_ms)
    }
}
