//! The digests of a version, from another agent or the origin.

use crate::agent::bring::Wanted;
use crate::agent::calls::call_once;
use crate::agent::choice::members;
use crate::agent::offers;
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

/// Time for the digests of a version.
const DIGESTS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The digests of a version: from an agent that has them, or, when it is this
/// agent's part or nobody has them for a while, from the origin.
pub async fn digests(
    node: &Arc<Node>,
    wanted: &Wanted,
    idle_ms: u64,
    origin_pause: &mut Backoff,
) -> Option<PieceDigests> {
    let model = &wanted.model.model;
    if let Some(digests) = node.cached_digests(model, wanted.version) {
        return piece_digests(wanted, SharedDigests(digests));
    }
    let (holders, is_own_turn, origins) = digest_sources(node, wanted, idle_ms);
    let mut asked = DigestQueryResult::NoHolderReached;
    let draw = rand::random::<u32>() as usize;
    if let Some(holder) = holders.get(draw % holders.len().max(1)) {
        let (model, version) = (wanted.model.model.clone(), wanted.version);
        let call = |client: crate::peer::PeerClient, context| async move {
            client.digests(context, model, version).await
        };
        match node.peers.call(*holder, DIGESTS_TIMEOUT, call).await {
            Ok(Some(shared)) => return learned(node, wanted, shared),
            Ok(None) if holds_pieces(node, *holder, wanted) => {
                asked = DigestQueryResult::PiecesOnly
            }
            Ok(None) | Err(_) => {}
        }
    }
    let may_ask_origin =
        may_ask_origin_for_digests(is_own_turn, asked) && !origin_pause.is_active(node.clock.now());
    for origin in origins.iter().filter(|_| may_ask_origin) {
        let asked = node
            .interface
            .request_digests(&wanted.model.model, wanted.version);
        let answer = call_once(node, origin.address, asked, DIGESTS_TIMEOUT).await;
        if let Some((status, body)) = answer
            && status.is_success()
            && let Some(digests) = node.interface.read_digests(&body)
        {
            origin_pause.note(node.clock.now(), true, 0);
            if digests.version == wanted.version {
                return learned(node, wanted, SharedDigests(digests.digests));
            }
        }
        origin_pause.note(node.clock.now(), false, rand::random());
    }
    None
}

/// Whether the agent at `address` has pieces of the version.
fn holds_pieces(node: &Node, address: SocketAddr, wanted: &Wanted) -> bool {
    let view = node.view();
    let mut daemons = view.directory.daemons();
    let holder = daemons.find(|heard| heard.record.peer == address);
    let map = holder.and_then(|heard| heard.record.pieces_of(&wanted.model.model, wanted.version));
    map.is_some_and(|map| map.count() > 0)
}

/// The digests of a version, unless they are not as many as its pieces.
pub fn piece_digests(wanted: &Wanted, shared: SharedDigests) -> Option<PieceDigests> {
    let is_complete = shared.0.len() == wanted.model.pieces as usize;
    is_complete.then_some(PieceDigests {
        version: wanted.version,
        digests: shared.0,
    })
}

/// Keeps digests that are news and passes them on.
fn learned(node: &Arc<Node>, wanted: &Wanted, shared: SharedDigests) -> Option<PieceDigests> {
    let digests = piece_digests(wanted, shared)?;
    node.cache_digests(&wanted.model.model, &digests);
    let spread = Arc::new(spread_of(node, wanted));
    let offer = Offer::Digests(SharedDigests(digests.digests.clone()));
    offers::pass_on(node, &spread, wanted, offer);
    Some(digests)
}

/// The trees of a version's pieces over the agents that are known now.
pub fn spread_of(node: &Node, wanted: &Wanted) -> DistributionTrees {
    let view = node.view();
    let others = fellows(&view, node.clock.now());
    let members = members(&view.own, &others, wanted);
    let region = origin_region(node, &view);
    let parts = wanted.model.parts();
    DistributionTrees::new(&view.own.instance, &members, region.as_deref(), parts)
}

fn digest_sources(
    node: &Node,
    wanted: &Wanted,
    idle_ms: u64,
) -> (Vec<SocketAddr>, bool, Vec<CatalogOrigin>) {
    let spread = spread_of(node, wanted);
    let patience = TakeoverTimeouts::for_pieces(wanted.model.piece_bytes, node.settings.link_mbps);
    let allowed = spread.permission(wanted.model.digests_part(), patience, idle_ms);
    let view = node.view();
    let own = &view.own;
    let others = fellows(&view, node.clock.now());
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

/// Region of the origin, if that is known.
pub fn origin_region(node: &Node, view: &View) -> Option<String> {
    let origin = view.catalog.origins.first()?;
    let hall = origin.hall.as_ref()?;
    Some(node.settings.region_of(hall).to_string())
}

/// Silence after which an agent is not counted on, in milliseconds.
const SILENT_MS: u64 = 3_000;

/// The other agents that bring weights to engines of the same service and were
/// heard lately.
pub fn fellows(view: &View, now: Millis) -> Vec<&DaemonRecord> {
    let own = &view.own;
    let is_fellow = |heard: &&Observed<DaemonRecord>| {
        let other = &heard.record;
        other.role == DaemonRole::Agent
            && other.service == own.service
            && other.instance != own.instance
            && now.since(heard.at) < SILENT_MS
    };
    let fellows = view.directory.daemons().filter(is_fellow);
    fellows.map(|heard| &heard.record).collect()
}
