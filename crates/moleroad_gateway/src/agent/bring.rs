//! Fetching the pieces of the wanted version and staging them at the engine.

use crate::agent::calls::call;
use crate::agent::change;
use crate::interface::PieceDigests;
use crate::node::Node;
use crate::peer::{CatalogModel, CatalogOrigin};
use crate::view::View;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use moleroad_directory::prelude::*;
use moleroad_directory::target::whole_version;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::{InstanceId, Millis};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at what is wanted.
const LOOK_EVERY: Duration = Duration::from_millis(40);
/// Pieces fetched at once.
const FETCHED_AT_ONCE: usize = 4;
/// Time for the digests of a version.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for a piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for the engine's store to take a piece.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a source that did not give a piece is not asked for it again, in
/// milliseconds.
const SOURCE_REST_MS: u64 = 80;
/// The version of a model before any is named.
const FIRST_VERSION: u64 = 1;

/// One version that is wanted here.
#[derive(Clone, Debug, PartialEq)]
pub struct Wanted {
    /// The model.
    pub model: CatalogModel,
    /// Its version.
    pub version: u64,
    /// Since when the engine lacks a version that was named, as far as known.
    pub named_at: Option<Millis>,
}

/// Brings what is wanted until the process ends.
pub async fn bring(node: Arc<Node>) {
    let mut missed: Option<(u64, Millis)> = None;
    loop {
        if let Some(wanted) = wanted(&node) {
            match held_version(&node, &wanted.model) {
                Held::Version(version) if version >= wanted.version => {
                    offer_held(&node, &wanted.model, version);
                }
                Held::Version(_) | Held::Nothing => {
                    let now = node.clock.now();
                    let same = missed.filter(|(version, _)| *version == wanted.version);
                    let (_, since) = *missed.insert(same.unwrap_or((wanted.version, now)));
                    if let Some(digests) = digests(&node, &wanted, now.since(since)).await {
                        bring_version(&node, &wanted, digests).await;
                        missed = None;
                    }
                }
                Held::Unknown => {}
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// The version that the engine should hold.
pub fn wanted(node: &Node) -> Option<Wanted> {
    let view = node.view();
    let service = node.settings.service.as_ref()?;
    let mut models = view.catalog.models.iter();
    let model = models.find(|model| model.service == *service)?;
    if model.pieces == 0 {
        return None;
    }
    let named = view.named.get(&model.model);
    let report = view.own.report.as_ref();
    let held =
        report.and_then(|report| whole_version(&report.holdings, &model.model, model.layers));
    Some(Wanted {
        model: model.clone(),
        version: named
            .and_then(|named| named.newest())
            .unwrap_or(FIRST_VERSION),
        named_at: named.and_then(|named| named.waiting_since(held.unwrap_or(0))),
    })
}

/// What the engine holds of a model.
pub enum Held {
    /// The engine was not read yet, or does not answer.
    Unknown,
    /// No version whole.
    Nothing,
    /// A version whole.
    Version(u64),
}

/// What the engine holds of `model`.
pub fn held_version(node: &Node, model: &CatalogModel) -> Held {
    let view = node.view();
    match &view.own.report {
        None => Held::Unknown,
        Some(report) => match whole_version(&report.holdings, &model.model, model.layers) {
            Some(version) => Held::Version(version),
            None => Held::Nothing,
        },
    }
}

/// An engine that holds a version has its pieces in store too, unless they
/// turned bad or were lost: whoever takes one checks it.
fn offer_held(node: &Node, model: &CatalogModel, version: u64) {
    let mut view = node.view();
    let known = view.own.pieces.as_ref();
    if known.is_some_and(|map| map.model == model.model && map.version >= version) {
        return;
    }
    let mut map = PieceMap::empty(model.model.as_str(), version, model.pieces);
    for piece in 0..model.pieces {
        map.set(piece, true);
    }
    view.own.pieces = Some(map);
    view.own.sequence += 1;
}

async fn bring_version(node: &Arc<Node>, wanted: &Wanted, digests: PieceDigests) {
    log::info!(
        event = "weights_begin",
        model = wanted.model.model.as_str(),
        version = wanted.version;
        ""
    );
    let mut fetch = Fetch::new(node, wanted, digests);
    loop {
        if !fetch.run().await {
            return;
        }
        match change::change(node, wanted, &fetch.digests).await {
            change::Changed::Done => {
                log::info!(
                    event = "weights_served",
                    model = wanted.model.model.as_str(),
                    version = wanted.version,
                    since_named_ms = wanted.named_at.map_or(0, |at| node.clock.now().since(at));
                    ""
                );
                return;
            }
            change::Changed::BadPieces(pieces) => fetch.drop_pieces(&pieces),
            change::Changed::Overtaken => return,
        }
    }
}

/// The digests of a version: from an agent that has them, or, when it is this
/// agent's part or nobody has them for a while, from the origin.
async fn digests(node: &Node, wanted: &Wanted, idle_ms: u64) -> Option<PieceDigests> {
    let (holders, may_ask_origin, origins) = digest_sources(node, wanted, idle_ms);
    let draw = rand::random::<u32>() as usize;
    if let Some(holder) = holders.get(draw % holders.len().max(1)) {
        let (model, version) = (wanted.model.model.clone(), wanted.version);
        let call = |client: crate::peer::PeerClient, context| async move {
            client.digests(context, model, version).await
        };
        let shared = node.peers.call(*holder, DIGESTS_TIMEOUT, call).await;
        if let Ok(Some(shared)) = shared {
            let digests = PieceDigests {
                version: wanted.version,
                digests: shared.0,
            };
            return checked(node, wanted, digests);
        }
    }
    for origin in origins.iter().filter(|_| may_ask_origin) {
        let asked = node
            .interface
            .ask_digests(&wanted.model.model, wanted.version);
        let answer = call(node, origin.address, asked, DIGESTS_TIMEOUT).await;
        if let Some((status, body)) = answer
            && status.is_success()
            && let Some(digests) = node.interface.read_digests(&body)
        {
            return checked(node, wanted, digests);
        }
    }
    None
}

fn checked(node: &Node, wanted: &Wanted, digests: PieceDigests) -> Option<PieceDigests> {
    let complete = digests.digests.len() == wanted.model.pieces as usize;
    if !complete || digests.version != wanted.version {
        return None;
    }
    node.remember_digests(&wanted.model.model, &digests);
    Some(digests)
}

/// Stands for the digests among the pieces when agents share out the work.
const DIGESTS_AS_PIECE: u32 = u32::MAX;

fn digest_sources(
    node: &Node,
    wanted: &Wanted,
    idle_ms: u64,
) -> (Vec<SocketAddr>, bool, Vec<CatalogOrigin>) {
    let view = node.view();
    let own = &view.own;
    let others = fellows(&view);
    let members = members(own, &others, wanted);
    let region = origin_region(node, &view);
    let patience = Patience::for_pieces(wanted.model.piece_bytes, node.settings.link_mbps);
    let allowed = permission(
        &own.instance,
        &members,
        region.as_deref(),
        DIGESTS_AS_PIECE,
        patience,
        idle_ms,
    );
    let has_digests = |other: &&&DaemonRecord| {
        let map = other.pieces.as_ref();
        map.is_some_and(|map| map.model == wanted.model.model && map.version == wanted.version)
    };
    let mut holders: Vec<&&DaemonRecord> = others.iter().filter(has_digests).collect();
    if holders.iter().any(|holder| holder.region == own.region) {
        holders.retain(|holder| holder.region == own.region);
    }
    let holders = holders.into_iter().map(|holder| holder.peer).collect();
    (holders, allowed.from_origin, view.catalog.origins.clone())
}

fn origin_region(node: &Node, view: &View) -> Option<String> {
    let origin = view.catalog.origins.first()?;
    let hall = origin.hall.as_ref()?;
    Some(node.settings.region_of(hall).to_string())
}

/// The other agents that bring weights to engines of the same service.
fn fellows(view: &View) -> Vec<&DaemonRecord> {
    let own = &view.own;
    let records = view.directory.daemons().map(|heard| &heard.record);
    records
        .filter(|other| {
            other.role == DaemonRole::Agent
                && other.service == own.service
                && other.instance != own.instance
        })
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Source {
    Agent(SocketAddr),
    Origin(SocketAddr),
}

struct Fetch {
    node: Arc<Node>,
    wanted: Wanted,
    digests: PieceDigests,
    patience: Patience,
    under_way: HashMap<u32, Source>,
    resting: HashMap<(u32, Source), Millis>,
    progress_at: Millis,
    began_at: Millis,
    from_origin: u32,
    not_given: u32,
}

impl Fetch {
    fn new(node: &Arc<Node>, wanted: &Wanted, digests: PieceDigests) -> Self {
        let model = &wanted.model;
        let fresh = PieceMap::empty(model.model.as_str(), wanted.version, model.pieces);
        let mut view = node.view();
        let known = view.own.pieces.as_ref();
        if !known.is_some_and(|map| map.model == fresh.model && map.version == fresh.version) {
            view.own.pieces = Some(fresh);
            view.own.sequence += 1;
        }
        drop(view);
        Self {
            node: node.clone(),
            wanted: wanted.clone(),
            digests,
            patience: Patience::for_pieces(model.piece_bytes, node.settings.link_mbps),
            under_way: HashMap::new(),
            resting: HashMap::new(),
            progress_at: node.clock.now(),
            began_at: node.clock.now(),
            from_origin: 0,
            not_given: 0,
        }
    }

    /// Fetches until all pieces are staged; false when another version is
    /// wanted by now.
    async fn run(&mut self) -> bool {
        let mut fetches = FuturesUnordered::new();
        loop {
            if wanted(&self.node).map(|now| now.version) != Some(self.wanted.version) {
                return false;
            }
            if self.missing().is_empty() {
                self.log_staged();
                return true;
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
        }
        if !brought {
            self.not_given += 1;
            self.resting.insert((piece, source), now + SOURCE_REST_MS);
            return;
        }
        self.progress_at = now;
        let mut view = self.node.view();
        if let Some(map) = &mut view.own.pieces {
            map.set(piece, true);
        }
        drop(view);
        self.node.news.notify_waiters();
    }

    fn log_staged(&self) {
        log::info!(
            event = "weights_staged",
            version = self.wanted.version,
            took_ms = self.node.clock.now().since(self.began_at),
            from_origin = self.from_origin,
            not_given = self.not_given;
            ""
        );
    }

    fn drop_pieces(&mut self, pieces: &[u32]) {
        let mut view = self.node.view();
        if let Some(map) = &mut view.own.pieces {
            pieces.iter().for_each(|piece| map.set(*piece, false));
        }
    }

    fn missing(&self) -> Vec<u32> {
        let view = self.node.view();
        let map = view.own.pieces.as_ref();
        let has = |piece: &u32| map.is_some_and(|map| map.has(*piece));
        (0..self.wanted.model.pieces).filter(|p| !has(p)).collect()
    }

    /// The next piece to fetch and where from.
    fn next(&mut self) -> Option<(u32, Source)> {
        let now = self.node.clock.now();
        let idle_ms = now.since(self.progress_at);
        let missing = self.missing();
        let view = self.node.view();
        let own = &view.own;
        let others = fellows(&view);
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
            let map = other.pieces.as_ref();
            map.is_some_and(|map| {
                map.model == self.wanted.model.model
                    && map.version == self.wanted.version
                    && map.has(piece)
            }) && !rests(Source::Agent(other.peer))
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
        if allowed.from_origin {
            let free = origins.iter().map(|origin| Source::Origin(*origin));
            return free.filter(|s| !rests(*s)).map(|source| (source, 0)).next();
        }
        None
    }
}

/// Agents that want the version or have it.
fn members(own: &DaemonRecord, others: &[&DaemonRecord], wanted: &Wanted) -> Vec<Member> {
    let takes_part = |other: &&&DaemonRecord| {
        other.state != DaemonState::Leaving
            && other.report.is_some()
            && other
                .pieces
                .as_ref()
                .is_some_and(|map| map.version <= wanted.version)
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
    (piece, source, stage(&node, &wanted, piece, &bytes).await)
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
    let (status, bytes) = call(node, address, asked, PIECE_TIMEOUT).await?;
    status.is_success().then_some(bytes)
}

async fn stage(node: &Node, wanted: &Wanted, piece: u32, bytes: &Bytes) -> bool {
    let Some(engine) = node.settings.engine else {
        return false;
    };
    let put = node
        .interface
        .put_staged(&wanted.model.model, piece, bytes.to_vec());
    let stored = call(node, engine, put, STORE_TIMEOUT).await;
    stored.is_some_and(|(status, _)| status.is_success())
}
