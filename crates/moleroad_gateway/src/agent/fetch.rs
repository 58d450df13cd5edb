//! Fetching the pieces of one version into memory, checked one by one.

use crate::agent::bring::{LOOK_EVERY, Wanted, fallback_of, wanted};
use crate::agent::calls::call_once;
use crate::agent::digests::{fellows, origin_region};
use crate::agent::{change, pieces};
use crate::interface::PieceDigests;
use crate::node::Node;
use crate::peer::CatalogOrigin;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Pieces fetched at once.
const FETCHED_AT_ONCE: usize = 4;
/// Time for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2_500);
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
    Agent(SocketAddr),
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
            while fetches.len() < FETCHED_AT_ONCE {
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

    /// The next piece to fetch and where from.
    fn next(&mut self) -> Option<(u32, Source)> {
        let now = self.node.clock.now();
        let missing = self.missing();
        let view = self.node.view();
        let idle_ms = self.waited_ms(now, &view.catalog.origins);
        let own = &view.own;
        let others = fellows(&view, now);
        let members = members(own, &others, &self.wanted);
        let origin_region = origin_region(&self.node, &view);
        let origins = self.free_origins(&view.catalog.origins, members.len());
        // Another start in each agent, so that agents of a region bring
        // different pieces first.
        let offset = own.incarnation as usize;
        let count = missing.len();
        let mut best: Option<(u32, Source, u32)> = None;
        for at in 0..count {
            let piece = missing[(at + offset) % count];
            if self.under_way.contains_key(&piece) {
                continue;
            }
            let allowed = permission(
                &own.instance,
                &members,
                origin_region.as_deref(),
                piece,
                self.patience,
                idle_ms,
            );
            let sources = self.sources(now, own, &others, &origins, piece, allowed);
            if let Some((source, rank)) = sources
                && best.as_ref().is_none_or(|(_, _, known)| rank < *known)
            {
                best = Some((piece, source, rank));
            }
        }
        best.map(|(piece, source, _)| (piece, source))
    }

    /// How long nothing came, or the missing pieces are overdue: other agents
    /// that should bring them may have stopped while the rest goes on.
    fn waited_ms(&self, now: Millis, origins: &[CatalogOrigin]) -> u64 {
        let model = &self.wanted.model;
        let bytes = u64::from(model.pieces) * model.piece_bytes;
        let fastest = origins.iter().map(|origin| origin.link_kbps).max();
        let idle_ms = now.since(self.progress_at);
        match fastest.filter(|kbps| *kbps > 0) {
            None => idle_ms,
            Some(kbps) => {
                let overdue_ms = now.since(self.began_at + copy_ms(bytes, kbps));
                idle_ms.max(overdue_ms)
            }
        }
    }

    /// Whether a piece is under way from another region: one at a time, since
    /// requests share the links between regions.
    fn crosses_regions(&self, others: &[&DaemonRecord]) -> bool {
        let own_region = &self.node.settings.region;
        let is_far = |source: &Source| {
            let far = others.iter().filter(|other| other.region != *own_region);
            far.into_iter()
                .any(|other| Source::Agent(other.peer) == *source)
        };
        self.under_way.values().any(is_far)
    }

    /// Origins that take another connection from this agent.
    fn free_origins(&self, origins: &[CatalogOrigin], agents: usize) -> Vec<SocketAddr> {
        let has_room = |origin: &&CatalogOrigin| {
            let source = Source::Origin(origin.address);
            let used = self.under_way.values().filter(|s| **s == source).count();
            let share = origin.max_connections as usize / (agents * 2).max(1);
            origin.max_connections == 0 || used < share.max(1)
        };
        let free = origins.iter().filter(has_room);
        free.map(|origin| origin.address).collect()
    }

    /// The best source of a piece and its rank; the lowest rank is fetched
    /// first: what others wait for, then what is rare.
    fn sources(
        &self,
        now: Millis,
        own: &DaemonRecord,
        others: &[&DaemonRecord],
        origins: &[SocketAddr],
        piece: u32,
        allowed: Permission,
    ) -> Option<(Source, u32)> {
        let rests = |source: Source| {
            let until = self.resting.get(&(piece, source));
            until.is_some_and(|until| now < *until)
        };
        let holds = |other: &&&DaemonRecord| {
            let map = other.pieces_of(&self.wanted.model.model, self.wanted.version);
            map.is_some_and(|map| map.has(piece)) && !rests(Source::Agent(other.peer))
        };
        let holders: Vec<&&DaemonRecord> = others.iter().filter(holds).collect();
        let near: Vec<_> = holders.iter().filter(|o| o.region == own.region).collect();
        let draw = rand::random::<u32>() as usize;
        if !near.is_empty() {
            let rank = 100 + near.len() as u32;
            return Some((Source::Agent(near[draw % near.len()].peer), rank));
        }
        if allowed.across_regions && !holders.is_empty() && !self.crosses_regions(others) {
            return Some((Source::Agent(holders[draw % holders.len()].peer), 1));
        }
        if allowed.from_origin && !self.origin_pause.lasts(now) {
            let free = origins.iter().map(|origin| Source::Origin(*origin));
            return free.filter(|s| !rests(*s)).map(|source| (source, 0)).next();
        }
        None
    }
}

/// Agents that want the version or have it.
pub fn members(own: &DaemonRecord, others: &[&DaemonRecord], wanted: &Wanted) -> Vec<Member> {
    let takes_part = |other: &&&DaemonRecord| {
        other.state != DaemonState::Leaving
            && other.report.is_some()
            // One that begins has no pieces yet.
            && (other.pieces.is_empty()
                || other.pieces.iter().any(|map| map.version <= wanted.version))
    };
    let member = |instance: &InstanceId, region: &str| Member {
        instance: instance.clone(),
        region: region.to_string(),
    };
    let others = others.iter().filter(takes_part);
    let mut members: Vec<Member> = others.map(|o| member(&o.instance, &o.region)).collect();
    members.push(member(&own.instance, &own.region));
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}

async fn bring_piece(
    node: Arc<Node>,
    wanted: Wanted,
    piece: u32,
    source: Source,
    digest: [u8; 32],
) -> (u32, Source, bool) {
    let bytes = match source {
        Source::Agent(address) => from_agent(&node, address, &wanted, piece).await,
        Source::Origin(address) => from_origin(&node, address, &wanted, piece).await,
    };
    let Some(bytes) = bytes else {
        node.metrics.count("piece_not_given");
        return (piece, source, false);
    };
    if Sha256::digest(&bytes).as_slice() != digest {
        node.metrics.count("piece_spoilt");
        log::info!(event = "piece_spoilt", piece = piece, source:? = source; "");
        return (piece, source, false);
    }
    node.metrics.count(match source {
        Source::Agent(_) => "piece_from_agent",
        Source::Origin(_) => "piece_from_origin",
    });
    pieces::keep(&node, &wanted.model, wanted.version, piece, bytes.clone());
    // The engine's store is free unless it is left to an earlier version.
    if pieces::taking(&node).is_none() {
        pieces::begin_staging(&node, wanted.version);
        change::stage_piece(&node, &wanted, piece, &bytes).await;
    }
    (piece, source, true)
}

async fn from_agent(
    node: &Node,
    address: SocketAddr,
    wanted: &Wanted,
    piece: u32,
) -> Option<Bytes> {
    let (model, version) = (wanted.model.model.clone(), wanted.version);
    let call = |client: crate::peer::PeerClient, context| async move {
        client.piece(context, model, version, piece).await
    };
    let given = node.peers.call(address, PIECE_TIMEOUT, call).await;
    given
        .ok()
        .flatten()
        .map(|bytes| Bytes::from(bytes.into_vec()))
}

async fn from_origin(
    node: &Node,
    address: SocketAddr,
    wanted: &Wanted,
    piece: u32,
) -> Option<Bytes> {
    let asked = node
        .interface
        .ask_piece(&wanted.model.model, wanted.version, piece);
    let (status, bytes) = call_once(node, address, asked, PIECE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}
