//! Retrieves the digests of a version from another agent or the origin.

use crate::agent::calls::{CallLimits, MAX_ACKNOWLEDGEMENT_BYTES, call_once};
use crate::agent::choice::members;
use crate::agent::offers;
use crate::agent::update_loop::WantedVersion;
use crate::interface::PieceDigests;
use crate::node::Node;
use crate::peer::{CatalogOrigin, Offer, SharedDigests};
use crate::view::View;
use moleroad_directory::prelude::*;
use moleroad_rollout::prelude::*;
use moleroad_types::prelude::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a digests request.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of digests requests to the origin without a pause.
const MAX_READS_AT_A_TIME: u32 = 4;
/// Largest text of one digest in an answer, in bytes.
const MAX_DIGEST_BYTES: usize = 128;

/// What this agent knows of the origin's answers to digests requests.
#[derive(Default)]
pub struct OriginDigests {
    backoff: Backoff,
    reads: AgreedReads<PieceDigests>,
}

/// Returns the digests of a version. They are requested from an agent that has
/// them, or from the origin if this agent is responsible for that or no other
/// agent has had them for `idle_ms`.
pub async fn digests(
    node: &Arc<Node>,
    wanted: &WantedVersion,
    idle_ms: u64,
    from_origin: &mut OriginDigests,
) -> Option<PieceDigests> {
    let model = &wanted.model.model;
    if let Some(digests) = node.cached_digests(model, wanted.version) {
        return piece_digests(wanted, SharedDigests(digests));
    }
    let (holders, is_responsible, origins) = digest_sources(node, wanted, idle_ms);
    let mut holder_result = DigestQueryResult::NoHolderReached;
    let random = rand::random::<u32>() as usize;
    if let Some(holder) = holders.get(random % holders.len().max(1)) {
        let (model, version) = (wanted.model.model.clone(), wanted.version);
        let call = |client: crate::peer::PeerClient, context| async move {
            client.digests(context, model, version).await
        };
        match node.peers.call(*holder, DIGESTS_TIMEOUT, call).await {
            Ok(Some(shared)) => return store_and_forward(node, wanted, shared),
            Ok(None) if holds_pieces(node, *holder, wanted) => {
                holder_result = DigestQueryResult::PiecesOnly
            }
            Ok(None) | Err(_) => {}
        }
    }
    let may_ask_origin = may_ask_origin_for_digests(is_responsible, holder_result)
        && !from_origin.backoff.is_active(node.clock.now());
    for origin in origins.iter().filter(|_| may_ask_origin) {
        if let Some(digests) = from_origin.read(node, wanted, origin.address).await {
            return store_and_forward(node, wanted, SharedDigests(digests.digests));
        }
    }
    None
}

impl OriginDigests {
    /// Requests the digests from the origin until two answers agree, which carry no checksum
    /// of their own.
    async fn read(
        &mut self,
        node: &Node,
        wanted: &WantedVersion,
        origin: SocketAddr,
    ) -> Option<PieceDigests> {
        for _ in 0..MAX_READS_AT_A_TIME {
            let read = request_digests(node, wanted, origin).await;
            let is_read = read.is_some();
            self.backoff
                .record_result(node.clock.now(), is_read, rand::random());
            let digests = read?;
            if let Some(agreed) = self.reads.add(digests) {
                return Some(agreed);
            }
        }
        log::info!(event = "digests_differ", version = wanted.version; "");
        node.metrics.count("digests_differ");
        None
    }
}

/// Requests the digests of a version from the origin.
async fn request_digests(
    node: &Node,
    wanted: &WantedVersion,
    origin: SocketAddr,
) -> Option<PieceDigests> {
    let model = &wanted.model;
    let request = node.interface.request_digests(&model.model, wanted.version);
    let limits = digest_limits(wanted);
    let (status, body) = call_once(node, origin, request, limits).await.ok()?;
    let digests = node.interface.read_digests(&body).filter(|digests| {
        digests.version == wanted.version && digests.digests.len() == model.pieces as usize
    });
    digests.filter(|_| status.is_success())
}

/// Returns the limits of the origin's answer to a digests request.
fn digest_limits(wanted: &WantedVersion) -> CallLimits {
    CallLimits {
        timeout: DIGESTS_TIMEOUT,
        max_bytes: MAX_ACKNOWLEDGEMENT_BYTES + wanted.model.pieces as usize * MAX_DIGEST_BYTES,
    }
}

/// Returns whether the agent at `address` has pieces of the version.
fn holds_pieces(node: &Node, address: SocketAddr, wanted: &WantedVersion) -> bool {
    let view = node.view();
    let mut daemons = view.directory.daemons();
    let holder = daemons.find(|observed| observed.record.peer == address);
    let map = holder.and_then(|observed| {
        observed
            .record
            .pieces_of(&wanted.model.model, wanted.version)
    });
    map.is_some_and(|map| map.count() > 0)
}

/// Returns the digests of a version, or `None` if their number differs from the
/// number of its pieces.
pub fn piece_digests(wanted: &WantedVersion, shared: SharedDigests) -> Option<PieceDigests> {
    let is_complete = shared.0.len() == wanted.model.pieces as usize;
    is_complete.then_some(PieceDigests {
        version: wanted.version,
        digests: shared.0,
    })
}

/// Stores new digests and forwards them to the agents below this one.
fn store_and_forward(
    node: &Arc<Node>,
    wanted: &WantedVersion,
    shared: SharedDigests,
) -> Option<PieceDigests> {
    let digests = piece_digests(wanted, shared)?;
    node.cache_digests(&wanted.model.model, &digests);
    let trees = Arc::new(trees_of(node, wanted));
    let offer = Offer::Digests(SharedDigests(digests.digests.clone()));
    offers::forward_to_children(node, &trees, wanted, offer);
    Some(digests)
}

/// Returns the distribution trees of a version's parts over the agents known
/// now.
pub fn trees_of(node: &Node, wanted: &WantedVersion) -> DistributionTrees {
    let view = node.view();
    let others = live_agents(&view, node.clock.now());
    let members = members(&view.own, &others, wanted);
    let region = origin_region(node, &view);
    let parts = wanted.model.parts();
    DistributionTrees::new(&view.own.instance, &members, region.as_deref(), parts)
}

fn digest_sources(
    node: &Node,
    wanted: &WantedVersion,
    idle_ms: u64,
) -> (Vec<SocketAddr>, bool, Vec<CatalogOrigin>) {
    let trees = trees_of(node, wanted);
    let timeouts = TakeoverTimeouts::for_pieces(wanted.model.piece_bytes, node.settings.link_mbps);
    let allowed = trees.allowed_sources(wanted.model.digests_part(), timeouts, idle_ms);
    let view = node.view();
    let own = &view.own;
    let others = live_agents(&view, node.clock.now());
    let has_digests = |other: &&&DaemonRecord| {
        let map = other.pieces_of(&wanted.model.model, wanted.version);
        map.is_some()
    };
    let mut holders: Vec<&&DaemonRecord> = others.iter().filter(has_digests).collect();
    if holders.iter().any(|holder| holder.region == own.region) {
        holders.retain(|holder| holder.region == own.region);
    }
    let holders = holders.into_iter().map(|holder| holder.peer).collect();
    (holders, allowed.from_origin, view.catalog.origins.clone())
}

/// Returns the region of the origin, if it is known.
pub fn origin_region(node: &Node, view: &View) -> Option<String> {
    let origin = view.catalog.origins.first()?;
    let hall = origin.hall.as_ref()?;
    Some(node.settings.region_of(hall).to_string())
}

/// Time without an update from an agent after which it counts as unreachable,
/// in milliseconds.
const AGENT_TIMEOUT_MS: u64 = 3_000;

/// Returns the other agents of the same service from which an update arrived
/// recently.
pub fn live_agents(view: &View, now: Millis) -> Vec<&DaemonRecord> {
    let own = &view.own;
    let is_live_agent = |observed: &&Observed<DaemonRecord>| {
        let other = &observed.record;
        other.role == DaemonRole::Agent
            && other.service == own.service
            && other.instance != own.instance
            && now.since(observed.last_seen) < AGENT_TIMEOUT_MS
    };
    let live_agents = view.directory.daemons().filter(is_live_agent);
    live_agents.map(|observed| &observed.record).collect()
}
