//! Which piece is fetched next, and from whom.

use super::{Fetch, Source};
use crate::agent::bring::Wanted;
use crate::agent::digests::fellows;
use crate::peer::CatalogOrigin;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use std::net::SocketAddr;

/// Pieces from other regions at once: one that is on its way and one that
/// waits at its agent.
const MOST_ACROSS: usize = 2;

impl Fetch {
    /// The next piece to fetch and where from.
    pub(super) fn next(&mut self) -> Option<(u32, Source)> {
        let now = self.node.clock.now();
        let missing = self.missing();
        let view = self.node.view();
        let idle_ms = now.since(self.progress_at);
        let own = &view.own;
        let others = fellows(&view, now);
        let members = members(own, &others, &self.wanted);
        let origins = self.free_origins(&view.catalog.origins, members.len());
        let fastest = fastest_origin_kbps(&view.catalog.origins);
        let elapsed_ms = now.since(self.began_at);
        let may_have_unknown_fellows = members.len() == 1 && self.node.is_young(now);
        // Another start in each agent, so that agents of a region bring
        // different pieces first.
        let offset = own.incarnation as usize;
        let count = missing.len();
        let mut best: Option<(u32, Source, u32)> = None;
        for at in 0..count {
            let piece = missing[(at + offset) % count];
            if self.under_way.contains_key(&piece) {
                continue;
            }
            let due_ms = draw_after_ms(piece, self.wanted.model.piece_bytes, fastest);
            let overdue_ms = elapsed_ms.saturating_sub(due_ms + SPREAD_MS);
            let waited_ms = idle_ms.max(overdue_ms);
            let allowed = permission(&own.instance, &members, piece, self.patience, waited_ms);
            let is_due = elapsed_ms >= due_ms || waited_ms >= self.patience.across_regions_ms;
            let is_known_gap = !may_have_unknown_fellows || piece < DRAWN_AT_ONCE;
            let allowed = Permission {
                from_origin: allowed.from_origin && is_due && is_known_gap,
                ..allowed
            };
            let sources = self.sources(now, own, &others, &origins, piece, allowed);
            if let Some((source, rank)) = sources
                && best.as_ref().is_none_or(|(_, _, known)| rank < *known)
            {
                best = Some((piece, source, rank));
            }
        }
        best.map(|(piece, source, _)| (piece, source))
    }

    /// Whether as many pieces are under way from other regions as may be:
    /// requests share the links between regions.
    fn crosses_regions(&self) -> bool {
        let is_far = |source: &&Source| matches!(source, Source::Agent { is_far: true, .. });
        self.under_way.values().filter(is_far).count() >= MOST_ACROSS
    }

    /// Origins that take another connection from this agent.
    fn free_origins(&self, origins: &[CatalogOrigin], agents: usize) -> Vec<SocketAddr> {
        let has_room = |origin: &&CatalogOrigin| {
            let source = Source::Origin(origin.address);
            let used = self.under_way.values().filter(|s| **s == source).count();
            let share = origin.max_connections as usize / (agents * 2).max(1);
            origin.max_connections == 0 || used < share.max(1)
        };
        let free = origins.iter().filter(has_room);
        free.map(|origin| origin.address).collect()
    }

    /// The best source of a piece and its rank; the lowest rank is fetched
    /// first: what others wait for, then what is rare.
    fn sources(
        &self,
        now: Millis,
        own: &DaemonRecord,
        others: &[&DaemonRecord],
        origins: &[SocketAddr],
        piece: u32,
        allowed: Permission,
    ) -> Option<(Source, u32)> {
        let rests = |source: Source| {
            let until = self.resting.get(&(piece, source));
            until.is_some_and(|until| now < *until)
        };
        let holds = |other: &&&DaemonRecord| {
            let map = other.pieces_of(&self.wanted.model.model, self.wanted.version);
            map.is_some_and(|map| map.has(piece)) && !rests(source_of(own, other))
        };
        let holders: Vec<&&DaemonRecord> = others.iter().filter(holds).collect();
        let near: Vec<_> = holders.iter().filter(|o| o.region == own.region).collect();
        if let Some(source) = self.least_asked(own, &near) {
            return Some((source, 100 + near.len() as u32));
        }
        if allowed.across_regions && !self.crosses_regions() {
            let far: Vec<_> = holders.iter().collect();
            if let Some(source) = self.least_asked(own, &far) {
                return Some((source, 1));
            }
        }
        // What an agent has need not leave the origin again, unless the agent
        // does not give it.
        let must_be_drawn = holders.is_empty() || self.idle_ms() >= self.patience.origin_ms;
        if allowed.from_origin && must_be_drawn && !self.origin_pause.lasts(now) {
            let free = origins.iter().map(|origin| Source::Origin(*origin));
            return free.filter(|s| !rests(*s)).map(|source| (source, 0)).next();
        }
        None
    }

    /// The agent that this one waits for the fewest pieces from; one of them
    /// by chance.
    fn least_asked(&self, own: &DaemonRecord, holders: &[&&&DaemonRecord]) -> Option<Source> {
        let asked = |source: &Source| self.under_way.values().filter(|s| *s == source).count();
        let sources = holders.iter().map(|holder| source_of(own, holder));
        sources.min_by_key(|source| (asked(source), rand::random::<u32>()))
    }
}

fn source_of(own: &DaemonRecord, holder: &DaemonRecord) -> Source {
    Source::Agent {
        address: holder.peer,
        is_far: holder.region != own.region,
    }
}

/// Rate of the fastest origin, in kbit/s; 0 when none is told.
fn fastest_origin_kbps(origins: &[CatalogOrigin]) -> u64 {
    let rates = origins.iter().map(|origin| origin.link_kbps);
    rates.max().unwrap_or_default()
}

/// Agents that want the version or have it.
pub fn members(own: &DaemonRecord, others: &[&DaemonRecord], wanted: &Wanted) -> Vec<Member> {
    let takes_part = |other: &&&DaemonRecord| {
        other.state != DaemonState::Leaving
            && other.report.is_some()
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
