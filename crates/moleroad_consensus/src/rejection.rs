//! Messages that a replica drops without processing them.
//!
//! A message reaches an address, and a member is a disk: what listens at the address
//! may be another member by now. Whatever arrives, the replica goes on.

use crate::entry::{Entry, LogIndex};
use crate::member::{MemberId, MemberInfo};
use crate::message::Message;
use crate::replica::Replica;
use moleroad_types::prelude::{Millis, Term};

/// Largest term and log position that a message may carry. It leaves room to count on
/// from there.
const MAX_NUMBER: u64 = 1 << 62;

/// Reason why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// It was sent to another member, which listened at this address before.
    OtherAddressee,
    /// This member sent it.
    OwnMessage,
    /// It replies to this member, and its sender is in no configuration that this
    /// member knows.
    UnknownSender,
    /// It cannot have been sent by a member that follows the protocol.
    Malformed,
    /// It claims to be of the leader of the term in which this member leads.
    SecondLeader,
    /// It would replace entries that are committed.
    ReplacesCommitted,
}

impl Replica {
    /// Returns why a message from `from` to the member `to` is dropped, if it is.
    pub(crate) fn rejection(
        &self,
        now: Millis,
        from: &MemberInfo,
        to: MemberId,
        message: &Message,
    ) -> Option<Rejection> {
        if to != self.id {
            return Some(Rejection::OtherAddressee);
        }
        if from.id == self.id {
            return Some(Rejection::OwnMessage);
        }
        if !is_well_formed(now, message) {
            return Some(Rejection::Malformed);
        }
        match message {
            Message::VoteRequest { .. } => None,
            Message::VoteReply { .. } | Message::AppendReply { .. } => {
                let is_known = self.configuration.members.contains_key(&from.id);
                (!is_known).then_some(Rejection::UnknownSender)
            }
            Message::Append { term, .. } | Message::Install { term, .. }
                if self.is_leader() && *term == self.hard_state.term =>
            {
                Some(Rejection::SecondLeader)
            }
            Message::Append { term, entries, .. } if *term >= self.hard_state.term => {
                let replaces = entries.iter().any(|entry| self.replaces_committed(entry));
                replaces.then_some(Rejection::ReplacesCommitted)
            }
            Message::Append { .. } | Message::Install { .. } => None,
        }
    }

    fn replaces_committed(&self, entry: &Entry) -> bool {
        let is_committed = entry.index <= self.commit && entry.index > self.log.snapshot_index();
        is_committed && self.log.term_at(entry.index) != Some(entry.term)
    }
}

fn is_well_formed(now: Millis, message: &Message) -> bool {
    let is_number = |number: u64| number <= MAX_NUMBER;
    let is_position = |index: &LogIndex| is_number(index.0);
    if !is_number(message.term().0) {
        return false;
    }
    match message {
        Message::VoteRequest {
            last_index,
            last_term,
            ..
        } => is_position(last_index) && is_number(last_term.0),
        Message::VoteReply { .. } => true,
        Message::Append {
            term,
            prev_index,
            prev_term,
            entries,
            commit,
            ..
        } => {
            is_position(prev_index)
                && is_position(commit)
                && follows(*prev_index, *prev_term, entries, *term)
        }
        // The time is of this member's clock.
        Message::AppendReply {
            position, sent_at, ..
        } => is_position(position) && *sent_at <= now,
        Message::Install { term, snapshot, .. } => {
            is_position(&snapshot.index)
                && snapshot.index > LogIndex(0)
                && snapshot.term <= *term
                && snapshot.configuration.is_complete()
        }
    }
}

/// Returns whether `entries` follow the position without gaps, in terms that do not
/// decrease and are at most the leader's.
fn follows(prev_index: LogIndex, prev_term: Term, entries: &[Entry], leader_term: Term) -> bool {
    let mut last = (prev_index, prev_term);
    for entry in entries {
        if entry.index != last.0.next() || entry.term < last.1 || !entry.has_usable_payload() {
            return false;
        }
        last = (entry.index, entry.term);
    }
    last.1 <= leader_term
}
