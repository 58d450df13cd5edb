//! Members that lose their disks and come back empty at their addresses, while
//! other instances are taken away, stand still or are cut off.

mod support;

use moleroad_consensus::prelude::*;
use rand::Rng;
use std::collections::BTreeMap;
use support::Group;
use support::schedule::run_schedules;

/// Number of schedules to run; the seeds are fixed.
const SCHEDULES: u64 = 2_000;
const STEPS: usize = 14;
const VOTERS: u64 = 5;
/// Number of instances that may be lost at one time.
const TOLERATED: usize = 2;
/// Time after its return for which an instance counts as lost, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
/// Timing by which a lost voter is replaced within [`CATCH_UP_MS`].
const TIMING: Timing = Timing {
    heartbeat_ms: 100,
    election_min_ms: 600,
    election_max_ms: 1_000,
    lease_ms: 450,
    repair_after_ms: 1_600,
};
/// Interval at which each member announces itself to the others, in milliseconds.
const ANNOUNCE_MS: u64 = 400;

/// What becomes of a lost instance.
#[derive(Clone, Debug)]
enum Loss {
    /// It goes on at this time.
    Frozen(u64),
    /// It starts again with an empty disk at this time.
    Wiped(u64, MemberInfo),
    /// It starts again with its disk at this time.
    Down(u64),
    /// Its links work again at this time.
    Cut(u64),
    /// It has returned, and counts as lost until this time.
    CatchingUp(u64),
    /// It is gone for good, and may be replaced by an instance elsewhere.
    TakenAway,
}

struct Schedule {
    group: Group,
    /// Lost instances, by name.
    lost: BTreeMap<String, Loss>,
    next_id: u64,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut group = Group::new(seed, VOTERS, 12);
        group.desired_voters = VOTERS as usize;
        group.timing = TIMING;
        let ids: Vec<MemberId> = group.members.keys().copied().collect();
        for id in ids {
            group.kill(id, 0);
            group.start(id);
        }
        Self {
            group,
            lost: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Draws the id of an empty disk, which may sort before or after all others.
    fn draw_id(&mut self) -> u64 {
        self.next_id += 1;
        let high: u64 = self.group.random.random_range(0..2);
        high * 1_000_000 + 100 + self.next_id
    }

    fn step(&mut self) {
        let is_sound = |member: &&support::Member| {
            let instance = member.info.instance.to_string();
            !self.lost.contains_key(&instance)
        };
        let sound: Vec<MemberInfo> = self
            .group
            .members
            .values()
            .filter(is_sound)
            .map(|member| member.info.clone())
            .collect();
        if self.lost.len() >= TOLERATED || sound.is_empty() {
            return;
        }
        let leader = self.group.leader();
        let leads = |info: &&MemberInfo| leader == Some(info.id);
        let drawn = sound[self.group.random.random_range(0..sound.len())].clone();
        let until = self.group.now + self.group.random.random_range(200..4_000);
        let loss = match self.group.random.random_range(0..8) {
            0 => {
                self.group.lose_disk(drawn.id);
                self.lost
                    .insert(drawn.instance.to_string(), Loss::TakenAway);
                return;
            }
            1 | 2 => {
                self.group.lose_disk(drawn.id);
                Loss::Wiped(until, drawn.clone())
            }
            3 => {
                self.group.kill(drawn.id, 0);
                Loss::Down(until)
            }
            4 => {
                let others: Vec<MemberId> = self.group.members.keys().copied().collect();
                for other in others.into_iter().filter(|other| *other != drawn.id) {
                    self.group.blocked_links.insert((drawn.id, other));
                    self.group.blocked_links.insert((other, drawn.id));
                }
                Loss::Cut(until)
            }
            _ => {
                let leader = sound.iter().find(leads).unwrap_or(&drawn).clone();
                self.group.members.get_mut(&leader.id).unwrap().frozen = true;
                self.lost
                    .insert(leader.instance.to_string(), Loss::Frozen(until));
                return;
            }
        };
        self.lost.insert(drawn.instance.to_string(), loss);
    }

    /// Brings instances back whose time has come.
    fn return_due(&mut self) {
        let now = self.group.now;
        for (instance, loss) in self.lost.clone() {
            let member = |group: &Group| {
                let mut members = group.members.values();
                let found = members.find(|member| member.info.instance.to_string() == instance);
                found.map(|member| member.info.id)
            };
            match loss {
                Loss::Frozen(until) if now >= until => {
                    let id = member(&self.group).unwrap();
                    self.group.members.get_mut(&id).unwrap().frozen = false;
                }
                Loss::Wiped(until, info) if now >= until => {
                    let id = self.draw_id();
                    self.group.restart_empty(&info, id);
                }
                Loss::Down(until) if now >= until => {
                    let id = member(&self.group).unwrap();
                    self.group.start(id);
                }
                Loss::Cut(until) if now >= until => {
                    let id = member(&self.group).unwrap();
                    let links = &mut self.group.blocked_links;
                    links.retain(|(from, to)| *from != id && *to != id);
                }
                Loss::TakenAway if self.group.random.random_ratio(1, 60) => {
                    let id = self.draw_id();
                    self.group.add_member(id, &format!("replacement-{id}"));
                    self.lost.remove(&instance);
                    let until = now + CATCH_UP_MS;
                    let name = format!("replacement-{id}");
                    self.lost.insert(name, Loss::CatchingUp(until));
                    continue;
                }
                Loss::CatchingUp(until) if now >= until => {
                    self.lost.remove(&instance);
                    continue;
                }
                _ => continue,
            }
            self.lost
                .insert(instance, Loss::CatchingUp(now + CATCH_UP_MS));
        }
    }

    /// Runs for `span` milliseconds. Each member announces itself to all others, and
    /// the configurations are checked.
    fn run(&mut self, span: u64) {
        let end = self.group.now + span;
        while self.group.now < end {
            self.return_due();
            self.group.announce_all();
            self.group.run(ANNOUNCE_MS.min(end - self.group.now).max(5));
            self.check_configurations();
        }
    }

    /// Checks that no member holds a configuration with two voters of one instance,
    /// or at one address, in the same set.
    fn check_configurations(&self) {
        let running = self.group.members.values();
        for replica in running.filter_map(|member| Some(&member.running.as_ref()?.replica)) {
            let configuration = replica.configuration();
            for set in [&configuration.voters, &configuration.outgoing] {
                let infos = || set.iter().map(|id| &configuration.members[id]);
                for info in infos() {
                    let beside = infos().filter(|other| {
                        other.instance == info.instance || other.address == info.address
                    });
                    assert_eq!(beside.count(), 1, "two voters of {}", info.instance);
                }
            }
        }
    }
}

fn run_schedule(seed: u64) {
    let mut schedule = Schedule::new(seed);
    let mut next = 0u32;
    schedule.run(1_000);
    for _ in 0..STEPS {
        if schedule.group.random.random_ratio(2, 3) {
            schedule.step();
        }
        if let Some(leader) = schedule.group.leader() {
            next += 1;
            schedule.group.propose(leader, &next.to_le_bytes());
        }
        let span = schedule.group.random.random_range(100..2_500);
        schedule.run(span);
    }
    // With at most the tolerated number of instances lost, the group agrees.
    let accepted = (0..60).any(|_| {
        if let Some(leader) = schedule.group.leader() {
            schedule.group.propose(leader, b"the last one");
        }
        schedule.run(500);
        let mut accepted = schedule.group.accepted.values();
        accepted.any(|data| data == b"the last one")
    });
    assert!(accepted, "no change is accepted, lost: {:?}", schedule.lost);
    // All but those taken away come back.
    schedule.run(5_000);
    schedule.group.check_nothing_lost();
}

/// Guards against a member that comes back empty at its address and becomes a voter
/// beside its former identity: elected, it took its own messages for another leader's
/// and panicked, and the group stopped with no more lost than it tolerates.
#[test]
fn lost_disks_beside_other_losses_stop_nothing() {
    run_schedules(SCHEDULES, run_schedule);
}

/// Announces all members to the leader again and again for `span` milliseconds.
fn run_announced(group: &mut Group, span: u64) {
    for _ in 0..span / ANNOUNCE_MS {
        group.announce_all();
        group.run(ANNOUNCE_MS);
    }
}

fn configuration(group: &mut Group) -> Configuration {
    let leader = group.await_leader();
    let running = group.running(leader);
    running.replica.configuration().clone()
}

/// Guards against an empty disk that takes the vote of another instance, so that its
/// own former identity keeps one for good.
#[test]
fn an_empty_disk_succeeds_only_its_own_former_identity() {
    let mut group = Group::new(41, 5, 10);
    group.timing = TIMING;
    group.propose_until_accepted(b"before");
    let leader = group.await_leader();
    let others: Vec<MemberId> = group.members.keys().copied().collect();
    let mut others = others.into_iter().filter(|id| *id != leader);
    // The instance taken away sorts before the one that loses its disk.
    let (gone, wiped) = (others.next().unwrap(), others.next().unwrap());
    group.lose_disk(gone);
    run_announced(&mut group, 6_000);
    let info = group.members[&wiped].info.clone();
    group.lose_disk(wiped);
    let fresh = group.restart_empty(&info, 77);
    run_announced(&mut group, CATCH_UP_MS);
    let voters = configuration(&mut group).voters;
    assert!(
        voters.contains(&fresh.id) && voters.contains(&gone) && !voters.contains(&wiped),
        "{voters:?}"
    );
}

/// Guards against a vote that stays with a lost disk where an earlier version gave its
/// instance another one.
#[test]
fn an_instance_with_two_votes_on_disk_loses_that_of_its_lost_disk() {
    let mut group = Group::new(42, 4, 10);
    group.timing = TIMING;
    let ids: Vec<MemberId> = group.members.keys().copied().collect();
    let infos: Vec<MemberInfo> = group.members.values().map(|m| m.info.clone()).collect();
    let former = MemberInfo {
        id: MemberId(50),
        ..infos[0].clone()
    };
    let doubled = Configuration::of_voters(infos.into_iter().chain([former.clone()]));
    for id in &ids {
        group.lose_disk(*id);
    }
    for info in doubled.members.values().filter(|info| **info != former) {
        group.restart_empty(info, info.id.0);
    }
    for id in &ids {
        group.event(*id, Event::Bootstrap(doubled.clone()));
    }
    group.propose_until_accepted(b"by four");
    run_announced(&mut group, CATCH_UP_MS);
    let now = configuration(&mut group);
    assert_eq!(now.voters, ids.into_iter().collect());
    assert!(!now.is_joint());
}

/// Guards against a voter that is replaced after a short silence because its own
/// announcement was taken for that of another disk.
#[test]
fn a_short_silence_costs_no_vote_though_a_spare_is_there() {
    let mut group = Group::new(43, 3, 10);
    let leader = group.await_leader();
    group.add_member(60, "spare");
    run_announced(&mut group, 2_000);
    let mut others = group.members.keys().copied();
    let silent = others.find(|id| *id != leader).unwrap();
    group.announce_all();
    group.members.get_mut(&silent).unwrap().frozen = true;
    run_announced(&mut group, 2_000);
    assert!(configuration(&mut group).voters.contains(&silent));
    // The group's timing replaces it after four seconds.
    run_announced(&mut group, 6_000);
    assert!(!configuration(&mut group).voters.contains(&silent));
}
