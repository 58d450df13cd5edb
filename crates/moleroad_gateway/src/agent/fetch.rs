//! Fetching the pieces of one version into memory, checked one by one.

use crate::agent::bring::{Held, LOOK_EVERY, Wanted, fallback_of, held_version, wanted};
use crate::agent::choice::Membership;
use crate::agent::offers::{self, offers};
use crate::agent::pieces;
use crate::agent::transfer::{Brought, bring_piece};
use crate::interface::PieceDigests;
use crate::node::Node;
use crate::peer::Offer;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Pieces fetched from other agents at once; a piece from the origin comes
/// beside them.
const FETCHED_AT_ONCE: usize = 4;
/// How long a source that did not give a piece is not asked for it again, in
/// milliseconds.
const SOURCE_REST_MS: u64 = 40;
/// A version of which this share is here is finished though a newer one is
/// wanted: engines serve it meanwhile. Below it the newer one is here sooner
/// when this one is given up.
const FINISHED_FROM_SHARE: f64 = 0.75;

/// A version all of whose pieces are here.
pub struct Fetched {
    /// The version.
    pub wanted: Wanted,
    /// What its pieces hash to.
    pub digests: PieceDigests,
}

/// Where a piece is taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    /// Another agent, by its peer address.
    Agent(SocketAddr),
    /// The origin.
    Origin(SocketAddr),
}

/// How a fetch ended.
pub enum Ended {
    /// All pieces are here.
    Fetched(Fetched),
    /// It is better to go on with a newer version.
    Overtaken,
    /// Nothing comes, and an older version can be had.
    Stuck,
}

/// Fetches one version.
pub struct Fetch {
    pub(super) node: Arc<Node>,
    pub(super) wanted: Wanted,
    /// Whether it stands in for a newer version that does not come.
    is_fallback: bool,
    digests: PieceDigests,
    pub(super) membership: Membership,
    pub(super) patience: Patience,
    /// Pieces that were asked for, and whom.
    pub(super) under_way: HashMap<u32, Source>,
    /// Until when a source is not asked for a piece again.
    pub(super) resting: HashMap<(u32, Source), Millis>,
    /// Since when agents of other regions are known to have a piece.
    pub(super) far_known_at: HashMap<u32, Millis>,
    /// When a piece last came.
    progress_at: Millis,
    began_at: Millis,
    /// When the division of work began: with the fetch, or when pieces came
    /// again after a stall.
    pub(super) divided_at: Millis,
    pub(super) origin_pause: Pause,
    /// When the origin last gave nothing.
    pub(super) origin_failed_at: Option<Millis>,
    from_origin: u32,
    not_given: u32,
}

impl Fetch {
    /// Begins with what is held of the version already.
    pub fn new(
        node: &Arc<Node>,
        wanted: &Wanted,
        is_fallback: bool,
        digests: PieceDigests,
    ) -> Self {
        let model = &wanted.model;
        pieces::open_map(node, model, wanted.version);
        log::info!(
            event = "weights_begin",
            model = model.model.as_str(),
            version = wanted.version;
            ""
        );
        let now = node.clock.now();
        let own = node.view().own.instance.clone();
        Self {
            node: node.clone(),
            wanted: wanted.clone(),
            is_fallback,
            digests,
            membership: Membership::new(&own),
            patience: Patience::for_pieces(model.piece_bytes, node.settings.link_mbps),
            under_way: HashMap::new(),
            resting: HashMap::new(),
            far_known_at: HashMap::new(),
            progress_at: now,
            began_at: now,
            divided_at: now,
            origin_pause: Pause::default(),
            origin_failed_at: None,
            from_origin: 0,
            not_given: 0,
        }
    }

    /// Fetches until all pieces are here, or another version goes first. What
    /// is here of this one stays.
    pub async fn run(mut self) -> Ended {
        let mut fetches = FuturesUnordered::new();
        loop {
            if self.missing().is_empty() {
                self.log_fetched();
                return Ended::Fetched(Fetched {
                    wanted: self.wanted,
                    digests: self.digests,
                });
            }
            if self.is_overtaken() {
                return Ended::Overtaken;
            }
            if self.is_stuck() {
                return Ended::Stuck;
            }
            while let Some((piece, source)) = self.next(FETCHED_AT_ONCE) {
                self.under_way.insert(piece, source);
                let digest = self.digests.digests[piece as usize];
                fetches.push(bring_piece(
                    self.node.clone(),
                    self.wanted.clone(),
                    piece,
                    source,
                    digest,
                ));
            }
            tokio::select! {
                Some((piece, source, brought)) = fetches.next() => {
                    self.under_way.remove(&piece);
                    self.note(piece, source, brought);
                }
                () = self.node.offered.notified() => {}
                () = tokio::time::sleep(LOOK_EVERY) => {}
            }
        }
    }

    fn note(&mut self, piece: u32, source: Source, brought: Brought) {
        let now = self.node.clock.now();
        let is_here = brought == Brought::Yes;
        match source {
            Source::Origin(_) => {
                self.from_origin += 1;
                self.origin_pause.note(now, is_here, rand::random());
                self.origin_failed_at = Some(now).filter(|_| !is_here);
            }
            Source::Agent(address) if brought == Brought::Unreachable => {
                offers(&self.node).forget(address);
            }
            Source::Agent(_) => {}
        }
        if !is_here {
            self.not_given += 1;
            self.resting.insert((piece, source), now + SOURCE_REST_MS);
            return;
        }
        if now.since(self.progress_at) >= STALL_MS {
            self.divided_at = now;
        }
        self.progress_at = now;
        let spread = &self.membership.spread;
        offers::pass_on(&self.node, spread, &self.wanted, Offer::Piece(piece));
        self.node.news.notify_waiters();
    }

    /// Whether a newer version is wanted and little of this one is here, or
    /// nothing more of it comes.
    fn is_overtaken(&self) -> bool {
        // An engine that was silent at first may hold the version after all.
        if let Held::Version(version) = held_version(&self.node, &self.wanted.model)
            && version >= self.wanted.version
        {
            return true;
        }
        if wanted(&self.node).map(|now| now.version) == Some(self.wanted.version) {
            return false;
        }
        let pieces = self.wanted.model.pieces as usize;
        let held = pieces - self.missing().len();
        let is_little = (held as f64) < pieces as f64 * FINISHED_FROM_SHARE;
        (is_little && !self.is_fallback) || self.idle_ms() > self.patience.origin_ms * 2
    }

    /// Whether nothing comes and an older version can be had.
    fn is_stuck(&self) -> bool {
        let is_idle = self.idle_ms() > self.patience.origin_ms;
        is_idle && !self.is_fallback && fallback_of(&self.node, &self.wanted).is_some()
    }

    fn idle_ms(&self) -> u64 {
        self.node.clock.now().since(self.progress_at)
    }

    fn log_fetched(&self) {
        log::info!(
            event = "weights_fetched",
            version = self.wanted.version,
            took_ms = self.node.clock.now().since(self.began_at),
            from_origin = self.from_origin,
            not_given = self.not_given;
            ""
        );
    }

    /// Pieces that are not here.
    pub(super) fn missing(&self) -> Vec<u32> {
        pieces::missing(&self.node, &self.wanted.model, self.wanted.version)
    }
}
