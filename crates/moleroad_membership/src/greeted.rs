//! What passed between this daemon and others by greetings, and who is due.

use crate::contacts::{Contact, ENDS_MS};
use moleroad_directory::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Time between signs of life of daemons without other news, in milliseconds.
const LIVES_EVERY_MS: u64 = 500;
/// How long a daemon that did not answer is asked only when no other can be,
/// in milliseconds.
const REST_MS: u64 = 1_500;

/// What passed between this daemon and another one.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerState {
    /// When it was last greeted, in milliseconds.
    pub at: u64,
    /// Position of this daemon's directory when it was last told of this
    /// daemon; 0 when it may not know this daemon.
    pub position: u64,
    /// Number of the last call of a target that it was told of.
    pub calls: u64,
    /// Up to where its directory is known.
    pub cursor: Cursor,
    /// What was asked of its directory to know it up to there.
    pub scope: Scope,
    /// Whether it has more to tell than fitted its last answer.
    pub has_more: bool,
    /// When it last gave signs of life, in milliseconds.
    pub lives_at: u64,
    /// Position of this daemon's knowledge of ended targets up to which it was
    /// told.
    pub ends_position: u64,
    /// Up to where its knowledge of ended targets is known.
    pub ends_cursor: Cursor,
    /// Whether it answered the last time.
    pub answers: bool,
    /// Until when it rests, since it did not answer, in milliseconds.
    pub rests_until: u64,
}

impl PeerState {
    /// The question for a contact, `now`; also notes when signs of life are asked.
    pub fn question(&mut self, now: Millis, contact: &Contact) -> DeltaRequest {
        let lives = contact.scope != Scope::Nothing && now.0 >= self.lives_at + LIVES_EVERY_MS;
        if lives {
            self.lives_at = now.0;
        }
        if contact.scope != self.scope {
            // What was told of fewer daemons says nothing of the others.
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

/// What an answer of a contact changes.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Whether the contact does not have this daemon's record.
    pub unknown_caller: bool,
    /// Up to where its directory is known now.
    pub cursor: Cursor,
    /// Whether it has more to tell.
    pub has_more: bool,
    /// Up to where its knowledge of ended targets is known now.
    pub ends_cursor: Cursor,
}

/// What passed between this daemon and the others.
#[derive(Debug, Default)]
pub struct GossipState {
    told: HashMap<SocketAddr, PeerState>,
    waiting: HashSet<SocketAddr>,
    slots: HashMap<SocketAddr, KnownSlots>,
    news_at: Option<Millis>,
}

impl GossipState {
    /// What passed with the daemon at `address`.
    pub fn told(&self, address: SocketAddr) -> PeerState {
        self.told.get(&address).copied().unwrap_or_default()
    }

    /// Time since news came from anybody, in milliseconds.
    pub fn silent_ms(&self, now: Millis) -> u64 {
        self.news_at.map_or(u64::MAX, |at| now.since(at))
    }

    /// Daemons that did not answer lately.
    pub fn resting(&self, now: Millis) -> HashSet<SocketAddr> {
        let resting = self
            .told
            .iter()
            .filter(|(_, told)| now.0 < told.rests_until);
        resting.map(|(address, _)| *address).collect()
    }

    /// Those of `contacts` to greet now. `ends_position` is that of the own
    /// knowledge of ended targets; `None` for a daemon that does not pass it on.
    pub fn due(
        &self,
        now: Millis,
        contacts: Vec<Contact>,
        ends_position: Option<u64>,
    ) -> Vec<Contact> {
        let is_due = |contact: &Contact| {
            let told = self.told(contact.address);
            let has_news = contact.changed_at > told.position;
            let pause = contact.news_ms.filter(|_| has_news);
            let is_resting = now.0 < told.rests_until;
            let has_ends = ends_position.is_some_and(|position| position > told.ends_position);
            let ends_pause = (has_ends && !is_resting).then_some(ENDS_MS);
            let rest_of_answer = (told.has_more && told.scope == contact.scope).then_some(0);
            let pauses = pause.into_iter().chain(ends_pause).chain(rest_of_answer);
            let every = pauses.chain(contact.every_ms).min();
            let is_time = every.is_some_and(|every| now.0 >= told.at + every);
            is_time && !self.waiting.contains(&contact.address)
        };
        contacts.into_iter().filter(is_due).collect()
    }

    /// Notes that a greeting goes out.
    pub fn begin(&mut self, now: Millis, address: SocketAddr) {
        self.waiting.insert(address);
        self.told.entry(address).or_default().at = now.0;
    }

    /// Takes that a contact answered a greeting that told it `next`.
    pub fn answered(&mut self, now: Millis, contact: &Contact, next: PeerState, answer: Answered) {
        let mut next = PeerState {
            answers: true,
            rests_until: 0,
            ends_cursor: answer.ends_cursor,
            ..next
        };
        if contact.scope != Scope::Nothing {
            next.cursor = answer.cursor;
            next.has_more = answer.has_more;
            self.news_at = Some(now);
        }
        if answer.unknown_caller {
            next.position = 0;
        }
        self.waiting.remove(&contact.address);
        self.told.insert(contact.address, next);
    }

    /// Takes that a contact did not answer a greeting; `before` is what had passed
    /// before it, for what it was told may not have arrived.
    pub fn unanswered(&mut self, now: Millis, contact: &Contact, before: PeerState) {
        let at = self.told(contact.address).at;
        let next = PeerState {
            at,
            rests_until: now.0 + REST_MS,
            cursor: before.cursor,
            scope: before.scope,
            ends_position: before.ends_position,
            ends_cursor: before.ends_cursor,
            ..PeerState::default()
        };
        self.waiting.remove(&contact.address);
        self.told.insert(contact.address, next);
    }

    /// Whom the numbers in a contact's answers stand for.
    pub fn slots(&mut self, address: SocketAddr) -> &mut KnownSlots {
        self.slots.entry(address).or_default()
    }

    /// Notes that a contact spoke of daemons that are not known here, so that all
    /// must be asked for again.
    pub fn reset_cursor(&mut self, address: SocketAddr) {
        if let Some(told) = self.told.get_mut(&address) {
            told.cursor = Cursor::default();
            told.has_more = false;
        }
    }
}
