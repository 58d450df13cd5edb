//! Chooses the target of a request.

use crate::load::{Finish, TargetLoad};
use moleroad_types::prelude::*;
use moleroad_types::target::{Destination, Served};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Most candidates among which affinity goes by highest random weight.
const MAX_RENDEZVOUS: usize = 64;

/// Time that requests are taken to need until some have ended.
const FIRST_USUAL_MS: u64 = 500;

/// How a target is chosen; all but the last exist for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Any target.
    Random,
    /// The target with the least of this entry's work in flight.
    LeastInFlight,
    /// The better of two of those with the least work, with data hall cost and
    /// affinity.
    #[default]
    ExpectedWork,
}

/// Weights of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    /// How a target is chosen.
    pub policy: Policy,
    /// Work, in tokens, that the way to another data hall counts as. A few
    /// milliseconds of way are less than one token takes.
    pub hall_cost: u64,
    /// Share of other entries' work that counts beside this entry's own, as its
    /// divisor. Their work is old news; its own is known exactly.
    pub others_divisor: u64,
    /// Time over which a new replica's share grows to full.
    pub slow_start_ms: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            policy: Policy::ExpectedWork,
            hall_cost: 2,
            others_divisor: 8,
            slow_start_ms: 2_000,
        }
    }
}

/// The beginning of a prompt, as far as it decides affinity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Hash over account, model and beginning.
    pub hash: u64,
    /// Tokens that a target saves that has the beginning in its cache. A
    /// target may be loaded by so much more than the best one and still be
    /// worth going to.
    pub tokens: u64,
}

/// What the choice needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestShape {
    /// What it is for.
    pub destination: Destination,
    /// Expected work, in tokens; 1 for a plain service.
    pub work: u64,
    /// The prompt's beginning; equal ones profit from one target.
    pub prefix: Option<PromptPrefix>,
    /// Weights that the answer must come from, once it has begun.
    pub root: Option<RootDigest>,
}

impl RequestShape {
    /// A request without a prompt prefix.
    pub fn new(destination: Destination, work: u64) -> Self {
        Self {
            destination,
            work,
            prefix: None,
            root: None,
        }
    }
}

#[derive(Clone, Debug)]
struct Target {
    route: TargetRoute,
    load: TargetLoad,
}

/// Position of a target in the router's list.
type Slot = usize;

/// The targets that one entry may use, and their load.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    data_hall: DataHall,
    random: SmallRng,
    /// Targets by slot; a slot that came free is used again.
    targets: Vec<Option<Target>>,
    slots: BTreeMap<InstanceId, Slot>,
    /// Usual time of a request, a moving average in milliseconds.
    usual_ms: u64,
    /// Slots by what they answer for, in a steady order.
    by_destination: BTreeMap<Destination, Vec<Slot>>,
}

impl Router {
    /// A router of an entry in `data_hall`.
    pub fn new(settings: RouterSettings, data_hall: DataHall, seed: u64) -> Self {
        Self {
            settings,
            data_hall,
            random: SmallRng::seed_from_u64(seed),
            targets: Vec::new(),
            slots: BTreeMap::new(),
            usual_ms: FIRST_USUAL_MS,
            by_destination: BTreeMap::new(),
        }
    }

    /// Sets or removes the route of `instance`.
    ///
    /// Load and health stay as long as the incarnation and what is served stay
    /// the same, and start fresh otherwise.
    pub fn set_route(&mut self, now: Millis, instance: InstanceId, route: Option<TargetRoute>) {
        let old = self.take_out(&instance);
        let Some(route) = route else { return };
        let kept = old.filter(|old| {
            old.route.incarnation == route.incarnation && old.route.serves == route.serves
        });
        let load = kept.map_or_else(|| TargetLoad::new(now), |old| old.load);
        let slot = match self.targets.iter().position(Option::is_none) {
            Some(free) => free,
            None => {
                self.targets.push(None);
                self.targets.len() - 1
            }
        };
        self.by_destination
            .entry(destination_of(&route.serves))
            .or_default()
            .push(slot);
        self.slots.insert(instance, slot);
        self.targets[slot] = Some(Target { route, load });
    }

    fn take_out(&mut self, instance: &InstanceId) -> Option<Target> {
        let slot = self.slots.remove(instance)?;
        let old = self.targets[slot].take()?;
        if let Some(listed) = self
            .by_destination
            .get_mut(&destination_of(&old.route.serves))
        {
            listed.retain(|other| *other != slot);
        }
        Some(old)
    }

    /// Instances that have a route.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.slots.keys().cloned().collect()
    }

    /// Whether any target answers for `destination`.
    pub fn knows(&self, destination: &Destination) -> bool {
        self.by_destination
            .get(destination)
            .is_some_and(|listed| !listed.is_empty())
    }

    /// The target for a request, without those already tried.
    pub fn choose(
        &mut self,
        now: Millis,
        shape: &RequestShape,
        tried: &[InstanceId],
    ) -> Option<TargetRoute> {
        let draw: u64 = self.random.random();
        let listed = self.by_destination.get(&shape.destination)?;
        let fits =
            |target: &Target| shape.root.is_none() || target.route.serves.root() == shape.root;
        let untried = |target: &Target| !tried.contains(&target.route.instance);
        let targets = listed
            .iter()
            .filter_map(|slot| self.targets[*slot].as_ref());
        let open: Vec<&Target> = targets
            .filter(|target| fits(target) && untried(target))
            .collect();
        let sound: Vec<&Target> = open
            .iter()
            .copied()
            .filter(|target| !target.load.is_ejected(now))
            .collect();
        // All failed lately: trying one beats refusing without a try.
        let candidates = if sound.is_empty() { open } else { sound };
        let chosen = match self.settings.policy {
            _ if candidates.len() <= 1 => *candidates.first()?,
            Policy::Random => candidates[draw as usize % candidates.len()],
            Policy::LeastInFlight => candidates
                .iter()
                .copied()
                .min_by_key(|target| target.load.own_work())?,
            Policy::ExpectedWork => {
                let best = self.best_of(now, &candidates, draw);
                self.affine_or(now, shape.prefix, &candidates, best)
            }
        };
        Some(chosen.route.clone())
    }

    /// The better of two drawn from the candidates that cost least here.
    ///
    /// What this entry has in flight is exact and decides first. What others
    /// have there is old news; going by it alone would send every entry to the
    /// same target at once, so it only decides between two.
    fn best_of<'a>(&self, now: Millis, candidates: &[&'a Target], draw: u64) -> &'a Target {
        let least = candidates
            .iter()
            .map(|target| self.cost(now, target))
            .min()
            .unwrap_or(0);
        let limit = least + self.settings.hall_cost;
        let near = candidates
            .iter()
            .copied()
            .filter(|target| self.cost(now, target) <= limit);
        let near: Vec<&Target> = near.collect();
        let first = near[draw as u32 as usize % near.len()];
        let second = near[(draw >> 32) as usize % near.len()];
        let others = |target: &Target| target.load.others_work(now, self.usual_ms);
        if others(second) < others(first) {
            second
        } else {
            first
        }
    }

    /// The target that the prompt's beginning belongs to, unless it is loaded
    /// by more than having the beginning in its cache would save.
    fn affine_or<'a>(
        &self,
        now: Millis,
        prefix: Option<PromptPrefix>,
        candidates: &[&'a Target],
        best: &'a Target,
    ) -> &'a Target {
        let Some(prefix) = prefix else { return best };
        let affine = affine_to(prefix.hash, candidates);
        if self.cost(now, affine) <= self.cost(now, best) + prefix.tokens {
            affine
        } else {
            best
        }
    }

    fn cost(&self, now: Millis, target: &Target) -> u64 {
        let way = if target.route.data_hall == self.data_hall {
            0
        } else {
            self.settings.hall_cost
        };
        let own = target
            .load
            .weighed_own_work(now, self.settings.slow_start_ms);
        let others = target.load.others_work(now, self.usual_ms) / self.settings.others_divisor;
        own + others + way
    }

    fn target_mut(
        &mut self,
        instance: &InstanceId,
        incarnation: Incarnation,
    ) -> Option<&mut Target> {
        let slot = *self.slots.get(instance)?;
        self.targets[slot]
            .as_mut()
            .filter(|target| target.route.incarnation == incarnation)
    }

    /// Counts a request as in flight along `route`.
    pub fn started(&mut self, route: &TargetRoute, work: u64) {
        if let Some(target) = self.target_mut(&route.instance, route.incarnation) {
            target.load.started(work);
        }
    }

    /// Takes a request off that was sent along `route` at `started`.
    pub fn finished(
        &mut self,
        now: Millis,
        started: Millis,
        route: &TargetRoute,
        work: u64,
        finish: Finish,
    ) {
        if finish == Finish::Answered {
            self.usual_ms = (self.usual_ms * 15 + now.since(started)).div_ceil(16);
        }
        if let Some(target) = self.target_mut(&route.instance, route.incarnation) {
            target.load.finished(now, work, finish);
        }
    }

    /// Takes the work that a target reported with an answer.
    pub fn reported(&mut self, now: Millis, route: &TargetRoute, work: u64) {
        if let Some(target) = self.target_mut(&route.instance, route.incarnation) {
            target.load.reported(now, work);
        }
    }
}

fn destination_of(serves: &Served) -> Destination {
    match serves {
        Served::Weights(id) => Destination::Model(id.account.clone(), id.model.clone()),
        Served::Service(name) => Destination::Service(name.clone()),
    }
}

/// The candidate that a prompt's beginning belongs to.
///
/// Up to [`MAX_RENDEZVOUS`] candidates it is the one of highest random weight,
/// so that a target that comes or goes moves only its own share; beyond that
/// weighing all would cost more than it saves.
fn affine_to<'a>(hash: u64, candidates: &[&'a Target]) -> &'a Target {
    if candidates.len() > MAX_RENDEZVOUS {
        return candidates[hash as usize % candidates.len()];
    }
    let weight = |target: &Target| {
        let mut hasher = DefaultHasher::new();
        (hash, target.route.instance.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    candidates
        .iter()
        .copied()
        .max_by_key(|target| weight(target))
        .unwrap_or(candidates[0])
}
