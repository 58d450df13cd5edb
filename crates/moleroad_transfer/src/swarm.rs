//! The agent's side: which chunk to fetch next, and from whom.

use crate::chunk_set::ChunkSet;
use crate::grant::{Grant, Source};
use moleroad_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Limits and waits of one swarm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwarmSettings {
    /// Fetches from peers at a time.
    pub max_in_flight: usize,
    /// Draws of granted chunks at a time.
    pub max_draws: usize,
    /// Fetches from one peer at a time.
    pub max_per_peer: usize,
    /// Chunks left at which fetches are doubled to finish.
    pub end_game_chunks: usize,
    /// How long a busy peer is left alone.
    pub busy_wait_ms: u64,
    /// How long a failing peer is left alone, for each failure in a row.
    pub failure_wait_ms: u64,
    /// How long a peer that sent wrong bytes is left alone.
    pub quarantine_ms: u64,
    /// Shortest time before a fetch counts as stalled.
    pub min_stall_ms: u64,
    /// How many times the usual span a fetch may take.
    pub stall_factor: u64,
    /// Shortest time between questions to one peer for what it holds.
    pub poll_ms: u64,
}

impl Default for SwarmSettings {
    fn default() -> Self {
        Self {
            max_in_flight: 4,
            max_draws: 2,
            max_per_peer: 1,
            end_game_chunks: 6,
            busy_wait_ms: 20,
            failure_wait_ms: 250,
            quarantine_ms: 30_000,
            min_stall_ms: 1_000,
            stall_factor: 4,
            poll_ms: 50,
        }
    }
}

/// Names one fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A fetch to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Name for the outcome.
    pub attempt: AttemptId,
    /// The chunk.
    pub chunk: ChunkIndex,
    /// Where from.
    pub source: Source,
}

/// What the agent must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwarmAction {
    /// Start a fetch.
    Start(Fetch),
    /// End a fetch that is not needed any more.
    Cancel(AttemptId),
    /// Ask a peer which chunks it holds.
    Poll(InstanceId),
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The chunk arrived and its digest matches.
    Verified,
    /// Bytes arrived whose digest does not match.
    Corrupt,
    /// The source has no free upload slot.
    Busy,
    /// The source does not hold the chunk.
    Missing,
    /// The connection failed, or the fetch was cancelled.
    Failed,
}

#[derive(Clone, Debug)]
struct Peer {
    have: ChunkSet,
    in_flight: usize,
    not_before: Millis,
    failures: u32,
    poll_due: Millis,
}

#[derive(Clone, Debug)]
struct Attempt {
    chunk: ChunkIndex,
    source: Source,
    started: Millis,
    given_up: bool,
}

/// Fetches all chunks of one root.
#[derive(Clone, Debug)]
pub struct Swarm {
    settings: SwarmSettings,
    have: ChunkSet,
    peers: BTreeMap<InstanceId, Peer>,
    grants: BTreeMap<ChunkIndex, Source>,
    failed_grants: Vec<Grant>,
    attempts: BTreeMap<AttemptId, Attempt>,
    next_attempt: u64,
    /// Usual span of a fetch, a moving average in milliseconds.
    usual_ms: Option<u64>,
    random: SmallRng,
    corrupt: u64,
}

impl Swarm {
    /// A swarm that starts with the chunks in `have`.
    pub fn new(settings: SwarmSettings, have: ChunkSet, seed: u64) -> Self {
        Self {
            settings,
            have,
            peers: BTreeMap::new(),
            grants: BTreeMap::new(),
            failed_grants: Vec::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            usual_ms: None,
            random: SmallRng::seed_from_u64(seed),
            corrupt: 0,
        }
    }

    /// Chunks held so far.
    pub fn have(&self) -> &ChunkSet {
        &self.have
    }

    /// Whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.have.is_complete()
    }

    /// Forgets a chunk whose stored bytes do not verify any more.
    pub fn lost(&mut self, chunk: ChunkIndex) {
        self.have.remove(chunk);
    }

    /// Chunks that arrived with the wrong bytes.
    pub fn corrupt_chunks(&self) -> u64 {
        self.corrupt
    }

    /// Replaces the set of peers; what is known of those that stay is kept.
    pub fn set_peers(&mut self, peers: &[InstanceId]) {
        let wanted: BTreeSet<&InstanceId> = peers.iter().collect();
        self.peers.retain(|peer, _| wanted.contains(peer));
        for peer in peers {
            let chunk_count = self.have.chunk_count();
            self.peers.entry(peer.clone()).or_insert_with(|| Peer {
                have: ChunkSet::empty(chunk_count),
                in_flight: 0,
                not_before: Millis(0),
                failures: 0,
                poll_due: Millis(0),
            });
        }
    }

    /// Replaces the grants.
    pub fn set_grants(&mut self, grants: &[Grant]) {
        let missing = grants
            .iter()
            .filter(|grant| !self.have.contains(grant.chunk));
        self.grants = missing
            .map(|grant| (grant.chunk, grant.source.clone()))
            .collect();
    }

    /// Grants that could not be carried out since the last call.
    pub fn take_failed_grants(&mut self) -> Vec<Grant> {
        std::mem::take(&mut self.failed_grants)
    }

    /// Notes which chunks `peer` holds.
    pub fn peer_has(&mut self, peer: &InstanceId, have: ChunkSet) {
        if let Some(known) = self.peers.get_mut(peer)
            && have.chunk_count() == self.have.chunk_count()
        {
            known.have = have;
        }
    }

    /// Takes the end of a fetch; true when it brought a chunk that was missing.
    pub fn finished(&mut self, now: Millis, attempt: AttemptId, outcome: FetchOutcome) -> bool {
        let Some(attempt) = self.attempts.remove(&attempt) else {
            return false;
        };
        if let Source::Peer(peer) = &attempt.source {
            self.note_peer_outcome(now, peer.clone(), &attempt, outcome);
        }
        match outcome {
            FetchOutcome::Verified => {
                self.note_span(now.since(attempt.started));
                self.grants.remove(&attempt.chunk);
                return self.have.insert(attempt.chunk);
            }
            FetchOutcome::Corrupt => self.corrupt += 1,
            FetchOutcome::Busy => return false,
            FetchOutcome::Missing | FetchOutcome::Failed => {}
        }
        self.give_up_grant(&attempt);
        false
    }

    fn give_up_grant(&mut self, attempt: &Attempt) {
        if self.grants.get(&attempt.chunk) == Some(&attempt.source) {
            self.grants.remove(&attempt.chunk);
            self.failed_grants.push(Grant {
                chunk: attempt.chunk,
                source: attempt.source.clone(),
            });
        }
    }

    fn note_peer_outcome(
        &mut self,
        now: Millis,
        peer: InstanceId,
        attempt: &Attempt,
        outcome: FetchOutcome,
    ) {
        let settings = self.settings;
        let Some(peer) = self.peers.get_mut(&peer) else {
            return;
        };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        match outcome {
            FetchOutcome::Verified => peer.failures = 0,
            FetchOutcome::Corrupt => peer.not_before = now + settings.quarantine_ms,
            FetchOutcome::Busy => peer.not_before = now + settings.busy_wait_ms,
            FetchOutcome::Missing => peer.have.remove(attempt.chunk),
            FetchOutcome::Failed if attempt.given_up => {}
            FetchOutcome::Failed => {
                peer.failures += 1;
                peer.not_before = now + settings.failure_wait_ms * u64::from(peer.failures.min(8));
            }
        }
    }

    fn note_span(&mut self, span_ms: u64) {
        let usual = self.usual_ms.unwrap_or(span_ms);
        self.usual_ms = Some((usual * 7 + span_ms) / 8);
    }

    /// Decides what to do now.
    pub fn step(&mut self, now: Millis) -> Vec<SwarmAction> {
        let mut actions = Vec::new();
        self.cancel_useless(now, &mut actions);
        if self.is_complete() {
            return actions;
        }
        self.start_draws(now, &mut actions);
        self.start_fetches(now, &mut actions);
        self.poll_peers(now, &mut actions);
        actions
    }

    /// Cancels fetches of chunks that arrived meanwhile, and stalled ones.
    fn cancel_useless(&mut self, now: Millis, actions: &mut Vec<SwarmAction>) {
        let limit = self.stall_limit_ms();
        let settings = self.settings;
        let mut stalled_grants = Vec::new();
        for (id, attempt) in &mut self.attempts {
            let stalled = now.since(attempt.started) > limit;
            let needless = self.have.contains(attempt.chunk);
            if attempt.given_up || !(stalled || needless) {
                continue;
            }
            attempt.given_up = true;
            actions.push(SwarmAction::Cancel(*id));
            if !stalled || needless {
                continue;
            }
            stalled_grants.push(attempt.clone());
            if let Source::Peer(peer) = &attempt.source
                && let Some(peer) = self.peers.get_mut(peer)
            {
                peer.failures += 1;
                peer.not_before =
                    now + settings.failure_wait_ms * u64::from(peer.failures.min(8)) * 4;
            }
        }
        for attempt in stalled_grants {
            self.give_up_grant(&attempt);
        }
    }

    fn stall_limit_ms(&self) -> u64 {
        let usual = self.usual_ms.unwrap_or(self.settings.min_stall_ms);
        (usual * self.settings.stall_factor).max(self.settings.min_stall_ms)
    }

    fn start_draws(&mut self, now: Millis, actions: &mut Vec<SwarmAction>) {
        let mut running = self.running_draws();
        let waiting: Vec<(ChunkIndex, Source)> = self
            .grants
            .iter()
            .map(|(chunk, source)| (*chunk, source.clone()))
            .collect();
        for (chunk, source) in waiting {
            if running >= self.settings.max_draws {
                break;
            }
            if self.is_being_fetched(chunk)
                || self.have.contains(chunk)
                || !self.is_open(now, &source)
            {
                continue;
            }
            running += 1;
            self.start(now, chunk, source, actions);
        }
    }

    fn running_draws(&self) -> usize {
        let live = self.attempts.values().filter(|attempt| !attempt.given_up);
        live.filter(|attempt| self.grants.get(&attempt.chunk) == Some(&attempt.source))
            .count()
    }

    fn is_open(&self, now: Millis, source: &Source) -> bool {
        match source {
            Source::Origin => true,
            Source::Peer(peer) => self
                .peers
                .get(peer)
                .is_none_or(|peer| now >= peer.not_before),
        }
    }

    fn is_being_fetched(&self, chunk: ChunkIndex) -> bool {
        self.attempts
            .values()
            .any(|attempt| attempt.chunk == chunk && !attempt.given_up)
    }

    fn start(
        &mut self,
        now: Millis,
        chunk: ChunkIndex,
        source: Source,
        actions: &mut Vec<SwarmAction>,
    ) {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        if let Source::Peer(peer) = &source
            && let Some(peer) = self.peers.get_mut(peer)
        {
            peer.in_flight += 1;
        }
        let record = Attempt {
            chunk,
            source: source.clone(),
            started: now,
            given_up: false,
        };
        self.attempts.insert(attempt, record);
        actions.push(SwarmAction::Start(Fetch {
            attempt,
            chunk,
            source,
        }));
    }

    fn start_fetches(&mut self, now: Millis, actions: &mut Vec<SwarmAction>) {
        let live = self
            .attempts
            .values()
            .filter(|attempt| !attempt.given_up)
            .count();
        let mut free = self
            .settings
            .max_in_flight
            .saturating_sub(live.saturating_sub(self.running_draws()));
        while free > 0 {
            let Some((chunk, peer)) = self.next_fetch(now) else {
                break;
            };
            self.start(now, chunk, Source::Peer(peer), actions);
            free -= 1;
        }
    }

    /// With few peers each sends more at a time, so that the link stays full.
    fn max_per_peer(&self) -> usize {
        let share = self
            .settings
            .max_in_flight
            .div_ceil(self.peers.len().max(1));
        share.max(self.settings.max_per_peer)
    }

    /// The rarest missing chunk that a free peer holds, and that peer.
    fn next_fetch(&mut self, now: Millis) -> Option<(ChunkIndex, InstanceId)> {
        let settings = self.settings;
        let per_peer = self.max_per_peer();
        let is_free = |peer: &Peer| now >= peer.not_before && peer.in_flight < per_peer;
        let free: Vec<(&InstanceId, &Peer)> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_free(peer))
            .collect();
        if free.is_empty() {
            return None;
        }
        let in_flight: BTreeSet<ChunkIndex> = self
            .attempts
            .values()
            .filter(|a| !a.given_up)
            .map(|a| a.chunk)
            .collect();
        let missing_count = self.have.chunk_count() - self.have.len();
        let doubling = missing_count <= settings.end_game_chunks;
        let mut best: Option<(usize, u32, ChunkIndex)> = None;
        for chunk in self.have.missing() {
            let taken = in_flight.contains(&chunk) || self.grants.contains_key(&chunk);
            if taken && !(doubling && self.attempts_of(chunk) == 1) {
                continue;
            }
            let holders = free
                .iter()
                .filter(|(id, peer)| peer.have.contains(chunk) && !self.fetches_from(chunk, id));
            if holders.count() == 0 {
                continue;
            }
            let rarity = self
                .peers
                .values()
                .filter(|peer| peer.have.contains(chunk))
                .count();
            // Doubled fetches come after all chunks that nobody sends yet.
            let rank = if taken {
                rarity + self.peers.len()
            } else {
                rarity
            };
            let candidate = (rank, self.random.random::<u32>(), chunk);
            if best.is_none_or(|best| candidate < best) {
                best = Some(candidate);
            }
        }
        let (_, _, chunk) = best?;
        let holders: Vec<&InstanceId> = free
            .iter()
            .filter(|(id, peer)| peer.have.contains(chunk) && !self.fetches_from(chunk, id))
            .map(|(id, _)| *id)
            .collect();
        let chosen = holders[self.random.random_range(0..holders.len())].clone();
        Some((chunk, chosen))
    }

    fn attempts_of(&self, chunk: ChunkIndex) -> usize {
        self.attempts
            .values()
            .filter(|attempt| attempt.chunk == chunk && !attempt.given_up)
            .count()
    }

    fn fetches_from(&self, chunk: ChunkIndex, peer: &InstanceId) -> bool {
        let from =
            |attempt: &Attempt| matches!(&attempt.source, Source::Peer(source) if source == peer);
        self.attempts
            .values()
            .any(|attempt| attempt.chunk == chunk && !attempt.given_up && from(attempt))
    }

    /// Asks peers what they hold, when nothing more can be fetched.
    fn poll_peers(&mut self, now: Millis, actions: &mut Vec<SwarmAction>) {
        let live = self
            .attempts
            .values()
            .filter(|attempt| !attempt.given_up)
            .count();
        if live >= self.settings.max_in_flight {
            return;
        }
        let poll_ms = self.settings.poll_ms;
        let due = self.peers.iter_mut().filter(|(_, peer)| {
            now >= peer.poll_due && now >= peer.not_before && !peer.have.is_complete()
        });
        let Some((id, peer)) = due.min_by_key(|(_, peer)| peer.poll_due) else {
            return;
        };
        peer.poll_due = now + poll_ms;
        actions.push(SwarmAction::Poll(id.clone()));
    }
}
