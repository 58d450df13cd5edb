//! Members of the control group and the sets of them that must agree.

use moleroad_types::prelude::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// Identity of one member, drawn at random when its data folder is made.
///
/// It names a disk and not an instance: a member whose disk was lost comes
/// back under another id and can never vote a second time under the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Where a member is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Identity of the member's disk.
    pub id: MemberId,
    /// Instance the member runs on.
    pub instance: InstanceId,
    /// Address that takes calls from other processes.
    pub address: SocketAddr,
}

impl MemberInfo {
    /// Describes a member.
    pub fn new(id: MemberId, instance: impl Into<InstanceId>, address: SocketAddr) -> Self {
        Self {
            id,
            instance: instance.into(),
            address,
        }
    }
}

/// The members that must agree, in one or, during a change, two sets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Voters of the current, or during a change the incoming, set.
    pub voters: BTreeSet<MemberId>,
    /// Voters of the outgoing set; empty outside of a change.
    pub outgoing: BTreeSet<MemberId>,
    /// Members that receive the log and do not vote.
    pub learners: BTreeSet<MemberId>,
    /// Where each of them is reached.
    pub members: BTreeMap<MemberId, MemberInfo>,
}

impl Configuration {
    /// A configuration in which all `members` vote.
    pub fn of_voters(members: impl IntoIterator<Item = MemberInfo>) -> Self {
        let members: BTreeMap<_, _> = members.into_iter().map(|m| (m.id, m)).collect();
        Self {
            voters: members.keys().copied().collect(),
            members,
            ..Self::default()
        }
    }

    /// Whether a change from one set of voters to another is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `id` votes, in either set.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }

    /// Whether no founding configuration is known yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// All voters of both sets and all learners.
    pub fn everyone(&self) -> BTreeSet<MemberId> {
        let voters = self.voters.union(&self.outgoing).copied();
        voters.chain(self.learners.iter().copied()).collect()
    }

    /// Whether the members for which `agrees` holds are a majority of each set.
    pub fn has_quorum(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let majority = |set: &BTreeSet<MemberId>| {
            set.is_empty() || set.iter().filter(|id| agrees(**id)).count() > set.len() / 2
        };
        !self.voters.is_empty() && majority(&self.voters) && majority(&self.outgoing)
    }

    /// The highest value that a majority of each set has reached.
    pub fn quorum_value<T: Ord + Copy>(&self, value_of: impl Fn(MemberId) -> T) -> Option<T> {
        let reached = |set: &BTreeSet<MemberId>| {
            let mut values: Vec<T> = set.iter().map(|id| value_of(*id)).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(set.len() / 2).copied()
        };
        let incoming = reached(&self.voters)?;
        Some(reached(&self.outgoing).map_or(incoming, |outgoing| incoming.min(outgoing)))
    }

    /// The joint configuration that swaps voter `lost` for `replacement`.
    pub fn replacing(&self, lost: MemberId, replacement: MemberId) -> Self {
        let mut next = self.clone();
        next.outgoing = self.voters.clone();
        next.voters.remove(&lost);
        next.voters.insert(replacement);
        next.learners.remove(&replacement);
        next
    }

    /// The joint configuration that makes the learner `joining` a voter.
    pub fn adding(&self, joining: MemberId) -> Self {
        let mut next = self.clone();
        next.outgoing = self.voters.clone();
        next.voters.insert(joining);
        next.learners.remove(&joining);
        next
    }

    /// The configuration after the change: the outgoing set is dropped.
    pub fn leaving_joint(&self) -> Self {
        let mut next = self.clone();
        next.outgoing.clear();
        let kept = next.everyone();
        next.members.retain(|id, _| kept.contains(id));
        next
    }

    /// The same configuration with `member` as a learner.
    pub fn with_learner(&self, member: MemberInfo) -> Self {
        let mut next = self.clone();
        next.learners.insert(member.id);
        next.members.insert(member.id, member);
        next
    }

    /// The same configuration without the learner `id`.
    pub fn without_learner(&self, id: MemberId) -> Self {
        let mut next = self.clone();
        next.learners.remove(&id);
        next.members.remove(&id);
        next
    }
}
