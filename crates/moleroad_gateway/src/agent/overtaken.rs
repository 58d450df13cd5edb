//! What an agent knows when it decides whether to give up an older version.

use crate::agent::bring::{Held, held_version, wanted};
use crate::agent::digests::fellows;
use crate::agent::fetch::Fetch;
use crate::agent::offers::offers;
use crate::view::older_version_cutoff_ms;
use moleroad_directory::prelude::DaemonRecord;
use moleroad_rollout::prelude::SupersededFetch;

/// Time for an engine to take weights that are here, in milliseconds: its running
/// requests end, and it takes the order.
const TAKE_OVER_MS: u64 = 1_000;

impl Fetch {
    /// Whether it is better to go on with a newer version.
    pub(super) fn is_overtaken(&self) -> bool {
        // The engine holds it already, which it did not say while it was silent.
        if let Held::Version(version) = held_version(&self.node, &self.wanted.model)
            && version >= self.wanted.version
        {
            return true;
        }
        if wanted(&self.node).map(|now| now.version) == Some(self.wanted.version) {
            return false;
        }
        self.overtaking().should_abandon()
    }

    /// What is known of this version and of newer ones.
    fn overtaking(&self) -> SupersededFetch {
        let now = self.node.clock.now();
        let missing = self.missing();
        let view = self.node.view();
        let origin_piece_ms = self.origin_piece_ms(&view);
        let (model, version) = (&self.wanted.model, self.wanted.version);
        let others = fellows(&view, now);
        let has = |other: &&DaemonRecord, piece: u32| {
            let map = other.pieces_of(&model.model, version);
            map.is_some_and(|map| map.has(piece))
        };
        let has_newer = |other: &&DaemonRecord| {
            let mut maps = other.pieces.iter();
            maps.any(|map| map.model == model.model && map.version > version && map.count() > 0)
        };
        let offers = offers(&self.node);
        let is_out = |piece: &u32| {
            !offers.of(version, *piece).is_empty() || others.iter().any(|other| has(other, *piece))
        };
        let unreleased = missing.iter().filter(|piece| !is_out(piece)).count() as u32;
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
            patience: self.patience,
            newer,
            newer_released: others.iter().any(has_newer),
            usable_ms: newest_named_at.map_or(0, |at| (at + usable_for_ms).since(now)),
            finish_ms: u64::from(unreleased) * origin_piece_ms + TAKE_OVER_MS,
        }
    }
}
