//! Selects the next piece of a fetch and its source.

use crate::agent::digests::{live_agents, origin_region};
use crate::agent::fetch::{Fetch, PieceSource};
use crate::agent::offers::offers;
use crate::agent::update_loop::WantedVersion;
use crate::agent::uploads::link_kbps;
use crate::peer::CatalogOrigin;
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two updates of the membership, in milliseconds. Computing the
/// trees of all pieces takes about a millisecond with 200 agents.
const MEMBERSHIP_REFRESH_MS: u64 = 200;

/// The agents that take part in the distribution of a version, and the
/// resulting trees.
pub struct Membership {
    members: Vec<Member>,
    refreshed_at: Millis,
    /// Distribution tree of each piece.
    pub trees: Arc<DistributionTrees>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(own: &InstanceId) -> Self {
        Self {
            members: Vec::new(),
            refreshed_at: Millis(0),
            trees: Arc::new(DistributionTrees::new(own, &[], None, 0)),
        }
    }
}

/// Agents that can provide one piece: those that offered it, or else those
/// known to have it in this region and in other regions.
struct Holders {
    offers: Vec<SocketAddr>,
    own_region: Vec<SocketAddr>,
    other_regions: Vec<SocketAddr>,
}

impl Fetch {
    /// Returns the next piece to fetch and its source. At most `wave_size` pieces
    /// are fetched from other agents at the same time.
    pub(super) fn next_piece(&mut self, wave_size: usize) -> Option<(u32, PieceSource)> {
        let in_flight = self.in_flight.values();
        let from_agents = in_flight.filter(|source| matches!(source, PieceSource::Agent(_)));
        let may_ask_agents = from_agents.count() < wave_size;
        self.refresh_membership();
        let now = self.node.clock.now();
        let missing = self.missing();
        let (conditions, origins) = self.conditions(now, &missing);
        self.announce_due(&missing, &conditions);
        let view = self.node.view();
        let others = live_agents(&view, now);
        // Each agent starts at a different piece, so that agents of a region
        // fetch different pieces first.
        let offset = view.own.incarnation as usize;
        let count = missing.len();
        let mut best: Option<(u32, PieceSource, u32)> = None;
        for at in 0..count {
            let piece = missing[(at + offset) % count];
            if self.in_flight.contains_key(&piece) {
                continue;
            }
            let holders = self.holders(now, &others, &view.own.region, piece);
            let known_at = (!holders.other_regions.is_empty())
                .then(|| *self.far_holders_known_at.entry(piece).or_insert(now));
            let known = MissingPiece {
                piece,
                offered: !holders.offers.is_empty(),
                announced_ms: self.announced_ms(now, piece),
                near_holders: holders.own_region.len(),
                far_holders: holders.other_regions.len(),
                far_holders_known_ms: now.since(known_at.unwrap_or(now)),
            };
            let Some((kind, order)) = choose_source(known, &self.membership.trees, &conditions)
            else {
                continue;
            };
            let is_worse = best.as_ref().is_some_and(|(_, _, known)| order >= *known);
            if is_worse || !(may_ask_agents || kind == SourceKind::Origin) {
                continue;
            }
            let source = match kind {
                SourceKind::Offer => holders.offers.first().copied().map(PieceSource::Agent),
                SourceKind::OwnRegion => {
                    random_address(&holders.own_region).map(PieceSource::Agent)
                }
                SourceKind::OtherRegions => {
                    random_address(&holders.other_regions).map(PieceSource::Agent)
                }
                SourceKind::Origin => {
                    let mut free = origins.iter().map(|origin| PieceSource::Origin(*origin));
                    free.find(|source| !self.is_backing_off(now, piece, *source))
                }
            };
            if let Some(source) = source {
                best = Some((piece, source, order));
            }
        }
        best.map(|(piece, source, _)| (piece, source))
    }

    /// Returns the conditions that do not depend on the piece, and the origins
    /// that can be asked.
    fn conditions(&self, now: Millis, missing: &[u32]) -> (FetchConditions, Vec<SocketAddr>) {
        let own_link_kbps = link_kbps(&self.node);
        let view = self.node.view();
        let others = live_agents(&view, now);
        let origins = self.free_origins(now, &view.catalog.origins);
        let conditions = FetchConditions {
            timeouts: self.timeouts,
            elapsed_ms: now.since(self.schedule_started_at),
            schedule: self.schedule.clone(),
            origin_piece_ms: self.origin_piece_ms(&view),
            link_piece_ms: self.piece_ms(own_link_kbps),
            can_ask_origin: !origins.is_empty(),
            origin_failed_ms: self.origin_failed_at.map(|failed| now.since(failed)),
            may_cross_regions: !self.crosses_regions(&others),
            highest_seen: self.highest_seen(missing),
        };
        (conditions, origins)
    }

    /// Announces the pieces that this agent fetches from the origin.
    fn announce_due(&mut self, missing: &[u32], conditions: &FetchConditions) {
        let trees = self.membership.trees.clone();
        let is_due = |piece: &&u32| should_announce(**piece, &trees, conditions);
        for piece in missing.iter().filter(is_due) {
            self.announce(*piece);
        }
    }

    /// Returns the time since an agent last announced that it fetches the piece
    /// from the origin, in milliseconds; 0 once an agent has offered it.
    pub(super) fn announced_ms(&self, now: Millis, piece: u32) -> Option<u64> {
        let (offers, version) = (offers(&self.node), self.wanted.version);
        if !offers.offered_by(version, piece).is_empty() {
            return Some(0);
        }
        let announced_at = offers.announced_at(version, piece);
        announced_at.map(|at| now.since(at))
    }

    /// Returns the highest piece that this agent has or was offered.
    fn highest_seen(&self, missing: &[u32]) -> Option<u32> {
        let is_here = |piece: &u32| missing.binary_search(piece).is_err();
        let here = (0..self.wanted.model.pieces).rev().find(is_here);
        let offered = offers(&self.node).highest_piece(self.wanted.version);
        here.max(offered)
    }

    fn refresh_membership(&mut self) {
        let now = self.node.clock.now();
        let is_new = self.membership.members.is_empty();
        if !is_new && now.since(self.membership.refreshed_at) < MEMBERSHIP_REFRESH_MS {
            return;
        }
        self.membership.refreshed_at = now;
        let view = self.node.view();
        let others = live_agents(&view, now);
        let members = members(&view.own, &others, &self.wanted);
        if members == self.membership.members {
            return;
        }
        let region = origin_region(&self.node, &view);
        let parts = self.wanted.model.parts();
        let trees = DistributionTrees::new(&view.own.instance, &members, region.as_deref(), parts);
        self.membership.trees = Arc::new(trees);
        self.membership.members = members;
    }

    /// Returns the time that the fastest origin takes to send one piece, in
    /// milliseconds.
    pub(super) fn origin_piece_ms(&self, view: &View) -> u64 {
        let origins = view.catalog.origins.iter();
        let fastest = origins.map(|origin| origin.link_kbps).max();
        fastest.map_or(0, |kbps| self.piece_ms(kbps as f64))
    }

    /// Returns the time to send one piece over a link of this rate, in
    /// milliseconds.
    fn piece_ms(&self, link_kbps: f64) -> u64 {
        (self.wanted.model.piece_bytes as f64 * 8.0 / link_kbps.max(1.0)) as u64
    }

    fn is_backing_off(&self, now: Millis, piece: u32, source: PieceSource) -> bool {
        let until = self.source_backoffs.get(&(piece, source));
        until.is_some_and(|until| now < *until)
    }

    /// Returns the agents that have the piece and are not in backoff for it.
    fn holders(
        &self,
        now: Millis,
        others: &[&DaemonRecord],
        own_region: &str,
        piece: u32,
    ) -> Holders {
        let is_backing_off =
            |address: &SocketAddr| self.is_backing_off(now, piece, PieceSource::Agent(*address));
        let (model, version) = (&self.wanted.model.model, self.wanted.version);
        let mut offers = offers(&self.node).offered_by(version, piece).to_vec();
        offers.retain(|address| !is_backing_off(address));
        let mut holders = Holders {
            offers,
            own_region: Vec::new(),
            other_regions: Vec::new(),
        };
        if !holders.offers.is_empty() {
            return holders;
        }
        for other in others {
            let map = other.pieces_of(model, version);
            if !map.is_some_and(|map| map.has(piece)) || is_backing_off(&other.peer) {
                continue;
            }
            if other.region == own_region {
                holders.own_region.push(other.peer);
            } else {
                holders.other_regions.push(other.peer);
            }
        }
        holders
    }

    /// Returns whether a piece is being fetched from another region. Only one
    /// is at a time, since the links between regions are shared with requests.
    fn crosses_regions(&self, others: &[&DaemonRecord]) -> bool {
        let own_region = &self.node.settings.region;
        let is_far = |source: &PieceSource| {
            let mut remote = others.iter().filter(|other| other.region != *own_region);
            remote.any(|other| PieceSource::Agent(other.peer) == *source)
        };
        self.in_flight.values().any(is_far)
    }

    /// Returns the origins to which this agent may open another connection.
    fn free_origins(&self, now: Millis, origins: &[CatalogOrigin]) -> Vec<SocketAddr> {
        if self.origin_backoff.is_active(now) {
            return Vec::new();
        }
        let agents = self.membership.members.len();
        let has_room = |origin: &&CatalogOrigin| {
            let source = PieceSource::Origin(origin.address);
            let used = self.in_flight.values().filter(|s| **s == source).count();
            let share = origin.max_connections as usize / (agents * 2).max(1);
            origin.max_connections == 0 || used < share.max(1)
        };
        let free = origins.iter().filter(has_room);
        free.map(|origin| origin.address).collect()
    }
}

/// Returns a random address.
fn random_address(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let random = rand::random::<u32>() as usize;
    addresses.get(random % addresses.len().max(1)).copied()
}

/// Returns the agents that fetch the version or have it.
pub fn members(
    own: &DaemonRecord,
    others: &[&DaemonRecord],
    wanted: &WantedVersion,
) -> Vec<Member> {
    let takes_part = |other: &&&DaemonRecord| {
        // Agents without an engine fetch too: the engine may start later.
        other.state != DaemonState::Leaving
            // An agent that has just started has no pieces yet.
            && (other.pieces.is_empty()
                || other.pieces.iter().any(|map| map.version <= wanted.version))
    };
    let member = |instance: &InstanceId, region: &str| Member {
        instance: instance.clone(),
        region: region.to_string(),
    };
    let others = others.iter().filter(takes_part);
    let mut members: Vec<Member> = others.map(|o| member(&o.instance, &o.region)).collect();
    members.push(member(&own.instance, &own.region));
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}
