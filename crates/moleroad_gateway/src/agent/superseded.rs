//! Decides whether the fetch of a version is abandoned for a newer one.

use crate::agent::digests::live_agents;
use crate::agent::fetch::Fetch;
use crate::agent::offers::offers;
use crate::agent::update_loop::{HeldVersion, held_version, wanted_version};
use crate::view::older_version_cutoff_ms;
use moleroad_directory::prelude::DaemonRecord;
use moleroad_rollout::prelude::SupersededFetch;

/// Time for an engine to load weights that were fetched, in milliseconds: its
/// running requests end and it executes the order.
const LOAD_MS: u64 = 1_000;

impl Fetch {
    /// Returns whether the fetch should be abandoned for a newer version.
    pub(super) fn is_superseded(&self) -> bool {
        // The engine already holds the version, which it could not report while
        // it was unreachable.
        if let HeldVersion::Version(version) = held_version(&self.node, &self.wanted.model)
            && version >= self.wanted.version
        {
            return true;
        }
        if wanted_version(&self.node).map(|now| now.version) == Some(self.wanted.version) {
            return false;
        }
        self.superseded_fetch().should_abandon()
    }

    /// Collects the progress known to this agent of this version and of newer ones.
    fn superseded_fetch(&self) -> SupersededFetch {
        let now = self.node.clock.now();
        let missing = self.missing();
        let view = self.node.view();
        let origin_piece_ms = self.origin_piece_ms(&view);
        let (model, version) = (&self.wanted.model, self.wanted.version);
        let others = live_agents(&view, now);
        let has = |other: &&DaemonRecord, piece: u32| {
            let map = other.pieces_of(&model.model, version);
            map.is_some_and(|map| map.has(piece))
        };
        let has_newer = |other: &&DaemonRecord| {
            let mut maps = other.pieces.iter();
            maps.any(|map| map.model == model.model && map.version > version && map.count() > 0)
        };
        let offers = offers(&self.node);
        let is_released = |piece: &u32| {
            !offers.offered_by(version, *piece).is_empty()
                || others.iter().any(|other| has(other, *piece))
        };
        let unreleased = missing.iter().filter(|piece| !is_released(piece)).count() as u32;
        let named = view.named.get(&model.model);
        let newer = named.map_or(0, |named| named.versions().filter(|v| *v > version).count());
        let newest_named_at = named.and_then(|named| named.superseded_at(version));
        let usable_for_ms = older_version_cutoff_ms(self.node.settings.bounds.version_ms);
        SupersededFetch {
            pieces: model.pieces,
            missing: missing.len() as u32,
            unreleased,
            is_fallback: self.is_fallback,
            idle_ms: self.idle_ms(),
            timeouts: self.timeouts,
            newer,
            newer_released: others.iter().any(has_newer),
            usable_ms: newest_named_at.map_or(0, |at| (at + usable_for_ms).since(now)),
            finish_ms: u64::from(unreleased) * origin_piece_ms + LOAD_MS,
        }
    }
}
