//! Read-only queries of a replica's state.

use crate::entry::LogIndex;
use crate::member::{Configuration, MemberId, MemberInfo};
use crate::replica::{Replica, Role};
use crate::status::{MemberStatus, ReplicaStatus};
use moleroad_types::prelude::{Millis, Term};

impl Replica {
    /// Returns whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the last committed position.
    pub fn commit_index(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last position delivered by
    /// [`Action::Apply`](crate::event::Action::Apply) or
    /// [`Action::Restore`](crate::event::Action::Restore).
    pub fn applied_index(&self) -> LogIndex {
        self.applied
    }

    /// Returns the number of entries in memory after the snapshot.
    pub fn entries_since_snapshot(&self) -> usize {
        self.log.entry_count()
    }

    /// Returns the latest configuration in the log.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the leader of the current term, if known.
    pub fn leader_info(&self) -> Option<&MemberInfo> {
        self.leader
            .and_then(|id| self.configuration.members.get(&id))
    }

    /// Returns the expiry of this leader's lease, or `None` if it holds none.
    ///
    /// The lease starts when the messages that a majority has acknowledged were
    /// *sent*, and requires that the leader has committed an entry of its own
    /// term. The caller must check it again between deciding on an order and
    /// sending it.
    pub fn lease_until(&self) -> Option<Millis> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        if self.commit < state.term_start_index {
            return None;
        }
        let acked_sent_at = |id: MemberId| {
            if id == self.id {
                return Some(Millis(u64::MAX / 2));
            }
            state
                .progress
                .get(&id)
                .and_then(|progress| progress.acked_sent_at)
        };
        self.configuration
            .quorum_value(acked_sent_at)
            .flatten()
            .map(|sent| sent + self.timing.lease_ms)
    }

    /// Returns whether this member is the leader and its lease is valid at
    /// `now`.
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until().is_some_and(|until| now < until)
    }

    /// Returns the status of the group as seen by this member.
    pub fn status(&self, now: Millis) -> ReplicaStatus {
        let members = self.configuration.members.values();
        ReplicaStatus {
            id: self.id,
            term: self.hard_state.term,
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
                Some(progress) => (
                    Some(progress.matched),
                    Some(now.since(progress.last_contact)),
                ),
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
