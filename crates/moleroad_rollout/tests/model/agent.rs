//! One agent of the simulated swarm.

use super::Source;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::InstanceId;
use std::collections::{HashMap, HashSet};

/// Longest backoff from the origin, in milliseconds.
const MAX_ORIGIN_BACKOFF_MS: u64 = 400;

/// An agent and what it knows.
pub(super) struct Agent {
    pub(super) name: InstanceId,
    pub(super) region: usize,
    pub(super) is_dead: bool,
    pub(super) started_ms: u64,
    /// Start of the schedule of pieces at the origin.
    pub(super) schedule_start_ms: u64,
    pub(super) schedule: OriginSchedule,
    pub(super) progress_ms: u64,
    pub(super) held: HashSet<u32>,
    pub(super) offers: HashMap<u32, Vec<usize>>,
    pub(super) announced: HashMap<u32, u64>,
    pub(super) announced_own: HashMap<u32, u64>,
    pub(super) in_flight: HashMap<u32, Source>,
    pub(super) backoffs: HashMap<(u32, Source), u64>,
    pub(super) origin_backoff: Backoff,
    pub(super) origin_failed_ms: Option<u64>,
    pub(super) far_holders_known_ms: HashMap<u32, u64>,
    pub(super) up_free_ms: u64,
    pub(super) down_free_ms: u64,
    pub(super) trees: DistributionTrees,
}

impl Agent {
    /// Returns an agent without any piece that knows when the version was announced.
    pub(super) fn new(name: InstanceId, region: usize, trees: DistributionTrees) -> Self {
        Self {
            name,
            region,
            is_dead: false,
            started_ms: 0,
            schedule_start_ms: 0,
            schedule: OriginSchedule::all(),
            progress_ms: 0,
            held: HashSet::new(),
            offers: HashMap::new(),
            announced: HashMap::new(),
            announced_own: HashMap::new(),
            in_flight: HashMap::new(),
            backoffs: HashMap::new(),
            origin_backoff: Backoff::with_max(MAX_ORIGIN_BACKOFF_MS),
            origin_failed_ms: None,
            far_holders_known_ms: HashMap::new(),
            up_free_ms: 0,
            down_free_ms: 0,
            trees,
        }
    }

    /// Records that a piece arrived from `from`.
    pub(super) fn note_progress(&mut self, now: u64, pieces: u32, from: Source) {
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

    /// Returns whether the agent leaves `from` alone as a source of a piece.
    pub(super) fn is_backed_off(&self, now: u64, piece: u32, from: Source) -> bool {
        let until = self.backoffs.get(&(piece, from));
        until.is_some_and(|until| now < *until)
    }
}
