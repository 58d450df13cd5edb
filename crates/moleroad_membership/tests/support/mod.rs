//! A fleet of daemons that greet each other in virtual time, without a network.
//!
//! Each daemon has a link that sends at a rate, so that answers wait for each
//! other, and gives up on an answer that comes too late, as the daemon does.

mod records;

use moleroad_directory::prelude::*;
use moleroad_membership::contacts::ISOLATION_TIMEOUT_MS;
use moleroad_membership::prelude::*;
use moleroad_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use records::{address, record};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Daemons that all others begin with.
const SEEDS: usize = 3;
/// Time between looks at whom to greet, in milliseconds.
const LOOK_MS: u64 = 50;
/// Time for an answer, in milliseconds.
const ANSWER_MS: u64 = 700;
/// Time from the start in which a daemon counts as young, in milliseconds.
const YOUNG_MS: u64 = 3_000;
/// Way within a data hall, and from one to another, in microseconds.
const WAY_US: u64 = 100;
const FAR_WAY_US: u64 = 1_800;
/// Rate of a link, in bytes a second: 40 Mbit/s.
const LINK: u64 = 5_000_000;
/// Rate of the links of seeds, in bytes a second: 300 Mbit/s.
const SEED_LINK: u64 = 37_500_000;
/// Head of a message, in bytes.
const HEAD: u64 = 60;
/// Time between changes of an engine's load, in milliseconds.
const LOAD_CHANGES_MS: u64 = 300;
/// Share of the time in which an entry has requests.
const BUSY: f64 = 0.3;

/// What one daemon did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Questions and words that were answered.
    pub answered: u64,
    /// Answers that came too late.
    pub late: u64,
    /// Most bytes that waited for the link at once.
    pub most_waiting: u64,
}

struct Daemon {
    own: DaemonRecord,
    directory: Directory,
    greeted: GossipState,
    link: u64,
    link_free_us: u64,
    is_busy: bool,
    traffic: Traffic,
}

struct Greeting {
    from: usize,
    to: usize,
    contact: Contact,
    before: PeerState,
    next: PeerState,
    asked_at_us: u64,
}

enum Event {
    Look(usize),
    Asked(Box<(Greeting, CallerUpdate, DeltaRequest)>),
    Answered(Box<(Greeting, Answered, News)>),
    Late(Box<Greeting>),
}

/// Daemons that greet each other.
pub struct Fleet {
    daemons: Vec<Daemon>,
    by_address: HashMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    events: HashMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    number: u64,
    now_us: u64,
    random: SmallRng,
    halls: usize,
    between_halls: u64,
    has_requests: bool,
}

fn bytes_of(message: &impl serde::Serialize) -> u64 {
    HEAD + rmp_serde::to_vec(message).unwrap().len() as u64
}

impl Fleet {
    /// That many daemons in that many data halls, each a region of its own. All begin
    /// within 50 ms; five of nine are entries. As many targets as there are agents are
    /// known from the start, each to one entry.
    pub fn begin(count: usize, halls: usize) -> Self {
        let daemons: Vec<Daemon> = (0..count).map(|number| daemon(number, halls)).collect();
        let by_address = (0..count).map(|number| (address(number), number));
        let mut fleet = Self {
            by_address: by_address.collect(),
            seeds: (0..SEEDS).map(address).collect(),
            daemons,
            events: HashMap::new(),
            queue: BinaryHeap::new(),
            number: 0,
            now_us: 0,
            random: SmallRng::seed_from_u64(count as u64),
            halls,
            between_halls: 0,
            has_requests: false,
        };
        for number in 0..count {
            let at_us = fleet.random.random_range(0..LOOK_MS * 1_000);
            fleet.schedule(at_us, Event::Look(number));
        }
        fleet.add_targets();
        fleet
    }

    /// Plays until that many milliseconds from the start.
    pub fn play_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_us, number))) = self.queue.peek().copied() {
            if at_us >= end_ms * 1_000 {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            match self.events.remove(&number).expect("each event once") {
                Event::Look(daemon) => self.look(daemon),
                Event::Asked(asked) => self.asked(*asked),
                Event::Answered(answered) => self.answered(*answered),
                Event::Late(greeting) => self.late(*greeting),
            }
        }
        self.now_us = end_ms * 1_000;
    }

    /// Lets requests run from now on: load changes and entries ask more often.
    pub fn let_requests_run(&mut self) {
        self.has_requests = true;
    }

    /// Counts from nothing again.
    pub fn count_anew(&mut self) {
        self.between_halls = 0;
        for daemon in &mut self.daemons {
            daemon.traffic = Traffic::default();
        }
    }

    /// Bytes that went from one data hall to another.
    pub fn between_halls(&self) -> u64 {
        self.between_halls
    }

    /// What the daemons of a role did that are relays, or are not.
    pub fn traffic(&self, role: DaemonRole, relays: bool) -> Vec<Traffic> {
        let of_role = self.daemons.iter().filter(|daemon| daemon.own.role == role);
        let wanted = of_role.filter(|daemon| self.is_relay(daemon) == relays);
        wanted.map(|daemon| daemon.traffic).collect()
    }

    /// What all daemons did.
    pub fn all_traffic(&self) -> Vec<Traffic> {
        self.daemons.iter().map(|daemon| daemon.traffic).collect()
    }

    /// Daemons that do not know all entries and agents, or take one of them to be
    /// silent.
    pub fn ignorant(&self) -> usize {
        let now = self.now();
        let is_heard = |daemon: &Daemon| {
            let heard = daemon.directory.daemons();
            heard.filter(|heard| now.since(heard.at) < 2_500).count()
        };
        let lacks = |daemon: &&Daemon| is_heard(daemon) < self.daemons.len() - 1;
        self.daemons.iter().filter(lacks).count()
    }

    fn is_relay(&self, daemon: &Daemon) -> bool {
        let relays = daemon.directory.relays(self.now(), &daemon.own.hall);
        relays
            .iter()
            .any(|relay| relay.instance == daemon.own.instance)
    }

    fn add_targets(&mut self) {
        let agents: Vec<DaemonRecord> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.own.role == DaemonRole::Agent)
            .map(|daemon| daemon.own.clone())
            .collect();
        for (number, agent) in agents.into_iter().enumerate() {
            let id = TargetId::new(format!("i-{number:010}"));
            let engine = agent.engine.expect("agents have engines");
            let target = TargetRecord {
                hall: agent.hall,
                ..TargetRecord::new(id, "assistant", engine)
            };
            let entry = number % (self.daemons.len() / 9) * 9 % self.halls;
            self.daemons[entry]
                .directory
                .merge_target(Millis(0), target, 0);
        }
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((at_us, self.number)));
    }

    fn look(&mut self, number: usize) {
        let now = self.now();
        self.change_load(number);
        let seeds = self.seeds.clone();
        let daemon = &mut self.daemons[number];
        let own = daemon.own.clone();
        daemon.directory.merge_daemon(now, own, 0);
        let standing = ContactPlanner {
            now,
            directory: &daemon.directory,
            own: &daemon.own,
            seeds: &seeds,
            resting: &daemon.greeted.resting(now),
            is_busy: daemon.is_busy,
            lacks_configuration: false,
            is_young: now.0 < YOUNG_MS,
            is_lost: daemon.greeted.silent_ms(now) >= ISOLATION_TIMEOUT_MS,
        };
        let due = daemon.greeted.due(now, standing.contacts(), None);
        for contact in due {
            self.greet(number, contact);
        }
        self.schedule(self.now_us + LOOK_MS * 1_000, Event::Look(number));
    }

    fn change_load(&mut self, number: usize) {
        if !self.has_requests {
            return;
        }
        let changes = self
            .random
            .random_ratio(LOOK_MS as u32, LOAD_CHANGES_MS as u32);
        let running = self.random.random_range(0..4);
        let is_busy = self.random.random_bool(BUSY);
        let daemon = &mut self.daemons[number];
        match &mut daemon.own.report {
            Some(report) if changes && report.running != running => {
                report.running = running;
                daemon.own.sequence += 1;
            }
            Some(_) => {}
            None => daemon.is_busy = is_busy,
        }
    }

    fn greet(&mut self, from: usize, contact: Contact) {
        let now = self.now();
        let Some(&to) = self.by_address.get(&contact.address) else {
            return;
        };
        let daemon = &mut self.daemons[from];
        daemon.greeted.begin(now, contact.address);
        let before = daemon.greeted.told(contact.address);
        let mut next = before;
        let question = next.question(now, &contact);
        let speaker = CallerUpdate::since(&daemon.directory, &daemon.own, before.position);
        next.at = now.0;
        next.position = daemon.directory.position();
        let greeting = Greeting {
            from,
            to,
            contact,
            before,
            next,
            asked_at_us: self.now_us,
        };
        let bytes = bytes_of(&(&speaker, &question));
        let arrives_us = self.send(from, to, bytes);
        let asked = Event::Asked(Box::new((greeting, speaker, question)));
        self.schedule(arrives_us, asked);
    }

    fn asked(&mut self, (greeting, speaker, question): (Greeting, CallerUpdate, DeltaRequest)) {
        let now = self.now();
        let callee = &mut self.daemons[greeting.to];
        callee.traffic.answered += 1;
        let own = callee.own.clone();
        let caller = speaker.take(&mut callee.directory, now, &own);
        if question.scope != Scope::CalleesHall {
            callee
                .directory
                .record_direct_contact(now, &caller.instance);
        }
        callee.directory.merge_daemon(now, own.clone(), 0);
        let news =
            callee
                .directory
                .news(now, own.incarnation, &own.hall, &caller.instance, question);
        let answered = Answered {
            unknown_caller: !caller.is_known,
            cursor: news.cursor,
            has_more: news.has_more,
            ends_cursor: Cursor::default(),
        };
        let arrives_us = self.send(greeting.to, greeting.from, bytes_of(&news));
        let gives_up_us = greeting.asked_at_us + ANSWER_MS * 1_000;
        if arrives_us <= gives_up_us {
            let answer = Box::new((greeting, answered, news));
            self.schedule(arrives_us, Event::Answered(answer));
        } else {
            self.schedule(
                gives_up_us.max(self.now_us),
                Event::Late(Box::new(greeting)),
            );
        }
    }

    fn answered(&mut self, (greeting, answered, news): (Greeting, Answered, News)) {
        let now = self.now();
        let daemon = &mut self.daemons[greeting.from];
        let contact = greeting.contact;
        daemon
            .greeted
            .answered(now, &contact, greeting.next, answered);
        let slots = daemon.greeted.slots(contact.address);
        let own = &daemon.own.instance;
        let taken = daemon.directory.apply_delta(now, own, news, slots);
        if !taken.is_complete {
            daemon.greeted.reset_cursor(contact.address);
        }
    }

    fn late(&mut self, greeting: Greeting) {
        let now = self.now();
        let daemon = &mut self.daemons[greeting.from];
        daemon.traffic.late += 1;
        daemon
            .greeted
            .unanswered(now, &greeting.contact, greeting.before);
    }

    /// Sends bytes; returns when they arrive.
    fn send(&mut self, from: usize, to: usize, bytes: u64) -> u64 {
        let is_far = self.daemons[from].own.hall != self.daemons[to].own.hall;
        if is_far {
            self.between_halls += bytes;
        }
        self.daemons[to].traffic.received += bytes;
        let sender = &mut self.daemons[from];
        sender.traffic.sent += bytes;
        let begins_us = sender.link_free_us.max(self.now_us);
        let waiting = (begins_us - self.now_us) * sender.link / 1_000_000 + bytes;
        sender.traffic.most_waiting = sender.traffic.most_waiting.max(waiting);
        sender.link_free_us = begins_us + bytes * 1_000_000 / sender.link;
        sender.link_free_us + if is_far { FAR_WAY_US } else { WAY_US }
    }
}

fn daemon(number: usize, halls: usize) -> Daemon {
    Daemon {
        own: record(number, halls),
        directory: Directory::new(),
        greeted: GossipState::default(),
        link: if number < SEEDS { SEED_LINK } else { LINK },
        link_free_us: 0,
        is_busy: false,
        traffic: Traffic::default(),
    }
}
