//! The control side: grants and peers for every root that is wanted.

use crate::chunk_set::ChunkSet;
use crate::fair_share::FairShare;
use crate::grant::{Grant, Objective, PlanKind, Source};
use crate::peers::Place;
use crate::root_plan::RootPlan;
use moleroad_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Rates and choices of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerSettings {
    /// Rate of the origin's link.
    pub origin_bytes_per_second: u64,
    /// Rate of an instance's link, each way.
    pub link_bytes_per_second: u64,
    /// Time in which a grant reaches its agent at the latest.
    pub control_latency_ms: u64,
    /// What matters more under faults.
    pub objective: Objective,
    /// Copies beyond the first that may be drawn again, in percent.
    pub extra_copies_percent: u32,
    /// How long lost holders are waited for under [`Objective::OriginBytes`].
    pub holder_wait_ms: u64,
    /// How weights spread.
    pub plan: PlanKind,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            origin_bytes_per_second: 2_000_000_000,
            link_bytes_per_second: 1_000_000_000,
            control_latency_ms: 200,
            objective: Objective::Time,
            extra_copies_percent: 20,
            holder_wait_ms: 5_000,
            plan: PlanKind::Swarm,
        }
    }
}

/// A root that agents shall hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedWeights {
    /// Identity.
    pub id: WeightsId,
    /// Size of the whole, in bytes.
    pub total_bytes: u64,
    /// Size of each chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// Number of chunks.
    pub chunk_count: usize,
    /// Higher goes first within an account.
    pub priority: i32,
    /// Agents that shall hold it.
    pub agents: BTreeSet<InstanceId>,
}

/// Plans all transfers. Fed by reports, asked for grants and peers.
#[derive(Clone, Debug)]
pub struct TransferPlanner {
    settings: PlannerSettings,
    places: BTreeMap<InstanceId, Place>,
    roots: BTreeMap<RootDigest, RootPlan>,
    share: FairShare,
    /// Chunks granted from the origin and not yet held, over all roots.
    origin_outstanding_bytes: u64,
}

impl TransferPlanner {
    /// A planner without agents or roots.
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            places: BTreeMap::new(),
            roots: BTreeMap::new(),
            share: FairShare::default(),
            origin_outstanding_bytes: 0,
        }
    }

    /// Adds an agent, or notes where it stands now.
    pub fn set_agent(&mut self, agent: InstanceId, place: Place) {
        if self.places.get(&agent) == Some(&place) {
            return;
        }
        for plan in self.roots.values_mut() {
            plan.forget_rings_with(&agent);
        }
        self.places.insert(agent, place);
    }

    /// Forgets an agent that is gone, with all that it held.
    pub fn remove_agent(&mut self, now: Millis, agent: &InstanceId) {
        self.places.remove(agent);
        for plan in self.roots.values_mut() {
            plan.remove_agent(now, agent);
        }
    }

    /// Sets which agents shall hold a root; without any the root is dropped.
    pub fn set_wanted(&mut self, wanted: WantedWeights) {
        if wanted.agents.is_empty() {
            self.roots.remove(&wanted.id.root);
            return;
        }
        match self.roots.get_mut(&wanted.id.root) {
            Some(plan) => plan.set_wanted(wanted),
            None => {
                self.roots.insert(wanted.id.root, RootPlan::new(wanted));
            }
        }
    }

    /// Roots that are wanted.
    pub fn roots(&self) -> impl Iterator<Item = &WantedWeights> {
        self.roots.values().map(RootPlan::wanted)
    }

    /// Takes an agent's report of the chunks it holds.
    pub fn report(&mut self, now: Millis, agent: &InstanceId, root: RootDigest, have: &ChunkSet) {
        let (Some(place), Some(plan)) = (self.places.get(agent), self.roots.get_mut(&root)) else {
            return;
        };
        plan.report(now, agent, &place.region, have);
    }

    /// Takes an agent's word that it cannot carry out a grant.
    pub fn grant_failed(
        &mut self,
        now: Millis,
        agent: &InstanceId,
        root: RootDigest,
        grant: &Grant,
    ) {
        if let Some(plan) = self.roots.get_mut(&root) {
            plan.grant_failed(now, agent, grant);
        }
    }

    /// Takes an agent's word that `source` sent wrong bytes for a chunk: it
    /// does not count as a holder of that chunk any more.
    pub fn distrust(
        &mut self,
        now: Millis,
        source: &InstanceId,
        root: RootDigest,
        chunk: ChunkIndex,
    ) {
        if let Some(plan) = self.roots.get_mut(&root) {
            plan.distrust(now, source, chunk);
        }
    }

    /// Makes all grants that can be made now.
    pub fn plan(&mut self, now: Millis) {
        if self.settings.plan != PlanKind::Swarm {
            return;
        }
        for plan in self.roots.values_mut() {
            plan.expire(now, &self.settings);
            plan.grant_imports(now, &self.places);
        }
        self.grant_origin(now);
    }

    fn grant_origin(&mut self, now: Millis) {
        let outstanding = self.roots.values().map(RootPlan::origin_outstanding_bytes);
        self.origin_outstanding_bytes = outstanding.sum();
        let mut blocked = BTreeSet::new();
        while self.origin_outstanding_bytes < self.origin_window_bytes() {
            let Some(root) = self.next_root(now, &blocked) else {
                break;
            };
            let plan = self
                .roots
                .get_mut(&root)
                .expect("the next root is one of the roots");
            match plan.grant_origin(now, &self.settings, &self.places) {
                Some(bytes) => {
                    self.origin_outstanding_bytes += bytes;
                    self.share.charge(&plan.wanted().id.account, bytes);
                }
                None => {
                    blocked.insert(root);
                }
            }
        }
    }

    /// Bytes that may be granted and not yet held: enough to keep the origin
    /// busy while reports and grants are on their way, and no more, so that
    /// the first chunks are whole soon.
    fn origin_window_bytes(&self) -> u64 {
        let largest = self
            .roots
            .values()
            .map(|plan| u64::from(plan.wanted().chunk_bytes))
            .max();
        let chunk = largest.unwrap_or(0);
        let links = self
            .settings
            .origin_bytes_per_second
            .div_ceil(self.settings.link_bytes_per_second);
        let in_transit =
            self.settings.origin_bytes_per_second * self.settings.control_latency_ms / 1_000;
        chunk * links + in_transit
    }

    /// The root whose account has had least of the origin, and within the
    /// account the one of highest priority.
    fn next_root(&self, now: Millis, blocked: &BTreeSet<RootDigest>) -> Option<RootDigest> {
        let open = || {
            self.roots.iter().filter(|(root, plan)| {
                !blocked.contains(*root) && plan.needs_origin(now, &self.settings)
            })
        };
        let account = self
            .share
            .next(open().map(|(_, plan)| &plan.wanted().id.account))?;
        let of_account = open().filter(|(_, plan)| plan.wanted().id.account == *account);
        let first = of_account.min_by_key(|(root, plan)| (-plan.wanted().priority, **root));
        first.map(|(root, _)| *root)
    }

    /// Grants that `agent` holds for `root`.
    pub fn grants_of(&self, agent: &InstanceId, root: RootDigest) -> Vec<Grant> {
        let Some(plan) = self.roots.get(&root) else {
            return Vec::new();
        };
        match self.settings.plan {
            PlanKind::Swarm => plan.grants_of(agent),
            PlanKind::OriginOnly => plan.every_chunk_from_origin(),
            PlanKind::Tree if plan.tree_parent(agent).is_none() => plan.every_chunk_from_origin(),
            PlanKind::Tree => Vec::new(),
        }
    }

    /// Peers that `agent` exchanges chunks of `root` with.
    pub fn peers_of(&mut self, agent: &InstanceId, root: RootDigest) -> Vec<InstanceId> {
        let (Some(place), Some(plan)) = (self.places.get(agent), self.roots.get_mut(&root)) else {
            return Vec::new();
        };
        match self.settings.plan {
            PlanKind::Swarm => plan.peers_of(agent, place, &self.places),
            PlanKind::OriginOnly => Vec::new(),
            PlanKind::Tree => plan.tree_parent(agent).into_iter().collect(),
        }
    }

    /// Agents whose grants or peers changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<InstanceId> {
        self.roots
            .values_mut()
            .flat_map(RootPlan::take_changed)
            .collect()
    }

    /// Bytes of `root` granted from the origin so far.
    pub fn origin_granted_bytes(&self, root: RootDigest) -> u64 {
        self.roots
            .get(&root)
            .map_or(0, RootPlan::origin_granted_bytes)
    }

    /// Whether some agent does not hold yet what it shall hold.
    pub fn is_transferring(&self) -> bool {
        self.roots
            .values()
            .any(|plan| plan.complete_agents() < plan.wanted().agents.len())
    }

    /// Agents of `root` that hold all of it.
    pub fn complete_agents(&self, root: RootDigest) -> usize {
        self.roots.get(&root).map_or(0, RootPlan::complete_agents)
    }

    /// Where a granted chunk comes from, in the agents' terms.
    pub fn region_of(&self, agent: &InstanceId) -> Option<&Region> {
        self.places.get(agent).map(|place| &place.region)
    }
}

/// Whether `grant` draws from the origin.
pub(crate) fn is_origin(grant: &Grant) -> bool {
    grant.source == Source::Origin
}
