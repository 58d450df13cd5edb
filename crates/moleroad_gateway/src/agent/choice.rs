//! Choosing what a fetch asks for next, and whom.

use crate::agent::bring::Wanted;
use crate::agent::digests::{fellows, origin_region};
use crate::agent::fetch::{Fetch, Source};
use crate::agent::offers::offers;
use crate::agent::uploads::link_kbps;
use crate::peer::CatalogOrigin;
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between looks at who takes part, in milliseconds: working out the
/// trees of all pieces costs about a millisecond with 200 agents.
const MEMBERS_EVERY_MS: u64 = 200;

/// Who takes part, and the trees that follow from it.
pub struct Membership {
    members: Vec<Member>,
    looked_at: Millis,
    /// How each piece spreads.
    pub spread: Arc<DistributionTrees>,
}

impl Membership {
    /// Of nobody.
    pub fn new(own: &InstanceId) -> Self {
        Self {
            members: Vec::new(),
            looked_at: Millis(0),
            spread: Arc::new(DistributionTrees::new(own, &[], None, 0)),
        }
    }
}

/// Who could give one piece.
struct Holders {
    offers: Vec<SocketAddr>,
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
}

impl Fetch {
    /// The next piece to fetch and where from, when at most `at_once` come from
    /// other agents.
    pub(super) fn next(&mut self, at_once: usize) -> Option<(u32, Source)> {
        let under_way = self.under_way.values();
        let from_agents = under_way.filter(|source| matches!(source, Source::Agent(_)));
        let takes_more = from_agents.count() < at_once;
        self.look_at_members();
        let now = self.node.clock.now();
        let missing = self.missing();
        let (conditions, origins) = self.conditions(now, &missing);
        self.announce_due(&missing, &conditions);
        let view = self.node.view();
        let others = fellows(&view, now);
        // Another start in each agent, so that agents of a region bring
        // different pieces first.
        let offset = view.own.incarnation as usize;
        let count = missing.len();
        let mut best: Option<(u32, Source, u32)> = None;
        for at in 0..count {
            let piece = missing[(at + offset) % count];
            if self.under_way.contains_key(&piece) {
                continue;
            }
            let holders = self.holders(now, &others, &view.own.region, piece);
            let known_at =
                (!holders.far.is_empty()).then(|| *self.far_known_at.entry(piece).or_insert(now));
            let known = MissingPiece {
                piece,
                offered: !holders.offers.is_empty(),
                announced_ms: self.announced_ms(now, piece),
                near: holders.near.len(),
                far: holders.far.len(),
                far_known_ms: now.since(known_at.unwrap_or(now)),
            };
            let Some((kind, order)) = choose_source(known, &self.membership.spread, &conditions)
            else {
                continue;
            };
            let is_later = best.as_ref().is_some_and(|(_, _, known)| order >= *known);
            if is_later || !(takes_more || kind == SourceKind::Origin) {
                continue;
            }
            let source = match kind {
                SourceKind::Offer => holders.offers.first().copied().map(Source::Agent),
                SourceKind::OwnRegion => drawn(&holders.near).map(Source::Agent),
                SourceKind::OtherRegions => drawn(&holders.far).map(Source::Agent),
                SourceKind::Origin => {
                    let mut free = origins.iter().map(|origin| Source::Origin(*origin));
                    free.find(|source| !self.rests(now, piece, *source))
                }
            };
            if let Some(source) = source {
                best = Some((piece, source, order));
            }
        }
        best.map(|(piece, source, _)| (piece, source))
    }

    /// What the choice depends on beside the piece, and the origins that can be
    /// asked.
    fn conditions(&self, now: Millis, missing: &[u32]) -> (FetchConditions, Vec<SocketAddr>) {
        let own_link_kbps = link_kbps(&self.node);
        let view = self.node.view();
        let others = fellows(&view, now);
        let origins = self.free_origins(now, &view.catalog.origins);
        let conditions = FetchConditions {
            patience: self.patience,
            elapsed_ms: now.since(self.divided_at),
            turns: self.turns.clone(),
            origin_piece_ms: self.origin_piece_ms(&view),
            link_piece_ms: self.piece_ms(own_link_kbps),
            can_ask_origin: !origins.is_empty(),
            origin_failed_ms: self.origin_failed_at.map(|failed| now.since(failed)),
            may_cross_regions: !self.crosses_regions(&others),
            newest_seen: self.newest_seen(missing),
        };
        (conditions, origins)
    }

    /// Tells others which pieces this agent draws from the origin.
    fn announce_due(&mut self, missing: &[u32], conditions: &FetchConditions) {
        let spread = self.membership.spread.clone();
        let is_due = |piece: &&u32| should_announce(**piece, &spread, conditions);
        for piece in missing.iter().filter(is_due) {
            self.announce(*piece);
        }
    }

    /// Time since an agent last said that it draws the piece from the origin; 0
    /// once one has it.
    pub(super) fn announced_ms(&self, now: Millis, piece: u32) -> Option<u64> {
        let (offers, version) = (offers(&self.node), self.wanted.version);
        if !offers.of(version, piece).is_empty() {
            return Some(0);
        }
        let announced_at = offers.announced_at(version, piece);
        announced_at.map(|at| now.since(at))
    }

    /// The highest piece that is here or was offered.
    fn newest_seen(&self, missing: &[u32]) -> Option<u32> {
        let is_here = |piece: &u32| missing.binary_search(piece).is_err();
        let here = (0..self.wanted.model.pieces).rev().find(is_here);
        let offered = offers(&self.node).newest(self.wanted.version);
        here.max(offered)
    }

    fn look_at_members(&mut self) {
        let now = self.node.clock.now();
        let is_new = self.membership.members.is_empty();
        if !is_new && now.since(self.membership.looked_at) < MEMBERS_EVERY_MS {
            return;
        }
        self.membership.looked_at = now;
        let view = self.node.view();
        let others = fellows(&view, now);
        let members = members(&view.own, &others, &self.wanted);
        if members == self.membership.members {
            return;
        }
        let region = origin_region(&self.node, &view);
        let parts = self.wanted.model.parts();
        let spread = DistributionTrees::new(&view.own.instance, &members, region.as_deref(), parts);
        self.membership.spread = Arc::new(spread);
        self.membership.members = members;
    }

    /// Time that the fastest origin takes for one piece, in milliseconds.
    pub(super) fn origin_piece_ms(&self, view: &View) -> u64 {
        let origins = view.catalog.origins.iter();
        let fastest = origins.map(|origin| origin.link_kbps).max();
        fastest.map_or(0, |kbps| self.piece_ms(kbps as f64))
    }

    /// Time that a link of this rate takes for one piece, in milliseconds.
    fn piece_ms(&self, link_kbps: f64) -> u64 {
        (self.wanted.model.piece_bytes as f64 * 8.0 / link_kbps.max(1.0)) as u64
    }

    fn rests(&self, now: Millis, piece: u32, source: Source) -> bool {
        let until = self.resting.get(&(piece, source));
        until.is_some_and(|until| now < *until)
    }

    /// The agents that have the piece and are not left alone.
    fn holders(
        &self,
        now: Millis,
        others: &[&DaemonRecord],
        own_region: &str,
        piece: u32,
    ) -> Holders {
        let rests = |address: &SocketAddr| self.rests(now, piece, Source::Agent(*address));
        let (model, version) = (&self.wanted.model.model, self.wanted.version);
        let mut offers = offers(&self.node).of(version, piece).to_vec();
        offers.retain(|address| !rests(address));
        let mut holders = Holders {
            offers,
            near: Vec::new(),
            far: Vec::new(),
        };
        if !holders.offers.is_empty() {
            return holders;
        }
        for other in others {
            let map = other.pieces_of(model, version);
            if !map.is_some_and(|map| map.has(piece)) || rests(&other.peer) {
                continue;
            }
            if other.region == own_region {
                holders.near.push(other.peer);
            } else {
                holders.far.push(other.peer);
            }
        }
        holders
    }

    /// Whether a piece is under way from another region: one at a time, since
    /// requests share the links between regions.
    fn crosses_regions(&self, others: &[&DaemonRecord]) -> bool {
        let own_region = &self.node.settings.region;
        let is_far = |source: &Source| {
            let mut far = others.iter().filter(|other| other.region != *own_region);
            far.any(|other| Source::Agent(other.peer) == *source)
        };
        self.under_way.values().any(is_far)
    }

    /// Origins that take another connection from this agent.
    fn free_origins(&self, now: Millis, origins: &[CatalogOrigin]) -> Vec<SocketAddr> {
        if self.origin_pause.is_active(now) {
            return Vec::new();
        }
        let agents = self.membership.members.len();
        let has_room = |origin: &&CatalogOrigin| {
            let source = Source::Origin(origin.address);
            let used = self.under_way.values().filter(|s| **s == source).count();
            let share = origin.max_connections as usize / (agents * 2).max(1);
            origin.max_connections == 0 || used < share.max(1)
        };
        let free = origins.iter().filter(has_room);
        free.map(|origin| origin.address).collect()
    }
}

/// One of them, by chance.
fn drawn(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let draw = rand::random::<u32>() as usize;
    addresses.get(draw % addresses.len().max(1)).copied()
}

/// Agents that want the version or have it.
pub fn members(own: &DaemonRecord, others: &[&DaemonRecord], wanted: &Wanted) -> Vec<Member> {
    let takes_part = |other: &&&DaemonRecord| {
        // One without an engine fetches too: the engine may begin later.
        other.state != DaemonState::Leaving
            // One that begins has no pieces yet.
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
