//! What fails while operators change the configuration, with real processes.

use moleroad_cli::prelude::OperatorClient;
use moleroad_events::prelude::EventKind;
use moleroad_fakes::deployment::OPERATOR_KEY;
use moleroad_fakes::prelude::*;
use moleroad_fakes::process::Signal;
use moleroad_types::object::InstanceSpec;
use moleroad_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;

fn shape() -> DeploymentShape {
    DeploymentShape {
        engines: 0,
        services: vec![],
        ..DeploymentShape::small()
    }
}

fn labels(value: &str) -> Spec {
    Spec::Instance(InstanceSpec {
        labels: Labels::from_pairs([("value", value)]),
    })
}

fn object(name: &str, version: u64, value: &str) -> Object {
    Object {
        name: name.into(),
        version: ObjectVersion(version),
        spec: labels(value),
    }
}

fn client_of(entry: SocketAddr) -> OperatorClient {
    OperatorClient::new(vec![entry], OPERATOR_KEY)
}

#[test]
fn killing_each_member_in_turn_loses_no_accepted_change() {
    let mut deployment = Deployment::start(shape()).unwrap();
    let client = deployment.client();
    let mut accepted = BTreeMap::new();
    let mut last = Revision(0);
    for round in 0..3 {
        for number in 0..10 {
            let name = format!("object-{round}-{number}");
            let request = RequestId::new(format!("request-{name}"));
            let wanted = object(&name, 1, &name);
            let answer = until("the change to be accepted", || {
                client.change(&request, &wanted).ok()
            });
            assert!(answer.revision > last, "revisions grow");
            last = answer.revision;
            accepted.insert(name, wanted);
            if number == 5 {
                deployment.process(&format!("entry-{round}")).kill();
            }
        }
        deployment
            .process(&format!("entry-{round}"))
            .restart()
            .unwrap();
        until("all members to be heard", || {
            let group = deployment.status()?.group;
            (group.losses_tolerated == Some(1)).then_some(())
        });
    }
    let objects = until("the objects", || client.objects().ok());
    for (name, wanted) in accepted {
        let key = wanted.key();
        assert_eq!(
            objects.iter().find(|object| object.key() == key),
            Some(&wanted),
            "{name}"
        );
    }
}

#[test]
fn operators_who_race_with_one_version_get_one_winner() {
    let deployment = Deployment::start(shape()).unwrap();
    for round in 1..=10 {
        let racers: Vec<_> = (0..3)
            .map(|position| {
                let client = client_of(deployment.entry(position));
                let wanted = object("raced", round, &format!("operator {position}"));
                let request = RequestId::new(format!("race-{round}-{position}"));
                thread::spawn(move || (wanted.clone(), client.change(&request, &wanted)))
            })
            .collect();
        let outcomes: Vec<_> = racers
            .into_iter()
            .map(|racer| racer.join().unwrap())
            .collect();
        let winners: Vec<&Object> = outcomes
            .iter()
            .filter(|(_, r)| r.is_ok())
            .map(|(wanted, _)| wanted)
            .collect();
        assert_eq!(winners.len(), 1, "{outcomes:?}");
        for error in outcomes
            .iter()
            .filter_map(|(_, result)| result.as_ref().err())
        {
            assert_eq!(error.code, ResultCode::VersionConflict);
            assert!(
                error.detail.contains("digest"),
                "the loser learns the winner's digest: {error}"
            );
        }
        let stored = deployment.client().objects().unwrap();
        assert_eq!(
            stored.iter().find(|object| object.name.as_str() == "raced"),
            Some(winners[0])
        );
        let lower = client_of(deployment.entry(0)).change(
            &RequestId::new(format!("lower-{round}")),
            &object("raced", round - 1, "x"),
        );
        let code = lower.unwrap_err().code;
        assert!(
            matches!(code, ResultCode::VersionTooLow | ResultCode::ObjectInvalid),
            "{code}"
        );
    }
}

#[test]
fn a_change_sent_again_after_failover_gets_the_first_answer() {
    let mut deployment = Deployment::start(shape()).unwrap();
    let request = RequestId::new("only-once");
    let first = deployment
        .client()
        .change(&request, &object("one", 1, "a"))
        .unwrap();
    deployment
        .client()
        .change(&RequestId::new("another"), &object("one", 2, "b"))
        .unwrap();
    let leader = until("the leader's name", || deployment.leader());
    deployment.process(leader.as_str()).kill();
    let again = until("the group to answer", || {
        deployment
            .client()
            .change(&request, &object("one", 1, "a"))
            .ok()
    });
    assert_eq!(again, first, "and it does not put the old content back");
    let stored = deployment.client().objects().unwrap();
    assert_eq!(stored, vec![object("one", 2, "b")]);
    let reused = deployment
        .client()
        .change(&request, &object("two", 1, "c"))
        .unwrap_err();
    assert_eq!(reused.code, ResultCode::KeyReused);
}

#[test]
fn a_member_with_a_lost_disk_comes_back_as_another_and_the_next_may_go() {
    let mut deployment = Deployment::start(DeploymentShape {
        snapshot_entries: 20,
        ..shape()
    })
    .unwrap();
    let client = deployment.client();
    for number in 0..60 {
        client
            .change(
                &RequestId::new(format!("r-{number}")),
                &object(&format!("o-{number}"), 1, "x"),
            )
            .unwrap();
    }
    let leader = until("the leader's name", || deployment.leader());
    let lost = deployment
        .entries()
        .iter()
        .map(|(name, _)| name.clone())
        .find(|name| *name != leader)
        .unwrap();
    let old_id = member_id(&deployment, &lost);
    deployment.process(lost.as_str()).kill();
    std::fs::remove_dir_all(deployment.data_folder(lost.as_str())).unwrap();
    deployment.process(lost.as_str()).restart().unwrap();
    until("the disk to be replaced", || {
        let group = deployment.status()?.group;
        let renewed = group
            .members
            .iter()
            .any(|m| m.info.instance == lost && m.info.id != old_id && m.voter);
        let gone = group.members.iter().all(|member| member.info.id != old_id);
        (renewed && gone && !group.changing_members && group.losses_tolerated == Some(1))
            .then_some(())
    });
    // Now the next one may be lost, disk and all.
    deployment.process(leader.as_str()).kill();
    std::fs::remove_dir_all(deployment.data_folder(leader.as_str())).unwrap();
    let objects = until("the others to answer", || client.objects().ok());
    assert_eq!(objects.len(), 60);
    client
        .change(&RequestId::new("after"), &object("after", 1, "x"))
        .unwrap();
}

fn member_id(
    deployment: &Deployment,
    instance: &InstanceId,
) -> moleroad_consensus::member::MemberId {
    until("the member's identity", || {
        let members = deployment.status()?.group.members;
        members
            .into_iter()
            .find(|member| member.info.instance == *instance)
            .map(|member| member.info.id)
    })
}

#[test]
fn a_spare_member_takes_a_lost_ones_place() {
    let mut deployment = Deployment::start(DeploymentShape {
        entries: 4,
        control_members: 4,
        repair_after_ms: 2_000,
        ..shape()
    })
    .unwrap();
    // Four voters tolerate one loss; after repair by nobody they still do not
    // stop, which is what is looked at first.
    let client = deployment.client();
    client
        .change(&RequestId::new("r-1"), &object("o-1", 1, "x"))
        .unwrap();
    let leader = until("the leader's name", || deployment.leader());
    let lost = deployment
        .entries()
        .iter()
        .map(|(name, _)| name.clone())
        .find(|name| *name != leader)
        .unwrap();
    deployment.process(lost.as_str()).kill();
    client
        .change(&RequestId::new("r-2"), &object("o-2", 1, "x"))
        .unwrap();
    std::fs::remove_dir_all(deployment.data_folder(lost.as_str())).unwrap();
    deployment.process(lost.as_str()).restart().unwrap();
    until("the group to be whole again", || {
        let group = deployment.status()?.group;
        (group.members.len() == 4 && group.losses_tolerated == Some(1) && !group.changing_members)
            .then_some(())
    });
    assert_eq!(client.objects().unwrap().len(), 2);
}

#[test]
fn members_restarted_after_500_changes_have_equal_states() {
    for snapshot_entries in [100_000, 64] {
        let mut deployment = Deployment::start(DeploymentShape {
            snapshot_entries,
            ..shape()
        })
        .unwrap();
        let client = deployment.client();
        for number in 0..500u64 {
            let name = format!("o-{}", number % 50);
            client
                .change(
                    &RequestId::new(format!("r-{number}")),
                    &object(&name, number / 50 + 1, &number.to_string()),
                )
                .unwrap();
        }
        let before = deployment.status().unwrap();
        assert_eq!(before.revision, Revision(500));
        for name in ["entry-0", "entry-1", "entry-2"] {
            deployment.process(name).kill();
        }
        for name in ["entry-0", "entry-1", "entry-2"] {
            deployment.process(name).restart().unwrap();
        }
        let mut leaders = std::collections::BTreeSet::new();
        // Each member's own state is compared by making it lead.
        while leaders.len() < 3 {
            let leader = until("a leader", || deployment.leader());
            let status = until("its status", || deployment.status());
            assert_eq!(
                (status.revision, status.state_digest),
                (before.revision, before.state_digest),
                "{leader}"
            );
            leaders.insert(leader.clone());
            deployment.process(leader.as_str()).kill();
            until("another leader", || {
                deployment.leader().filter(|next| *next != leader)
            });
            deployment.process(leader.as_str()).restart().unwrap();
            until("all members to be heard", || {
                (deployment.status()?.group.losses_tolerated == Some(1)).then_some(())
            });
            if leaders.len() == 2 {
                break;
            }
        }
    }
}

#[test]
fn no_daemon_goes_back_and_one_that_was_away_catches_up() {
    let mut deployment = Deployment::start(DeploymentShape {
        entries: 4,
        ..shape()
    })
    .unwrap();
    let client = OperatorClient::new(
        (0..3).map(|position| deployment.entry(position)).collect(),
        OPERATOR_KEY,
    );
    let mut last = Revision(0);
    for number in 0..30 {
        if number == 5 {
            deployment.process("entry-3").signal(Signal::Stop);
        }
        if number == 15 {
            let leader = until("the leader's name", || {
                let group = client.status().ok()?.group;
                let leader = group.leader?;
                group
                    .members
                    .into_iter()
                    .find(|m| m.info.id == leader)
                    .map(|m| m.info.instance)
            });
            deployment.process(leader.as_str()).kill();
            deployment.process(leader.as_str()).restart().unwrap();
        }
        let request = RequestId::new(format!("r-{number}"));
        let wanted = object(&format!("o-{number}"), 1, "x");
        last = until("the change to be accepted", || {
            client.change(&request, &wanted).ok()
        })
        .revision;
    }
    deployment.process("entry-3").signal(Signal::Continue);
    until("the last revision everywhere", || {
        let daemons = client.status().ok()?.daemons;
        (daemons.len() == 4 && daemons.iter().all(|daemon| daemon.revision == last)).then_some(())
    });
    let events = client.timeline(&Default::default()).unwrap();
    let mut known: BTreeMap<InstanceId, Revision> = BTreeMap::new();
    for event in events {
        match event.kind {
            EventKind::Started { .. } => drop(known.remove(&event.instance)),
            EventKind::InForce { revision } => {
                let before = known.insert(event.instance.clone(), revision);
                assert!(
                    before.is_none_or(|before| before < revision),
                    "{} went back",
                    event.instance
                );
            }
            _ => {}
        }
    }
    assert!(
        known.values().all(|revision| *revision == last),
        "{known:?}"
    );
}

#[test]
fn a_process_with_another_cluster_key_gets_nothing() {
    let mut deployment = Deployment::start(DeploymentShape {
        entries: 4,
        ..shape()
    })
    .unwrap();
    deployment.process("entry-3").kill();
    let path = deployment.settings_path("entry-3");
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(
        &path,
        text.replace("cluster key of the harness", "another secret altogether"),
    )
    .unwrap();
    deployment.process("entry-3").restart().unwrap();
    until("the stranger to be refused", || {
        let refused = (0..3).any(|position| {
            deployment
                .process(&format!("entry-{position}"))
                .printed()
                .contains("does not know the cluster key")
        });
        refused.then_some(())
    });
    let answer = moleroad_fakes::caller::caller_get(deployment.entry(3), "/readyz", "");
    assert_eq!(answer.status, 503, "it is never ready");
    let daemons = client_of(deployment.entry(0)).status().unwrap().daemons;
    assert!(
        daemons
            .iter()
            .all(|daemon| daemon.instance.as_str() != "entry-3" || daemon.silent_ms > 0)
    );
}
