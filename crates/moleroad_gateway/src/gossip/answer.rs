//! Answers a hello from another daemon.

use crate::control_member::MemberInput;
use crate::gossip::apply;
use crate::halls::{HallUpdates, UpdateSource};
use crate::node::Node;
use crate::peer::{Hello, HelloAnswer};
use moleroad_directory::prelude::*;
use std::sync::Arc;

/// Merges the caller's updates and returns the delta that it requested.
pub fn answer(node: &Arc<Node>, hello: Hello) -> HelloAnswer {
    let now = node.clock.now();
    node.apply_hall_updates(&hello.halls, UpdateSource::Greeting);
    node.receive_target_ends(hello.ends);
    if let (Some(control_member), Some(member)) = (&node.control_member, hello.member) {
        control_member.send(MemberInput::Spare(member));
    }
    let mut view = node.view();
    let own = view.own.clone();
    let caller = hello.from.apply(&mut view.directory, now, &own);
    if caller.load_changed {
        apply::record_load(&mut view, now, &caller.instance);
    }
    let mut changed = caller.record_changed;
    // Callers that request only this hall's records are relays of other halls.
    // They do not count as direct contacts, whose records are forwarded.
    if hello.question.scope != Scope::CalleesHall {
        view.directory.record_direct_contact(now, &caller.instance);
    }
    for aged in hello.targets {
        let change = view.directory.merge_target(now, aged.record, aged.age_ms);
        changed |= change == TargetChange::Changed;
    }
    view.update_leader(hello.leader);
    let record = view.directory.daemon(&caller.instance);
    let peer = record.map(|observed| observed.record.peer);
    let is_agent = record.is_some_and(|observed| observed.record.role == DaemonRole::Agent);
    view.directory.merge_daemon(now, own, 0);
    let news = view.directory.delta(
        now,
        view.own.incarnation,
        &view.own.hall,
        &caller.instance,
        hello.question,
    );
    node.metrics.count_exchanged_records("sent", &news);
    let has_new_catalog = view.catalog.digest() != hello.catalog_digest;
    let sends_catalog = is_agent && has_new_catalog && !view.catalog.models.is_empty();
    let (ends, ends_cursor) = view.target_ends_after(now, hello.ends_after);
    let answer = HelloAnswer {
        ends,
        ends_cursor,
        unknown_caller: !caller.is_known,
        news,
        config_version: view.state.config_version(),
        config_digest: view.config_digest,
        versions: if is_agent {
            view.version_ages(now)
        } else {
            view.named_ages(now)
        },
        leader: view.leader,
        catalog: sends_catalog.then(|| view.catalog.clone()),
        halls: if view.has_no_newer_halls_than(&hello.halls) {
            HallUpdates::new()
        } else {
            view.hall_updates(now)
        },
    };
    let is_behind = !is_agent && hello.config_version > view.state.config_version();
    let differs = view.has_conflicting_document(hello.config_version, hello.config_digest);
    drop(view);
    if node.settings.role.has_full_state() {
        apply::apply_changes(node, changed);
    }
    if differs {
        let node = node.clone();
        tokio::spawn(async move { crate::gossip::restore_decided(&node).await });
    }
    if let Some(peer) = peer.filter(|_| is_behind) {
        let node = node.clone();
        tokio::spawn(async move { crate::gossip::pull(&node, peer).await });
    }
    answer
}
