//! Which instance belongs to which selector, and what it shall hold.

use crate::index::{InstanceIndex, SelectorIndex};
use moleroad_types::object::{MODEL_LABEL, Replicas, SelectorSpec, VERSION_LABEL};
use moleroad_types::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A version of weights that selectors may choose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedWeights {
    /// Identity.
    pub id: WeightsId,
    /// Labels of the model and of the version, the version's going first.
    pub labels: Labels,
    /// Revision at which the version appeared; the newest match is placed.
    pub created: Revision,
}

/// What an instance shall hold, and for which selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Selector that holds the instance.
    pub selector: ObjectName,
    /// Priority of that selector.
    pub priority: i32,
    /// Weights to hold.
    pub weights: WeightsId,
}

/// Order in which selectors take instances: priority, then name.
type Rank = (Reverse<i32>, ObjectName);

#[derive(Clone, Debug)]
struct SelectorState {
    spec: SelectorSpec,
    chosen: Option<WeightsId>,
    matched: BTreeSet<InstanceId>,
    owned: BTreeSet<InstanceId>,
}

/// The standing assignment of instances to selectors.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    instances: InstanceIndex,
    selector_index: SelectorIndex,
    selectors: BTreeMap<ObjectName, SelectorState>,
    weights: BTreeMap<ObjectName, PlacedWeights>,
    owner: BTreeMap<InstanceId, ObjectName>,
    /// Selectors whose choice of instances must be worked again.
    dirty: BTreeSet<Rank>,
    /// Instances whose assignment may have changed since last asked.
    touched: BTreeSet<InstanceId>,
    /// Selector and instance pairs compared so far; the cost that benches bound.
    comparisons: u64,
}

impl Placement {
    /// Adds an instance or changes its labels.
    pub fn set_instance(&mut self, instance: InstanceId, labels: Labels) {
        if self.instances.labels(&instance) == Some(&labels) {
            return;
        }
        self.update_instance(&instance, Some(labels));
    }

    /// Forgets an instance that is gone.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        if self.instances.labels(instance).is_some() {
            self.update_instance(instance, None);
        }
    }

    fn update_instance(&mut self, instance: &InstanceId, labels: Option<Labels>) {
        let mut names = BTreeSet::new();
        if let Some(old) = self.instances.labels(instance) {
            names.extend(self.selector_index.candidates(old));
        }
        if let Some(new) = &labels {
            names.extend(self.selector_index.candidates(new));
        }
        self.instances.set(instance, labels.clone());
        for name in names {
            self.rematch(&name, instance, labels.as_ref());
        }
        self.touched.insert(instance.clone());
    }

    fn rematch(&mut self, name: &ObjectName, instance: &InstanceId, labels: Option<&Labels>) {
        self.comparisons += 1;
        let Some(selector) = self.selectors.get_mut(name) else { return };
        let matches = labels.is_some_and(|labels| selector.spec.instances.iter().all(|r| r.matches(labels)));
        let changed = if matches {
            selector.matched.insert(instance.clone())
        } else {
            selector.matched.remove(instance)
        };
        if changed {
            let rank = rank_of(name, &selector.spec);
            self.dirty.insert(rank);
        }
        if !matches && self.owner.get(instance) == Some(name) {
            self.release(instance);
        }
    }

    /// Adds a selector or replaces its content.
    pub fn set_selector(&mut self, name: ObjectName, spec: SelectorSpec) {
        let owned = self.take_out_selector(&name);
        self.selector_index.insert(&name, &spec.instances);
        let matched = self.instances.matching(&spec.instances);
        self.comparisons += matched.len() as u64;
        let kept: BTreeSet<InstanceId> = owned.intersection(&matched).cloned().collect();
        let released: Vec<InstanceId> = owned.difference(&matched).cloned().collect();
        self.dirty.insert(rank_of(&name, &spec));
        let chosen = self.choose_weights(&spec);
        self.selectors.insert(name.clone(), SelectorState { spec, chosen, matched, owned: owned.clone() });
        for instance in released {
            self.release(&instance);
        }
        // A lower priority than before may lose instances to other selectors.
        for instance in kept {
            self.mark_matching_dirty(&instance);
            self.touched.insert(instance);
        }
    }

    /// Forgets a selector; its instances go to others that want them.
    pub fn remove_selector(&mut self, name: &ObjectName) {
        for instance in self.take_out_selector(name) {
            self.owner.remove(&instance);
            self.mark_matching_dirty(&instance);
            self.touched.insert(instance);
        }
    }

    fn take_out_selector(&mut self, name: &ObjectName) -> BTreeSet<InstanceId> {
        let Some(old) = self.selectors.remove(name) else { return BTreeSet::new() };
        self.selector_index.remove(name, &old.spec.instances);
        self.dirty.remove(&rank_of(name, &old.spec));
        old.owned
    }

    /// Adds a version of weights or changes its labels.
    pub fn set_weights(&mut self, name: ObjectName, weights: PlacedWeights) {
        let account = weights.id.account.clone();
        self.weights.insert(name, weights);
        self.choose_again(&account);
    }

    /// Forgets a version of weights.
    pub fn remove_weights(&mut self, name: &ObjectName) {
        if let Some(old) = self.weights.remove(name) {
            self.choose_again(&old.id.account);
        }
    }

    fn choose_again(&mut self, account: &AccountId) {
        let of_account = self.selectors.iter().filter(|(_, s)| s.spec.account == *account);
        let names: Vec<ObjectName> = of_account.map(|(name, _)| name.clone()).collect();
        for name in names {
            let chosen = self.choose_weights(&self.selectors[&name].spec);
            let Some(selector) = self.selectors.get_mut(&name) else { continue };
            if selector.chosen != chosen {
                selector.chosen = chosen;
                self.touched.extend(selector.owned.iter().cloned());
                self.dirty.insert(rank_of(&name, &selector.spec));
            }
        }
    }

    /// The newest version of the selector's account that it matches.
    fn choose_weights(&self, spec: &SelectorSpec) -> Option<WeightsId> {
        let of_account = self.weights.values().filter(|w| w.id.account == spec.account);
        let matching = of_account.filter(|w| {
            let mut labels = w.labels.clone();
            labels.set(MODEL_LABEL, w.id.model.as_str());
            labels.set(VERSION_LABEL, w.id.version.as_str());
            spec.weights.iter().all(|r| r.matches(&labels))
        });
        matching.max_by_key(|w| w.created).map(|w| w.id.clone())
    }

    /// Works again every selector that a change touched, highest rank first.
    pub fn settle(&mut self) {
        while let Some((_, name)) = self.dirty.pop_first() {
            self.work(&name);
        }
    }

    fn work(&mut self, name: &ObjectName) {
        let Some(selector) = self.selectors.get(name) else { return };
        // A selector without weights to place holds no instances.
        let limit = match (&selector.chosen, selector.spec.replicas) {
            (None, _) => 0,
            (Some(_), Replicas::All) => usize::MAX,
            (Some(_), Replicas::Count(count)) => count as usize,
        };
        let rank = rank_of(name, &selector.spec);
        let owned = selector.owned.clone();
        let mut wanted = self.available_to(name, &rank);
        wanted.truncate(limit);
        let wanted: BTreeSet<InstanceId> = wanted.into_iter().collect();
        let surplus: Vec<InstanceId> = owned.difference(&wanted).cloned().collect();
        let missing: Vec<InstanceId> = wanted.difference(&owned).cloned().collect();
        for instance in surplus {
            self.release(&instance);
        }
        for instance in missing {
            self.take(name, instance);
        }
    }

    /// Instances the selector may have: its own first, so that nothing moves
    /// without need, then free ones, then those of lower rank.
    fn available_to(&mut self, name: &ObjectName, rank: &Rank) -> Vec<InstanceId> {
        let selector = &self.selectors[name];
        self.comparisons += selector.matched.len() as u64;
        let mut own = Vec::new();
        let mut free = Vec::new();
        let mut lower = Vec::new();
        for instance in &selector.matched {
            match self.owner.get(instance) {
                Some(owner) if owner == name => own.push(instance.clone()),
                None => free.push(instance.clone()),
                Some(owner) if rank_of(owner, &self.selectors[owner].spec) > *rank => {
                    lower.push(instance.clone());
                }
                Some(_) => {}
            }
        }
        own.append(&mut free);
        own.append(&mut lower);
        own
    }

    fn take(&mut self, name: &ObjectName, instance: InstanceId) {
        if let Some(previous) = self.owner.insert(instance.clone(), name.clone())
            && let Some(selector) = self.selectors.get_mut(&previous)
        {
            selector.owned.remove(&instance);
            let rank = rank_of(&previous, &selector.spec);
            self.dirty.insert(rank);
        }
        if let Some(selector) = self.selectors.get_mut(name) {
            selector.owned.insert(instance.clone());
        }
        self.touched.insert(instance);
    }

    fn release(&mut self, instance: &InstanceId) {
        if let Some(owner) = self.owner.remove(instance)
            && let Some(selector) = self.selectors.get_mut(&owner)
        {
            selector.owned.remove(instance);
        }
        self.mark_matching_dirty(instance);
        self.touched.insert(instance.clone());
    }

    /// Lets every selector that matches `instance` look at it again.
    fn mark_matching_dirty(&mut self, instance: &InstanceId) {
        let Some(labels) = self.instances.labels(instance) else { return };
        for name in self.selector_index.candidates(labels) {
            if let Some(selector) = self.selectors.get(&name)
                && selector.matched.contains(instance)
                && wants_more(selector)
            {
                self.dirty.insert(rank_of(&name, &selector.spec));
            }
        }
    }

    /// What `instance` shall hold.
    pub fn assigned(&self, instance: &InstanceId) -> Option<Assignment> {
        let selector = self.owner.get(instance)?;
        let state = self.selectors.get(selector)?;
        let weights = state.chosen.clone()?;
        Some(Assignment { selector: selector.clone(), priority: state.spec.priority, weights })
    }

    /// Instances whose assignment may have changed since the last call.
    pub fn take_touched(&mut self) -> BTreeSet<InstanceId> {
        std::mem::take(&mut self.touched)
    }

    /// Every selector with its content, chosen weights and instances.
    pub fn selectors(&self) -> impl Iterator<Item = (&ObjectName, &SelectorSpec, Option<&WeightsId>, &BTreeSet<InstanceId>)> {
        self.selectors.iter().map(|(name, s)| (name, &s.spec, s.chosen.as_ref(), &s.owned))
    }

    /// Instances held by the selector `name`.
    pub fn instances_of(&self, name: &ObjectName) -> Option<&BTreeSet<InstanceId>> {
        self.selectors.get(name).map(|selector| &selector.owned)
    }

    /// Selector and instance pairs compared since the start.
    pub fn comparisons(&self) -> u64 {
        self.comparisons
    }
}

fn rank_of(name: &ObjectName, spec: &SelectorSpec) -> Rank {
    (Reverse(spec.priority), name.clone())
}

fn wants_more(selector: &SelectorState) -> bool {
    match selector.spec.replicas {
        _ if selector.chosen.is_none() => false,
        Replicas::All => true,
        Replicas::Count(count) => selector.owned.len() < count as usize,
    }
}
