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
    /// Without a new piece for this long it takes pieces from any agent, in
    /// milliseconds.
    pub across_regions_ms: u64,
    /// Without a new piece for this long it takes pieces from the origin, in
    /// milliseconds.
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

/// What the agent `own` may do for `piece`, after `idle_ms` without a new one.
///
/// `members` are all agents that take part, the same for all of them;
/// `origin_region` is where the origin stands, if that is known.
pub fn permission(
    own: &InstanceId,
    members: &[Member],
    origin_region: Option<&str>,
    piece: u32,
    patience: Patience,
    idle_ms: u64,
) -> Permission {
    let mut regions: BTreeMap<&str, Vec<&InstanceId>> = BTreeMap::new();
    for member in members {
        let region = regions.entry(&member.region).or_default();
        region.push(&member.instance);
    }
    let first_region = origin_region
        .filter(|region| regions.contains_key(region))
        .or_else(|| regions.keys().next().copied());
    let own_region = members.iter().find(|member| member.instance == *own);
    let own_region = own_region.map(|member| member.region.as_str());
    let chosen = own_region.and_then(|region| holder_of(regions.get(region)?, piece));
    let is_chosen = chosen.is_none_or(|chosen| chosen == own);
    let in_first = own_region.is_none() || own_region == first_region;
    Permission {
        across_regions: (is_chosen && !in_first) || idle_ms >= patience.across_regions_ms,
        from_origin: (is_chosen && in_first) || idle_ms >= patience.origin_ms,
    }
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

/// The agent of a region that brings `piece` into it: highest random weight,
/// so that a change of agents moves few pieces.
fn holder_of<'a>(agents: &[&'a InstanceId], piece: u32) -> Option<&'a InstanceId> {
    let weight = |agent: &&&InstanceId| {
        let mut hasher = DefaultHasher::new();
        agent.hash(&mut hasher);
        piece.hash(&mut hasher);
        hasher.finish()
    };
    agents.iter().max_by_key(weight).copied()
}
