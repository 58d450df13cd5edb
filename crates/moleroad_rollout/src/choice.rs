//! Choice of the next piece that an agent fetches, and of the kind of source.

use crate::schedule::OriginSchedule;
use crate::sources::TakeoverTimeouts;
use crate::trees::{DistributionTrees, FANOUT};

/// A piece that an agent lacks, with the sources known to that agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MissingPiece {
    /// Number of the piece.
    pub piece: u32,
    /// Whether an agent that can be asked has offered it.
    pub offered: bool,
    /// Time since an agent last announced that it is fetching the piece from the
    /// origin, in milliseconds; 0 once an agent has it, even if that agent cannot be
    /// asked at the moment.
    pub announced_ms: Option<u64>,
    /// Number of agents in the own region that have it and can be asked.
    pub near_holders: usize,
    /// Number of agents in other regions that have it and can be asked.
    pub far_holders: usize,
    /// How long agents in other regions have been known to have it, in milliseconds.
    pub far_holders_known_ms: u64,
}

/// A kind of source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// An agent that offered the piece.
    Offer,
    /// An agent in the own region.
    OwnRegion,
    /// An agent in another region.
    OtherRegions,
    /// The origin.
    Origin,
}

/// Further inputs of the choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchConditions {
    /// How long the agent waits for the agents that are responsible for a piece.
    pub timeouts: TakeoverTimeouts,
    /// Time since the agent began with the version, or since pieces resumed after a
    /// stall of [`STALL_MS`], in milliseconds.
    pub elapsed_ms: u64,
    /// Order in which pieces leave the origin.
    pub schedule: OriginSchedule,
    /// Time that the origin takes to send one piece, in milliseconds.
    pub origin_piece_ms: u64,
    /// Time to receive one piece over the part of this agent's link that is available
    /// to pieces, in milliseconds.
    pub link_piece_ms: u64,
    /// Whether the origin can be asked.
    pub can_ask_origin: bool,
    /// Time since the origin last failed to deliver a piece to this agent, in
    /// milliseconds.
    pub origin_failed_ms: Option<u64>,
    /// Whether a piece may be fetched from another region without an offer.
    pub may_cross_regions: bool,
    /// The highest piece that this agent holds or was offered.
    pub highest_seen: Option<u32>,
}

/// Time without a piece after which a fetch counts as stalled, in milliseconds; when
/// pieces resume, the schedule starts over. Far longer than the interval between two
/// pieces, and about the time in which one copy leaves an origin.
pub const STALL_MS: u64 = 1_000;
/// Base of the order of pieces that agents in the region have; it sorts them after all
/// offered pieces.
const OWN_REGION_ORDER: u32 = 1_000;

/// Factor on the time for which agents wait before they take over from each other in
/// bringing a piece into a region: a transfer in progress is not visible, and the links
/// between regions are shared with requests.
const CROSSING_TIMEOUT_FACTOR: u64 = 2;
/// Delay per rank before an agent retries an origin that failed, in milliseconds:
/// longer than the maximum backoff of the agent with the first rank.
const ORIGIN_RETRY_STEP_MS: u64 = 1_500;

/// Interval between two pieces in the schedule, in percent of the time in which the
/// origin sends a piece: at the end of a copy about ten pieces are requested at the
/// same time.
const SCHEDULE_PERCENT: u64 = 80;
/// Maximum lateness of the newest piece at which the origin counts as on schedule, in
/// milliseconds.
const ON_SCHEDULE_MS: u64 = 1_000;
/// Number of agents that may take over from a silent one: those to which it announces
/// its fetches.
const TAKEOVER_RANKS: u32 = FANOUT as u32;
/// Additional lateness tolerated for a piece that an agent has or is fetching, in
/// milliseconds: that agent's link is busy with other pieces, and a second fetch would
/// take time on the origin's link from pieces that no agent has. The piece is still
/// fetched again eventually, since the agent that announced it may have restarted
/// without it.
const IN_FLIGHT_TOLERANCE_MS: u64 = 1_500;
/// Lateness tolerated for every agent while the origin is on schedule, in milliseconds:
/// the spread of the agents' start times.
const TAKEOVER_BASE_MS: u64 = 150;
/// Additional lateness tolerated per rank, in milliseconds: the delay of an
/// announcement, plus one piece on the origin's link next to a few others. The piece of
/// a silent agent thus leaves the origin 0.3 s after its scheduled time instead of one
/// second.
const TAKEOVER_STEP_MS: u64 = 150;

/// Returns the source from which to fetch the piece, and its order: the lowest is
/// fetched first.
///
/// Pieces that other agents wait for come first, that is, those for which this agent is
/// near the root of the distribution tree; then those that few agents of the region
/// have.
pub fn choose_source(
    missing: MissingPiece,
    trees: &DistributionTrees,
    conditions: &FetchConditions,
) -> Option<(SourceKind, u32)> {
    let piece = missing.piece;
    let rank = trees.rank(piece).unwrap_or(0) as u32;
    let rank = rank.min(OWN_REGION_ORDER - 1);
    if missing.offered {
        return Some((SourceKind::Offer, rank));
    }
    if missing.near_holders > 0 {
        return Some((
            SourceKind::OwnRegion,
            OWN_REGION_ORDER + missing.near_holders as u32,
        ));
    }
    let known_ms = missing.far_holders_known_ms / CROSSING_TIMEOUT_FACTOR;
    let region_sources = trees.allowed_sources(piece, conditions.timeouts, known_ms);
    if region_sources.across_regions && missing.far_holders > 0 && conditions.may_cross_regions {
        return Some((SourceKind::OtherRegions, 1));
    }
    let overdue_ms = conditions.overdue_ms(piece);
    let excess_ms = match missing.is_in_flight() {
        true => overdue_ms.saturating_sub(IN_FLIGHT_TOLERANCE_MS),
        false => overdue_ms,
    };
    let origin_sources = trees.allowed_sources(piece, conditions.timeouts, excess_ms);
    let may_retry = conditions.may_retry_origin(rank);
    let may_take_over = trees.is_in_origin_region() && conditions.should_take_over(&missing, rank);
    let is_due = conditions.scheduled_time_reached(piece) && may_retry;
    if (origin_sources.from_origin || may_take_over) && is_due && conditions.can_ask_origin {
        return Some((SourceKind::Origin, rank));
    }
    None
}

impl MissingPiece {
    /// Whether an agent has the piece or recently announced that it is fetching it.
    fn is_in_flight(&self) -> bool {
        self.far_holders > 0 || self.announced_ms.is_some_and(|ms| ms < ANNOUNCEMENT_TTL_MS)
    }
}

/// Interval between two announcements of a fetch in progress, in milliseconds.
pub const ANNOUNCE_EVERY_MS: u64 = 150;
/// How long an announcement is valid, in milliseconds: an agent that stops or freezes
/// misses the next two.
const ANNOUNCEMENT_TTL_MS: u64 = 400;

/// Returns whether the agent announces that it is fetching the piece from the origin:
/// it is the first by rank, the scheduled time of the piece has come, and the origin's
/// last answer was not a failure. The agent may still be busy with the previous piece.
pub fn should_announce(
    piece: u32,
    trees: &DistributionTrees,
    conditions: &FetchConditions,
) -> bool {
    let is_first = trees.is_in_origin_region() && trees.rank(piece) == Some(0);
    is_first && conditions.scheduled_time_reached(piece) && conditions.origin_failed_ms.is_none()
}

impl FetchConditions {
    /// Whether the scheduled time of the piece has come. The origin sends pieces one
    /// after the other: it shares its link among all requested pieces, so that if all
    /// were requested at once the first would arrive together with the last.
    fn scheduled_time_reached(&self, piece: u32) -> bool {
        self.elapsed_ms >= self.scheduled_ms(piece)
    }

    /// Whether an agent of this rank may retry an origin that failed. The agents with
    /// the first rank for a piece retry first, so that one copy leaves a recovered
    /// origin rather than one per agent.
    fn may_retry_origin(&self, rank: u32) -> bool {
        let backoff_ms = u64::from(rank) * ORIGIN_RETRY_STEP_MS;
        self.origin_failed_ms
            .is_none_or(|failed_ms| failed_ms >= backoff_ms)
    }

    /// Whether the next agent by rank should fetch the piece while the origin still
    /// answers: the origin is on schedule, but the responsible agent has not announced
    /// the fetch or has stopped since.
    fn should_take_over(&self, missing: &MissingPiece, rank: u32) -> bool {
        let Some(newest) = self.highest_seen else {
            return false;
        };
        let is_on_schedule = self.late_ms(newest) <= ON_SCHEDULE_MS;
        let tolerated_ms = TAKEOVER_BASE_MS + u64::from(rank) * TAKEOVER_STEP_MS;
        let may_take = (1..=TAKEOVER_RANKS).contains(&rank) && !missing.is_in_flight();
        may_take && is_on_schedule && self.late_ms(missing.piece) >= tolerated_ms
    }

    /// Scheduled time of the piece: slightly faster than the origin sends, so that one
    /// late agent does not leave it idle.
    fn scheduled_ms(&self, piece: u32) -> u64 {
        let unscaled_ms = u64::from(self.schedule.position_of(piece)) * self.origin_piece_ms;
        unscaled_ms * SCHEDULE_PERCENT / 100
    }

    /// Time since the piece's scheduled time at the origin, in milliseconds.
    fn late_ms(&self, piece: u32) -> u64 {
        self.elapsed_ms.saturating_sub(self.scheduled_ms(piece))
    }

    /// How long the piece is overdue, in milliseconds: the time since the pieces up to
    /// it should have left the origin and crossed a link and the timeout of the
    /// responsible agent has passed.
    fn overdue_ms(&self, piece: u32) -> u64 {
        let piece_ms = self.origin_piece_ms.max(self.link_piece_ms);
        let due_ms =
            u64::from(self.schedule.position_of(piece) + 1) * piece_ms + self.timeouts.origin_ms;
        self.elapsed_ms.saturating_sub(due_ms)
    }
}
