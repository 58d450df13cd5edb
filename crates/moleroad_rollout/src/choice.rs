//! Which missing piece an agent fetches next, and from what kind of source.

use crate::sources::TakeoverTimeouts;
use crate::spread::{DistributionTrees, FANOUT};
use crate::turns::OriginSchedule;

/// What an agent knows of one piece that it lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingPiece {
    /// Number of the piece.
    pub piece: u32,
    /// Whether an agent that can be asked has offered it.
    pub offered: bool,
    /// Time since an agent last said that it draws it from the origin, in
    /// milliseconds; 0 once one has it, though it cannot be asked just now.
    pub announced_ms: Option<u64>,
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
    OwnRegion,
    /// An agent of another region.
    OtherRegions,
    /// The origin.
    Origin,
}

/// What else the choice depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchConditions {
    /// How long the agent keeps to the division of work.
    pub patience: TakeoverTimeouts,
    /// Time since the agent began with the version, or since pieces came again
    /// after a [`STALL_MS`], in milliseconds.
    pub elapsed_ms: u64,
    /// Which pieces have a turn at the origin.
    pub turns: OriginSchedule,
    /// Time that the origin takes for one piece, in milliseconds.
    pub origin_piece_ms: u64,
    /// Time that the part of this agent's link that pieces may take needs for
    /// one piece, in milliseconds.
    pub link_piece_ms: u64,
    /// Whether the origin can be asked.
    pub can_ask_origin: bool,
    /// Time since the origin last gave this agent nothing, in milliseconds.
    pub origin_failed_ms: Option<u64>,
    /// Whether a piece may be taken from another region without an offer.
    pub may_cross_regions: bool,
    /// The highest piece that is here or was offered.
    pub newest_seen: Option<u32>,
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

/// Time between two turns at the origin, in percent of the time in which it sends
/// a piece: at the end of a copy some ten pieces are asked for at once.
const TURN_PERCENT: u64 = 80;
/// An origin whose newest piece came at most this late keeps its pace, in
/// milliseconds.
const PACE_KEPT_MS: u64 = 1_000;
/// Agents that take over from a silent one: those that it tells of its draws.
const TAKING_OVER: u32 = FANOUT as u32;
/// Further lateness that is borne of a piece that an agent has or is drawing, in
/// milliseconds: its link is busy with other pieces, and a second draw would take
/// the time of the origin's link from pieces that nobody has. In the end the piece
/// is drawn again: who said that it has it may have restarted without it.
const HELD_BORNE_MS: u64 = 1_500;
/// Lateness that is borne of every agent while the origin keeps its pace, in
/// milliseconds: the spread of the times at which agents begin.
const TAKE_OVER_FIRST_MS: u64 = 150;
/// ... and for each rank, in milliseconds: the way of an announcement, and a
/// piece on the origin's link beside a few others. A piece of an agent that is
/// silent so leaves the origin 0.3 s after its turn and not a second after it.
const TAKE_OVER_STEP_MS: u64 = 150;

/// Where to take the piece from, and its order: the lowest is fetched first.
///
/// First what others wait for: a piece for which the agent stands high in
/// the tree. Then what few agents of the region have.
pub fn choose_source(
    missing: MissingPiece,
    spread: &DistributionTrees,
    conditions: &FetchConditions,
) -> Option<(SourceKind, u32)> {
    let piece = missing.piece;
    let rank = spread.rank(piece).unwrap_or(0) as u32;
    let rank = rank.min(NEAR_FROM - 1);
    if missing.offered {
        return Some((SourceKind::Offer, rank));
    }
    if missing.near > 0 {
        return Some((SourceKind::OwnRegion, NEAR_FROM + missing.near as u32));
    }
    let known_ms = missing.far_known_ms / CROSSING_SLOWNESS;
    let crosses = spread.permission(piece, conditions.patience, known_ms);
    if crosses.across_regions && missing.far > 0 && conditions.may_cross_regions {
        return Some((SourceKind::OtherRegions, 1));
    }
    let overdue_ms = conditions.overdue_ms(piece);
    let unborne_ms = match missing.is_on_its_way() {
        true => overdue_ms.saturating_sub(HELD_BORNE_MS),
        false => overdue_ms,
    };
    let draws = spread.permission(piece, conditions.patience, unborne_ms);
    let is_let_in = conditions.may_return(rank);
    let takes_over = spread.is_in_origin_region() && conditions.is_passed_over(&missing, rank);
    let is_due = conditions.has_turn(piece) && is_let_in;
    if (draws.from_origin || takes_over) && is_due && conditions.can_ask_origin {
        return Some((SourceKind::Origin, rank));
    }
    None
}

impl MissingPiece {
    /// Whether an agent has the piece, or said a moment ago that it draws it.
    fn is_on_its_way(&self) -> bool {
        self.far > 0 || self.announced_ms.is_some_and(|ms| ms < ANNOUNCED_FOR_MS)
    }
}

/// Time between two announcements of a draw that is under way, in milliseconds.
pub const ANNOUNCE_EVERY_MS: u64 = 150;
/// Time for which an announcement stands, in milliseconds: an agent that ends or
/// freezes leaves out the next two.
const ANNOUNCED_FOR_MS: u64 = 400;

/// Whether the agent says that it draws the piece from the origin: it is the one
/// that does, the turn of the piece has come, and the origin did not refuse it the
/// last time. It may still be busy with the piece before it.
pub fn should_announce(
    piece: u32,
    spread: &DistributionTrees,
    conditions: &FetchConditions,
) -> bool {
    let is_first = spread.is_in_origin_region() && spread.rank(piece) == Some(0);
    is_first && conditions.has_turn(piece) && conditions.origin_failed_ms.is_none()
}

impl FetchConditions {
    /// Whether the turn of the piece has come. The origin gives one piece after
    /// the other: it shares its link among all that is asked for, and the first
    /// piece would come with the last.
    fn has_turn(&self, piece: u32) -> bool {
        self.elapsed_ms >= self.turn_ms(piece)
    }

    /// Whether an agent of this rank asks an origin again that gave nothing: the
    /// first agents of the pieces come back first, so that one copy leaves an
    /// origin that was away and not one for each agent.
    fn may_return(&self, rank: u32) -> bool {
        let pause_ms = u64::from(rank) * RETURN_STEP_MS;
        self.origin_failed_ms
            .is_none_or(|failed_ms| failed_ms >= pause_ms)
    }

    /// Whether the origin keeps its pace and the agent that was to draw the piece
    /// has not said that it does, or has ended since: the next by rank draws it
    /// while the origin still answers.
    fn is_passed_over(&self, missing: &MissingPiece, rank: u32) -> bool {
        let Some(newest) = self.newest_seen else {
            return false;
        };
        let keeps_pace = self.late_ms(newest) <= PACE_KEPT_MS;
        let borne_ms = TAKE_OVER_FIRST_MS + u64::from(rank) * TAKE_OVER_STEP_MS;
        let may_take = (1..=TAKING_OVER).contains(&rank) && !missing.is_on_its_way();
        may_take && keeps_pace && self.late_ms(missing.piece) >= borne_ms
    }

    /// When the turn of the piece comes: a little faster than the origin sends, so
    /// that it is never idle because one agent is late.
    fn turn_ms(&self, piece: u32) -> u64 {
        let bare_ms = u64::from(self.turns.number(piece)) * self.origin_piece_ms;
        bare_ms * TURN_PERCENT / 100
    }

    /// Time since the turn of the piece at the origin, in milliseconds.
    fn late_ms(&self, piece: u32) -> u64 {
        self.elapsed_ms.saturating_sub(self.turn_ms(piece))
    }

    /// How long the piece is overdue: the time in which the pieces up to it
    /// leave the origin and pass over a link, and the patience with the agent
    /// that was to bring it, are over. In milliseconds.
    fn overdue_ms(&self, piece: u32) -> u64 {
        let piece_ms = self.origin_piece_ms.max(self.link_piece_ms);
        let due_ms = u64::from(self.turns.number(piece) + 1) * piece_ms + self.patience.origin_ms;
        self.elapsed_ms.saturating_sub(due_ms)
    }
}
