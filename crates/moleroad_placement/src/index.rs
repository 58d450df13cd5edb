//! Finds instances by label, and selectors by the label they ask for.

use moleroad_types::label::Operator;
use moleroad_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

type Pair = (String, String);

/// Instances by each of their labels.
#[derive(Clone, Debug, Default)]
pub(crate) struct InstanceIndex {
    labels: BTreeMap<InstanceId, Labels>,
    by_pair: BTreeMap<Pair, BTreeSet<InstanceId>>,
}

impl InstanceIndex {
    pub(crate) fn labels(&self, instance: &InstanceId) -> Option<&Labels> {
        self.labels.get(instance)
    }

    /// Sets the labels of `instance`, or forgets it with `None`.
    pub(crate) fn set(&mut self, instance: &InstanceId, labels: Option<Labels>) {
        if let Some(old) = self.labels.remove(instance) {
            for pair in old.0 {
                if let Some(set) = self.by_pair.get_mut(&pair) {
                    set.remove(instance);
                }
            }
        }
        let Some(labels) = labels else { return };
        for pair in labels.0.clone() {
            self.by_pair.entry(pair).or_default().insert(instance.clone());
        }
        self.labels.insert(instance.clone(), labels);
    }

    /// All instances whose labels meet `requirements`.
    pub(crate) fn matching(&self, requirements: &[Requirement]) -> BTreeSet<InstanceId> {
        let meets = |instance: &InstanceId| {
            self.labels.get(instance).is_some_and(|labels| requirements.iter().all(|r| r.matches(labels)))
        };
        match indexed_pairs(requirements) {
            Some(pairs) => {
                let candidates = pairs.iter().filter_map(|pair| self.by_pair.get(pair)).flatten();
                candidates.filter(|instance| meets(instance)).cloned().collect()
            }
            None => self.labels.keys().filter(|instance| meets(instance)).cloned().collect(),
        }
    }
}

/// Selectors by a label value that an instance must have to match them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SelectorIndex {
    by_pair: BTreeMap<Pair, BTreeSet<ObjectName>>,
    unindexed: BTreeSet<ObjectName>,
}

impl SelectorIndex {
    pub(crate) fn insert(&mut self, name: &ObjectName, requirements: &[Requirement]) {
        match indexed_pairs(requirements) {
            Some(pairs) => {
                for pair in pairs {
                    self.by_pair.entry(pair).or_default().insert(name.clone());
                }
            }
            None => {
                self.unindexed.insert(name.clone());
            }
        }
    }

    pub(crate) fn remove(&mut self, name: &ObjectName, requirements: &[Requirement]) {
        self.unindexed.remove(name);
        for pair in indexed_pairs(requirements).unwrap_or_default() {
            if let Some(set) = self.by_pair.get_mut(&pair) {
                set.remove(name);
            }
        }
    }

    /// Selectors that might match an instance with `labels`.
    pub(crate) fn candidates(&self, labels: &Labels) -> BTreeSet<ObjectName> {
        let pairs = labels.0.iter().map(|(key, value)| (key.clone(), value.clone()));
        let listed = pairs.filter_map(|pair| self.by_pair.get(&pair)).flatten();
        listed.chain(&self.unindexed).cloned().collect()
    }
}

/// The pairs of the first requirement that only listed values can meet.
fn indexed_pairs(requirements: &[Requirement]) -> Option<Vec<Pair>> {
    let listed = |r: &&Requirement| matches!(r.operator, Operator::Equals | Operator::In);
    let requirement = requirements.iter().filter(listed).min_by_key(|r| r.values.len())?;
    let pair = |value: &String| (requirement.key.clone(), value.clone());
    Some(requirement.values.iter().map(pair).collect())
}
