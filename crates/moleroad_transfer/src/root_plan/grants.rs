//! Who draws which chunk, and from where.

use super::{OutstandingGrant, RootPlan};
use crate::grant::{Objective, Source};
use crate::peers::Place;
use crate::planner::PlannerSettings;
use moleroad_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Grants that one agent may hold at a time.
const GRANTS_PER_AGENT: usize = 2;
/// Shortest time before a grant counts as slow, in milliseconds.
const SLOW_GRANT_FLOOR_MS: u64 = 1_000;
/// How many times the expected span a grant may take, by objective.
const SLOW_FACTOR_TIME: u64 = 3;
const SLOW_FACTOR_ORIGIN_BYTES: u64 = 10;

impl RootPlan {
    /// Takes back grants that take too long.
    pub(crate) fn expire(&mut self, now: Millis, settings: &PlannerSettings) {
        let limit = self.slow_after_ms(settings);
        let chunks = &self.chunks;
        let slow: Vec<(ChunkIndex, InstanceId)> = self
            .granted
            .iter()
            .flat_map(|chunk| {
                chunks[chunk.0 as usize]
                    .grants
                    .iter()
                    .map(move |grant| (*chunk, grant))
            })
            .filter(|(_, grant)| now.since(grant.granted_at) > limit)
            .map(|(chunk, grant)| (chunk, grant.agent.clone()))
            .collect();
        for (chunk, agent) in slow {
            self.chunks[chunk.0 as usize]
                .grants
                .retain(|grant| grant.agent != agent);
            if let Some(grants) = self.grants_by_agent.get_mut(&agent) {
                grants.remove(&chunk);
            }
            self.changed.insert(agent);
            self.after_grant_removed(chunk);
        }
    }

    fn slow_after_ms(&self, settings: &PlannerSettings) -> u64 {
        let rate = settings
            .link_bytes_per_second
            .min(settings.origin_bytes_per_second);
        let chunk_ms = u64::from(self.wanted.chunk_bytes) * 1_000 / rate;
        let expected = chunk_ms * GRANTS_PER_AGENT as u64 * 2 + settings.control_latency_ms;
        let factor = match settings.objective {
            Objective::Time => SLOW_FACTOR_TIME,
            Objective::OriginBytes => SLOW_FACTOR_ORIGIN_BYTES,
        };
        (expected * factor).max(SLOW_GRANT_FLOOR_MS)
    }

    /// Lets each region that lacks a held chunk import it once.
    pub(crate) fn grant_imports(&mut self, now: Millis, places: &BTreeMap<InstanceId, Place>) {
        if self.importable.is_empty() {
            return;
        }
        let regions = self.agents_by_region(places);
        let mut free: BTreeMap<Region, VecDeque<InstanceId>> = regions
            .into_iter()
            .map(|(region, agents)| (region, self.free_agents(agents)))
            .collect();
        let waiting: Vec<ChunkIndex> = self.importable.iter().copied().collect();
        for chunk in waiting {
            self.import_chunk(now, chunk, &mut free, places);
        }
    }

    fn import_chunk(
        &mut self,
        now: Millis,
        chunk: ChunkIndex,
        free: &mut BTreeMap<Region, VecDeque<InstanceId>>,
        places: &BTreeMap<InstanceId, Place>,
    ) {
        let state = &self.chunks[chunk.0 as usize];
        let Some(seed) = state.seed.clone() else {
            self.importable.remove(&chunk);
            return;
        };
        let region_of = |agent: &InstanceId| places.get(agent).map(|place| &place.region);
        let mut done = true;
        let mut chosen = Vec::new();
        for (region, agents) in free.iter_mut() {
            let held = state.holders.contains_key(region);
            let drawn = state
                .grants
                .iter()
                .any(|grant| region_of(&grant.agent) == Some(region));
            if held || drawn {
                continue;
            }
            done = false;
            if let Some(agent) = agents.pop_front() {
                chosen.push(agent);
            }
        }
        if done {
            self.importable.remove(&chunk);
        }
        for agent in chosen {
            self.grant(now, agent, chunk, Source::Peer(seed.clone()));
        }
    }

    fn agents_by_region(
        &self,
        places: &BTreeMap<InstanceId, Place>,
    ) -> BTreeMap<Region, Vec<InstanceId>> {
        let mut regions: BTreeMap<Region, Vec<InstanceId>> = BTreeMap::new();
        for agent in &self.wanted.agents {
            if let Some(place) = places.get(agent) {
                regions
                    .entry(place.region.clone())
                    .or_default()
                    .push(agent.clone());
            }
        }
        regions
    }

    /// Agents that may take a grant, those with the fewest draws first; each
    /// as often as it may take one.
    fn free_agents(&self, agents: Vec<InstanceId>) -> VecDeque<InstanceId> {
        let mut slots: Vec<(u32, InstanceId)> = Vec::new();
        for agent in agents {
            let held = self.grants_by_agent.get(&agent).map_or(0, BTreeSet::len);
            let draws = self.draws.get(&agent).copied().unwrap_or(0);
            for extra in 0..GRANTS_PER_AGENT.saturating_sub(held) as u32 {
                slots.push((draws + extra, agent.clone()));
            }
        }
        slots.sort();
        slots.into_iter().map(|(_, agent)| agent).collect()
    }

    fn grant(&mut self, now: Millis, agent: InstanceId, chunk: ChunkIndex, source: Source) {
        *self.draws.entry(agent.clone()).or_default() += 1;
        self.changed.insert(agent.clone());
        self.grants_by_agent
            .entry(agent.clone())
            .or_default()
            .insert(chunk);
        self.granted.insert(chunk);
        let grant = OutstandingGrant {
            agent,
            source,
            granted_at: now,
        };
        self.chunks[chunk.0 as usize].grants.push(grant);
    }

    /// Whether some chunk may be drawn from the origin now.
    pub(crate) fn needs_origin(&self, now: Millis, settings: &PlannerSettings) -> bool {
        self.unheld
            .iter()
            .any(|chunk| self.may_draw(now, settings, *chunk))
    }

    /// Whether nobody holds or draws the chunk and it is not waited for.
    fn may_draw(&self, now: Millis, settings: &PlannerSettings, chunk: ChunkIndex) -> bool {
        let state = &self.chunks[chunk.0 as usize];
        let drawn = state
            .grants
            .iter()
            .any(|grant| grant.source == Source::Origin);
        if !state.holders.is_empty() || drawn || now < state.origin_not_before {
            return false;
        }
        let Some(lost_at) = state.lost_at else {
            return true;
        };
        let budget =
            self.wanted.chunk_count as u64 * u64::from(settings.extra_copies_percent) / 100;
        let extra = self
            .origin_chunks_granted
            .saturating_sub(self.wanted.chunk_count as u64);
        let draws_at_once = settings.objective == Objective::Time && extra < budget;
        draws_at_once || now.since(lost_at) >= settings.holder_wait_ms
    }

    /// Grants the next chunk from the origin and returns its bytes.
    pub(crate) fn grant_origin(
        &mut self,
        now: Millis,
        settings: &PlannerSettings,
        places: &BTreeMap<InstanceId, Place>,
    ) -> Option<u64> {
        let mut unheld = self.unheld.iter();
        let chunk = unheld
            .find(|chunk| self.may_draw(now, settings, **chunk))
            .copied()?;
        let agent = self.next_drawer(chunk, places)?;
        self.unheld.remove(&chunk);
        self.grant(now, agent, chunk, Source::Origin);
        self.origin_chunks_granted += 1;
        Some(u64::from(self.wanted.chunk_bytes))
    }

    /// The agent with the fewest draws that may take another grant.
    fn next_drawer(
        &self,
        chunk: ChunkIndex,
        places: &BTreeMap<InstanceId, Place>,
    ) -> Option<InstanceId> {
        let may_take = |agent: &&InstanceId| {
            let grants = self.grants_by_agent.get(*agent);
            places.contains_key(*agent)
                && grants.is_none_or(|grants| {
                    grants.len() < GRANTS_PER_AGENT && !grants.contains(&chunk)
                })
        };
        let candidates = self.wanted.agents.iter().filter(may_take);
        let fewest = candidates.min_by_key(|agent| self.draws.get(*agent).copied().unwrap_or(0));
        fewest.cloned()
    }
}
