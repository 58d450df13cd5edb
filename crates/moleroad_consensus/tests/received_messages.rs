//! What a member does with messages that were not meant for it, or that no sound
//! member sends.

mod support;

use moleroad_consensus::prelude::*;
use moleroad_types::prelude::{Millis, Term};
use rand::Rng;
use support::Group;

/// Returns a leader of three with what it needs to be sent a message.
fn leader_of_three(group: &mut Group) -> (MemberInfo, MemberInfo) {
    let leader = group.await_leader();
    let members = group.members.values().map(|member| member.info.clone());
    let (own, others): (Vec<_>, Vec<_>) = members.partition(|info| info.id == leader);
    (own[0].clone(), others[0].clone())
}

fn heartbeat(replica: &Replica) -> Message {
    Message::Append {
        term: replica.term(),
        prev_index: LogIndex(0),
        prev_term: Term(0),
        entries: Vec::new(),
        commit: LogIndex(0),
        sent_at: Millis(1),
    }
}

/// Guards against messages that are taken by whoever listens at the receiver's address:
/// a leader that had lost its disk heard itself through its former identity.
#[test]
fn messages_for_another_member_or_of_oneself_change_nothing() {
    let mut group = Group::new(31, 3, 10);
    let (own, other) = leader_of_three(&mut group);
    let member = &group.members[&own.id];
    let now = Millis(group.now + member.clock_offset);
    let mut replica = member.running.as_ref().unwrap().replica.clone();
    let before = format!("{replica:?}");
    let former = MemberId(own.id.0 + 1_000);
    for (from, to, expected) in [
        (&own, former, Rejection::OtherAddressee),
        (&other, former, Rejection::OtherAddressee),
        (&own, own.id, Rejection::OwnMessage),
        (&other, own.id, Rejection::SecondLeader),
    ] {
        let event = Event::Receive {
            from: from.clone(),
            to,
            message: heartbeat(&replica),
        };
        let dropped = Action::Dropped {
            from: from.clone(),
            rejection: expected,
        };
        assert_eq!(replica.on_event(now, event), [dropped]);
        assert_eq!(format!("{replica:?}"), before, "{expected:?}");
    }
    assert!(replica.is_leader());
}

/// Guards against a panic that a message from outside can cause.
#[test]
fn no_message_panics_a_member() {
    for seed in 0..400 {
        let mut group = Group::new(seed, 3, 6);
        group.propose_until_accepted(b"before");
        let infos: Vec<MemberInfo> = group.members.values().map(|m| m.info.clone()).collect();
        for _ in 0..40 {
            let message = random_message(&mut group);
            let from = infos[group.random.random_range(0..infos.len())].clone();
            let to = infos[group.random.random_range(0..infos.len())].id;
            let receiver = infos[group.random.random_range(0..infos.len())].id;
            let Some(running) = &group.members[&receiver].running else {
                continue;
            };
            let mut replica = running.replica.clone();
            let start = group.now + group.members[&receiver].clock_offset;
            for step in 0..3 {
                let event = Event::Receive {
                    from: from.clone(),
                    to,
                    message: message.clone(),
                };
                replica.on_event(Millis(start + step), event);
                replica.on_event(Millis(start + step * 2_000), Event::Tick);
                let _ = replica.lease_until();
            }
        }
    }
}

/// Draws a number that is near zero, near the group's own, or extreme.
fn random_number(group: &mut Group) -> u64 {
    match group.random.random_range(0..8) {
        0 => u64::MAX - group.random.random_range(0..3),
        1 => 1 << group.random.random_range(0..64),
        _ => group.random.random_range(0..8),
    }
}

fn random_message(group: &mut Group) -> Message {
    let mut numbers = [0; 8];
    for number in &mut numbers {
        *number = random_number(group);
    }
    let [term, first, second, third, fourth, fifth, count, kind] = numbers;
    let term = Term(term);
    let entry = |offset: u64| Entry {
        index: LogIndex(first.saturating_add(offset).saturating_add(third % 2)),
        term: Term(second),
        payload: match fourth % 3 {
            0 => Payload::Noop,
            1 => Payload::Command(vec![1]),
            _ => Payload::Configuration(Configuration {
                voters: [MemberId(fifth)].into(),
                ..Configuration::default()
            }),
        },
    };
    let granted = third % 2 == 0;
    let sent_at = Millis(fifth);
    match kind % 5 {
        0 => Message::VoteRequest {
            term,
            pre: granted,
            last_index: LogIndex(first),
            last_term: Term(second),
        },
        1 => Message::VoteReply {
            term,
            pre: fourth % 2 == 0,
            granted,
        },
        2 => Message::Append {
            term,
            prev_index: LogIndex(first),
            prev_term: Term(fourth),
            entries: (1..=count % 4).map(entry).collect(),
            commit: LogIndex(third),
            sent_at,
        },
        3 => Message::AppendReply {
            term,
            accepted: granted,
            position: LogIndex(first),
            sent_at,
        },
        _ => Message::Install {
            term,
            snapshot: Snapshot {
                index: LogIndex(first),
                term: Term(second),
                configuration: Configuration {
                    voters: [MemberId(third % 4)].into(),
                    ..Configuration::default()
                },
                state: std::sync::Arc::default(),
            },
            sent_at,
        },
    }
}
