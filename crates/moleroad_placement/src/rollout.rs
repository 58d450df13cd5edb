//! Which instances may switch to new weights now.

use moleroad_types::prelude::*;
use std::collections::BTreeSet;

/// Where one replica of a selector stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaProgress {
    /// The instance.
    pub instance: InstanceId,
    /// Weights it serves now.
    pub serving: Option<RootDigest>,
    /// Whether it holds the wanted weights whole and verified.
    pub holds_wanted: bool,
    /// Whether it was already told to load them.
    pub ordered: bool,
}

/// The instances that may be told to load `wanted` now.
///
/// A replica that serves nothing may load at once. Of those that serve older
/// weights at most `max_unavailable_percent` (at least one) switch at a time,
/// so that callers always find replicas that serve.
pub fn may_switch(wanted: RootDigest, replicas: &[ReplicaProgress], max_unavailable_percent: u32) -> BTreeSet<InstanceId> {
    let allowed = (replicas.len() * max_unavailable_percent as usize / 100).max(1);
    let ready = |r: &&ReplicaProgress| r.holds_wanted && r.serving != Some(wanted);
    let idle = replicas.iter().filter(ready).filter(|r| r.serving.is_none());
    let unavailable = replicas.iter().filter(|r| r.serving.is_none() || r.ordered_away(wanted)).count();
    let free = allowed.saturating_sub(unavailable);
    let switching = replicas.iter().filter(|r| r.ordered_away(wanted));
    let next = replicas.iter().filter(ready).filter(|r| r.serving.is_some() && !r.ordered).take(free);
    idle.chain(switching).chain(next).map(|r| r.instance.clone()).collect()
}

impl ReplicaProgress {
    /// Whether it still reports older weights though it was told to switch.
    fn ordered_away(&self, wanted: RootDigest) -> bool {
        self.ordered && self.serving.is_some() && self.serving != Some(wanted)
    }
}
