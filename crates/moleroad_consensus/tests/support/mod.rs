//! A group of replicas on a simulated network that loses, delays and duplicates
//! messages and knows members by their addresses only. All random choices derive from
//! a seed.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod disk;
mod outcome;
pub mod schedule;

pub use disk::CrashDisk;
use moleroad_consensus::prelude::*;
use moleroad_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A member: its disk and, while it runs, its process.
pub struct Member {
    pub info: MemberInfo,
    pub disk: CrashDisk,
    pub running: Option<Running>,
    /// Time by which its clock is ahead, in milliseconds.
    pub clock_offset: u64,
    /// A frozen member processes no events.
    pub frozen: bool,
}

/// A member's process.
pub struct Running {
    pub replica: Replica,
    storage: Storage<CrashDisk>,
    /// Commands applied, by position.
    pub applied: BTreeMap<LogIndex, Vec<u8>>,
    /// Data of all entries applied so far, including those restored from a
    /// snapshot.
    pub state: Vec<Vec<u8>>,
}

/// A message in flight.
struct InFlight {
    due: u64,
    from: MemberInfo,
    to: MemberInfo,
    message: Message,
}

/// The members, the network between them, and the records that invariants are
/// checked against.
pub struct Group {
    pub members: BTreeMap<MemberId, Member>,
    pub now: u64,
    pub random: SmallRng,
    network: Vec<InFlight>,
    /// Links (sender, receiver) on which messages are dropped.
    pub blocked_links: BTreeSet<(MemberId, MemberId)>,
    /// Share of messages lost, in percent.
    pub loss_percent: u32,
    /// Leader of each term.
    leaders: BTreeMap<Term, MemberId>,
    /// Commands acknowledged as accepted, by position.
    pub accepted: BTreeMap<LogIndex, Vec<u8>>,
    proposed: BTreeMap<(MemberId, LogIndex, Term), Vec<u8>>,
    /// Commands applied by any member, by position; all members must agree on
    /// them.
    history: BTreeMap<LogIndex, Vec<u8>>,
    next_ticket: u64,
    pending: BTreeMap<ProposalTicket, Vec<u8>>,
    /// Timing of members that are started from now on.
    pub timing: Timing,
    compact_after: usize,
    /// Desired number of voters for members that are started from now on.
    pub desired_voters: usize,
}

impl Group {
    /// Creates and bootstraps a group of `count` members.
    pub fn new(seed: u64, count: u64, compact_after: usize) -> Self {
        let timing = Timing {
            repair_after_ms: 4_000,
            ..Timing::default()
        };
        let mut group = Self {
            members: BTreeMap::new(),
            now: 1_000_000,
            random: SmallRng::seed_from_u64(seed),
            network: Vec::new(),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            leaders: BTreeMap::new(),
            accepted: BTreeMap::new(),
            proposed: BTreeMap::new(),
            history: BTreeMap::new(),
            next_ticket: 0,
            pending: BTreeMap::new(),
            timing,
            compact_after,
            desired_voters: 0,
        };
        let infos: Vec<MemberInfo> = (1..=count)
            .map(|id| group.add_member(id, &format!("instance-{id}")))
            .collect();
        let initial = Configuration::of_voters(infos.clone());
        for info in infos {
            group.event(info.id, Event::Bootstrap(initial.clone()));
        }
        group
    }

    /// Adds a member with an empty disk at an address of its own and starts it.
    pub fn add_member(&mut self, id: u64, instance: &str) -> MemberInfo {
        let address = format!("127.0.0.1:{}", 1_000 + id % 50_000)
            .parse()
            .unwrap();
        self.start_empty(MemberInfo::new(MemberId(id), instance, address))
    }

    /// Starts the instance of the lost member `lost` again, at its address, with
    /// an empty disk: as the member `id`.
    pub fn restart_empty(&mut self, lost: &MemberInfo, id: u64) -> MemberInfo {
        let info = MemberInfo {
            id: MemberId(id),
            ..lost.clone()
        };
        self.start_empty(info)
    }

    fn start_empty(&mut self, info: MemberInfo) -> MemberInfo {
        let clock_offset = self.random.random_range(0..100_000);
        let member = Member {
            info: info.clone(),
            disk: CrashDisk::default(),
            running: None,
            clock_offset,
            frozen: false,
        };
        self.members.insert(info.id, member);
        self.start(info.id);
        info
    }

    /// Starts a member from the state on its disk.
    pub fn start(&mut self, id: MemberId) {
        let seed = self.random.random();
        let now = self.clock_of(id);
        let timing = self.timing;
        let member = self.members.get_mut(&id).unwrap();
        let instance = member.info.instance.to_string();
        let opened = Storage::open(member.disk.clone(), id, &instance);
        let (storage, restored) = opened.expect("an undamaged disk opens");
        let state = restored
            .snapshot
            .as_ref()
            .map_or(Vec::new(), |snapshot| decode(&snapshot.state));
        let replica = Replica::new(id, timing, seed, restored, now);
        let replica = replica.with_desired_voters(self.desired_voters);
        member.running = Some(Running {
            replica,
            storage,
            applied: BTreeMap::new(),
            state,
        });
    }

    /// Kills a member; up to `kept` unsynced bytes of each file survive.
    pub fn kill(&mut self, id: MemberId, kept: usize) {
        let member = self.members.get_mut(&id).unwrap();
        member.running = None;
        member.disk.crash(kept);
    }

    /// Removes a member together with its disk.
    pub fn lose_disk(&mut self, id: MemberId) {
        self.members.remove(&id);
    }

    /// Returns the time by the clock of a member.
    pub fn clock_of(&self, id: MemberId) -> Millis {
        Millis(self.now + self.members[&id].clock_offset)
    }

    /// Passes an event to a member and executes the resulting actions.
    pub fn event(&mut self, id: MemberId, event: Event) {
        let now = self
            .members
            .get(&id)
            .map(|member| Millis(self.now + member.clock_offset));
        let (Some(now), Some(member)) = (now, self.members.get_mut(&id)) else {
            return;
        };
        if member.frozen {
            return;
        }
        let Some(running) = &mut member.running else {
            return;
        };
        let actions = running.replica.on_event(now, event);
        for action in actions {
            if !self.execute(id, action) {
                return;
            }
        }
    }

    /// Executes an action. Returns false if the member's disk failed, which
    /// ends its process.
    fn execute(&mut self, id: MemberId, action: Action) -> bool {
        let member = self.members.get_mut(&id).unwrap();
        let info = member.info.clone();
        let Some(running) = &mut member.running else {
            return false;
        };
        let stored = match &action {
            Action::SaveHardState(hard_state) => running.storage.save_hard_state(*hard_state),
            Action::Append(entries) => running.storage.append(entries),
            Action::Truncate(first) => running.storage.truncate(*first),
            Action::SaveSnapshot { snapshot, keep } => {
                running.storage.save_snapshot(snapshot, keep)
            }
            _ => Ok(()),
        };
        if stored.is_err() {
            member.running = None;
            return false;
        }
        match action {
            Action::Send { to, message } => self.send(info, to, message),
            Action::Apply(entries) => entries.into_iter().for_each(|entry| self.apply(id, entry)),
            Action::Restore(snapshot) => {
                running.state = decode(&snapshot.state);
                running.applied.clear();
            }
            Action::Proposed {
                ticket,
                index,
                term,
            } => {
                if let Some(data) = self.pending.remove(&ticket) {
                    self.proposed.insert((id, index, term), data);
                }
            }
            Action::Refused { ticket, .. } => drop(self.pending.remove(&ticket)),
            Action::BecameLeader(term) => {
                let other = self.leaders.insert(term, id);
                assert!(
                    other.is_none_or(|other| other == id),
                    "two leaders in term {term:?}"
                );
            }
            _ => {}
        }
        true
    }

    fn apply(&mut self, id: MemberId, entry: Entry) {
        let data = match &entry.payload {
            Payload::Command(data) => data.clone(),
            Payload::Noop => b"noop".to_vec(),
            Payload::Configuration(_) => b"configuration".to_vec(),
        };
        let known = self
            .history
            .entry(entry.index)
            .or_insert_with(|| data.clone());
        assert_eq!(
            *known, data,
            "members apply different commands at {:?}",
            entry.index
        );
        let running = self.members.get_mut(&id).unwrap().running.as_mut().unwrap();
        running.applied.insert(entry.index, data.clone());
        running.state.push(data.clone());
        if let Some(proposed) = self.proposed.remove(&(id, entry.index, entry.term)) {
            assert_eq!(proposed, data, "the accepted command is the proposed one");
            self.accepted.insert(entry.index, data);
        }
    }

    fn send(&mut self, from: MemberInfo, to: MemberInfo, message: Message) {
        if self.is_blocked(&from, &to) || self.random.random_ratio(self.loss_percent, 100) {
            return;
        }
        let copies = if self.random.random_ratio(2, 100) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let due = self.now + self.random.random_range(1..20);
            self.network.push(InFlight {
                due,
                from: from.clone(),
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    /// Announces each running member to the leader, as far as they reach each other.
    pub fn announce_all(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let is_announced = |member: &&Member| {
            let link = (member.info.id, leader);
            member.running.is_some() && !member.frozen && !self.blocked_links.contains(&link)
        };
        let announced = self.members.values().filter(is_announced);
        let infos: Vec<MemberInfo> = announced.map(|member| member.info.clone()).collect();
        for info in infos {
            self.event(leader, Event::SpareSeen(info));
        }
    }

    /// Returns the member that listens at `address`.
    pub fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        let members = self.members.values();
        let mut listening = members.filter(|member| member.info.address == address);
        listening.next().map(|member| member.info.id)
    }

    fn is_blocked(&self, from: &MemberInfo, to: &MemberInfo) -> bool {
        self.member_at(to.address)
            .is_some_and(|receiver| self.blocked_links.contains(&(from.id, receiver)))
    }

    /// Advances the simulation by `milliseconds`.
    pub fn run(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += 5;
            let now = self.now;
            let due: Vec<InFlight> = self
                .network
                .extract_if(.., |message| message.due <= now)
                .collect();
            for InFlight {
                from, to, message, ..
            } in due
            {
                if self.is_blocked(&from, &to) {
                    continue;
                }
                // The network knows addresses only.
                if let Some(receiver) = self.member_at(to.address) {
                    let to = to.id;
                    self.event(receiver, Event::Receive { from, to, message });
                }
            }
            let ids: Vec<MemberId> = self.members.keys().copied().collect();
            for id in ids {
                self.event(id, Event::Tick);
                self.compact_if_due(id);
            }
            self.check_leases();
        }
    }

    fn compact_if_due(&mut self, id: MemberId) {
        let Some(running) = &self.members[&id].running else {
            return;
        };
        if running.replica.entries_since_snapshot() < self.compact_after {
            return;
        }
        let (index, state) = (running.replica.applied_index(), encode(&running.state));
        self.event(id, Event::Compact { index, state });
    }

    /// Unblocks all links, ends message loss and freezes, and starts members
    /// that are down.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.loss_percent = 0;
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        for id in ids {
            self.members.get_mut(&id).unwrap().frozen = false;
            if self.members[&id].running.is_none() {
                self.start(id);
            }
        }
    }
}

fn encode(state: &[Vec<u8>]) -> Vec<u8> {
    rmp_serde::to_vec(state).unwrap()
}

fn decode(bytes: &[u8]) -> Vec<Vec<u8>> {
    if bytes.is_empty() {
        Vec::new()
    } else {
        rmp_serde::from_slice(bytes).unwrap()
    }
}
