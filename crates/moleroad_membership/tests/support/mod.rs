//! A simulated fleet of daemons that gossip in virtual time, without a network.
//!
//! Each daemon has a link with a limited rate, so that answers queue, and gives up on
//! late answers as a real daemon does.

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

/// Number of seeds.
const SEEDS: usize = 3;
/// Interval at which a daemon checks for due contacts, in milliseconds.
const TICK_MS: u64 = 50;
/// Timeout of an exchange, in milliseconds.
const TIMEOUT_MS: u64 = 700;
/// Time after the start during which a daemon counts as starting up, in milliseconds.
const STARTUP_MS: u64 = 3_000;
/// Latency within a data hall and between halls, in microseconds.
const LATENCY_US: u64 = 100;
const REMOTE_LATENCY_US: u64 = 1_800;
/// Rate of a link, in bytes per second: 40 Mbit/s.
const LINK_BYTES_PER_S: u64 = 5_000_000;
/// Rate of the links of seeds, in bytes per second: 300 Mbit/s.
const SEED_LINK_BYTES_PER_S: u64 = 37_500_000;
/// Size of a message header, in bytes.
const HEADER_BYTES: u64 = 60;
/// Mean interval between changes of an engine's load, in milliseconds.
const LOAD_CHANGE_INTERVAL_MS: u64 = 300;
/// Probability that an entry has requests.
const BUSY_PROBABILITY: f64 = 0.3;

/// Traffic of one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Exchanges answered.
    pub answered: u64,
    /// Answers received after the timeout.
    pub timeouts: u64,
    /// Largest number of bytes queued for the link.
    pub max_queued: u64,
}

struct Daemon {
    own: DaemonRecord,
    directory: Directory,
    gossip: GossipState,
    link_rate: u64,
    link_free_us: u64,
    is_busy: bool,
    traffic: Traffic,
}

struct Exchange {
    from: usize,
    to: usize,
    contact: Contact,
    before: PeerState,
    next: PeerState,
    sent_at_us: u64,
}

enum Event {
    Tick(usize),
    Request(Box<(Exchange, CallerUpdate, DeltaRequest)>),
    Reply(Box<(Exchange, GossipReply, DirectoryDelta)>),
    Timeout(Box<Exchange>),
}

/// Simulated daemons that gossip with each other.
pub struct Fleet {
    daemons: Vec<Daemon>,
    by_address: HashMap<SocketAddr, usize>,
    seeds: Vec<SocketAddr>,
    events: HashMap<u64, Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    last_event: u64,
    now_us: u64,
    random: SmallRng,
    halls: usize,
    between_halls: u64,
    has_requests: bool,
}

fn bytes_of(message: &impl serde::Serialize) -> u64 {
    HEADER_BYTES + rmp_serde::to_vec(message).unwrap().len() as u64
}

impl Fleet {
    /// Creates `count` daemons in `halls` data halls, each in a region of its own. All
    /// start within 50 ms; five of nine are entries. From the start, there are as many
    /// targets as agents, each known to one entry.
    pub fn new(count: usize, halls: usize) -> Self {
        let daemons: Vec<Daemon> = (0..count).map(|number| daemon(number, halls)).collect();
        let by_address = (0..count).map(|number| (address(number), number));
        let mut fleet = Self {
            by_address: by_address.collect(),
            seeds: (0..SEEDS).map(address).collect(),
            daemons,
            events: HashMap::new(),
            queue: BinaryHeap::new(),
            last_event: 0,
            now_us: 0,
            random: SmallRng::seed_from_u64(count as u64),
            halls,
            between_halls: 0,
            has_requests: false,
        };
        for number in 0..count {
            let at_us = fleet.random.random_range(0..TICK_MS * 1_000);
            fleet.schedule(at_us, Event::Tick(number));
        }
        fleet.add_targets();
        fleet
    }

    /// Runs the simulation until `end_ms` milliseconds after the start.
    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse((at_us, number))) = self.queue.peek().copied() {
            if at_us >= end_ms * 1_000 {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            match self
                .events
                .remove(&number)
                .expect("events are handled once")
            {
                Event::Tick(daemon) => self.tick(daemon),
                Event::Request(request) => self.receive_request(*request),
                Event::Reply(reply) => self.receive_reply(*reply),
                Event::Timeout(exchange) => self.time_out(*exchange),
            }
        }
        self.now_us = end_ms * 1_000;
    }

    /// Starts requests: load changes from now on, and entries query more often.
    pub fn start_requests(&mut self) {
        self.has_requests = true;
    }

    /// Resets all counters.
    pub fn reset_counters(&mut self) {
        self.between_halls = 0;
        for daemon in &mut self.daemons {
            daemon.traffic = Traffic::default();
        }
    }

    /// Returns the bytes sent between data halls.
    pub fn between_halls(&self) -> u64 {
        self.between_halls
    }

    /// Returns the traffic of the daemons with `role` that are relays, or that are not.
    pub fn traffic(&self, role: DaemonRole, relays: bool) -> Vec<Traffic> {
        let of_role = self.daemons.iter().filter(|daemon| daemon.own.role == role);
        let selected = of_role.filter(|daemon| self.is_relay(daemon) == relays);
        selected.map(|daemon| daemon.traffic).collect()
    }

    /// Returns the traffic of all daemons.
    pub fn all_traffic(&self) -> Vec<Traffic> {
        self.daemons.iter().map(|daemon| daemon.traffic).collect()
    }

    /// Returns the number of daemons that do not know all others, or consider one of them
    /// silent.
    pub fn uninformed(&self) -> usize {
        let now = self.now();
        let count_heard = |daemon: &Daemon| {
            let daemons = daemon.directory.daemons();
            daemons
                .filter(|observed| now.since(observed.last_seen) < 2_500)
                .count()
        };
        let lacks = |daemon: &&Daemon| count_heard(daemon) < self.daemons.len() - 1;
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
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at_us, self.last_event)));
    }

    fn tick(&mut self, number: usize) {
        let now = self.now();
        self.change_load(number);
        let seeds = self.seeds.clone();
        let daemon = &mut self.daemons[number];
        let own = daemon.own.clone();
        daemon.directory.merge_daemon(now, own, 0);
        let planner = ContactPlanner {
            now,
            directory: &daemon.directory,
            own: &daemon.own,
            seeds: &seeds,
            backed_off: &daemon.gossip.backed_off(now),
            is_busy: daemon.is_busy,
            lacks_configuration: false,
            is_starting_up: now.0 < STARTUP_MS,
            is_isolated: daemon.gossip.ms_since_reply(now) >= ISOLATION_TIMEOUT_MS,
        };
        let due = daemon.gossip.due(now, planner.contacts(), None);
        for contact in due {
            self.send_request(number, contact);
        }
        self.schedule(self.now_us + TICK_MS * 1_000, Event::Tick(number));
    }

    fn change_load(&mut self, number: usize) {
        if !self.has_requests {
            return;
        }
        let changes = self
            .random
            .random_ratio(TICK_MS as u32, LOAD_CHANGE_INTERVAL_MS as u32);
        let running = self.random.random_range(0..4);
        let is_busy = self.random.random_bool(BUSY_PROBABILITY);
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

    fn send_request(&mut self, from: usize, contact: Contact) {
        let now = self.now();
        let Some(&to) = self.by_address.get(&contact.address) else {
            return;
        };
        let daemon = &mut self.daemons[from];
        daemon.gossip.mark_in_flight(now, contact.address);
        let before = daemon.gossip.peer_state(contact.address);
        let mut next = before;
        let request = next.delta_request(now, &contact);
        let update = CallerUpdate::since(&daemon.directory, &daemon.own, before.position);
        next.last_sent_ms = now.0;
        next.position = daemon.directory.position();
        let exchange = Exchange {
            from,
            to,
            contact,
            before,
            next,
            sent_at_us: self.now_us,
        };
        let bytes = bytes_of(&(&update, &request));
        let arrives_us = self.send(from, to, bytes);
        let request_event = Event::Request(Box::new((exchange, update, request)));
        self.schedule(arrives_us, request_event);
    }

    fn receive_request(
        &mut self,
        (exchange, update, request): (Exchange, CallerUpdate, DeltaRequest),
    ) {
        let now = self.now();
        let callee = &mut self.daemons[exchange.to];
        callee.traffic.answered += 1;
        let own = callee.own.clone();
        let caller = update.apply(&mut callee.directory, now, &own);
        if request.scope != Scope::CalleesHall {
            callee
                .directory
                .record_direct_contact(now, &caller.instance);
        }
        callee.directory.merge_daemon(now, own.clone(), 0);
        let delta =
            callee
                .directory
                .delta(now, own.incarnation, &own.hall, &caller.instance, request);
        let reply = GossipReply {
            unknown_caller: !caller.is_known,
            cursor: delta.cursor,
            has_more: delta.has_more,
            ends_cursor: Cursor::default(),
        };
        let arrives_us = self.send(exchange.to, exchange.from, bytes_of(&delta));
        let deadline_us = exchange.sent_at_us + TIMEOUT_MS * 1_000;
        if arrives_us <= deadline_us {
            let answer = Box::new((exchange, reply, delta));
            self.schedule(arrives_us, Event::Reply(answer));
        } else {
            self.schedule(
                deadline_us.max(self.now_us),
                Event::Timeout(Box::new(exchange)),
            );
        }
    }

    fn receive_reply(&mut self, (exchange, reply, delta): (Exchange, GossipReply, DirectoryDelta)) {
        let now = self.now();
        let daemon = &mut self.daemons[exchange.from];
        let contact = exchange.contact;
        daemon
            .gossip
            .record_reply(now, &contact, exchange.next, reply);
        let slots = daemon.gossip.slots(contact.address);
        let own = &daemon.own.instance;
        let outcome = daemon.directory.apply_delta(now, own, delta, slots);
        if !outcome.is_complete {
            daemon.gossip.reset_cursor(contact.address);
        }
    }

    fn time_out(&mut self, exchange: Exchange) {
        let now = self.now();
        let daemon = &mut self.daemons[exchange.from];
        daemon.traffic.timeouts += 1;
        daemon
            .gossip
            .record_failure(now, &exchange.contact, exchange.before);
    }

    /// Queues bytes on the sender's link and returns their arrival time.
    fn send(&mut self, from: usize, to: usize, bytes: u64) -> u64 {
        let is_remote = self.daemons[from].own.hall != self.daemons[to].own.hall;
        if is_remote {
            self.between_halls += bytes;
        }
        self.daemons[to].traffic.received += bytes;
        let sender = &mut self.daemons[from];
        sender.traffic.sent += bytes;
        let starts_us = sender.link_free_us.max(self.now_us);
        let queued = (starts_us - self.now_us) * sender.link_rate / 1_000_000 + bytes;
        sender.traffic.max_queued = sender.traffic.max_queued.max(queued);
        sender.link_free_us = starts_us + bytes * 1_000_000 / sender.link_rate;
        sender.link_free_us
            + if is_remote {
                REMOTE_LATENCY_US
            } else {
                LATENCY_US
            }
    }
}

fn daemon(number: usize, halls: usize) -> Daemon {
    Daemon {
        own: record(number, halls),
        directory: Directory::new(),
        gossip: GossipState::default(),
        link_rate: if number < SEEDS {
            SEED_LINK_BYTES_PER_S
        } else {
            LINK_BYTES_PER_S
        },
        link_free_us: 0,
        is_busy: false,
        traffic: Traffic::default(),
    }
}
