//! Simulation of a swarm of agents in virtual time: links that send one piece after the
//! other, an origin with few connections, delayed updates, and dead agents. The
//! decisions are those of the crate.

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
/// Number of pieces that may queue for an agent's link before it refuses.
const MAX_QUEUED_SENDS: u64 = 2;
/// Maximum number of holders of a piece that are counted.
const MAX_COUNTED: usize = 8;
/// Interval at which an agent looks for pieces to fetch, in milliseconds.
const POLL_MS: u64 = 40;
/// How long a source that refused is left alone, in milliseconds.
const BACKOFF_MS: u64 = 40;
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

struct Agent {
    name: InstanceId,
    region: usize,
    is_dead: bool,
    started_ms: u64,
    /// Start of the schedule of pieces at the origin.
    schedule_start_ms: u64,
    schedule: OriginSchedule,
    progress_ms: u64,
    held: HashSet<u32>,
    offers: HashMap<u32, Vec<usize>>,
    announced: HashMap<u32, u64>,
    announced_own: HashMap<u32, u64>,
    in_flight: HashMap<u32, Source>,
    backoffs: HashMap<(u32, Source), u64>,
    origin_backoff: Backoff,
    origin_failed_ms: Option<u64>,
    far_holders_known_ms: HashMap<u32, u64>,
    up_free_ms: u64,
    down_free_ms: u64,
    trees: DistributionTrees,
}

impl Agent {
    fn note_progress(&mut self, now: u64, pieces: u32, from: Source) {
        if now - self.progress_ms >= STALL_MS {
            self.schedule_start_ms = now;
            let missing: Vec<u32> = (0..pieces).filter(|p| !self.held.contains(p)).collect();
            self.schedule = OriginSchedule::of_missing(&missing);
            self.origin_backoff.reset();
            if from == Source::Origin {
                self.origin_failed_ms = None;
            }
        }
        self.progress_ms = now;
    }
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
            .map(|index| Agent {
                name: name(index),
                region: region_of(index),
                is_dead: dead.contains(&index),
                started_ms: random.random_range(0..200),
                // All know when the version was announced.
                schedule_start_ms: 0,
                schedule: OriginSchedule::all(),
                progress_ms: 0,
                held: HashSet::new(),
                offers: HashMap::new(),
                announced: HashMap::new(),
                announced_own: HashMap::new(),
                in_flight: HashMap::new(),
                backoffs: HashMap::new(),
                origin_backoff: Backoff::with_max(400),
                origin_failed_ms: None,
                far_holders_known_ms: HashMap::new(),
                up_free_ms: 0,
                down_free_ms: 0,
                trees: DistributionTrees::new(
                    &name(index),
                    &members,
                    Some("region-0"),
                    setup.pieces,
                ),
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
                    self.at(
                        now + 300,
                        Event::Skipped {
                            agent: to,
                            from,
                            piece,
                        },
                    );
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

    fn next(&mut self, now: u64, index: usize, may_fetch_more: bool) -> Option<(u32, Source)> {
        let mut far_holders_known_ms = std::mem::take(&mut self.agents[index].far_holders_known_ms);
        let agent = &self.agents[index];
        let conditions = FetchConditions {
            timeouts: TakeoverTimeouts::for_pieces(self.setup.link_piece_ms * 1_000 / 8, 1.0),
            elapsed_ms: now - agent.schedule_start_ms,
            schedule: agent.schedule.clone(),
            origin_piece_ms: self.setup.origin_piece_ms,
            link_piece_ms: self.setup.link_piece_ms,
            can_ask_origin: !agent.origin_backoff.is_active(Millis(now))
                && !agent.in_flight.values().any(|from| *from == Source::Origin),
            may_cross_regions: true,
            highest_seen: agent.held.iter().chain(agent.offers.keys()).max().copied(),
            origin_failed_ms: agent.origin_failed_ms.map(|failed| now - failed),
        };
        let missing = (0..self.setup.pieces).filter(|piece| !agent.held.contains(piece));
        let due: Vec<u32> = missing
            .filter(|piece| should_announce(*piece, &agent.trees, &conditions))
            .collect();
        due.into_iter()
            .for_each(|piece| self.announce(now, index, piece));
        let agent = &self.agents[index];
        let is_backed_off = |piece, from| {
            agent
                .backoffs
                .get(&(piece, from))
                .is_some_and(|until| now < *until)
        };
        let mut best: Option<(u32, SourceKind, u32)> = None;
        for at in 0..self.setup.pieces {
            let piece = (at + index as u32) % self.setup.pieces;
            if agent.held.contains(&piece) || agent.in_flight.contains_key(&piece) {
                continue;
            }
            let holders = |regions: &mut dyn Iterator<Item = usize>| {
                let known = regions.flat_map(|region| self.known[region].get(&piece));
                let usable = known
                    .flatten()
                    .filter(|holder| !is_backed_off(piece, Source::Agent(**holder)));
                usable.take(MAX_COUNTED).count()
            };
            let far_holders = holders(&mut (0..self.setup.regions).filter(|r| *r != agent.region));
            let offers = agent.offers.get(&piece).into_iter().flatten();
            let missing = MissingPiece {
                piece,
                offered: offers
                    .into_iter()
                    .any(|offer| !is_backed_off(piece, Source::Agent(*offer))),
                announced_ms: if agent.offers.get(&piece).is_some_and(|o| !o.is_empty()) {
                    Some(0)
                } else {
                    agent.announced.get(&piece).map(|at| now - at)
                },
                near_holders: holders(&mut std::iter::once(agent.region)),
                far_holders,
                far_holders_known_ms: if far_holders > 0 {
                    now - *far_holders_known_ms.entry(piece).or_insert(now)
                } else {
                    0
                },
            };
            if let Some((kind, order)) = choose_source(missing, &agent.trees, &conditions)
                && (may_fetch_more || kind == SourceKind::Origin)
                && best.is_none_or(|(_, _, known)| order < known)
            {
                best = Some((piece, kind, order));
            }
        }
        self.agents[index].far_holders_known_ms = far_holders_known_ms;
        let (piece, kind, _) = best?;
        let agent = &self.agents[index];
        let is_backed_off = |piece, from| {
            agent
                .backoffs
                .get(&(piece, from))
                .is_some_and(|until| now < *until)
        };
        let offers = agent.offers.get(&piece).cloned().unwrap_or_default();
        let is_usable = |holder: &usize| !is_backed_off(piece, Source::Agent(*holder));
        let holders = |is_near: bool| {
            let regions = (0..self.setup.regions).filter(|r| (*r == agent.region) == is_near);
            let known = regions.flat_map(|region| self.known[region].get(&piece));
            known
                .flatten()
                .copied()
                .filter(is_usable)
                .collect::<Vec<_>>()
        };
        let holders = match kind {
            SourceKind::Origin => return Some((piece, Source::Origin)),
            SourceKind::Offer => offers.into_iter().find(is_usable).into_iter().collect(),
            SourceKind::OwnRegion => holders(true),
            SourceKind::OtherRegions => holders(false),
        };
        let index = self.random.random_range(0..holders.len());
        Some((piece, Source::Agent(holders[index])))
    }

    fn request(&mut self, now: u64, to: usize, from: Source, piece: u32) {
        let requested = now + MESSAGE_DELAY_MS;
        match from {
            Source::Origin => {
                let is_off = self.setup.origin_off.contains(&requested);
                self.origin_used += 1;
                if is_off || self.origin_used > self.setup.origin_connections {
                    self.at(
                        requested + MESSAGE_DELAY_MS,
                        Event::Failed { to, from, piece },
                    );
                    return;
                }
                let sent = self.origin_free_ms.max(requested) + self.setup.origin_piece_ms;
                self.origin_free_ms = sent;
                if sent >= self.setup.origin_off.start && requested < self.setup.origin_off.start {
                    let off = self.setup.origin_off.start;
                    self.at(off, Event::Failed { to, from, piece });
                    return;
                }
                self.origin_fetches += 1;
                self.deliver(sent, to, from, piece);
            }
            Source::Agent(source) if self.is_dead(source, now) => {
                self.at(
                    requested + MESSAGE_DELAY_MS,
                    Event::Failed { to, from, piece },
                );
            }
            Source::Agent(source) => {
                let piece_ms = self.setup.link_piece_ms;
                let start = self.agents[source].up_free_ms.max(requested);
                if start >= requested + piece_ms * MAX_QUEUED_SENDS {
                    self.at(
                        requested + MESSAGE_DELAY_MS,
                        Event::Failed { to, from, piece },
                    );
                    return;
                }
                self.agents[source].up_free_ms = start + piece_ms;
                if self.agents[source].region != self.agents[to].region {
                    self.crossings[self.agents[to].region] += 1;
                }
                self.deliver(start + piece_ms, to, from, piece);
            }
        }
    }

    fn deliver(&mut self, sent: u64, to: usize, from: Source, piece: u32) {
        let free = self.agents[to].down_free_ms + self.setup.link_piece_ms;
        let arrives = sent.max(free);
        self.agents[to].down_free_ms = arrives;
        self.at(
            arrives + MESSAGE_DELAY_MS,
            Event::Arrived { to, from, piece },
        );
    }
}
