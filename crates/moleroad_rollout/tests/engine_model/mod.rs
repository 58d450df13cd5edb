//! An engine, its store and its agent in virtual time, with faults at any moment.

use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;
use rand::Rng;
use rand::rngs::StdRng;
use std::ops::Range;

const PIECES: usize = 12;
/// Time from which no fault begins any more.
const FAULTS_END_MS: u64 = 30_000;
/// Time by which the engine must serve the version.
const PLAY_ENDS_MS: u64 = 120_000;
const POLL_INTERVAL_MS: u64 = 40;
/// Longest time that an order takes to arrive.
const MAX_ORDER_DELAY_MS: u64 = 800;
const LOAD_MS: u64 = 300;
/// Longest time that a read waits for an answer.
const READ_TIMEOUT_MS: u64 = 1_500;

/// How long the reads of single pieces take.
#[derive(Clone, Copy, Debug)]
pub enum ReadTimes {
    /// Some milliseconds.
    Fast,
    /// Up to a second and a half.
    Slow,
}

impl ReadTimes {
    fn range(self) -> Range<u64> {
        match self {
            Self::Fast => 1..20,
            Self::Slow => 50..READ_TIMEOUT_MS,
        }
    }
}

/// Properties of a schedule of faults.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// How long reads take.
    pub read_times: ReadTimes,
}

/// Times at which things fail.
#[derive(Debug)]
pub struct Schedule {
    faults: Faults,
    /// When each piece turns bad, by time.
    corruptions: Vec<(u64, usize)>,
    /// When the engine is down.
    outages: Vec<Range<u64>>,
    /// When the agent stands still.
    freezes: Vec<Range<u64>>,
    /// When the agent is killed and begins again.
    restarts: Vec<u64>,
}

impl Schedule {
    /// Draws a schedule. Pieces turn bad often enough that most checks find some.
    pub fn random(random: &mut StdRng, faults: Faults) -> Self {
        let spans = |random: &mut StdRng, count: usize, longest: u64| -> Vec<Range<u64>> {
            let span = |_| {
                let start = random.random_range(0..FAULTS_END_MS);
                start..start + random.random_range(50..longest)
            };
            (0..count).map(span).collect()
        };
        let (outages, freezes) = (random.random_range(0..6), random.random_range(0..6));
        let corruptions = random.random_range(0..20);
        let restarts = random.random_range(0..3);
        let mut corruptions: Vec<(u64, usize)> = (0..corruptions)
            .map(|_| {
                let at = random.random_range(0..FAULTS_END_MS);
                (at, random.random_range(0..PIECES))
            })
            .collect();
        corruptions.sort_unstable();
        let mut restarts: Vec<u64> = (0..restarts)
            .map(|_| random.random_range(0..FAULTS_END_MS))
            .collect();
        restarts.sort_unstable();
        Self {
            faults,
            corruptions,
            outages: spans(random, outages, 6_000),
            freezes: spans(random, freezes, 6_000),
            restarts,
        }
    }

    fn engine_is_down(&self, at: u64) -> bool {
        self.outages.iter().any(|outage| outage.contains(&at))
    }
}

/// What a play came to.
pub struct Outcome {
    /// Whether the engine served the version in the end.
    pub is_served: bool,
    /// The longest time for which a piece had been corrupt when the engine loaded it.
    pub longest_corrupt_ms: u64,
}

/// Plays a switch under the schedule.
pub fn play(schedule: &Schedule, random: &mut StdRng) -> Outcome {
    let mut model = Model::new(schedule);
    let mut switch = Switch::new(PIECES);
    while model.now < PLAY_ENDS_MS {
        if model.agent_was_restarted() {
            switch = Switch::new(PIECES);
        }
        let engine = model.poll(random);
        // The wave of the engine begins some time after its pieces are there.
        let may_begin = model.now >= 1_000;
        match switch.next(Millis(model.now), engine, may_begin) {
            SwitchStep::Done if model.now >= FAULTS_END_MS => break,
            SwitchStep::Done => {
                // Another version is named: the engine is to load anew.
                model.loaded_at = None;
                switch = Switch::new(PIECES);
                model.advance(POLL_INTERVAL_MS);
            }
            SwitchStep::Wait | SwitchStep::Restore => model.advance(POLL_INTERVAL_MS),
            SwitchStep::Check { parallel_reads } => {
                let check = model.check(parallel_reads, random);
                switch.record_check(Millis(model.now), check);
            }
            SwitchStep::Withdraw => model.advance(60 + random.random_range(0..800)),
            SwitchStep::Order(_) => model.order(random.random_range(1..MAX_ORDER_DELAY_MS)),
        }
    }
    Outcome {
        is_served: model.is_serving(),
        longest_corrupt_ms: model.longest_corrupt_ms,
    }
}

struct Model<'a> {
    schedule: &'a Schedule,
    now: u64,
    /// Since when each piece is corrupt.
    corrupt_since: Vec<Option<u64>>,
    next_corruption: usize,
    next_restart: usize,
    /// When the engine finishes loading its weights.
    loaded_at: Option<u64>,
    longest_corrupt_ms: u64,
}

impl<'a> Model<'a> {
    fn new(schedule: &'a Schedule) -> Self {
        Self {
            schedule,
            now: 0,
            corrupt_since: vec![None; PIECES],
            next_corruption: 0,
            next_restart: 0,
            loaded_at: None,
            longest_corrupt_ms: 0,
        }
    }

    /// Lets time pass for the agent, and more if it is frozen meanwhile.
    fn advance(&mut self, ms: u64) {
        let mut until = self.now + ms;
        for freeze in &self.schedule.freezes {
            if freeze.start > self.now && freeze.start <= until {
                until += freeze.end - freeze.start;
            }
        }
        self.pass_until(until);
    }

    /// Lets time pass for the engine.
    fn pass_until(&mut self, until: u64) {
        let schedule = self.schedule;
        while let Some((at, piece)) = schedule.corruptions.get(self.next_corruption)
            && *at <= until
        {
            self.corrupt_since[*piece].get_or_insert(*at);
            self.next_corruption += 1;
        }
        let has_crashed = |outage: &Range<u64>| outage.start > self.now && outage.start <= until;
        if schedule.outages.iter().any(has_crashed) {
            self.loaded_at = None;
        }
        self.now = until;
    }

    fn agent_was_restarted(&mut self) -> bool {
        let due = self.schedule.restarts.get(self.next_restart);
        let is_due = due.is_some_and(|at| *at <= self.now);
        self.next_restart += usize::from(is_due);
        is_due
    }

    fn is_serving(&self) -> bool {
        self.loaded_at.is_some_and(|at| at <= self.now)
    }

    fn poll(&mut self, random: &mut StdRng) -> EngineObservation {
        self.advance(random.random_range(1..5));
        if self.schedule.engine_is_down(self.now) {
            return EngineObservation::Silent;
        }
        match self.loaded_at {
            Some(at) if at <= self.now => EngineObservation::Serving,
            Some(_) => EngineObservation::Busy,
            None => EngineObservation::Ready,
        }
    }

    /// Reads all pieces; corrupt ones are staged and read again.
    fn check(&mut self, parallel_reads: usize, random: &mut StdRng) -> Option<StagedCheck> {
        let mut reads = CheckReads::begin(Millis(self.now), PIECES);
        for _ in 0..2 {
            for batch in reads.unproven().chunks(parallel_reads) {
                self.read_batch(batch, &mut reads, random);
            }
            for piece in reads.with(PieceRead::Corrupt) {
                self.corrupt_since[piece as usize] = None;
            }
        }
        reads.finish()
    }

    /// Reads pieces at the same time. Each is read as it lies at a moment within.
    fn read_batch(&mut self, batch: &[u32], reads: &mut CheckReads, random: &mut StdRng) {
        let began = self.now;
        let times = self.schedule.faults.read_times.range();
        let mut moments: Vec<(u64, u32)> = batch
            .iter()
            .map(|piece| (random.random_range(times.clone()), *piece))
            .collect();
        moments.sort_unstable();
        for (moment, piece) in moments {
            self.advance((began + moment).saturating_sub(self.now));
            let read = if self.schedule.engine_is_down(self.now) {
                PieceRead::Unanswered
            } else if self.corrupt_since[piece as usize].is_some() {
                PieceRead::Corrupt
            } else {
                PieceRead::Intact
            };
            reads.record(piece, read);
        }
    }

    /// Sends an order that arrives after `delay_ms`.
    fn order(&mut self, delay_ms: u64) {
        self.pass_until(self.now + delay_ms);
        if self.schedule.engine_is_down(self.now) {
            return;
        }
        let corrupt = self.corrupt_since.iter().flatten();
        let longest = corrupt.map(|since| self.now - since).max().unwrap_or(0);
        self.longest_corrupt_ms = self.longest_corrupt_ms.max(longest);
        self.loaded_at = Some(self.now + LOAD_MS);
    }
}
