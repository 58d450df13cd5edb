//! Configurations of operators that race, over a real control group of one member:
//! under each version all daemons hold the one document that was decided.

mod support;

use moleroad_config::prelude::ConfigVersion;
use moleroad_gateway::control_state::{ConfigDocument, ControlCommand, ControlState};
use moleroad_gateway::gossip::settle;
use moleroad_gateway::halls::Source;
use moleroad_gateway::node::Node;
use moleroad_gateway::operator::{commit, read};
use std::sync::Arc;
use std::time::Duration;
use support::{follower_of, leader};

fn document(version: u64, bytes: &str) -> ConfigDocument {
    ConfigDocument::new(ConfigVersion(version), bytes.as_bytes())
}

fn replace(version: u64, bytes: &str) -> ControlCommand {
    ControlCommand::Replace(document(version, bytes))
}

fn holding(version: u64, bytes: &str) -> ControlState {
    ControlState {
        configuration: Some(document(version, bytes)),
        ..ControlState::default()
    }
}

/// What a daemon has in force: version and bytes.
fn in_force(node: &Node) -> (u64, String) {
    let view = node.view();
    let held = view.state.configuration.as_ref().expect("a configuration");
    let bytes = held.bytes().expect("sound bytes");
    (held.version.0, String::from_utf8(bytes).expect("text"))
}

/// Brings a change until it is acknowledged; the member may not lead yet.
async fn bring(node: &Arc<Node>, command: ControlCommand) {
    for _ in 0..200 {
        if commit(node, command.clone()).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("it was never acknowledged");
}

/// Guards against an entry that puts its own document in force under a version that
/// was decided for another.
#[tokio::test]
async fn a_document_that_changed_nothing_is_not_put_in_force_by_who_carried_it() {
    let leader = leader("decided-late");
    let (first, late) = (follower_of(&leader, "a"), follower_of(&leader, "b"));
    bring(&first, replace(5, "decided")).await;
    late.take_state(&holding(4, "older"), Source::Push);
    bring(&late, replace(5, "other bytes")).await;
    assert_eq!(in_force(&late), (5, "decided".into()));
    bring(&late, replace(3, "late and old")).await;
    assert_eq!(in_force(&late), (5, "decided".into()));
}

/// Guards against the same where both are under way at once.
#[tokio::test]
async fn of_documents_that_race_for_a_version_all_carriers_hold_the_same() {
    let leader = leader("decided-race");
    let carriers: Vec<_> = (0..4)
        .map(|number| follower_of(&leader, &number.to_string()))
        .collect();
    bring(&carriers[0], replace(1, "first")).await;
    for version in 2..12 {
        let brought = carriers.iter().enumerate().map(|(number, carrier)| {
            let bytes = format!("version {version} of carrier {number}");
            bring(carrier, replace(version, &bytes))
        });
        futures::future::join_all(brought).await;
        let decided = in_force(&carriers[0]);
        assert_eq!(decided.0, version);
        for carrier in &carriers {
            assert_eq!(in_force(carrier), decided);
            assert!(read(carrier).await.is_some());
            assert_eq!(in_force(carrier), decided, "after a read");
        }
    }
}

/// Guards against an acknowledgement of what is not in force here.
#[tokio::test]
async fn what_was_overtaken_is_acknowledged_once_the_newer_one_is_in_force() {
    let leader = leader("decided-newer");
    let (first, late) = (follower_of(&leader, "a"), follower_of(&leader, "b"));
    bring(&first, replace(9, "newest")).await;
    bring(&late, replace(7, "overtaken")).await;
    assert_eq!(in_force(&late), (9, "newest".into()));
}

/// Guards against a document that was not decided and stays in force, whoever meets it.
#[tokio::test]
async fn daemons_that_hold_two_documents_under_one_version_come_back_to_the_decided_one() {
    let leader = leader("decided-twins");
    let (right, wrong) = (follower_of(&leader, "a"), follower_of(&leader, "b"));
    bring(&right, replace(5, "decided")).await;
    wrong.take_state(&holding(5, "other bytes"), Source::Push);
    let told = |node: &Node| {
        let view = node.view();
        (view.state.config_version(), view.config_digest)
    };
    for (node, other) in [(&right, &wrong), (&wrong, &right)] {
        let (version, digest) = told(other);
        assert!(node.view().has_conflicting_document(version, digest));
        settle(node).await;
    }
    assert_eq!(in_force(&right), (5, "decided".into()));
    assert_eq!(in_force(&wrong), (5, "decided".into()));
    assert_eq!(told(&right), told(&wrong));
    assert!(!right.view().has_conflicting_document(ConfigVersion(5), 0));
}
