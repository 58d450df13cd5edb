//! Chooses the target of a request.

use crate::load::{Finish, TargetLoad};
use moleroad_types::prelude::*;
use moleroad_types::target::{Destination, Served};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Time that requests are taken to need until some have ended.
const FIRST_USUAL_MS: u64 = 500;

/// How a target is chosen; all but the last exist for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Any target.
    Random,
    /// The target with the least of this entry's work in flight.
    LeastInFlight,
    /// The best of a few by expected work, with data hall cost and affinity.
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
    /// Targets that are compared for each request.
    pub compared_targets: usize,
    /// Time over which a new replica's share grows to full.
    pub slow_start_ms: u64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            policy: Policy::ExpectedWork,
            hall_cost: 2,
            compared_targets: 4,
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

/// The targets that one entry may use, and their load.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    data_hall: DataHall,
    random: SmallRng,
    targets: BTreeMap<InstanceId, Target>,
    /// Usual time of a request, a moving average in milliseconds.
    usual_ms: u64,
    /// Instances by what they answer for.
    by_destination: BTreeMap<Destination, Vec<InstanceId>>,
}

impl Router {
    /// A router of an entry in `data_hall`.
    pub fn new(settings: RouterSettings, data_hall: DataHall, seed: u64) -> Self {
        Self {
            settings,
            data_hall,
            random: SmallRng::seed_from_u64(seed),
            targets: BTreeMap::new(),
            usual_ms: FIRST_USUAL_MS,
            by_destination: BTreeMap::new(),
        }
    }

    /// Sets or removes the route of `instance`.
    ///
    /// Load and health stay as long as the incarnation and what is served stay
    /// the same, and start fresh otherwise.
    pub fn set_route(&mut self, now: Millis, instance: InstanceId, route: Option<TargetRoute>) {
        let old = self.targets.remove(&instance);
        if let Some(old) = &old {
            let destination = destination_of(&old.route.serves);
            if let Some(list) = self.by_destination.get_mut(&destination) {
                list.retain(|listed| *listed != instance);
            }
        }
        let Some(route) = route else { return };
        let kept = old.filter(|old| {
            old.route.incarnation == route.incarnation && old.route.serves == route.serves
        });
        let load = kept.map_or_else(|| TargetLoad::new(now), |old| old.load);
        self.by_destination
            .entry(destination_of(&route.serves))
            .or_default()
            .push(instance.clone());
        self.targets.insert(instance, Target { route, load });
    }

    /// Instances that have a route.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.targets.keys().cloned().collect()
    }

    /// Whether any target answers for `destination`.
    pub fn knows(&self, destination: &Destination) -> bool {
        self.by_destination
            .get(destination)
            .is_some_and(|list| !list.is_empty())
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
        let fits = |instance: &&InstanceId| {
            shape.root.is_none() || self.targets[*instance].route.serves.root() == shape.root
        };
        let listed = listed.iter().filter(fits);
        let untried = listed.filter(|instance| !tried.contains(instance));
        let sound = |instance: &&InstanceId| !self.targets[*instance].load.is_ejected(now);
        let mut candidates: Vec<&InstanceId> = untried.clone().filter(sound).collect();
        if candidates.is_empty() {
            // All failed lately: trying one beats refusing without a try.
            candidates = untried.collect();
        }
        let chosen = match self.settings.policy {
            _ if candidates.len() <= 1 => candidates.first().copied().cloned()?,
            Policy::Random => candidates[draw as usize % candidates.len()].clone(),
            Policy::LeastInFlight => {
                let least = candidates
                    .iter()
                    .min_by_key(|i| self.targets[**i].load.own_work());
                (**least?).clone()
            }
            Policy::ExpectedWork => {
                let best = self.best_of_sample(now, &candidates, draw);
                self.affine_or(now, shape.prefix, &candidates, best)
            }
        };
        Some(self.targets[&chosen].route.clone())
    }

    /// The best of a few candidates drawn at random: comparing all would send
    /// every entry to the same target at once, comparing one balances nothing.
    fn best_of_sample<'a>(
        &self,
        now: Millis,
        candidates: &[&'a InstanceId],
        draw: u64,
    ) -> &'a InstanceId {
        let count = candidates.len();
        let start = draw as usize % count;
        // A stride without a common factor with the count visits each once.
        let stride = coprime_stride(count, 1 + (draw >> 32) as usize % (count - 1));
        let sample = (0..self.settings.compared_targets.min(count))
            .map(|n| candidates[(start + n * stride) % count]);
        let best = sample.min_by_key(|instance| self.cost(now, instance));
        best.unwrap_or(candidates[start])
    }

    /// The target that the prompt's beginning belongs to, unless it is loaded
    /// by more than having the beginning in its cache would save.
    fn affine_or(
        &self,
        now: Millis,
        prefix: Option<PromptPrefix>,
        candidates: &[&InstanceId],
        best: &InstanceId,
    ) -> InstanceId {
        let affine = prefix
            .and_then(|prefix| rendezvous(prefix.hash, candidates).map(|affine| (prefix, affine)));
        match affine {
            Some((prefix, affine))
                if self.cost(now, affine) <= self.cost(now, best) + prefix.tokens =>
            {
                affine.clone()
            }
            _ => best.clone(),
        }
    }

    fn cost(&self, now: Millis, instance: &InstanceId) -> u64 {
        let target = &self.targets[instance];
        let way = if target.route.data_hall == self.data_hall {
            0
        } else {
            self.settings.hall_cost
        };
        target
            .load
            .expected_work(now, self.settings.slow_start_ms, self.usual_ms)
            + way
    }

    /// Counts a request as in flight at `instance`.
    pub fn started(&mut self, instance: &InstanceId, work: u64) {
        if let Some(target) = self.targets.get_mut(instance) {
            target.load.started(work);
        }
    }

    /// Takes a request off that was sent to `incarnation` of `instance` at
    /// `started`.
    pub fn finished(
        &mut self,
        now: Millis,
        started: Millis,
        instance: &InstanceId,
        incarnation: Incarnation,
        work: u64,
        finish: Finish,
    ) {
        if finish == Finish::Answered {
            self.usual_ms = (self.usual_ms * 15 + now.since(started)).div_ceil(16);
        }
        if let Some(target) = self.targets.get_mut(instance)
            && target.route.incarnation == incarnation
        {
            target.load.finished(now, work, finish);
        }
    }

    /// Takes the load that a target reported with an answer.
    pub fn reported(
        &mut self,
        now: Millis,
        instance: &InstanceId,
        incarnation: Incarnation,
        work: u64,
    ) {
        if let Some(target) = self.targets.get_mut(instance)
            && target.route.incarnation == incarnation
        {
            target.load.reported(now, work);
        }
    }

    /// Least expected work ahead of a new request for `destination`.
    pub fn least_work(&self, now: Millis, destination: &Destination) -> Option<u64> {
        let listed = self.by_destination.get(destination)?;
        let loads = listed.iter().map(|instance| &self.targets[instance].load);
        loads
            .map(|load| load.expected_work(now, 0, self.usual_ms))
            .min()
    }
}

fn destination_of(serves: &Served) -> Destination {
    match serves {
        Served::Weights(id) => Destination::Model(id.account.clone(), id.model.clone()),
        Served::Service(name) => Destination::Service(name.clone()),
    }
}

/// The first number from `wanted` on that has no common factor with `count`.
fn coprime_stride(count: usize, wanted: usize) -> usize {
    let has_common_factor = |stride: usize| {
        let (mut a, mut b) = (count, stride);
        while b != 0 {
            (a, b) = (b, a % b);
        }
        a != 1
    };
    (wanted..)
        .find(|stride| !has_common_factor(*stride))
        .unwrap_or(1)
}

/// The candidate that `prefix` belongs to by highest random weight, so that a
/// target that comes or goes moves only its own share of prefixes.
fn rendezvous<'a>(prefix: u64, candidates: &[&'a InstanceId]) -> Option<&'a InstanceId> {
    let weight = |instance: &InstanceId| {
        let mut hasher = DefaultHasher::new();
        (prefix, instance.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    candidates
        .iter()
        .copied()
        .max_by_key(|instance| weight(instance))
}
