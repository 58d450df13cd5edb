//! The choice of a daemon's gossip peers, the exchange intervals and the requested
//! scopes.

use moleroad_directory::changes::ChangePositions;
use moleroad_directory::prelude::*;
use moleroad_directory::relays::rendezvous_weight;
use moleroad_types::prelude::{InstanceId, Millis};
use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Exchange interval of entries without changes to send, in milliseconds.
const ENTRY_INTERVAL_MS: u64 = 500;
/// Exchange interval of an agent without changes to send, in milliseconds.
const AGENT_INTERVAL_MS: u64 = 1_000;
/// Exchange interval of an agent while it fetches weights, in milliseconds.
const FETCHING_INTERVAL_MS: u64 = 250;
/// Interval at which an entry with requests queries its relay, in milliseconds.
const BUSY_INTERVAL_MS: u64 = 120;
/// Interval at which a relay of another data hall is queried while there are
/// requests, in milliseconds. It is longer than within a hall because traffic between
/// halls is paid for.
const REMOTE_HALL_INTERVAL_MS: u64 = 300;
/// Exchange interval while starting up or without a configuration, in milliseconds.
const STARTUP_INTERVAL_MS: u64 = 150;
/// Minimum interval between exchanges with one daemon when there are changes to send,
/// in milliseconds.
const MIN_UPDATE_INTERVAL_MS: u64 = 120;
/// Minimum interval between exchanges with one daemon when targets ended while
/// processing requests, in milliseconds. Five consecutive exchanges carry this
/// information from an entry to those of another data hall, in a calculated 0.75 s, a
/// quarter of the time that the platform allows.
pub const ENDED_TARGETS_INTERVAL_MS: u64 = 100;
/// Interval between attempts to reach silent daemons, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time without an answer after which a daemon counts as isolated and queries its
/// seeds, in milliseconds.
pub const ISOLATION_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of relays of other data halls that are used when the own hall has
/// none that responds.
const MAX_REMOTE_RELAYS: usize = 2;
/// Number of relays that an agent sends its record to: the one it queries, and others
/// that may have to replace that one.
const RELAYS_PER_AGENT: usize = 3;
/// Silence of another data hall after which every relay queries it instead of only
/// the designated one, in milliseconds. It is below the time after which the hall's
/// entries are suspected to have failed.
const HALL_SILENCE_MS: u64 = 1_500;

/// A planned gossip exchange with a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// Peer address of the daemon.
    pub address: SocketAddr,
    /// Scope of the requested delta.
    pub scope: Scope,
    /// Whether changes of pieces are requested.
    pub pieces: bool,
    /// Kind of information requested.
    pub interest: Interest,
    /// Whether the relays alone are sufficient if the full answer exceeds the size limit.
    pub relays_suffice: bool,
    /// Exchange interval; `None` for exchanges only when there are changes to send.
    pub interval_ms: Option<u64>,
    /// Minimum interval between exchanges when there are changes to send.
    pub min_interval_ms: Option<u64>,
    /// Position of the last change in this daemon's directory to send to the peer.
    pub changed_position: u64,
}

/// Inputs for the choice of contacts.
pub struct ContactPlanner<'a> {
    /// Current time.
    pub now: Millis,
    /// Directory of this daemon.
    pub directory: &'a Directory,
    /// Record of this daemon.
    pub own: &'a DaemonRecord,
    /// Peer addresses for bootstrapping.
    pub seeds: &'a [SocketAddr],
    /// Peers in backoff because they did not answer recently.
    pub backed_off: &'a HashSet<SocketAddr>,
    /// Whether this daemon has requests in flight.
    pub is_busy: bool,
    /// Whether no configuration is active yet.
    pub lacks_configuration: bool,
    /// Whether this daemon started recently.
    pub is_starting_up: bool,
    /// Whether no peer has answered for [`ISOLATION_TIMEOUT_MS`].
    pub is_isolated: bool,
}

impl ContactPlanner<'_> {
    /// Returns the contacts of this daemon, each address once.
    pub fn contacts(&self) -> Vec<Contact> {
        let mut contacts = match self.own.role {
            DaemonRole::Entry => self.entry_contacts(),
            DaemonRole::Agent => self.agent_contacts(),
            DaemonRole::Control => self.control_contacts(),
        };
        if self.is_isolated {
            let seeds = self.seeds.iter().copied();
            contacts.extend(seeds.map(|seed| Contact {
                relays_suffice: true,
                ..self.pull_contact(seed, Scope::All, ENTRY_INTERVAL_MS)
            }));
        }
        contacts.retain(|contact| contact.address != self.own.peer);
        // Of several contacts with one address, the one with the widest scope is kept.
        contacts.sort_by_key(|contact| {
            let scope_rank = match contact.scope {
                Scope::All if !contact.relays_suffice => 0,
                Scope::All => 1,
                Scope::CalleesHall => 2,
                Scope::Nothing => 3,
            };
            (
                contact.address,
                scope_rank,
                contact.interval_ms.unwrap_or(u64::MAX),
            )
        });
        contacts.dedup_by_key(|contact| contact.address);
        contacts
    }

    fn entry_contacts(&self) -> Vec<Contact> {
        let relays = self.directory.relays(self.now, &self.own.hall);
        let is_relay = relays.iter().any(|relay| self.is_self(relay));
        let mut contacts = if is_relay {
            self.relay_contacts(&relays)
        } else {
            self.preferred(relays)
                .map(|relay| self.pull_contact(relay.peer, Scope::All, self.pull_interval_ms()))
                .into_iter()
                .collect()
        };
        contacts.extend(self.log_members());
        contacts
    }

    /// A control daemon is not a relay: it needs targets only to answer daemons that
    /// start up, and must not be slowed down by forwarding records.
    fn control_contacts(&self) -> Vec<Contact> {
        let relay = self.preferred(self.responsive_relays());
        let pulled =
            relay.map(|relay| self.pull_contact(relay.peer, Scope::All, ENTRY_INTERVAL_MS));
        pulled.into_iter().chain(self.log_members()).collect()
    }

    /// Returns contacts for the other daemons with a log, so that each knows the
    /// candidates to replace a lost member.
    fn log_members(&self) -> Vec<Contact> {
        let members = self
            .others()
            .filter(|other| self.own.has_log && other.has_log);
        let pushed = members.map(|other| self.push_contact(other.peer, ENTRY_INTERVAL_MS));
        pushed.collect()
    }

    /// Returns the relays of the own data hall, or of other halls if all of them are in
    /// backoff.
    fn responsive_relays(&self) -> Vec<&DaemonRecord> {
        let relays = self.directory.relays(self.now, &self.own.hall);
        if relays.iter().all(|relay| self.is_backed_off(relay)) {
            self.remote_relays()
        } else {
            relays
        }
    }

    fn relay_contacts(&self, relays: &[&DaemonRecord]) -> Vec<Contact> {
        let others = relays.iter().filter(|relay| !self.is_self(relay));
        let is_busy = self.is_busy || self.directory.hall_has_requests(&self.own.hall);
        let interval_ms = if is_busy {
            BUSY_INTERVAL_MS
        } else {
            ENTRY_INTERVAL_MS
        };
        let mut contacts: Vec<Contact> = others
            .map(|relay| self.pull_contact(relay.peer, Scope::All, interval_ms))
            .collect();
        let remote_halls = self.directory.entry_halls().into_iter();
        let remote_halls = remote_halls.filter(|hall| *hall != self.own.hall);
        for hall in remote_halls.filter(|hall| self.queries_hall(relays, hall)) {
            contacts.extend(self.remote_relay(hall, is_busy));
        }
        // A daemon that is isolated, as every daemon is at its start, considers itself a
        // relay because it knows no others.
        if !self.is_isolated {
            contacts.extend(self.startup_seed());
            contacts.extend(self.probe());
        }
        contacts
    }

    /// Returns whether this relay queries another data hall. One relay does and the
    /// others receive the changes from it, so that they cross between the halls once. All
    /// relays query a hall that is silent.
    fn queries_hall(&self, relays: &[&DaemonRecord], hall: &str) -> bool {
        let responsive = relays.iter().filter(|relay| !self.is_backed_off(relay));
        let designated = responsive.max_by_key(|relay| rendezvous_weight(hall, &relay.instance));
        let is_silent = || {
            let silence_ms = self.directory.hall_silence_ms(self.now, hall);
            silence_ms.is_none_or(|silence_ms| silence_ms >= HALL_SILENCE_MS)
        };
        designated.is_some_and(|relay| self.is_self(relay)) || is_silent()
    }

    /// Returns the seed that a relay queries while daemons start together. Starting
    /// daemons contact the seeds first and may compute other relays for their hall.
    fn startup_seed(&self) -> Option<Contact> {
        let rank = |seed: &&SocketAddr| {
            let rank = rendezvous_weight(
                self.own.instance.as_str(),
                &InstanceId::new(seed.to_string()),
            );
            (self.backed_off.contains(*seed), rank)
        };
        let seed = self
            .seeds
            .iter()
            .filter(|_| self.is_starting_up)
            .min_by_key(rank)?;
        Some(self.pull_contact(*seed, Scope::All, ENTRY_INTERVAL_MS))
    }

    /// Returns a contact for the preferred relay of another data hall.
    fn remote_relay(&self, hall: &str, is_busy: bool) -> Option<Contact> {
        let mut entries = self.directory.relays(self.now, hall);
        if entries.is_empty() {
            let own = self.own.instance.as_str();
            entries = self.directory.entries_by_weight(hall, own);
        }
        let relay = self.preferred(entries)?;
        let interval_ms = if is_busy {
            REMOTE_HALL_INTERVAL_MS
        } else {
            ENTRY_INTERVAL_MS
        };
        Some(Contact {
            min_interval_ms: None,
            ..self.pull_contact(relay.peer, Scope::CalleesHall, interval_ms)
        })
    }

    /// Returns a silent entry of the own data hall or a seed: it may have recovered, or a
    /// partition that separated its relays from the known ones may have healed.
    fn probe(&self) -> Option<Contact> {
        let own = self.own.instance.as_str();
        let entries = self.directory.entries_by_weight(&self.own.hall, own);
        let is_silent = |record: &&DaemonRecord| {
            let observed = self.directory.daemon(&record.instance);
            observed.is_some_and(|observed| self.is_suspect(observed))
        };
        let silent = entries.into_iter().filter(is_silent);
        let silent = silent.map(|record| record.peer);
        let known = |seed: &SocketAddr| {
            let mut daemons = self.directory.daemons();
            daemons.any(|observed| observed.record.peer == *seed && !self.is_suspect(observed))
        };
        let seeds = self.seeds.iter().copied().filter(|seed| !known(seed));
        let probed: Vec<SocketAddr> = silent.chain(seeds).collect();
        // Each probe interval selects the next address.
        let probe_round = (self.now.0 / PROBE_INTERVAL_MS) as usize;
        let address = probed.get(probe_round % probed.len().max(1))?;
        Some(self.pull_contact(*address, Scope::All, PROBE_INTERVAL_MS))
    }

    fn is_suspect(&self, observed: &Observed<DaemonRecord>) -> bool {
        self.now.since(observed.last_seen) >= moleroad_directory::directory::DAEMON_SUSPECT_MS
    }

    fn agent_contacts(&self) -> Vec<Contact> {
        let mut relays = self.responsive_relays();
        relays.sort_by_key(|relay| (self.is_backed_off(relay), self.rank_of(relay)));
        relays.truncate(RELAYS_PER_AGENT);
        let interval_ms = if self.is_fetching() {
            FETCHING_INTERVAL_MS
        } else {
            AGENT_INTERVAL_MS
        };
        let pulled = relays.first().map(|relay| Contact {
            interest: Interest::Weights,
            ..self.pull_contact(relay.peer, Scope::All, interval_ms)
        });
        let pushed = relays.iter().skip(1);
        let pushed = pushed.map(|relay| self.push_contact(relay.peer, AGENT_INTERVAL_MS));
        pulled.into_iter().chain(pushed).collect()
    }

    /// Returns the nearest relays of other data halls, for a daemon whose own hall has
    /// none that responds.
    fn remote_relays(&self) -> Vec<&DaemonRecord> {
        let halls = self.directory.entry_halls();
        let relays = halls
            .into_iter()
            .flat_map(|hall| self.directory.relays(self.now, hall));
        let mut relays: Vec<&DaemonRecord> =
            relays.filter(|relay| !self.is_backed_off(relay)).collect();
        relays.sort_by_key(|relay| (relay.region != self.own.region, self.rank_of(relay)));
        relays.truncate(MAX_REMOTE_RELAYS);
        relays
    }

    /// Returns the pieces of the newest version that this agent has pieces of.
    fn newest_pieces(&self) -> Option<&PieceMap> {
        let maps = self.own.pieces.iter();
        maps.max_by_key(|map| map.version)
    }

    /// Returns whether this agent has pieces of a version newer than any that its engine
    /// holds.
    fn is_fetching(&self) -> bool {
        let Some(newest) = self.newest_pieces() else {
            return false;
        };
        let report = self.own.report.as_ref();
        let mut holdings = report.into_iter().flat_map(|report| &report.holdings);
        !holdings.any(|holding| holding.version >= newest.version)
    }

    fn own_changes(&self) -> ChangePositions {
        let own = self.directory.daemon(&self.own.instance);
        own.map(|observed| observed.changes).unwrap_or_default()
    }

    /// Creates a contact whose directory changes are requested.
    fn pull_contact(&self, address: SocketAddr, scope: Scope, interval_ms: u64) -> Contact {
        let interval_ms = if self.lacks_configuration || self.is_starting_up {
            interval_ms.min(STARTUP_INTERVAL_MS)
        } else {
            interval_ms
        };
        let changes = self.own_changes();
        Contact {
            address,
            scope,
            pieces: true,
            interest: Interest::Requests,
            relays_suffice: false,
            interval_ms: Some(interval_ms),
            min_interval_ms: Some(MIN_UPDATE_INTERVAL_MS),
            changed_position: changes.record.max(changes.load).max(changes.pieces),
        }
    }

    /// Creates a contact that only receives this daemon's record. Changes of load and
    /// pieces reach it through the queried relay or at the regular interval: pushing
    /// every change of load would cost a relay several hundred messages a second.
    fn push_contact(&self, address: SocketAddr, interval_ms: u64) -> Contact {
        Contact {
            pieces: false,
            interval_ms: Some(interval_ms),
            changed_position: self.own_changes().record,
            ..self.pull_contact(address, Scope::Nothing, interval_ms)
        }
    }

    fn pull_interval_ms(&self) -> u64 {
        if self.is_busy {
            BUSY_INTERVAL_MS
        } else {
            ENTRY_INTERVAL_MS
        }
    }

    /// Returns the record with the highest weight, preferring peers that are not in
    /// backoff.
    fn preferred<'a>(&self, records: Vec<&'a DaemonRecord>) -> Option<&'a DaemonRecord> {
        let rank = |record: &&DaemonRecord| (self.is_backed_off(record), self.rank_of(record));
        records.into_iter().min_by_key(rank)
    }

    /// Returns the sort key of a peer for this daemon; lower is preferred.
    fn rank_of(&self, record: &DaemonRecord) -> Reverse<u64> {
        Reverse(rendezvous_weight(
            self.own.instance.as_str(),
            &record.instance,
        ))
    }

    fn is_backed_off(&self, record: &DaemonRecord) -> bool {
        self.backed_off.contains(&record.peer)
    }

    fn is_self(&self, record: &DaemonRecord) -> bool {
        record.instance == self.own.instance
    }

    fn others(&self) -> impl Iterator<Item = &DaemonRecord> {
        let records = self.directory.daemons().map(|observed| &observed.record);
        records.filter(|record| !self.is_self(record))
    }
}
