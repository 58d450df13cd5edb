//! Whom a daemon greets, how often, and what it asks them.

use moleroad_directory::changes::Changes;
use moleroad_directory::prelude::*;
use moleroad_directory::relays::weight;
use moleroad_types::prelude::{InstanceId, Millis};
use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Time between greetings of entries that have nothing new to tell, in
/// milliseconds.
const ENTRY_GREETS_MS: u64 = 500;
/// Time between greetings of an agent that has nothing new to tell, in
/// milliseconds.
const AGENT_GREETS_MS: u64 = 1_000;
/// The same while it fetches weights.
const FETCHING_GREETS_MS: u64 = 250;
/// Time between questions of an entry to its relay while it has requests, in
/// milliseconds.
const BUSY_ASKS_MS: u64 = 120;
/// Time between questions to a relay of another data hall while there are
/// requests, in milliseconds: bytes that cross are paid for.
const FAR_ASKS_MS: u64 = 300;
/// Time between greetings while nothing is known to be in force, in
/// milliseconds.
const IGNORANT_GREETS_MS: u64 = 150;
/// Shortest time between greetings of one daemon when there is news, in
/// milliseconds.
const NEWS_MS: u64 = 120;
/// Shortest time between greetings of one daemon when targets ended under
/// requests, in milliseconds: five greetings in a row bring the news from an entry
/// to those of another data hall, in 0.75 s (worked out, a quarter of what the platform
/// allows).
pub const ENDS_MS: u64 = 100;
/// Time between tries to reach a daemon that fell silent, in milliseconds.
const PROBE_MS: u64 = 1_000;
/// Without news for this long a daemon turns to its seeds, in milliseconds.
pub const ISOLATION_TIMEOUT_MS: u64 = 1_000;
/// Entries that an agent without relays in its data hall turns to.
const FAR_RELAYS: usize = 2;
/// Relays of its data hall that an agent tells of itself: the one that it asks and
/// others that may have to take its place.
const AGENT_RELAYS: usize = 3;
/// Silence of another data hall after which every relay asks it, and not only the
/// one whose turn it is, in milliseconds: before its entries count as gone.
const HALL_SILENT_MS: u64 = 1_500;

/// A daemon to greet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Its peer address.
    pub address: SocketAddr,
    /// What it is asked.
    pub scope: Scope,
    /// Whether pieces of weights are asked for.
    pub pieces: bool,
    /// What else is asked for.
    pub interest: Interest,
    /// Whether it is enough to hear of the relays, where there is more to tell than
    /// fits one answer.
    pub relays_suffice: bool,
    /// Time between greetings; `None` when it is greeted for news only.
    pub every_ms: Option<u64>,
    /// Shortest time between greetings when there is news for it.
    pub news_ms: Option<u64>,
    /// Position of this daemon's directory at which there was last news for it.
    pub changed_at: u64,
}

/// What the choice of contacts depends on.
pub struct ContactPlanner<'a> {
    /// Now.
    pub now: Millis,
    /// What is known of daemons.
    pub directory: &'a Directory,
    /// This daemon.
    pub own: &'a DaemonRecord,
    /// Peer addresses to begin with.
    pub seeds: &'a [SocketAddr],
    /// Daemons that did not answer lately.
    pub resting: &'a HashSet<SocketAddr>,
    /// Whether there are requests.
    pub is_busy: bool,
    /// Whether nothing is known to be in force.
    pub lacks_configuration: bool,
    /// Whether this daemon began a short while ago.
    pub is_young: bool,
    /// Whether no news came for long.
    pub is_lost: bool,
}

impl ContactPlanner<'_> {
    /// All daemons to greet, each once.
    pub fn contacts(&self) -> Vec<Contact> {
        let mut contacts = match self.own.role {
            DaemonRole::Entry => self.of_entry(),
            DaemonRole::Agent => self.of_agent(),
            DaemonRole::Control => self.of_control(),
        };
        if self.is_lost {
            let seeds = self.seeds.iter().copied();
            contacts.extend(seeds.map(|seed| Contact {
                relays_suffice: true,
                ..self.asked(seed, Scope::All, ENTRY_GREETS_MS)
            }));
        }
        contacts.retain(|contact| contact.address != self.own.peer);
        // Whoever is asked for more goes first.
        contacts.sort_by_key(|contact| {
            let asked = match contact.scope {
                Scope::All if !contact.relays_suffice => 0,
                Scope::All => 1,
                Scope::CalleesHall => 2,
                Scope::Nothing => 3,
            };
            (contact.address, asked, contact.every_ms.unwrap_or(u64::MAX))
        });
        contacts.dedup_by_key(|contact| contact.address);
        contacts
    }

    fn of_entry(&self) -> Vec<Contact> {
        let relays = self.directory.relays(self.now, &self.own.hall);
        let is_relay = relays.iter().any(|relay| self.is_own(relay));
        let mut contacts = if is_relay {
            self.of_relay(&relays)
        } else {
            self.first_sound(relays)
                .map(|relay| self.asked(relay.peer, Scope::All, self.busy_every()))
                .into_iter()
                .collect()
        };
        contacts.extend(self.members());
        contacts
    }

    /// A control daemon is no relay: it hears of requests' targets only to
    /// answer those who begin, and must not be held up by passing on news.
    fn of_control(&self) -> Vec<Contact> {
        let relay = self.first_sound(self.sound_relays());
        let asked = relay.map(|relay| self.asked(relay.peer, Scope::All, ENTRY_GREETS_MS));
        asked.into_iter().chain(self.members()).collect()
    }

    /// The other daemons with a log, so that each knows who might replace a
    /// lost member.
    fn members(&self) -> Vec<Contact> {
        let members = self
            .others()
            .filter(|other| self.own.has_log && other.has_log);
        let told = members.map(|other| self.told(other.peer, ENTRY_GREETS_MS));
        told.collect()
    }

    /// The relays of the own data hall, or of others when none there answers.
    fn sound_relays(&self) -> Vec<&DaemonRecord> {
        let relays = self.directory.relays(self.now, &self.own.hall);
        if relays.iter().all(|relay| self.rests(relay)) {
            self.far_relays()
        } else {
            relays
        }
    }

    fn of_relay(&self, relays: &[&DaemonRecord]) -> Vec<Contact> {
        let others = relays.iter().filter(|relay| !self.is_own(relay));
        let is_busy = self.is_busy || self.directory.is_busy(&self.own.hall);
        let every = if is_busy {
            BUSY_ASKS_MS
        } else {
            ENTRY_GREETS_MS
        };
        let mut contacts: Vec<Contact> = others
            .map(|relay| self.asked(relay.peer, Scope::All, every))
            .collect();
        let far_halls = self.directory.entry_halls().into_iter();
        let far_halls = far_halls.filter(|hall| *hall != self.own.hall);
        for hall in far_halls.filter(|hall| self.asks_hall(relays, hall)) {
            contacts.extend(self.far_relay(hall, is_busy));
        }
        // Whoever is lost, as all are that begin, takes itself for a relay.
        if !self.is_lost {
            contacts.extend(self.seed_of_young_relay());
            contacts.extend(self.probe());
        }
        contacts
    }

    /// Whether this relay asks another data hall: one of the hall's relays does
    /// and the others hear of it from that one, so that news crosses once. All do
    /// when nothing comes.
    fn asks_hall(&self, relays: &[&DaemonRecord], hall: &str) -> bool {
        let sound = relays.iter().filter(|relay| !self.rests(relay));
        let asking = sound.max_by_key(|relay| weight(hall, &relay.instance));
        let is_silent = || {
            let silence_ms = self.directory.silence_of(self.now, hall);
            silence_ms.is_none_or(|silence_ms| silence_ms >= HALL_SILENT_MS)
        };
        asking.is_some_and(|relay| self.is_own(relay)) || is_silent()
    }

    /// The seed that a relay asks for all while daemons begin together: whoever
    /// begins tells the seeds first, and may take others for its hall's relays.
    fn seed_of_young_relay(&self) -> Option<Contact> {
        let rank = |seed: &&SocketAddr| {
            let rank = weight(
                self.own.instance.as_str(),
                &InstanceId::new(seed.to_string()),
            );
            (self.resting.contains(*seed), rank)
        };
        let seed = self
            .seeds
            .iter()
            .filter(|_| self.is_young)
            .min_by_key(rank)?;
        Some(self.asked(*seed, Scope::All, ENTRY_GREETS_MS))
    }

    /// The relay of another data hall to ask.
    fn far_relay(&self, hall: &str, is_busy: bool) -> Option<Contact> {
        let mut entries = self.directory.relays(self.now, hall);
        if entries.is_empty() {
            let own = self.own.instance.as_str();
            entries = self.directory.silent_entries(hall, own);
        }
        let relay = self.first_sound(entries)?;
        let every = if is_busy {
            FAR_ASKS_MS
        } else {
            ENTRY_GREETS_MS
        };
        Some(Contact {
            news_ms: None,
            ..self.asked(relay.peer, Scope::CalleesHall, every)
        })
    }

    /// One entry of the own data hall that fell silent, or a seed: it may be
    /// back, or the cut may be over that parted its relays from these.
    fn probe(&self) -> Option<Contact> {
        let own = self.own.instance.as_str();
        let entries = self.directory.silent_entries(&self.own.hall, own);
        let is_silent = |record: &&DaemonRecord| {
            let heard = self.directory.daemon(&record.instance);
            heard.is_some_and(|heard| self.is_silent(heard))
        };
        let silent = entries.into_iter().filter(is_silent);
        let silent = silent.map(|record| record.peer);
        let known = |seed: &SocketAddr| {
            let mut daemons = self.directory.daemons();
            daemons.any(|heard| heard.record.peer == *seed && !self.is_silent(heard))
        };
        let seeds = self.seeds.iter().copied().filter(|seed| !known(seed));
        let probed: Vec<SocketAddr> = silent.chain(seeds).collect();
        // Another one each time.
        let turn = (self.now.0 / PROBE_MS) as usize;
        let address = probed.get(turn % probed.len().max(1))?;
        Some(self.asked(*address, Scope::All, PROBE_MS))
    }

    fn is_silent(&self, heard: &Observed<DaemonRecord>) -> bool {
        self.now.since(heard.at) >= moleroad_directory::directory::DAEMON_SUSPECT_MS
    }

    fn of_agent(&self) -> Vec<Contact> {
        let mut relays = self.sound_relays();
        relays.sort_by_key(|relay| (self.rests(relay), self.rank_of(relay)));
        relays.truncate(AGENT_RELAYS);
        let every = if self.is_fetching() {
            FETCHING_GREETS_MS
        } else {
            AGENT_GREETS_MS
        };
        let asked = relays.first().map(|relay| Contact {
            interest: Interest::Weights,
            ..self.asked(relay.peer, Scope::All, every)
        });
        let told = relays.iter().skip(1);
        let told = told.map(|relay| self.told(relay.peer, AGENT_GREETS_MS));
        asked.into_iter().chain(told).collect()
    }

    /// Entries of other data halls for a daemon whose own has none: the
    /// nearest.
    fn far_relays(&self) -> Vec<&DaemonRecord> {
        let halls = self.directory.entry_halls();
        let relays = halls
            .into_iter()
            .flat_map(|hall| self.directory.relays(self.now, hall));
        let mut relays: Vec<&DaemonRecord> = relays.filter(|relay| !self.rests(relay)).collect();
        relays.sort_by_key(|relay| (relay.region != self.own.region, self.rank_of(relay)));
        relays.truncate(FAR_RELAYS);
        relays
    }

    /// The newest version of which this agent has pieces.
    fn newest_pieces(&self) -> Option<&PieceMap> {
        let maps = self.own.pieces.iter();
        maps.max_by_key(|map| map.version)
    }

    /// Whether this agent has pieces of a version that its engine does not
    /// hold.
    fn is_fetching(&self) -> bool {
        let Some(newest) = self.newest_pieces() else {
            return false;
        };
        let report = self.own.report.as_ref();
        let mut holdings = report.into_iter().flat_map(|report| &report.holdings);
        !holdings.any(|holding| holding.version >= newest.version)
    }

    fn own_changes(&self) -> Changes {
        let own = self.directory.daemon(&self.own.instance);
        own.map(|heard| heard.changes).unwrap_or_default()
    }

    /// A contact that is asked for news.
    fn asked(&self, address: SocketAddr, scope: Scope, every_ms: u64) -> Contact {
        let every_ms = if self.lacks_configuration || self.is_young {
            every_ms.min(IGNORANT_GREETS_MS)
        } else {
            every_ms
        };
        let changes = self.own_changes();
        Contact {
            address,
            scope,
            pieces: true,
            interest: Interest::Requests,
            relays_suffice: false,
            every_ms: Some(every_ms),
            news_ms: Some(NEWS_MS),
            changed_at: changes.record.max(changes.load).max(changes.pieces),
        }
    }

    /// A contact that is only told of this daemon. It hears of load and pieces from
    /// the one that is asked, and in its turn: a relay that every change of load
    /// was told to would be told several hundred times a second.
    fn told(&self, address: SocketAddr, every_ms: u64) -> Contact {
        Contact {
            pieces: false,
            every_ms: Some(every_ms),
            changed_at: self.own_changes().record,
            ..self.asked(address, Scope::Nothing, every_ms)
        }
    }

    fn busy_every(&self) -> u64 {
        if self.is_busy {
            BUSY_ASKS_MS
        } else {
            ENTRY_GREETS_MS
        }
    }

    /// The one to ask: by weight, those that answer first.
    fn first_sound<'a>(&self, records: Vec<&'a DaemonRecord>) -> Option<&'a DaemonRecord> {
        let rank = |record: &&DaemonRecord| (self.rests(record), self.rank_of(record));
        records.into_iter().min_by_key(rank)
    }

    /// The lowest is chosen first by this daemon.
    fn rank_of(&self, record: &DaemonRecord) -> Reverse<u64> {
        Reverse(weight(self.own.instance.as_str(), &record.instance))
    }

    fn rests(&self, record: &DaemonRecord) -> bool {
        self.resting.contains(&record.peer)
    }

    fn is_own(&self, record: &DaemonRecord) -> bool {
        record.instance == self.own.instance
    }

    fn others(&self) -> impl Iterator<Item = &DaemonRecord> {
        let records = self.directory.daemons().map(|heard| &heard.record);
        records.filter(|record| !self.is_own(record))
    }
}
