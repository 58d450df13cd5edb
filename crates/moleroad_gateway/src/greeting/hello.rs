//! What a greeting tells and asks.

use crate::greeting::contacts::Contact;
use crate::greeting::told::Told;
use crate::node::Node;
use crate::peer::{Hello, Speaker};
use moleroad_directory::prelude::*;

/// Time between signs of life of daemons without other news, in milliseconds.
const LIVES_EVERY_MS: u64 = 500;

/// What this daemon tells a contact, and what that contact then was told.
pub(super) fn hello(node: &Node, contact: &Contact, told: Told) -> (Hello, Told) {
    let now = node.clock.now();
    let mut view = node.view();
    let own = view.own.clone();
    view.directory.hear_daemon(now, own, 0);
    let called = |heard: &&Heard<TargetRecord>| {
        let call = view.to_tell.get(&heard.record.id);
        call.is_some_and(|call| *call > told.calls)
    };
    let targets = view.directory.targets().filter(called);
    let targets = targets.map(|heard| heard.aged(now)).collect();
    let (ends, ends_position) = view.ends_to_tell(now, told.ends_position);
    let lives = contact.scope != Scope::Nothing && now.0 >= told.lives_at + LIVES_EVERY_MS;
    let hello = Hello {
        from: speaker(&view.directory, &view.own, told),
        member: node.core.as_ref().map(|core| core.own.clone()),
        config_version: view.state.config_version(),
        versions: view.state.versions.clone(),
        leader: view.leader,
        targets,
        question: Question {
            scope: contact.scope,
            after: told.cursor,
            lives,
            pieces: contact.pieces,
        },
        catalog_digest: view.catalog.digest(),
        halls: view.halls_news(now),
        ends,
        ends_after: node.settings.role.knows_all().then_some(told.ends_cursor),
    };
    let next = Told {
        ends_position,
        at: now.0,
        position: view.directory.position(),
        calls: view.calls,
        lives_at: if lives { now.0 } else { told.lives_at },
        ..told
    };
    (hello, next)
}

/// As little of this daemon as the callee needs.
fn speaker(directory: &Directory, own: &DaemonRecord, told: Told) -> Speaker {
    let changes = directory.daemon(&own.instance).map(|heard| heard.changes);
    let is_new = told.position == 0;
    match changes.filter(|_| !is_new) {
        Some(changes) if changes.record.max(changes.pieces) <= told.position => {
            if changes.load > told.position {
                Speaker::Load(Life::of(own), LoadNews::of(own))
            } else {
                Speaker::Same(Life::of(own))
            }
        }
        _ => Speaker::Record(Box::new(own.clone())),
    }
}
