//! The state of exchanges with each peer, and the selection of contacts that are due.

use crate::contacts::{Contact, ENDED_TARGETS_INTERVAL_MS};
use moleroad_directory::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Minimum interval between requests for the ages of daemons, in milliseconds.
const AGES_INTERVAL_MS: u64 = 500;
/// How long a peer that did not answer is queried only if no other is available, in
/// milliseconds.
const BACKOFF_MS: u64 = 1_500;

/// State of the exchanges with one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerState {
    /// Time of the last exchange, in milliseconds.
    pub last_sent_ms: u64,
    /// Position of this daemon's directory up to which the peer knows this daemon's
    /// record; 0 if it may not know the record.
    pub position: u64,
    /// Sequence number of the last target call that was forwarded to the peer.
    pub target_call_seq: u64,
    /// Position up to which the peer's directory is known.
    pub cursor: Cursor,
    /// Scope of the requests that led to `cursor`.
    pub scope: Scope,
    /// Whether the last answer of the peer was incomplete.
    pub has_more: bool,
    /// Time when ages were last requested, in milliseconds.
    pub ages_requested_at: u64,
    /// Position in this daemon's list of ended targets up to which the peer was informed.
    pub ends_position: u64,
    /// Position up to which the peer's list of ended targets is known.
    pub ends_cursor: Cursor,
    /// Whether the peer answered the last exchange.
    pub is_responsive: bool,
    /// End of the backoff after a failed exchange, in milliseconds.
    pub backoff_until: u64,
}

impl PeerState {
    /// Returns the delta request for a contact, and records the time if it includes ages.
    pub fn delta_request(&mut self, now: Millis, contact: &Contact) -> DeltaRequest {
        let lives =
            contact.scope != Scope::Nothing && now.0 >= self.ages_requested_at + AGES_INTERVAL_MS;
        if lives {
            self.ages_requested_at = now.0;
        }
        if contact.scope != self.scope {
            // A cursor for a narrower scope does not cover the other daemons.
            self.cursor = Cursor::default();
            self.scope = contact.scope;
        }
        DeltaRequest {
            scope: contact.scope,
            after: self.cursor,
            lives,
            pieces: contact.pieces,
            interest: contact.interest,
            relays_suffice: contact.relays_suffice,
        }
    }
}

/// The parts of a contact's answer that update its state.
#[derive(Clone, Copy, Debug)]
pub struct GossipReply {
    /// Whether the peer does not know this daemon's record.
    pub unknown_caller: bool,
    /// Position up to which the peer's directory is now known.
    pub cursor: Cursor,
    /// Whether the answer was incomplete.
    pub has_more: bool,
    /// Position up to which the peer's list of ended targets is now known.
    pub ends_cursor: Cursor,
}

/// State of the exchanges with all peers.
#[derive(Debug, Default)]
pub struct GossipState {
    peers: HashMap<SocketAddr, PeerState>,
    in_flight: HashSet<SocketAddr>,
    slot_tables: HashMap<SocketAddr, SlotTable>,
    last_reply_at: Option<Millis>,
}

impl GossipState {
    /// Returns the state of the peer at `address`.
    pub fn peer_state(&self, address: SocketAddr) -> PeerState {
        self.peers.get(&address).copied().unwrap_or_default()
    }

    /// Returns the time since any peer last answered a delta request, in milliseconds;
    /// `u64::MAX` if none has.
    pub fn ms_since_reply(&self, now: Millis) -> u64 {
        self.last_reply_at.map_or(u64::MAX, |at| now.since(at))
    }

    /// Returns the peers in backoff.
    pub fn backed_off(&self, now: Millis) -> HashSet<SocketAddr> {
        let resting = self
            .peers
            .iter()
            .filter(|(_, peer)| now.0 < peer.backoff_until);
        resting.map(|(address, _)| *address).collect()
    }

    /// Returns the contacts that are due for an exchange. `ends_position` is the position
    /// of this daemon's list of ended targets, or `None` for a daemon that does not
    /// forward it.
    pub fn due(
        &self,
        now: Millis,
        contacts: Vec<Contact>,
        ends_position: Option<u64>,
    ) -> Vec<Contact> {
        let is_due = |contact: &Contact| {
            let peer = self.peer_state(contact.address);
            let has_changes = contact.changed_position > peer.position;
            let update_interval = contact.min_interval_ms.filter(|_| has_changes);
            let is_backed_off = now.0 < peer.backoff_until;
            let has_ends = ends_position.is_some_and(|position| position > peer.ends_position);
            let ends_interval = (has_ends && !is_backed_off).then_some(ENDED_TARGETS_INTERVAL_MS);
            let continuation = (peer.has_more && peer.scope == contact.scope).then_some(0);
            let intervals = update_interval
                .into_iter()
                .chain(ends_interval)
                .chain(continuation);
            let interval = intervals.chain(contact.interval_ms).min();
            let is_time = interval.is_some_and(|interval| now.0 >= peer.last_sent_ms + interval);
            is_time && !self.in_flight.contains(&contact.address)
        };
        contacts.into_iter().filter(is_due).collect()
    }

    /// Records the start of an exchange.
    pub fn mark_in_flight(&mut self, now: Millis, address: SocketAddr) {
        self.in_flight.insert(address);
        self.peers.entry(address).or_default().last_sent_ms = now.0;
    }

    /// Records a successful exchange; `next` is the state after the sent update was
    /// accepted.
    pub fn record_reply(
        &mut self,
        now: Millis,
        contact: &Contact,
        next: PeerState,
        answer: GossipReply,
    ) {
        let mut next = PeerState {
            is_responsive: true,
            backoff_until: 0,
            ends_cursor: answer.ends_cursor,
            ..next
        };
        if contact.scope != Scope::Nothing {
            next.cursor = answer.cursor;
            next.has_more = answer.has_more;
            self.last_reply_at = Some(now);
        }
        if answer.unknown_caller {
            next.position = 0;
        }
        self.in_flight.remove(&contact.address);
        self.peers.insert(contact.address, next);
    }

    /// Records a failed exchange; `before` is the state before it, because the update may
    /// not have arrived.
    pub fn record_failure(&mut self, now: Millis, contact: &Contact, before: PeerState) {
        let at = self.peer_state(contact.address).last_sent_ms;
        let next = PeerState {
            last_sent_ms: at,
            backoff_until: now.0 + BACKOFF_MS,
            cursor: before.cursor,
            scope: before.scope,
            ends_position: before.ends_position,
            ends_cursor: before.ends_cursor,
            ..PeerState::default()
        };
        self.in_flight.remove(&contact.address);
        self.peers.insert(contact.address, next);
    }

    /// Returns the table of the slots in a contact's answers.
    pub fn slots(&mut self, address: SocketAddr) -> &mut SlotTable {
        self.slot_tables.entry(address).or_default()
    }

    /// Resets the cursor of a contact whose answer referred to unknown daemons, so that
    /// all records are requested again.
    pub fn reset_cursor(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.cursor = Cursor::default();
            peer.has_more = false;
        }
    }
}
