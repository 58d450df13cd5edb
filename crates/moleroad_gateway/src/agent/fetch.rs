//! Fetching the pieces of one version into memory, checked one by one.

use crate::agent::bring::{LOOK_EVERY, Wanted, fallback_of};
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
/// About the longest pause of an agent that the origin refused, in milliseconds:
/// only the first agents of missing pieces ask, and all wait for these pieces.
const LONGEST_ORIGIN_PAUSE_MS: u64 = 400;
/// How long a source that did not give a piece is not asked for it again, in
/// milliseconds.
const SOURCE_REST_MS: u64 = 40;

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
    pub(super) is_fallback: bool,
    digests: PieceDigests,
    pub(super) membership: Membership,
    pub(super) patience: TakeoverTimeouts,
    /// When others were last told that a piece is drawn here.
    announced: HashMap<u32, Millis>,
    /// Pieces that were asked for, and whom.
    pub(super) under_way: HashMap<u32, Source>,
    /// Until when a source is not asked for a piece again.
    pub(super) resting: HashMap<(u32, Source), Millis>,
    /// Since when agents of other regions are known to have a piece.
    pub(super) far_known_at: HashMap<u32, Millis>,
    /// When a piece last came.
    progress_at: Millis,
    began_at: Millis,
    /// When the division of work began: with the news of the version, with the
    /// fetch, or when pieces came again after a stall.
    pub(super) divided_at: Millis,
    /// The pieces that were divided then.
    pub(super) turns: OriginSchedule,
    pub(super) origin_pause: Backoff,
    /// When the origin last gave nothing.
    pub(super) origin_failed_at: Option<Millis>,
    from_origin: u32,
    not_given: u32,
    /// Whether nothing came for a while when last looked.
    stood_still: bool,
}

/// Age of a version up to which its agents count the turns at the origin from
/// its naming, in milliseconds: they all hear of it within 0.4 s.
const NAMED_LATELY_MS: u64 = 1_000;
/// Time after a version was named at which the first pieces can leave the
/// origin, in milliseconds.
const FIRST_PIECES_MS: u64 = 100;

/// Since when the pieces of a version have their turns at the origin: all agents
/// count from the same moment where they know it, so that a copy leaves the
/// origin in the time that its link needs.
fn turns_from(node: &Node, wanted: &Wanted, now: Millis) -> Millis {
    let view = node.view();
    let named = view.named.get(&wanted.model.model);
    let named_at = named.and_then(|named| named.named_at(wanted.version));
    let lately = named_at.filter(|at| now.since(*at) < NAMED_LATELY_MS);
    lately.map_or(now, |at| (at + FIRST_PIECES_MS).min(now))
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
        let divided_at = turns_from(node, wanted, now);
        Self {
            node: node.clone(),
            wanted: wanted.clone(),
            is_fallback,
            digests,
            membership: Membership::new(&own),
            patience: TakeoverTimeouts::for_pieces(model.piece_bytes, node.settings.link_mbps),
            announced: HashMap::new(),
            under_way: HashMap::new(),
            resting: HashMap::new(),
            far_known_at: HashMap::new(),
            progress_at: now,
            began_at: now,
            divided_at,
            turns: OriginSchedule::all(),
            origin_pause: Backoff::with_max(LONGEST_ORIGIN_PAUSE_MS),
            origin_failed_at: None,
            from_origin: 0,
            not_given: 0,
            stood_still: false,
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
            self.note_standstill();
            if self.is_stuck() {
                return Ended::Stuck;
            }
            while let Some((piece, source)) = self.next(FETCHED_AT_ONCE) {
                self.under_way.insert(piece, source);
                if let Source::Origin(_) = source {
                    self.log_draw(piece);
                    self.announce(piece);
                }
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

    /// Says that this agent draws the piece from the origin, again and again
    /// while that is so.
    pub(super) fn announce(&mut self, piece: u32) {
        let now = self.node.clock.now();
        let last = self.announced.get(&piece);
        if last.is_some_and(|at| now.since(*at) < ANNOUNCE_EVERY_MS) {
            return;
        }
        self.announced.insert(piece, now);
        let spread = &self.membership.spread;
        let offer = Offer::Coming(piece);
        offers::tell_of_draw(&self.node, spread, &self.wanted, piece, offer);
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
            self.divide_anew(now, source);
        }
        self.progress_at = now;
        let spread = &self.membership.spread;
        let offer = Offer::Piece(piece);
        match source {
            Source::Agent(_) => offers::pass_on(&self.node, spread, &self.wanted, offer),
            Source::Origin(_) => {
                offers::tell_of_draw(&self.node, spread, &self.wanted, piece, offer);
            }
        }
        self.node.news.notify_waiters();
    }

    /// Pieces come again: those that are still missing are divided, and the
    /// origin is asked at once.
    fn divide_anew(&mut self, now: Millis, source: Source) {
        self.divided_at = now;
        self.turns = OriginSchedule::of_missing(&self.missing());
        self.origin_pause.end();
        // That another agent has pieces does not say that the origin gives them
        // to all: ranks still come back one after the other.
        if let Source::Origin(_) = source {
            self.origin_failed_at = None;
        }
    }

    /// Whether nothing comes and an older version can be had.
    fn is_stuck(&self) -> bool {
        let is_idle = self.idle_ms() > self.patience.origin_ms;
        is_idle && !self.is_fallback && fallback_of(&self.node, &self.wanted).is_some()
    }

    /// Logs once that nothing comes, and what is missing.
    fn note_standstill(&mut self) {
        let stands_still = self.idle_ms() >= STALL_MS;
        if stands_still && !self.stood_still {
            let missing = self.missing();
            log::info!(
                event = "weights_standstill",
                version = self.wanted.version,
                missing:? = missing,
                from_origin = self.from_origin,
                origin_failed_ms_ago = self
                    .origin_failed_at
                    .map_or(0, |at| self.node.clock.now().since(at));
                ""
            );
        }
        self.stood_still = stands_still;
    }

    pub(super) fn idle_ms(&self) -> u64 {
        self.node.clock.now().since(self.progress_at)
    }

    fn log_draw(&self, piece: u32) {
        let now = self.node.clock.now();
        let spread = &self.membership.spread;
        log::info!(
            event = "piece_drawn",
            version = self.wanted.version,
            piece = piece,
            rank = spread.rank(piece).unwrap_or(0) as u64,
            in_origin_region = spread.is_in_origin_region(),
            elapsed_ms = now.since(self.divided_at),
            announced_ms = self.announced_ms(now, piece).map_or(-1, |ms| ms as i64);
            ""
        );
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
