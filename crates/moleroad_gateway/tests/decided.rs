//! Concurrent configuration changes over a real control group with one member:
//! under each version, all daemons must end up with the one document that was
//! committed.

mod support;

use moleroad_config::prelude::ConfigVersion;
use moleroad_gateway::control_state::{ConfigDocument, ControlCommand, ControlState};
use moleroad_gateway::gossip::restore_decided;
use moleroad_gateway::halls::UpdateSource;
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

fn state_with(version: u64, bytes: &str) -> ControlState {
    ControlState {
        configuration: Some(document(version, bytes)),
        ..ControlState::default()
    }
}

/// Returns the version and content of a daemon's configuration.
fn current_document(node: &Node) -> (u64, String) {
    let view = node.view();
    let held = view.state.configuration.as_ref().expect("a configuration");
    let bytes = held.bytes().expect("sound bytes");
    (held.version.0, String::from_utf8(bytes).expect("text"))
}

/// Proposes a change until it is acknowledged; the member may not be the leader
/// yet.
async fn propose_until_acknowledged(node: &Arc<Node>, command: ControlCommand) {
    for _ in 0..200 {
        if commit(node, command.clone()).await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the change was never acknowledged");
}

/// Guards against an entry that applies its own document under a version for
/// which the control group committed another one.
#[tokio::test]
async fn a_document_that_was_not_committed_is_not_applied_by_its_proposer() {
    let leader = leader("decided-late");
    let (first, late) = (follower_of(&leader, "a"), follower_of(&leader, "b"));
    propose_until_acknowledged(&first, replace(5, "decided")).await;
    late.merge_state(&state_with(4, "older"), UpdateSource::Push);
    propose_until_acknowledged(&late, replace(5, "other bytes")).await;
    assert_eq!(current_document(&late), (5, "decided".into()));
    propose_until_acknowledged(&late, replace(3, "late and old")).await;
    assert_eq!(current_document(&late), (5, "decided".into()));
}

/// The same with concurrent proposals from several entries.
#[tokio::test]
async fn all_proposers_hold_the_same_document_of_a_contested_version() {
    let leader = leader("decided-race");
    let carriers: Vec<_> = (0..4)
        .map(|number| follower_of(&leader, &number.to_string()))
        .collect();
    propose_until_acknowledged(&carriers[0], replace(1, "first")).await;
    for version in 2..12 {
        let proposals = carriers.iter().enumerate().map(|(number, carrier)| {
            let bytes = format!("version {version} of carrier {number}");
            propose_until_acknowledged(carrier, replace(version, &bytes))
        });
        futures::future::join_all(proposals).await;
        let decided = current_document(&carriers[0]);
        assert_eq!(decided.0, version);
        for carrier in &carriers {
            assert_eq!(current_document(carrier), decided);
            assert!(read(carrier).await.is_some());
            assert_eq!(current_document(carrier), decided, "after a read");
        }
    }
}

/// Guards against acknowledging a proposal before this daemon has the newer
/// configuration that superseded it.
#[tokio::test]
async fn a_superseded_change_is_acknowledged_once_the_newer_one_is_in_force() {
    let leader = leader("decided-newer");
    let (first, late) = (follower_of(&leader, "a"), follower_of(&leader, "b"));
    propose_until_acknowledged(&first, replace(9, "newest")).await;
    propose_until_acknowledged(&late, replace(7, "overtaken")).await;
    assert_eq!(current_document(&late), (9, "newest".into()));
}

/// Guards against keeping a document that was never committed: whichever daemon
/// detects the conflict, both must return to the committed document.
#[tokio::test]
async fn daemons_with_different_documents_of_one_version_converge_to_the_committed_one() {
    let leader = leader("decided-twins");
    let (correct, wrong) = (follower_of(&leader, "a"), follower_of(&leader, "b"));
    propose_until_acknowledged(&correct, replace(5, "decided")).await;
    wrong.merge_state(&state_with(5, "other bytes"), UpdateSource::Push);
    let advertised = |node: &Node| {
        let view = node.view();
        (view.state.config_version(), view.config_digest)
    };
    for (node, other) in [(&correct, &wrong), (&wrong, &correct)] {
        let (version, digest) = advertised(other);
        assert!(node.view().has_conflicting_document(version, digest));
        restore_decided(node).await;
    }
    assert_eq!(current_document(&correct), (5, "decided".into()));
    assert_eq!(current_document(&wrong), (5, "decided".into()));
    assert_eq!(advertised(&correct), advertised(&wrong));
    assert!(!correct.view().has_conflicting_document(ConfigVersion(5), 0));
}
