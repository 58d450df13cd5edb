//! Fetching the pieces of one version into memory, checked one by one.
//!
//! The module `sources` says which piece is next and from whom, `transfer` brings it.

mod sources;
mod transfer;

pub use sources::members;

use crate::agent::bring::{LOOK_EVERY, Wanted, fallback_of, wanted};
use crate::agent::{pieces, watch};
use crate::interface::PieceDigests;
use crate::node::Node;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use transfer::bring_piece;

/// Pieces fetched at once while the engine serves: what comes together waits
/// for the link, and requests wait behind it.
const FETCHED_AT_ONCE_SERVING: usize = 4;
/// The same while the engine serves nothing.
const FETCHED_AT_ONCE_IDLE: usize = 6;
/// How long a source that did not give a piece is not asked for it again, in
/// milliseconds.
const SOURCE_REST_MS: u64 = 80;
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

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Source {
    Agent { address: SocketAddr, is_far: bool },
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
    node: Arc<Node>,
    wanted: Wanted,
    /// Whether it stands in for a newer version that does not come.
    is_fallback: bool,
    digests: PieceDigests,
    patience: Patience,
    under_way: HashMap<u32, Source>,
    resting: HashMap<(u32, Source), Millis>,
    progress_at: Millis,
    began_at: Millis,
    origin_pause: Pause,
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
        Self {
            node: node.clone(),
            wanted: wanted.clone(),
            is_fallback,
            digests,
            patience: Patience::for_pieces(model.piece_bytes, node.settings.link_mbps),
            under_way: HashMap::new(),
            resting: HashMap::new(),
            progress_at: node.clock.now(),
            began_at: node.clock.now(),
            origin_pause: Pause::default(),
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
            let at_once = if watch::serves(&self.node) {
                FETCHED_AT_ONCE_SERVING
            } else {
                FETCHED_AT_ONCE_IDLE
            };
            while fetches.len() < at_once {
                let Some((piece, source)) = self.next() else {
                    break;
                };
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
            if fetches.is_empty() {
                tokio::time::sleep(LOOK_EVERY).await;
                continue;
            }
            let ended = tokio::time::timeout(LOOK_EVERY, fetches.next()).await;
            if let Ok(Some((piece, source, brought))) = ended {
                self.under_way.remove(&piece);
                self.note(piece, source, brought);
            }
        }
    }

    fn note(&mut self, piece: u32, source: Source, brought: bool) {
        let now = self.node.clock.now();
        if let Source::Origin(_) = source {
            self.from_origin += 1;
            self.origin_pause.note(now, brought, rand::random());
        }
        if !brought {
            self.not_given += 1;
            self.resting.insert((piece, source), now + SOURCE_REST_MS);
            return;
        }
        self.progress_at = now;
        self.node.news.notify_waiters();
    }

    /// Whether a newer version is wanted and little of this one is here, or
    /// nothing more of it comes.
    fn is_overtaken(&self) -> bool {
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

    fn missing(&self) -> Vec<u32> {
        pieces::missing(&self.node, &self.wanted.model, self.wanted.version)
    }
}
