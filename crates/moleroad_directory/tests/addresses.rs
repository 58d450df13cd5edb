//! Targets that follow each other at one address, and calls of them that arrive late.

use moleroad_directory::prelude::*;
use moleroad_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;

/// Number of schedules to run; the seeds are fixed.
const SCHEDULES: u64 = 3_000;
const DAEMONS: usize = 4;
const HEARTBEAT_MS: u64 = 1_200;
/// Longest delay of a late call, in milliseconds.
const MAX_LATE_MS: u64 = 10_000;
/// Interval at which a daemon asks each other one for its changes, in milliseconds.
const GOSSIP_MS: u64 = 150;

fn address() -> SocketAddr {
    "127.0.0.1:9001".parse().unwrap()
}

fn record(id: &str, sequence: u64, born_ms: u64) -> TargetRecord {
    TargetRecord {
        sequence,
        born_ms,
        slots: 6,
        ..TargetRecord::new(TargetId::new(id), "chat", address())
    }
}

/// A call of a target on its way.
struct Call {
    due: u64,
    daemon: usize,
    content: Content,
}

enum Content {
    Heartbeat(TargetRecord),
    Deregister(TargetId),
}

struct Daemon {
    directory: Directory,
    cursors: Vec<Cursor>,
    slots: Vec<SlotTable>,
    /// A daemon that stands still processes nothing until this time.
    stands_until: u64,
}

struct Schedule {
    random: SmallRng,
    now: u64,
    daemons: Vec<Daemon>,
    calls: Vec<Call>,
    late_percent: u32,
    /// Daemon that the living target calls, as long as it answers in time.
    home: usize,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let daemon = || Daemon {
            directory: Directory::new(),
            cursors: vec![Cursor::default(); DAEMONS],
            slots: (0..DAEMONS).map(|_| SlotTable::default()).collect(),
            stands_until: 0,
        };
        let late_percent = [2, 10, 30, 60][random.random_range(0..4)];
        Self {
            random,
            now: 100_000,
            daemons: (0..DAEMONS).map(|_| daemon()).collect(),
            calls: Vec::new(),
            late_percent,
            home: 0,
        }
    }

    fn call(&mut self, content: Content, may_be_late: bool) {
        let is_late = may_be_late && self.random.random_ratio(self.late_percent, 100);
        let delay = match is_late {
            true => self.random.random_range(0..MAX_LATE_MS),
            false => self.random.random_range(1..20),
        };
        if is_late || self.daemons[self.home].stands_until > self.now {
            self.home = self.random.random_range(0..DAEMONS);
        }
        self.calls.push(Call {
            due: self.now + delay,
            daemon: self.home,
            content,
        });
    }

    /// Returns when the last call on its way has arrived and all daemons go on.
    fn settled_at(&self) -> u64 {
        let due = self.calls.iter().map(|call| call.due);
        let stands = self.daemons.iter().map(|daemon| daemon.stands_until);
        due.chain(stands).max().unwrap_or_default().max(self.now)
    }

    fn advance(&mut self, until: u64) {
        while self.now < until {
            self.now += 10;
            self.deliver();
            if self.now.is_multiple_of(GOSSIP_MS) {
                self.gossip();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let daemons = &self.daemons;
        let is_due = |call: &mut Call| call.due <= now && daemons[call.daemon].stands_until <= now;
        let due: Vec<Call> = self.calls.extract_if(.., is_due).collect();
        for call in due {
            let directory = &mut self.daemons[call.daemon].directory;
            match call.content {
                Content::Heartbeat(record) => {
                    directory.hear_target(Millis(now), record);
                }
                // All daemons are told at once.
                Content::Deregister(id) => {
                    for daemon in &mut self.daemons {
                        daemon.directory.mark_target_gone(Millis(now), &id);
                    }
                }
            }
        }
    }

    fn gossip(&mut self) {
        let now = Millis(self.now);
        for asker in 0..DAEMONS {
            for asked in (0..DAEMONS).filter(|asked| *asked != asker) {
                let standing = [asker, asked].map(|n| self.daemons[n].stands_until > self.now);
                if standing.contains(&true) || self.random.random_ratio(1, 2) {
                    continue;
                }
                let own = InstanceId::new(format!("d{asker}"));
                let request = DeltaRequest {
                    scope: Scope::All,
                    after: self.daemons[asker].cursors[asked],
                    ..DeltaRequest::default()
                };
                let directory = &self.daemons[asked].directory;
                let delta = directory.delta(now, 1 + asked as u64, "h", &own, request);
                let daemon = &mut self.daemons[asker];
                daemon.cursors[asked] = delta.cursor;
                let slots = &mut daemon.slots[asked];
                daemon.directory.apply_delta(now, &own, delta, slots);
            }
        }
    }

    /// Lets a target live until `until`. It has called `sequence` times before; returns
    /// how often it has called at the end.
    fn live(
        &mut self,
        id: &str,
        born_ms: u64,
        mut sequence: u64,
        until: u64,
        may_be_late: bool,
    ) -> u64 {
        while self.now < until {
            sequence += 1;
            self.call(
                Content::Heartbeat(record(id, sequence, born_ms)),
                may_be_late,
            );
            if may_be_late && self.random.random_ratio(1, 30) {
                let daemon = self.random.random_range(0..DAEMONS);
                self.daemons[daemon].stands_until = self.now + 4_300;
            }
            let next = self.now + HEARTBEAT_MS * self.random.random_range(90..100) / 100;
            self.advance(next.min(until));
        }
        sequence
    }
}

/// Returns the state of each target at each daemon.
fn lives(schedule: &Schedule, ids: &[String]) -> Vec<Vec<Option<TargetLifecycle>>> {
    let state = |directory: &Directory, id: &String| {
        let known = directory.target(&TargetId::new(id))?;
        Some(directory.lifecycle(known))
    };
    let daemons = schedule.daemons.iter();
    daemons
        .map(|daemon| ids.iter().map(|id| state(&daemon.directory, id)).collect())
        .collect()
}

fn run_schedule(seed: u64) {
    let mut schedule = Schedule::new(seed);
    let incarnations = schedule.random.random_range(2..=5);
    let has_births = schedule.random.random_ratio(1, 2);
    let ids: Vec<String> = (1..=incarnations).map(|n| format!("i-{n}")).collect();
    for (number, id) in ids[..incarnations - 1].iter().enumerate() {
        let born_ms = if has_births { 1_000 + number as u64 } else { 0 };
        let until = schedule.now + schedule.random.random_range(100..6_000);
        schedule.live(id, born_ms, 0, until, true);
        if schedule.random.random_ratio(1, 3) {
            schedule.call(Content::Deregister(TargetId::new(id)), true);
        }
        let pause = schedule.random.random_range(10..3_000);
        schedule.advance(schedule.now + pause);
    }
    // The last one lives. Calls are late for a while, then the last late one arrives.
    let last = &ids[incarnations - 1];
    let born_ms = if has_births { 9_000 } else { 0 };
    let calm_from = schedule.now + schedule.random.random_range(0..6_000);
    let sequence = schedule.live(last, born_ms, 0, calm_from, true);
    let settled = schedule.settled_at();
    let until = settled + 2 * HEARTBEAT_MS;
    schedule.live(last, born_ms, sequence, until, false);
    for states in lives(&schedule, &ids) {
        let (living, ended) = states.split_last().unwrap();
        assert_eq!(*living, Some(TargetLifecycle::Ready), "{last} lives");
        let is_ready = |state: &Option<TargetLifecycle>| *state == Some(TargetLifecycle::Ready);
        assert!(!ended.iter().any(is_ready), "an ended target is ready");
    }
    for daemon in &schedule.daemons {
        let holder = daemon.directory.target_at(address()).unwrap();
        assert_eq!(holder.record.id.as_str(), last);
    }
}

/// Guards against a late call of an ended target that bars the living one at its address
/// for good.
#[test]
fn daemons_agree_on_the_living_target_after_late_calls() {
    for seed in 0..SCHEDULES {
        let outcome = std::panic::catch_unwind(|| run_schedule(seed));
        assert!(outcome.is_ok(), "schedule {seed} failed");
    }
}

fn heard(directory: &mut Directory, at: u64, id: &str, sequence: u64) -> TargetChange {
    directory.hear_target(Millis(at), record(id, sequence, 0))
}

fn holder(directory: &Directory) -> Option<&str> {
    let holder = directory.target_at(address())?;
    Some(holder.record.id.as_str())
}

/// Guards against the first call of an ended target, held back by a cut, that bars the
/// living one: its next call brings it back, and other daemons learn of it.
#[test]
fn the_next_call_of_a_living_target_takes_its_address_back() {
    let mut directory = Directory::new();
    heard(&mut directory, 0, "new", 1);
    assert_eq!(
        heard(&mut directory, 1_000, "old", 1),
        TargetChange::Changed
    );
    assert_eq!(holder(&directory), Some("old"));
    let position = directory.position();
    assert_eq!(
        heard(&mut directory, 1_200, "new", 2),
        TargetChange::Changed
    );
    assert_eq!(holder(&directory), Some("new"));
    assert!(directory.position() > position, "it is forwarded");
    let change = |from: &str, to: &str| HolderChange {
        address: address(),
        from: TargetId::new(from),
        to: TargetId::new(to),
    };
    assert_eq!(
        directory.take_holder_changes(),
        [change("new", "old"), change("old", "new")]
    );
    // From then on its calls change nothing.
    assert_eq!(
        heard(&mut directory, 2_400, "new", 3),
        TargetChange::Refreshed
    );
    assert!(directory.take_holder_changes().is_empty());
}

#[test]
fn an_ended_target_does_not_come_back_when_its_successor_ends() {
    let mut directory = Directory::new();
    heard(&mut directory, 0, "old", 1);
    heard(&mut directory, 1_000, "new", 1);
    directory.mark_target_gone(Millis(2_000), &TargetId::new("new"));
    assert_eq!(holder(&directory), None);
    // A call that arrives after its end does not bring it back either.
    heard(&mut directory, 2_100, "new", 2);
    assert_eq!(holder(&directory), None);
    heard(&mut directory, 3_000, "third", 1);
    assert_eq!(holder(&directory), Some("third"));
}

/// Guards against a late call of a target whose end was learned before anything else.
#[test]
fn a_target_that_ended_before_it_was_known_is_never_ready() {
    let mut directory = Directory::new();
    directory.mark_target_gone(Millis(0), &TargetId::new("old"));
    heard(&mut directory, 500, "old", 1);
    assert_eq!(holder(&directory), None);
    heard(&mut directory, 600, "new", 1);
    heard(&mut directory, 700, "old", 2);
    assert_eq!(holder(&directory), Some("new"));
}
