//! The plan for one root: which chunk is held where, and who draws it.

use crate::chunk_set::ChunkSet;
use crate::grant::{Grant, Objective, Source};
use crate::peers::{PeerRings, Place};
use crate::planner::{PlannerSettings, WantedWeights, is_origin};
use moleroad_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Grants that one agent may hold at a time.
const GRANTS_PER_AGENT: usize = 2;
/// Children of each agent in the tree plan.
const TREE_FAN_OUT: usize = 2;
/// Wait after a first failed draw from the origin; it doubles with each more,
/// so that an origin whose bytes changed is not drawn from for ever.
const FAILED_DRAW_WAIT_MS: u64 = 250;
/// Longest such wait.
const MAX_FAILED_DRAW_WAIT_MS: u64 = 30_000;
/// Shortest time before a grant counts as slow, in milliseconds.
const SLOW_GRANT_FLOOR_MS: u64 = 1_000;
/// How many times the expected span a grant may take, by objective.
const SLOW_FACTOR_TIME: u64 = 3;
const SLOW_FACTOR_ORIGIN_BYTES: u64 = 10;

#[derive(Clone, Debug)]
struct OutstandingGrant {
    agent: InstanceId,
    source: Source,
    granted_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct ChunkState {
    /// Live holders, by region.
    holders: BTreeMap<Region, u32>,
    /// One agent that holds the chunk and may be imported from.
    seed: Option<InstanceId>,
    /// Grants not yet carried out; at most one an agent.
    grants: Vec<OutstandingGrant>,
    /// When the last holder went away.
    lost_at: Option<Millis>,
    /// Draws from the origin that failed in a row.
    origin_failures: u32,
    /// When the origin may be asked again after such a failure.
    origin_not_before: Millis,
}

/// What is known and planned for one root.
#[derive(Clone, Debug)]
pub(crate) struct RootPlan {
    wanted: WantedWeights,
    chunks: Vec<ChunkState>,
    have: BTreeMap<InstanceId, (Region, ChunkSet)>,
    /// Agents that hold every chunk.
    complete: BTreeSet<InstanceId>,
    /// Chunks that nobody holds and nobody draws from the origin.
    unheld: BTreeSet<ChunkIndex>,
    /// Chunks with grants that are not carried out.
    granted: BTreeSet<ChunkIndex>,
    /// Chunks that some region may still have to import.
    importable: BTreeSet<ChunkIndex>,
    grants_by_agent: BTreeMap<InstanceId, BTreeSet<ChunkIndex>>,
    origin_chunks_granted: u64,
    /// Draws so far by agent, so that seeds are spread evenly.
    draws: BTreeMap<InstanceId, u32>,
    rings: Option<PeerRings>,
    /// Holders that sent wrong bytes for a chunk.
    distrusted: BTreeSet<(InstanceId, ChunkIndex)>,
    /// Agents whose grants or peers changed since last asked.
    changed: BTreeSet<InstanceId>,
}

impl RootPlan {
    pub(crate) fn new(wanted: WantedWeights) -> Self {
        let count = wanted.chunk_count;
        Self {
            chunks: vec![ChunkState::default(); count],
            have: BTreeMap::new(),
            complete: BTreeSet::new(),
            unheld: (0..count as u32).map(ChunkIndex).collect(),
            granted: BTreeSet::new(),
            importable: BTreeSet::new(),
            grants_by_agent: BTreeMap::new(),
            origin_chunks_granted: 0,
            draws: BTreeMap::new(),
            rings: None,
            distrusted: BTreeSet::new(),
            changed: wanted.agents.clone(),
            wanted,
        }
    }

    pub(crate) fn wanted(&self) -> &WantedWeights {
        &self.wanted
    }

    pub(crate) fn set_wanted(&mut self, wanted: WantedWeights) {
        if wanted.agents != self.wanted.agents {
            self.rings = None;
            self.changed.extend(wanted.agents.iter().cloned());
            self.importable = (0..wanted.chunk_count as u32).map(ChunkIndex).collect();
        }
        let dropped: Vec<InstanceId> = self
            .wanted
            .agents
            .difference(&wanted.agents)
            .cloned()
            .collect();
        self.wanted = wanted;
        for agent in dropped {
            self.drop_grants_of(&agent);
        }
    }

    pub(crate) fn remove_agent(&mut self, now: Millis, agent: &InstanceId) {
        self.forget_rings_with(agent);
        self.drop_grants_of(agent);
        self.distrusted
            .retain(|(distrusted, _)| distrusted != agent);
        self.complete.remove(agent);
        let Some((region, have)) = self.have.remove(agent) else {
            return;
        };
        for chunk in have.iter() {
            self.lose_holder(now, agent, &region, chunk);
        }
    }

    fn lose_holder(&mut self, now: Millis, agent: &InstanceId, region: &Region, chunk: ChunkIndex) {
        let state = &mut self.chunks[chunk.0 as usize];
        if let Some(count) = state.holders.get_mut(region) {
            *count -= 1;
            if *count == 0 {
                state.holders.remove(region);
                self.importable.insert(chunk);
            }
        }
        if state.seed.as_ref() == Some(agent) {
            state.seed = None;
        }
        if state.holders.is_empty() {
            state.lost_at = Some(now);
            self.unheld.insert(chunk);
        } else if state.seed.is_none() {
            let holder = self.have.iter().find(|(_, (_, have))| have.contains(chunk));
            self.chunks[chunk.0 as usize].seed = holder.map(|(holder, _)| holder.clone());
        }
    }

    fn drop_grants_of(&mut self, agent: &InstanceId) {
        for chunk in self.grants_by_agent.remove(agent).unwrap_or_default() {
            let state = &mut self.chunks[chunk.0 as usize];
            state.grants.retain(|grant| grant.agent != *agent);
            self.after_grant_removed(chunk);
        }
    }

    /// Puts a chunk back in line that lost its grant before it was held.
    fn after_grant_removed(&mut self, chunk: ChunkIndex) {
        let state = &self.chunks[chunk.0 as usize];
        if state.grants.is_empty() {
            self.granted.remove(&chunk);
        }
        if !state.holders.is_empty() {
            self.importable.insert(chunk);
        } else if !state
            .grants
            .iter()
            .any(|grant| grant.source == Source::Origin)
        {
            self.unheld.insert(chunk);
        }
    }

    pub(crate) fn report(
        &mut self,
        now: Millis,
        agent: &InstanceId,
        region: &Region,
        have: &ChunkSet,
    ) {
        if have.chunk_count() != self.wanted.chunk_count {
            return;
        }
        let known = self.have.get(agent).map(|(_, known)| known.clone());
        let known = known.unwrap_or_else(|| ChunkSet::empty(self.wanted.chunk_count));
        let mut have = have.clone();
        for chunk in self.distrusted_chunks(agent) {
            have.remove(chunk);
        }
        if have.is_complete() {
            self.complete.insert(agent.clone());
        } else {
            self.complete.remove(agent);
        }
        let gained: Vec<ChunkIndex> = have.difference(&known).collect();
        let lost: Vec<ChunkIndex> = known.difference(&have).collect();
        self.have
            .insert(agent.clone(), (region.clone(), have.clone()));
        for chunk in gained {
            self.gain_holder(agent, region, chunk);
        }
        for chunk in lost {
            self.lose_holder(now, agent, region, chunk);
        }
    }

    fn distrusted_chunks(&self, agent: &InstanceId) -> Vec<ChunkIndex> {
        let of_agent = self
            .distrusted
            .iter()
            .filter(|(distrusted, _)| distrusted == agent);
        of_agent.map(|(_, chunk)| *chunk).collect()
    }

    pub(crate) fn distrust(&mut self, now: Millis, source: &InstanceId, chunk: ChunkIndex) {
        if chunk.0 as usize >= self.chunks.len() || !self.distrusted.insert((source.clone(), chunk))
        {
            return;
        }
        let Some((region, have)) = self.have.get_mut(source) else {
            return;
        };
        if have.contains(chunk) {
            have.remove(chunk);
            let region = region.clone();
            self.lose_holder(now, source, &region, chunk);
        }
    }

    fn gain_holder(&mut self, agent: &InstanceId, region: &Region, chunk: ChunkIndex) {
        let state = &mut self.chunks[chunk.0 as usize];
        state.lost_at = None;
        state.origin_failures = 0;
        self.unheld.remove(&chunk);
        if state.holders.is_empty() {
            self.importable.insert(chunk);
        }
        *state.holders.entry(region.clone()).or_default() += 1;
        state.seed.get_or_insert_with(|| agent.clone());
        state.grants.retain(|grant| grant.agent != *agent);
        if state.grants.is_empty() {
            self.granted.remove(&chunk);
        }
        if let Some(grants) = self.grants_by_agent.get_mut(agent) {
            grants.remove(&chunk);
        }
    }

    pub(crate) fn grant_failed(&mut self, now: Millis, agent: &InstanceId, grant: &Grant) {
        let Some(state) = self.chunks.get_mut(grant.chunk.0 as usize) else {
            return;
        };
        if let Source::Peer(source) = &grant.source
            && state.seed.as_ref() == Some(source)
        {
            // Another holder serves the next import, if there is one.
            let holders = self
                .have
                .iter()
                .filter(|(holder, (_, have))| *holder != source && have.contains(grant.chunk));
            state.seed = holders
                .map(|(holder, _)| holder.clone())
                .next()
                .or(state.seed.take());
        }
        if grant.source == Source::Origin {
            let wait = FAILED_DRAW_WAIT_MS << state.origin_failures.min(16);
            state.origin_failures += 1;
            state.origin_not_before = now + wait.min(MAX_FAILED_DRAW_WAIT_MS);
        }
        state.grants.retain(|held| held.agent != *agent);
        if let Some(grants) = self.grants_by_agent.get_mut(agent) {
            grants.remove(&grant.chunk);
        }
        self.after_grant_removed(grant.chunk);
    }

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

    pub(crate) fn origin_outstanding_bytes(&self) -> u64 {
        let chunks = self
            .granted
            .iter()
            .map(|chunk| &self.chunks[chunk.0 as usize]);
        let grants = chunks.flat_map(|state| &state.grants);
        let count = grants
            .filter(|grant| grant.source == Source::Origin)
            .count();
        count as u64 * u64::from(self.wanted.chunk_bytes)
    }

    pub(crate) fn origin_granted_bytes(&self) -> u64 {
        self.origin_chunks_granted * u64::from(self.wanted.chunk_bytes)
    }

    pub(crate) fn complete_agents(&self) -> usize {
        self.complete.intersection(&self.wanted.agents).count()
    }

    pub(crate) fn grants_of(&self, agent: &InstanceId) -> Vec<Grant> {
        let chunks = self.grants_by_agent.get(agent).into_iter().flatten();
        let grants = chunks.filter_map(|chunk| {
            let held = self.chunks[chunk.0 as usize]
                .grants
                .iter()
                .find(|grant| grant.agent == *agent)?;
            Some(Grant {
                chunk: *chunk,
                source: held.source.clone(),
            })
        });
        let mut grants: Vec<Grant> = grants.collect();
        grants.sort_by_key(|grant| !is_origin(grant));
        grants
    }

    pub(crate) fn every_chunk_from_origin(&self) -> Vec<Grant> {
        let chunks = (0..self.wanted.chunk_count as u32).map(ChunkIndex);
        chunks
            .map(|chunk| Grant {
                chunk,
                source: Source::Origin,
            })
            .collect()
    }

    pub(crate) fn peers_of(
        &mut self,
        agent: &InstanceId,
        place: &Place,
        places: &BTreeMap<InstanceId, Place>,
    ) -> Vec<InstanceId> {
        let wanted = &self.wanted;
        let rings = self.rings.get_or_insert_with(|| {
            let members = wanted
                .agents
                .iter()
                .filter_map(|a| places.get(a).map(|place| (a, place)));
            PeerRings::new(wanted.id.root, members)
        });
        rings.peers_of(wanted.id.root, agent, place)
    }

    /// Agents whose grants or peers changed since the last call.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<InstanceId> {
        std::mem::take(&mut self.changed)
    }

    /// Forgets the rings, which are built again when next asked for.
    pub(crate) fn forget_rings_with(&mut self, agent: &InstanceId) {
        if self.wanted.agents.contains(agent) {
            self.rings = None;
            self.changed.extend(self.wanted.agents.iter().cloned());
        }
    }

    /// The parent of `agent` in the tree plan; `None` for the first agent.
    pub(crate) fn tree_parent(&self, agent: &InstanceId) -> Option<InstanceId> {
        let position = self.wanted.agents.iter().position(|a| a == agent)?;
        let parent = position.checked_sub(1)? / TREE_FAN_OUT;
        self.wanted.agents.iter().nth(parent).cloned()
    }
}
