//! What a replica says of itself and of the group.

use crate::entry::LogIndex;
use crate::member::{Configuration, MemberId, MemberInfo};
use crate::replica::{Replica, Role};
use crate::status::{MemberStatus, ReplicaStatus};
use moleroad_types::prelude::{Millis, Term};

impl Replica {
    /// Whether this member leads its term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Last committed position.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Last position given out in [`Action::Apply`](crate::event::Action::Apply) or
    /// [`Action::Restore`](crate::event::Action::Restore).
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Entries kept in memory after the snapshot.
    pub fn entries_since_snapshot(&self) -> usize {
        self.log.entry_count()
    }

    /// The latest configuration in the log.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The leader of this term, if it is known.
    pub fn leader_info(&self) -> Option<&MemberInfo> {
        self.leader
            .and_then(|id| self.configuration.members.get(&id))
    }

    /// Until when this leader may act on its own; `None` when it may not.
    ///
    /// The span starts when the messages were *sent* that a majority has
    /// answered, and the leader must have committed an entry of its own term.
    /// Check it again between deciding and sending each order.
    pub fn lease_until(&self) -> Option<Millis> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if self.commit < state.opened_at {
            return None;
        }
        let echoed = |id: MemberId| {
            if id == self.id {
                return Some(Millis(u64::MAX / 2));
            }
            state.progress.get(&id).and_then(|progress| progress.echoed)
        };
        self.configuration
            .quorum_value(echoed)
            .flatten()
            .map(|sent| sent + self.timing.lease_ms)
    }

    /// Whether this member leads under a lease at `now`.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// The group as this member sees it.
    pub fn status(&self, now: Millis) -> ReplicaStatus {
        let members = self.configuration.members.values();
        ReplicaStatus {
            id: self.id,
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            last_index: self.log.last_index(),
            changing_members: self.configuration.is_joint(),
            losses_tolerated: self.losses_tolerated(now),
            members: members.map(|info| self.member_status(info, now)).collect(),
        }
    }

    fn member_status(&self, info: &MemberInfo, now: Millis) -> MemberStatus {
        let (durable, silent_ms) = match &self.role {
            Role::Leader(_) if info.id == self.id => (Some(self.log.last_index()), Some(0)),
            Role::Leader(state) => match state.progress.get(&info.id) {
                Some(progress) => (Some(progress.matched), Some(now.since(progress.heard_at))),
                None => (None, None),
            },
            _ => (None, None),
        };
        let voter = self.configuration.is_voter(info.id);
        MemberStatus {
            info: info.clone(),
            voter,
            durable,
            silent_ms,
        }
    }
}
