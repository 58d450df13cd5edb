//! Orders for a data hall over the replicated log, under random schedules of crashes,
//! network partitions, lost answers, retries at other daemons and delayed orders.

#[path = "../../moleroad_consensus/tests/support/mod.rs"]
mod support;

use moleroad_consensus::prelude::*;
use moleroad_gateway::control_state::{ControlCommand, ControlState};
use moleroad_gateway::evacuations::*;
use rand::Rng;
use std::collections::BTreeSet;
use support::Group;

const HALL: &str = "hall-a";
/// Number of schedules that CI runs; the seeds are fixed.
const SCHEDULES: u64 = 1_500;
/// Log index of the founding members; commands follow it.
const FOUNDED: LogIndex = LogIndex(1);
/// Number of daemons that operators call.
const DAEMONS: usize = 4;

fn bytes(order: &HallOrder) -> Vec<u8> {
    rmp_serde::to_vec(&ControlCommand::OrderHall(order.clone())).unwrap()
}

/// Applies the commands of a log.
fn replay(commands: &[Vec<u8>]) -> ControlState {
    let mut state = ControlState::default();
    for command in commands {
        if let Ok(command) = rmp_serde::from_slice::<ControlCommand>(command) {
            state.apply(&command);
        }
    }
    state
}

/// Returns the result of the order at `index`.
fn order_result(commands: &[Vec<u8>], index: LogIndex, order: &HallOrder) -> HallOrderResult {
    let before = (index.0 - FOUNDED.0) as usize - 1;
    assert_eq!(commands[before], bytes(order));
    replay(&commands[..before]).evacuations.apply(order)
}

/// The control group and the daemons that operators call, each with its own view.
struct Simulation {
    group: Group,
    views: [Evacuations; DAEMONS],
    /// Accepted log entries whose proposers received an answer.
    answered: BTreeSet<LogIndex>,
    /// Orders that are delayed in frozen daemons.
    delayed: Vec<HallOrder>,
    next_member: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut group = Group::new(seed, 3, 9);
        group.desired_voters = 3;
        Self {
            group,
            views: Default::default(),
            answered: BTreeSet::new(),
            delayed: Vec::new(),
            next_member: 100,
        }
    }

    fn order(&self, daemon: usize, evacuated: bool) -> HallOrder {
        HallOrder {
            hall: HALL.into(),
            evacuated,
            based_on: self.views[daemon].state_of(HALL).revision,
        }
    }

    /// Returns the commands applied by the member that is furthest ahead.
    fn applied(&self) -> &[Vec<u8>] {
        let members = self.group.members.values();
        let running = members.filter_map(|member| member.running.as_ref());
        let furthest = running.max_by_key(|running| running.state.len());
        furthest.map_or(&[], |running| &running.state)
    }

    /// Proposes the order to the current leader, if any; returns the last index before
    /// it.
    fn propose(&mut self, order: &HallOrder) -> Option<LogIndex> {
        let leader = self.group.leader()?;
        let after = LogIndex(FOUNDED.0 + self.applied().len() as u64);
        self.group.propose(leader, &bytes(order));
        Some(after)
    }

    /// Returns the result of `order` once it is accepted, and updates the daemon's
    /// view.
    fn answer(
        &mut self,
        daemon: usize,
        order: &HallOrder,
        after: LogIndex,
    ) -> Option<HallOrderResult> {
        let mut accepted = self.group.accepted.iter();
        let is_own = |index: &LogIndex, data: &[u8]| {
            *index > after && !self.answered.contains(index) && data == bytes(order)
        };
        let index = *accepted.find(|(index, data)| is_own(index, data))?.0;
        let applied = self.applied();
        if applied.len() < (index.0 - FOUNDED.0) as usize {
            return None;
        }
        let order_result = order_result(applied, index, order);
        self.answered.insert(index);
        self.views[daemon].merge_hall(HALL, order_result.state);
        Some(order_result)
    }

    fn inject_fault(&mut self) {
        let group = &mut self.group;
        let ids: Vec<MemberId> = group.members.keys().copied().collect();
        let id = ids[group.random.random_range(0..ids.len())];
        match group.random.random_range(0..7) {
            0 => {
                if let Some(leader) = group.leader() {
                    let kept_bytes = group.random.random_range(0..200);
                    group.kill(leader, kept_bytes);
                }
            }
            1 => {
                let other = ids[group.random.random_range(0..ids.len())];
                group.blocked_links.insert((id, other));
            }
            2 => group.loss_percent = group.random.random_range(0..25),
            3 => group.members.get_mut(&id).unwrap().frozen ^= true,
            _ => {}
        }
    }

    /// Sends an operator's order to one daemon after another until one acknowledges it.
    fn order_until_acknowledged(&mut self, evacuated: bool) -> HallState {
        for attempt in 0..60 {
            let daemon = self.group.random.random_range(0..DAEMONS);
            let order = self.order(daemon, evacuated);
            if attempt > 4 {
                self.group.heal();
            } else {
                self.inject_fault();
            }
            let proposed = self.propose(&order);
            if self.group.random.random_range(0..3) == 0 {
                self.inject_fault();
            }
            let span = self.group.random.random_range(20..900);
            self.group.run(span);
            if self.group.random.random_range(0..6) == 0 {
                self.delayed.push(order.clone());
            }
            let order_result = proposed.and_then(|after| self.answer(daemon, &order, after));
            // The answer may be lost on its way to the operator.
            let is_lost = self.group.random.random_range(0..4) == 0;
            if let Some(order_result) =
                order_result.filter(|v| v.outcome.is_satisfied() && !is_lost)
            {
                assert_eq!(order_result.state.evacuated, evacuated);
                return order_result.state;
            }
            self.exchange_views();
        }
        panic!("the order was never acknowledged");
    }

    /// Sends the view of one daemon to another.
    fn exchange_views(&mut self) {
        let from = self.group.random.random_range(0..DAEMONS);
        let to = self.group.random.random_range(0..DAEMONS);
        let view = self.views[from].clone();
        self.views[to].merge(&view);
    }

    /// Replaces a member by one without a disk, right after an acknowledgement.
    fn replace_disk(&mut self) {
        self.group.heal();
        let ids: Vec<MemberId> = self.group.members.keys().copied().collect();
        let id = ids[self.group.random.random_range(0..ids.len())];
        let instance = self.group.members[&id].info.instance.to_string();
        self.group.lose_disk(id);
        self.next_member += 1;
        let fresh = self.group.add_member(self.next_member, &instance);
        for _ in 0..200 {
            let leader = self.group.await_leader();
            self.group.event(leader, Event::SpareSeen(fresh.clone()));
            self.group.run(100);
            let leader = self.group.await_leader();
            let replica = &self.group.members[&leader]
                .running
                .as_ref()
                .unwrap()
                .replica;
            let members = replica.configuration();
            if members.voters.contains(&fresh.id) && !members.is_joint() {
                return;
            }
        }
        panic!("the group never admits the member without a disk");
    }

    /// Returns the state of the hall at the end, which all members share.
    fn final_state(&mut self) -> HallState {
        self.group.heal();
        self.group.propose_until_accepted(b"the last one");
        self.group.check_nothing_lost();
        let leader = self.group.await_leader();
        let state = &self.group.members[&leader].running.as_ref().unwrap().state;
        replay(state).evacuations.state_of(HALL)
    }
}

fn in_threads(schedules: u64, simulation: impl Fn(u64) + Sync + std::panic::RefUnwindSafe) {
    let threads = 4;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let simulation = &simulation;
            scope.spawn(move || {
                for seed in (thread..schedules).step_by(threads as usize) {
                    let outcome = std::panic::catch_unwind(|| simulation(seed));
                    assert!(outcome.is_ok(), "schedule {seed} failed");
                }
            });
        }
    });
}

#[test]
fn the_last_acknowledged_hall_order_survives_repeats_and_delays() {
    in_threads(SCHEDULES, |seed| {
        let mut simulation = Simulation::new(seed);
        let mut evacuated = true;
        let mut last = HallState::default();
        for _ in 0..simulation.group.random.random_range(1..5) {
            let state = simulation.order_until_acknowledged(evacuated);
            assert!(state.revision > last.revision, "{state:?} after {last:?}");
            last = state;
            evacuated = !evacuated;
            if simulation.group.random.random_range(0..8) == 0 {
                simulation.replace_disk();
            }
        }
        // Orders delayed in frozen daemons finally reach the leader.
        simulation.group.heal();
        for order in std::mem::take(&mut simulation.delayed) {
            simulation.group.await_leader();
            simulation.propose(&order);
            simulation.group.run(60);
        }
        assert_eq!(simulation.final_state(), last);
    });
}

#[test]
fn racing_hall_orders_have_one_outcome_on_all_members() {
    in_threads(SCHEDULES, |seed| {
        let mut simulation = Simulation::new(seed + 1_000_000);
        let mut changes = 0;
        for _ in 0..6 {
            let orders = [(0, true), (1, false), (2, simulation.group.random.random())]
                .map(|(daemon, evacuated)| (daemon, simulation.order(daemon, evacuated)));
            simulation.inject_fault();
            let after: Vec<_> = orders
                .iter()
                .map(|(_, order)| simulation.propose(order))
                .collect();
            let span = simulation.group.random.random_range(20..1_500);
            simulation.group.run(span);
            for ((daemon, order), after) in orders.iter().zip(after) {
                let order_result = after.and_then(|after| simulation.answer(*daemon, order, after));
                let changed = order_result.filter(|v| v.outcome == HallOrderOutcome::Changed);
                changes += u64::from(changed.is_some());
            }
            simulation.exchange_views();
        }
        let state = simulation.final_state();
        // Changes whose proposers received no answer may also have been committed.
        assert!(state.revision.0 >= changes);
        assert_eq!(state.evacuated, state.revision.0 % 2 == 1);
        for view in &simulation.views {
            assert!(view.state_of(HALL).revision <= state.revision);
        }
    });
}
