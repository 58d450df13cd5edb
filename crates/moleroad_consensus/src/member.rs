//! Members of the control group and the configurations that define its quorums.

use moleroad_types::prelude::InstanceId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// Identity of a member, generated at random when its data folder is created.
///
/// The id belongs to the disk, not to the instance: a member that lost its disk
/// rejoins under a new id and so can never vote twice under the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity and address of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Identity of the member's disk.
    pub id: MemberId,
    /// Instance the member runs on.
    pub instance: InstanceId,
    /// Address of the member's RPC server.
    pub address: SocketAddr,
}

impl MemberInfo {
    /// Creates the description of a member.
    pub fn new(id: MemberId, instance: impl Into<InstanceId>, address: SocketAddr) -> Self {
        Self {
            id,
            instance: instance.into(),
            address,
        }
    }

    /// Returns whether both stand for the same instance, under one disk or another: it
    /// keeps its name or its address when its disk is lost.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.instance == other.instance || self.address == other.address
    }
}

/// Membership of the group: one set of voters, or two sets that must both agree
/// during a membership change (joint consensus).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Voters of the current set; during a membership change, of the incoming
    /// set.
    pub voters: BTreeSet<MemberId>,
    /// Voters of the outgoing set; empty unless a membership change is in
    /// progress.
    pub outgoing: BTreeSet<MemberId>,
    /// Members that replicate the log without voting.
    pub learners: BTreeSet<MemberId>,
    /// Identity and address of every voter and learner.
    pub members: BTreeMap<MemberId, MemberInfo>,
}

impl Configuration {
    /// Returns a configuration with all `members` as voters.
    pub fn of_voters(members: impl IntoIterator<Item = MemberInfo>) -> Self {
        let members: BTreeMap<_, _> = members.into_iter().map(|m| (m.id, m)).collect();
        Self {
            voters: members.keys().copied().collect(),
            members,
            ..Self::default()
        }
    }

    /// Returns whether a change of the voter set is in progress.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns whether `id` is a voter of either set.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.voters.contains(&id) || self.outgoing.contains(&id)
    }

    /// Returns whether the group has not been bootstrapped yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns whether there are voters and every member is described.
    pub fn is_complete(&self) -> bool {
        !self.is_empty()
            && self
                .member_ids()
                .iter()
                .all(|id| self.members.get(id).is_some_and(|info| info.id == *id))
    }

    /// Returns the ids of all voters of both sets and of all learners.
    pub fn member_ids(&self) -> BTreeSet<MemberId> {
        let voters = self.voters.union(&self.outgoing).copied();
        voters.chain(self.learners.iter().copied()).collect()
    }

    /// Returns whether the members for which `agrees` returns true form a
    /// majority of each set.
    pub fn has_quorum(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let majority = |set: &BTreeSet<MemberId>| {
            set.is_empty() || set.iter().filter(|id| agrees(**id)).count() > set.len() / 2
        };
        !self.voters.is_empty() && majority(&self.voters) && majority(&self.outgoing)
    }

    /// Returns the highest value that a majority of each set has reached, or
    /// `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value_of: impl Fn(MemberId) -> T) -> Option<T> {
        let reached = |set: &BTreeSet<MemberId>| {
            let mut values: Vec<T> = set.iter().map(|id| value_of(*id)).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(set.len() / 2).copied()
        };
        let incoming = reached(&self.voters)?;
        Some(reached(&self.outgoing).map_or(incoming, |outgoing| incoming.min(outgoing)))
    }

    /// Returns a voter of the same instance as `info` other than `except`. An instance
    /// has one vote.
    pub fn voter_of_instance(
        &self,
        info: &MemberInfo,
        except: Option<MemberId>,
    ) -> Option<MemberId> {
        let mut voters = self.voters.iter().copied();
        voters.find(|id| {
            let is_same = |other: &MemberInfo| other.is_same_instance(info);
            *id != info.id && Some(*id) != except && self.members.get(id).is_some_and(is_same)
        })
    }

    /// Returns the joint configuration that replaces voter `lost` with the learner
    /// `replacement`, or `None` if the instance of the learner has another vote.
    pub fn replacing(&self, lost: MemberId, replacement: MemberId) -> Option<Self> {
        let mut next = self.with_vote_of(replacement, Some(lost))?;
        next.voters.remove(&lost);
        Some(next)
    }

    /// Returns the joint configuration that promotes the learner `joining` to a
    /// voter, or `None` if its instance has a vote.
    pub fn adding(&self, joining: MemberId) -> Option<Self> {
        self.with_vote_of(joining, None)
    }

    fn with_vote_of(&self, joining: MemberId, lost: Option<MemberId>) -> Option<Self> {
        let info = self.members.get(&joining)?;
        if self.voter_of_instance(info, lost).is_some() {
            return None;
        }
        let mut next = self.clone();
        next.outgoing = self.voters.clone();
        next.voters.insert(joining);
        next.learners.remove(&joining);
        Some(next)
    }

    /// Returns the joint configuration without the voter `lost`.
    pub fn without_voter(&self, lost: MemberId) -> Self {
        let mut next = self.clone();
        next.outgoing = self.voters.clone();
        next.voters.remove(&lost);
        next
    }

    /// Returns the configuration that completes the change by dropping the
    /// outgoing set.
    pub fn leaving_joint(&self) -> Self {
        let mut next = self.clone();
        next.outgoing.clear();
        let kept = next.member_ids();
        next.members.retain(|id, _| kept.contains(id));
        next
    }

    /// Returns the configuration with `member` added as a learner.
    pub fn with_learner(&self, member: MemberInfo) -> Self {
        let mut next = self.clone();
        next.learners.insert(member.id);
        next.members.insert(member.id, member);
        next
    }

    /// Returns the configuration with the learner `id` removed.
    pub fn without_learner(&self, id: MemberId) -> Self {
        let mut next = self.clone();
        next.learners.remove(&id);
        next.members.remove(&id);
        next
    }
}
