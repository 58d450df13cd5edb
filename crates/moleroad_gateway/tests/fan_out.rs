//! The removal of a target must be known to every entry before it is
//! acknowledged, also when entries forward it and some of them do not answer.

mod support;

use moleroad_directory::prelude::*;
use moleroad_gateway::node::Node;
use moleroad_gateway::target_updates;
use moleroad_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use support::{add_target, entry, entry_with_configuration};

/// Number of entries: more than one entry notifies directly, so that some are
/// notified by others.
const ENTRIES: usize = 60;

fn entry_record(number: usize, peer: SocketAddr) -> DaemonRecord {
    let instance = InstanceId::new(format!("entry-{number:03}"));
    let hall = format!("hall-{}", number % 3);
    DaemonRecord::new(instance, DaemonRole::Entry, peer, hall)
}

fn is_gone(node: &Node) -> bool {
    let view = node.view();
    let target = view.directory.target(&TargetId::new("i-a"));
    target.is_some_and(|observed| observed.record.life == TargetLifecycle::Gone)
}

/// Creates an entry and the other entries known to it; all of them know one target.
/// The entries whose numbers are in `silent` do not answer.
fn entries(silent: &[usize]) -> (Arc<Node>, Vec<Arc<Node>>) {
    let caller = entry();
    let mut others = Vec::new();
    for number in 0..ENTRIES {
        let peer = if silent.contains(&number) {
            SocketAddr::from(([127, 0, 0, 1], 1))
        } else {
            let other = entry_with_configuration();
            add_target(
                &other,
                "i-a",
                "hall-a",
                SocketAddr::from(([127, 0, 0, 2], 1)),
            );
            let peer = other.settings.peer_address();
            others.push(other);
            peer
        };
        let now = caller.clock.now();
        let record = entry_record(number, peer);
        caller.view().directory.merge_daemon(now, record, 0);
    }
    (caller, others)
}

#[tokio::test]
async fn every_entry_knows_a_target_has_gone_before_the_acknowledgement() {
    let (caller, others) = entries(&[]);
    target_updates::deregister(&caller, "i-a").await;
    assert!(is_gone(&caller) && others.iter().all(|other| is_gone(other)));
}

#[tokio::test]
async fn entries_behind_an_unresponsive_one_are_still_notified() {
    // Includes the first entry of every branch.
    let silent: Vec<usize> = (0..ENTRIES).filter(|number| number % 7 < 3).collect();
    let (caller, others) = entries(&silent);
    target_updates::deregister(&caller, "i-a").await;
    assert_eq!(others.iter().filter(|other| !is_gone(other)).count(), 0);
}
