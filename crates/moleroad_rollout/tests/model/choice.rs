//! Which piece an agent of the simulated swarm fetches next, and from whom.

use super::{Agent, Source, Swarm};
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;
use rand::Rng;
use std::collections::HashMap;

/// Maximum number of holders of a piece that are counted.
const MAX_COUNTED: usize = 8;

impl Swarm {
    /// Returns the next piece for the agent and its source.
    pub(super) fn next(
        &mut self,
        now: u64,
        index: usize,
        may_fetch_more: bool,
    ) -> Option<(u32, Source)> {
        let conditions = self.conditions(now, &self.agents[index]);
        self.announce_due(now, index, &conditions);
        let mut far_holders_known_ms = std::mem::take(&mut self.agents[index].far_holders_known_ms);
        let agent = &self.agents[index];
        let mut best: Option<(u32, SourceKind, u32)> = None;
        for at in 0..self.setup.pieces {
            let piece = (at + index as u32) % self.setup.pieces;
            if agent.held.contains(&piece) || agent.in_flight.contains_key(&piece) {
                continue;
            }
            let missing = self.missing_piece(now, agent, piece, &mut far_holders_known_ms);
            if let Some((kind, order)) = choose_source(missing, &agent.trees, &conditions)
                && (may_fetch_more || kind == SourceKind::Origin)
                && best.is_none_or(|(_, _, known)| order < known)
            {
                best = Some((piece, kind, order));
            }
        }
        self.agents[index].far_holders_known_ms = far_holders_known_ms;
        let (piece, kind, _) = best?;
        Some((piece, self.choose_holder(now, index, piece, kind)))
    }

    fn conditions(&self, now: u64, agent: &Agent) -> FetchConditions {
        FetchConditions {
            timeouts: TakeoverTimeouts::for_pieces(self.setup.link_piece_ms * 1_000 / 8, 1.0),
            elapsed_ms: now - agent.schedule_start_ms,
            schedule: agent.schedule.clone(),
            origin_piece_ms: self.setup.origin_piece_ms,
            link_piece_ms: self.setup.link_piece_ms,
            can_ask_origin: !agent.origin_backoff.is_active(Millis(now))
                && !agent.in_flight.values().any(|from| *from == Source::Origin),
            may_cross_regions: true,
            highest_seen: agent.held.iter().chain(agent.offers.keys()).max().copied(),
            origin_failed_ms: agent.origin_failed_ms.map(|failed| now - failed),
        }
    }

    /// Announces the pieces that the agent will fetch from the origin.
    fn announce_due(&mut self, now: u64, index: usize, conditions: &FetchConditions) {
        let agent = &self.agents[index];
        let missing = (0..self.setup.pieces).filter(|piece| !agent.held.contains(piece));
        let due: Vec<u32> = missing
            .filter(|piece| should_announce(*piece, &agent.trees, conditions))
            .collect();
        due.into_iter()
            .for_each(|piece| self.announce(now, index, piece));
    }

    /// Returns what the agent knows of a piece that it lacks.
    fn missing_piece(
        &self,
        now: u64,
        agent: &Agent,
        piece: u32,
        far_holders_known_ms: &mut HashMap<u32, u64>,
    ) -> MissingPiece {
        let count = |is_near| {
            let holders = self.usable_holders(now, agent, piece, is_near);
            holders.take(MAX_COUNTED).count()
        };
        let far_holders = count(false);
        let mut offers = agent.offers.get(&piece).into_iter().flatten();
        MissingPiece {
            piece,
            offered: offers.any(|offer| !agent.is_backed_off(now, piece, Source::Agent(*offer))),
            announced_ms: if agent.offers.get(&piece).is_some_and(|o| !o.is_empty()) {
                Some(0)
            } else {
                agent.announced.get(&piece).map(|at| now - at)
            },
            near_holders: count(true),
            far_holders,
            far_holders_known_ms: if far_holders > 0 {
                now - *far_holders_known_ms.entry(piece).or_insert(now)
            } else {
                0
            },
        }
    }

    /// Returns the holders of a piece in the agent's own region, or in the others, that it
    /// does not leave alone.
    fn usable_holders(
        &self,
        now: u64,
        agent: &Agent,
        piece: u32,
        is_near: bool,
    ) -> impl Iterator<Item = usize> {
        let own = agent.region;
        let regions = (0..self.setup.regions).filter(move |region| (*region == own) == is_near);
        let known = regions.filter_map(move |region| self.known[region].get(&piece));
        let holders = known.flatten().copied();
        holders.filter(move |holder| !agent.is_backed_off(now, piece, Source::Agent(*holder)))
    }

    /// Chooses one of the sources of `kind` at random.
    fn choose_holder(&mut self, now: u64, index: usize, piece: u32, kind: SourceKind) -> Source {
        let agent = &self.agents[index];
        let is_usable = |holder: &usize| !agent.is_backed_off(now, piece, Source::Agent(*holder));
        let holders: Vec<usize> = match kind {
            SourceKind::Origin => return Source::Origin,
            SourceKind::Offer => {
                let offers = agent.offers.get(&piece).into_iter().flatten().copied();
                offers.filter(is_usable).take(1).collect()
            }
            SourceKind::OwnRegion => self.usable_holders(now, agent, piece, true).collect(),
            SourceKind::OtherRegions => self.usable_holders(now, agent, piece, false).collect(),
        };
        let index = self.random.random_range(0..holders.len());
        Source::Agent(holders[index])
    }
}
