//! Where an agent may take a piece from.

use moleroad_types::prelude::InstanceId;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

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
pub struct Permission {
    /// Take it from agents of other regions.
    pub across_regions: bool,
    /// Take it from the origin.
    pub from_origin: bool,
}

/// How long an agent that gets nothing keeps to the division of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Without a new piece for this long the next agent of the region takes
    /// over from the one before it, in milliseconds.
    pub across_regions_ms: u64,
    /// Without a new piece for this long, beside its turn, an agent outside
    /// the origin's region takes pieces from the origin, in milliseconds.
    pub origin_ms: u64,
}

impl Patience {
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

/// When `piece` may be drawn from an origin, in milliseconds after the copy
/// began: in the order of their numbers and a few at a time, so that each is
/// there soon and can be passed on while the next ones are drawn. With an
/// unknown rate (0) all may be drawn at once.
pub fn draw_after_ms(piece: u32, piece_bytes: u64, origin_kbps: u64) -> u64 {
    if origin_kbps == 0 {
        return 0;
    }
    let piece_ms = piece_bytes as f64 * 8.0 / origin_kbps as f64;
    (f64::from(piece.saturating_sub(DRAWN_AT_ONCE)) * piece_ms) as u64
}

/// Pieces that leave an origin at the same time: enough to keep its link full
/// when the time between one piece and the next call is a piece's own.
pub const DRAWN_AT_ONCE: u32 = 4;

/// Time from the draw of a piece until agents of other regions know of it, in
/// milliseconds: the calls that wait for the origin's link, and two times of
/// news. What is missing then is overdue, whoever was to bring it.
pub const SPREAD_MS: u64 = 600;

/// What the agent `own` may do for `piece`, after `idle_ms` in which nothing
/// came or the piece was overdue.
///
/// In each region one agent, the first by weight, takes a piece from outside
/// at once; the second may after one time of patience, the third after two,
/// and so on: agents that all lose patience at the same time would take the
/// connections of the origin from each other. From the origin the piece goes
/// into its [`first_region`].
///
/// `members` are all agents that take part, the same for all of them.
pub fn permission(
    own: &InstanceId,
    members: &[Member],
    piece: u32,
    patience: Patience,
    idle_ms: u64,
) -> Permission {
    let Some(known) = members.iter().find(|member| member.instance == *own) else {
        return Permission {
            across_regions: true,
            from_origin: true,
        };
    };
    let first_region = first_region(members, piece);
    let own_weight = weight(own, piece);
    let goes_before = |member: &&Member| {
        member.region == known.region && weight(&member.instance, piece) > own_weight
    };
    let rank = members.iter().filter(goes_before).count() as u64;
    let turn_ms = rank * patience.across_regions_ms;
    if Some(known.region.as_str()) == first_region {
        Permission {
            across_regions: idle_ms >= turn_ms + patience.across_regions_ms,
            from_origin: idle_ms >= turn_ms,
        }
    } else {
        Permission {
            across_regions: idle_ms >= turn_ms,
            from_origin: idle_ms >= turn_ms + patience.origin_ms,
        }
    }
}

/// The region whose agents draw `piece` from the origin: that of the first of
/// all agents by weight. If one region drew all pieces, its agents would have
/// to give each of them to their own region and to all others, and the copies
/// would wait for their links.
pub fn first_region(members: &[Member], piece: u32) -> Option<&str> {
    drawer(members, piece).map(|member| member.region.as_str())
}

/// The agent that draws `piece` from the origin first.
pub fn drawer(members: &[Member], piece: u32) -> Option<&Member> {
    let weight = |member: &&Member| weight(&member.instance, piece);
    members.iter().max_by_key(weight)
}

/// What came of asking another agent for the digests of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedHolder {
    /// Nobody that might have them was reached.
    NobodyKnows,
    /// It has pieces and no digests.
    HasPiecesOnly,
}

/// Whether an agent asks the origin for the digests of a version.
///
/// An engine that held the weights from its start needs no digests, and its
/// agent never asks for them: to wait until others bring them is in vain.
pub fn may_ask_origin_for_digests(is_own_turn: bool, asked: AskedHolder) -> bool {
    is_own_turn || asked == AskedHolder::HasPiecesOnly
}

/// The agents that bring `piece` into the regions other than `own_region`.
pub fn carriers<'a>(members: &'a [Member], own_region: &str, piece: u32) -> Vec<&'a InstanceId> {
    let mut regions: BTreeMap<&str, Vec<&InstanceId>> = BTreeMap::new();
    let others = members.iter().filter(|m| m.region != own_region);
    for member in others {
        let region = regions.entry(&member.region).or_default();
        region.push(&member.instance);
    }
    let chosen = regions.values().map(|agents| holder_of(agents, piece));
    chosen.flatten().collect()
}

/// The agent of a region that brings `piece` into it first.
fn holder_of<'a>(agents: &[&'a InstanceId], piece: u32) -> Option<&'a InstanceId> {
    let first = agents.iter().max_by_key(|agent| weight(agent, piece));
    first.copied()
}

/// Highest random weight, so that a change of agents moves few pieces.
fn weight(agent: &InstanceId, piece: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    agent.hash(&mut hasher);
    piece.hash(&mut hasher);
    hasher.finish()
}
