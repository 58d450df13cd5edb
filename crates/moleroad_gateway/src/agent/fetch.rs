//! Fetches the pieces of one version into memory and verifies each.

use crate::agent::choice::Membership;
use crate::agent::offers::{self, offers};
use crate::agent::pieces;
use crate::agent::transfer::{TransferResult, transfer_piece};
use crate::agent::update_loop::{CHECK_INTERVAL, WantedVersion, fallback_of};
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

/// Maximum number of pieces that are fetched from other agents at the same
/// time. Pieces from the origin are not counted.
const MAX_CONCURRENT_FETCHES: usize = 4;
/// Approximate longest backoff after a refusal by the origin, in milliseconds.
/// Short, since only the first agents in the trees of missing pieces ask the
/// origin, and all agents wait for these pieces.
const MAX_ORIGIN_BACKOFF_MS: u64 = 400;
/// Time for which a source that did not provide a piece is not asked for it
/// again, in milliseconds.
const SOURCE_BACKOFF_MS: u64 = 40;

/// A version that was fetched completely.
pub struct Fetched {
    /// The version.
    pub wanted: WantedVersion,
    /// Digests of its pieces.
    pub digests: PieceDigests,
}

/// Source of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PieceSource {
    /// Another agent, by its peer address.
    Agent(SocketAddr),
    /// The origin, by its address.
    Origin(SocketAddr),
}

/// Outcome of a fetch.
pub enum FetchOutcome {
    /// All pieces were fetched.
    Fetched(Fetched),
    /// The version was abandoned for a newer one.
    Superseded,
    /// No pieces arrive, and an older version is available.
    Stalled,
}

/// The fetch of one version.
pub struct Fetch {
    pub(super) node: Arc<Node>,
    pub(super) wanted: WantedVersion,
    /// Whether the version is a fallback for a newer one that is unavailable.
    pub(super) is_fallback: bool,
    digests: PieceDigests,
    pub(super) membership: Membership,
    pub(super) timeouts: TakeoverTimeouts,
    /// When this agent last announced that it fetches a piece from the origin.
    announced: HashMap<u32, Millis>,
    /// Pieces that are being fetched, and their sources.
    pub(super) in_flight: HashMap<u32, PieceSource>,
    /// End of the backoff for each piece and source.
    pub(super) source_backoffs: HashMap<(u32, PieceSource), Millis>,
    /// When agents of other regions first became known to have a piece.
    pub(super) far_holders_known_at: HashMap<u32, Millis>,
    /// When the last piece arrived.
    last_piece_at: Millis,
    started_at: Millis,
    /// Start of the current schedule at the origin: shortly after the version
    /// was named, with the fetch, or when pieces arrived again after a stall.
    pub(super) schedule_started_at: Millis,
    /// Order in which pieces are requested from the origin.
    pub(super) schedule: OriginSchedule,
    pub(super) origin_backoff: Backoff,
    /// When the origin last failed to provide a piece, unless it has provided
    /// one since.
    pub(super) origin_failed_at: Option<Millis>,
    from_origin: u32,
    not_provided: u32,
    /// Whether the fetch was stalled at the last check.
    was_stalled: bool,
}

/// Age of a version up to which the schedule at the origin starts with its
/// naming, in milliseconds. All agents learn of a version within 0.4 s.
const RECENTLY_NAMED_MS: u64 = 1_000;
/// Time from the naming of a version until the first pieces can leave the
/// origin, in milliseconds.
const FIRST_PIECES_DELAY_MS: u64 = 100;

/// Returns the start of a version's schedule at the origin. All agents that
/// know when the version was named start at the same moment, so that a copy
/// leaves the origin in the time that its link needs.
fn schedule_start(node: &Node, wanted: &WantedVersion, now: Millis) -> Millis {
    let view = node.view();
    let named = view.named.get(&wanted.model.model);
    let named_at = named.and_then(|named| named.named_at(wanted.version));
    let recently_named_at = named_at.filter(|at| now.since(*at) < RECENTLY_NAMED_MS);
    recently_named_at.map_or(now, |at| (at + FIRST_PIECES_DELAY_MS).min(now))
}

impl Fetch {
    /// Creates a fetch of the pieces that this agent does not have yet.
    pub fn new(
        node: &Arc<Node>,
        wanted: &WantedVersion,
        is_fallback: bool,
        digests: PieceDigests,
    ) -> Self {
        let model = &wanted.model;
        pieces::add_empty_map(node, model, wanted.version);
        log::info!(
            event = "weights_begin",
            model = model.model.as_str(),
            version = wanted.version;
            ""
        );
        let now = node.clock.now();
        let own = node.view().own.instance.clone();
        let schedule_started_at = schedule_start(node, wanted, now);
        Self {
            node: node.clone(),
            wanted: wanted.clone(),
            is_fallback,
            digests,
            membership: Membership::new(&own),
            timeouts: TakeoverTimeouts::for_pieces(model.piece_bytes, node.settings.link_mbps),
            announced: HashMap::new(),
            in_flight: HashMap::new(),
            source_backoffs: HashMap::new(),
            far_holders_known_at: HashMap::new(),
            last_piece_at: now,
            started_at: now,
            schedule_started_at,
            schedule: OriginSchedule::all(),
            origin_backoff: Backoff::with_max(MAX_ORIGIN_BACKOFF_MS),
            origin_failed_at: None,
            from_origin: 0,
            not_provided: 0,
            was_stalled: false,
        }
    }

    /// Fetches until all pieces have arrived or the version is abandoned.
    /// Pieces that have arrived are kept in either case.
    pub async fn run(mut self) -> FetchOutcome {
        let mut fetches = FuturesUnordered::new();
        loop {
            if self.missing().is_empty() {
                self.log_fetched();
                return FetchOutcome::Fetched(Fetched {
                    wanted: self.wanted,
                    digests: self.digests,
                });
            }
            if self.is_superseded() {
                return FetchOutcome::Superseded;
            }
            self.log_stall();
            if self.should_fall_back() {
                return FetchOutcome::Stalled;
            }
            while let Some((piece, source)) = self.next_piece(MAX_CONCURRENT_FETCHES) {
                self.in_flight.insert(piece, source);
                if let PieceSource::Origin(_) = source {
                    self.log_origin_fetch(piece);
                    self.announce(piece);
                }
                let digest = self.digests.digests[piece as usize];
                fetches.push(transfer_piece(
                    self.node.clone(),
                    self.wanted.clone(),
                    piece,
                    source,
                    digest,
                ));
            }
            tokio::select! {
                Some((piece, source, result)) = fetches.next() => {
                    self.in_flight.remove(&piece);
                    self.record_result(piece, source, result);
                }
                () = self.node.offer_received.notified() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Announces that this agent fetches the piece from the origin. Called
    /// repeatedly while that lasts; sends one announcement per
    /// [`ANNOUNCE_EVERY_MS`] at most.
    pub(super) fn announce(&mut self, piece: u32) {
        let now = self.node.clock.now();
        let last = self.announced.get(&piece);
        if last.is_some_and(|at| now.since(*at) < ANNOUNCE_EVERY_MS) {
            return;
        }
        self.announced.insert(piece, now);
        let trees = &self.membership.trees;
        let offer = Offer::Coming(piece);
        offers::announce_origin_fetch(&self.node, trees, &self.wanted, piece, offer);
    }

    fn record_result(&mut self, piece: u32, source: PieceSource, result: TransferResult) {
        let now = self.node.clock.now();
        let is_here = result == TransferResult::Received;
        match source {
            PieceSource::Origin(_) => {
                self.from_origin += 1;
                self.origin_backoff
                    .record_result(now, is_here, rand::random());
                self.origin_failed_at = Some(now).filter(|_| !is_here);
            }
            PieceSource::Agent(address) if result == TransferResult::Unreachable => {
                offers(&self.node).forget(address);
            }
            PieceSource::Agent(_) => {}
        }
        if !is_here {
            self.not_provided += 1;
            self.source_backoffs
                .insert((piece, source), now + SOURCE_BACKOFF_MS);
            return;
        }
        if now.since(self.last_piece_at) >= STALL_MS {
            self.restart_schedule(now, source);
        }
        self.last_piece_at = now;
        let trees = &self.membership.trees;
        let offer = Offer::Piece(piece);
        match source {
            PieceSource::Agent(_) => {
                offers::forward_to_children(&self.node, trees, &self.wanted, offer)
            }
            PieceSource::Origin(_) => {
                offers::announce_origin_fetch(&self.node, trees, &self.wanted, piece, offer);
            }
        }
        self.node.state_changed.notify_waiters();
    }

    /// Restarts the schedule with the missing pieces when pieces arrive again
    /// after a stall, and ends the backoff of the origin.
    fn restart_schedule(&mut self, now: Millis, source: PieceSource) {
        self.schedule_started_at = now;
        self.schedule = OriginSchedule::of_missing(&self.missing());
        self.origin_backoff.reset();
        // A piece from another agent does not show that the origin serves all
        // agents again, so they still return to it in the order of their ranks.
        if let PieceSource::Origin(_) = source {
            self.origin_failed_at = None;
        }
    }

    /// Returns whether no pieces arrive and an older version is available.
    fn should_fall_back(&self) -> bool {
        let is_idle = self.idle_ms() > self.timeouts.origin_ms;
        is_idle && !self.is_fallback && fallback_of(&self.node, &self.wanted).is_some()
    }

    /// Logs the start of a stall and the missing pieces.
    fn log_stall(&mut self) {
        let is_stalled = self.idle_ms() >= STALL_MS;
        if is_stalled && !self.was_stalled {
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
        self.was_stalled = is_stalled;
    }

    pub(super) fn idle_ms(&self) -> u64 {
        self.node.clock.now().since(self.last_piece_at)
    }

    fn log_origin_fetch(&self, piece: u32) {
        let now = self.node.clock.now();
        let trees = &self.membership.trees;
        log::info!(
            event = "piece_drawn",
            version = self.wanted.version,
            piece = piece,
            rank = trees.rank(piece).unwrap_or(0) as u64,
            in_origin_region = trees.is_in_origin_region(),
            elapsed_ms = now.since(self.schedule_started_at),
            announced_ms = self.announced_ms(now, piece).map_or(-1, |ms| ms as i64);
            ""
        );
    }

    fn log_fetched(&self) {
        log::info!(
            event = "weights_fetched",
            version = self.wanted.version,
            took_ms = self.node.clock.now().since(self.started_at),
            from_origin = self.from_origin,
            not_given = self.not_provided;
            ""
        );
    }

    /// Returns the pieces that this agent does not have.
    pub(super) fn missing(&self) -> Vec<u32> {
        pieces::missing(&self.node, &self.wanted.model, self.wanted.version)
    }
}
