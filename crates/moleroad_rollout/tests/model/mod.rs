//! Simulation of a swarm of agents in virtual time: links that send one piece after the
//! other, an origin with few connections, delayed updates, and dead agents. The
//! decisions are those of the crate.

mod agent;
mod choice;
mod links;

use agent::Agent;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// Parameters of a simulation.
#[derive(Clone)]
pub struct Setup {
    /// Number of agents in all regions together.
    pub agents: usize,
    /// Number of regions; the origin is in the first.
    pub regions: usize,
    /// Number of pieces of the version.
    pub pieces: u32,
    /// Time of a piece over an agent's link, in milliseconds.
    pub link_piece_ms: u64,
    /// Time of a piece over the origin's link, in milliseconds.
    pub origin_piece_ms: u64,
    /// Maximum number of connections to the origin.
    pub origin_connections: usize,
    /// When the origin does not answer, in milliseconds.
    pub origin_off: std::ops::Range<u64>,
    /// Number of agents that are dead although the others consider them members.
    pub dead: usize,
    /// When they die, in milliseconds; until then they take part.
    pub dies_ms: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// When the last agent had all pieces, in milliseconds.
    pub done_ms: u64,
    /// Number of pieces that left the origin.
    pub origin_fetches: usize,
    /// Number of pieces that entered a region from another one; the maximum over all
    /// regions.
    pub crossings: usize,
}

/// Network delay of a message, in milliseconds.
const MESSAGE_DELAY_MS: u64 = 3;
/// Delay of directory updates within a region, in milliseconds.
const DIRECTORY_DELAY_MS: u64 = 400;
/// Number of pieces that an agent fetches concurrently.
const CONCURRENT_FETCHES: usize = 4;
/// Interval at which an agent looks for pieces to fetch, in milliseconds.
const POLL_MS: u64 = 40;
/// How long a source that refused is left alone, in milliseconds.
const BACKOFF_MS: u64 = 40;
/// When the children of a dead agent get its offers instead, in milliseconds.
const SKIP_MS: u64 = 300;
/// When a simulation that does not complete ends, in milliseconds.
const TIME_LIMIT_MS: u64 = 60_000;

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Source {
    Agent(usize),
    Origin,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Poll(usize),
    Offer {
        to: usize,
        from: usize,
        piece: u32,
    },
    /// An agent announces that it is fetching a piece.
    Announced {
        to: usize,
        piece: u32,
    },
    /// A child did not answer: its children get the offer instead.
    Skipped {
        agent: usize,
        from: usize,
        piece: u32,
    },
    Arrived {
        to: usize,
        from: Source,
        piece: u32,
    },
    Failed {
        to: usize,
        from: Source,
        piece: u32,
    },
    DirectoryUpdate {
        agent: usize,
        piece: u32,
    },
}

/// A running simulation.
pub struct Swarm {
    setup: Setup,
    agents: Vec<Agent>,
    by_name: HashMap<InstanceId, usize>,
    /// Holders of each piece that the agents of a region know from the directory.
    known: Vec<HashMap<u32, Vec<usize>>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    origin_free_ms: u64,
    origin_used: usize,
    origin_fetches: usize,
    crossings: Vec<usize>,
    random: SmallRng,
}

impl Swarm {
    /// Creates agents without any piece, which start within 200 ms.
    pub fn new(setup: Setup) -> Self {
        let mut random = SmallRng::seed_from_u64(setup.seed);
        let region_of = |index: usize| index % setup.regions;
        let name = |index: usize| InstanceId::new(format!("agent-{}-{index}", setup.seed));
        let members: Vec<Member> = (0..setup.agents)
            .map(|index| Member {
                instance: name(index),
                region: format!("region-{}", region_of(index)),
            })
            .collect();
        let mut dead = HashSet::new();
        while dead.len() < setup.dead {
            dead.insert(random.random_range(0..setup.agents));
        }
        let agents: Vec<Agent> = (0..setup.agents)
            .map(|index| {
                let trees =
                    DistributionTrees::new(&name(index), &members, Some("region-0"), setup.pieces);
                Agent {
                    is_dead: dead.contains(&index),
                    started_ms: random.random_range(0..200),
                    ..Agent::new(name(index), region_of(index), trees)
                }
            })
            .collect();
        let mut swarm = Self {
            by_name: agents
                .iter()
                .enumerate()
                .map(|(at, a)| (a.name.clone(), at))
                .collect(),
            known: vec![HashMap::new(); setup.regions],
            events: BinaryHeap::new(),
            sequence: 0,
            origin_free_ms: 0,
            origin_used: 0,
            origin_fetches: 0,
            crossings: vec![0; setup.regions],
            random,
            agents,
            setup,
        };
        for index in 0..swarm.agents.len() {
            let started_ms = swarm.agents[index].started_ms;
            if !swarm.is_dead(index, started_ms) {
                swarm.at(started_ms, Event::Poll(index));
            }
        }
        swarm
    }

    fn is_dead(&self, agent: usize, now: u64) -> bool {
        self.agents[agent].is_dead && now >= self.setup.dies_ms
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    /// Runs until all live agents have all pieces, or for a minute.
    pub fn run(mut self) -> Outcome {
        let mut done_ms = 0;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > TIME_LIMIT_MS {
                done_ms = TIME_LIMIT_MS;
                break;
            }
            if let Event::Arrived { .. } = event {
                done_ms = now;
            }
            self.handle(now, event);
        }
        Outcome {
            done_ms,
            origin_fetches: self.origin_fetches,
            crossings: self.crossings.iter().copied().max().unwrap_or(0),
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Poll(agent)
            | Event::Arrived { to: agent, .. }
            | Event::Failed { to: agent, .. }
                if self.is_dead(agent, now) => {}
            Event::Poll(agent) => {
                self.fetch(now, agent);
                if self.agents[agent].held.len() < self.setup.pieces as usize {
                    self.at(now + POLL_MS, Event::Poll(agent));
                }
            }
            Event::Offer { to, from, piece } => {
                if self.is_dead(to, now) {
                    let agent = to;
                    self.at(now + SKIP_MS, Event::Skipped { agent, from, piece });
                    return;
                }
                self.agents[to].offers.entry(piece).or_default().push(from);
                self.fetch(now, to);
            }
            Event::Announced { to, piece } => {
                self.agents[to].announced.insert(piece, now);
            }
            Event::Skipped { agent, from, piece } => self.offer(now, agent, from, piece),
            Event::Arrived { to, from, piece } => {
                self.end_fetch(to, from, piece);
                let pieces = self.setup.pieces;
                self.agents[to].note_progress(now, pieces, from);
                self.agents[to].held.insert(piece);
                if from == Source::Origin {
                    self.offer_to_announced(now, to, piece);
                }
                self.offer(now, to, to, piece);
                self.at(
                    now + DIRECTORY_DELAY_MS,
                    Event::DirectoryUpdate { agent: to, piece },
                );
                self.fetch(now, to);
            }
            Event::Failed { to, from, piece } => {
                self.end_fetch(to, from, piece);
                let agent = &mut self.agents[to];
                agent.backoffs.insert((piece, from), now + BACKOFF_MS);
                match from {
                    Source::Origin => {
                        agent.origin_failed_ms = Some(now);
                        let random = self.random.random();
                        agent
                            .origin_backoff
                            .record_result(Millis(now), false, random);
                    }
                    Source::Agent(source) if self.is_dead(source, now) => {
                        let offers = self.agents[to].offers.values_mut();
                        offers.for_each(|offers| offers.retain(|offer| *offer != source));
                    }
                    Source::Agent(_) => {}
                }
                self.fetch(now, to);
            }
            Event::DirectoryUpdate { agent, piece } => {
                let region = self.agents[agent].region;
                self.known[region].entry(piece).or_default().push(agent);
            }
        }
    }

    fn end_fetch(&mut self, to: usize, from: Source, piece: u32) {
        self.agents[to].in_flight.remove(&piece);
        if from == Source::Origin {
            self.origin_used = self.origin_used.saturating_sub(1);
        }
    }

    /// Offers the piece that `from` holds to the children of `of`.
    fn offer(&mut self, now: u64, of: usize, from: usize, piece: u32) {
        let children = self.agents[from]
            .trees
            .children(&self.agents[of].name, piece);
        let children: Vec<usize> = children.iter().map(|name| self.by_name[*name]).collect();
        for to in children {
            if !self.agents[to].held.contains(&piece) {
                self.at(now + MESSAGE_DELAY_MS, Event::Offer { to, from, piece });
            }
        }
    }

    /// Offers the piece to the agents to which its fetch was announced.
    fn offer_to_announced(&mut self, now: u64, from: usize, piece: u32) {
        for to in self.announcement_recipients(from, piece) {
            if !self.is_dead(to, now) {
                self.at(now + MESSAGE_DELAY_MS, Event::Offer { to, from, piece });
            }
        }
    }

    fn announce(&mut self, now: u64, index: usize, piece: u32) {
        let own = &mut self.agents[index].announced_own;
        if own
            .get(&piece)
            .is_some_and(|at| now - at < ANNOUNCE_EVERY_MS)
        {
            return;
        }
        own.insert(piece, now);
        for to in self.announcement_recipients(index, piece) {
            self.at(now + MESSAGE_DELAY_MS, Event::Announced { to, piece });
        }
    }

    fn announcement_recipients(&self, index: usize, piece: u32) -> Vec<usize> {
        let recipients = self.agents[index].trees.announcement_recipients(piece);
        recipients.iter().map(|name| self.by_name[*name]).collect()
    }

    fn fetch(&mut self, now: u64, index: usize) {
        while now >= self.agents[index].started_ms {
            let in_flight = self.agents[index].in_flight.values();
            let from_agents = in_flight.filter(|from| **from != Source::Origin).count();
            let Some((piece, from)) = self.next(now, index, from_agents < CONCURRENT_FETCHES)
            else {
                return;
            };
            self.agents[index].in_flight.insert(piece, from);
            if from == Source::Origin {
                self.announce(now, index, piece);
            }
            self.request(now, index, from, piece);
        }
    }
}
