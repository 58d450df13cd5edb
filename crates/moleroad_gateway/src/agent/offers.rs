//! Offers of pieces: remembers the offers of other agents, and announces the
//! parts of a version that this agent has to the agents below it in the part's
//! tree ([`DistributionTrees`]).
//!
//! An offer arrives within milliseconds, a directory update through relays
//! takes some hundred. An agent that misses an offer still finds the piece
//! through the directory.

use crate::agent::digests::{piece_digests, trees_of};
use crate::agent::update_loop::WantedVersion;
use crate::node::Node;
use crate::peer::{CatalogModel, Offer, PeerClient, SharedDigests};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use moleroad_rollout::prelude::DistributionTrees;
use moleroad_types::prelude::{InstanceId, Millis};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

/// Time limit for an agent to accept an offer. An agent that does not is
/// skipped, and the offer is sent to its children in the tree instead.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of agents that are remembered per offered piece.
const MAX_OFFERS_PER_PIECE: usize = 3;
/// Number of versions whose offers are remembered: one that is being loaded,
/// one that is being fetched and one that was named after it.
const MAX_VERSIONS: usize = 3;

/// Agents that offered pieces, by version and piece.
#[derive(Debug, Default)]
pub struct Offers {
    versions: BTreeMap<u64, BTreeMap<u32, Vec<SocketAddr>>>,
    /// When an agent last announced that it fetches a piece from the origin, by
    /// version and piece.
    announced: BTreeMap<u64, BTreeMap<u32, Millis>>,
}

impl Offers {
    /// Records that the agent at `from` has a piece.
    pub fn add(&mut self, version: u64, piece: u32, from: SocketAddr) {
        let pieces = self.versions.entry(version).or_default();
        let offers = pieces.entry(piece).or_default();
        if !offers.contains(&from) && offers.len() < MAX_OFFERS_PER_PIECE {
            offers.push(from);
        }
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
    }

    /// Records that an agent fetches a piece from the origin.
    pub fn add_announcement(&mut self, now: Millis, version: u64, piece: u32) {
        self.announced
            .entry(version)
            .or_default()
            .insert(piece, now);
        while self.announced.len() > MAX_VERSIONS {
            self.announced.pop_first();
        }
    }

    /// Returns when an agent last announced that it fetches the piece from the
    /// origin.
    pub fn announced_at(&self, version: u64, piece: u32) -> Option<Millis> {
        self.announced.get(&version)?.get(&piece).copied()
    }

    /// Returns the agents that offered a piece, in the order of their offers.
    pub fn offered_by(&self, version: u64, piece: u32) -> &[SocketAddr] {
        let pieces = self.versions.get(&version);
        let offers = pieces.and_then(|pieces| pieces.get(&piece));
        offers.map_or(&[], Vec::as_slice)
    }

    /// Returns the highest piece of a version that was offered.
    pub fn highest_piece(&self, version: u64) -> Option<u32> {
        let pieces = self.versions.get(&version)?;
        pieces.last_key_value().map(|(piece, _)| *piece)
    }

    /// Removes all offers of the agent at `from`, which is unreachable.
    pub fn forget(&mut self, from: SocketAddr) {
        let pieces = self.versions.values_mut().flat_map(BTreeMap::values_mut);
        pieces.for_each(|offers| offers.retain(|offer| *offer != from));
    }
}

/// Locks the offers that this agent remembers.
pub fn offers(node: &Node) -> MutexGuard<'_, Offers> {
    node.offers
        .lock()
        .unwrap_or_else(|error| error.into_inner())
}

/// Handles an offer of another agent. Offers for an unknown model are dropped:
/// the directory lists the parts once the model is known.
pub fn receive(node: &Arc<Node>, model: &str, version: u64, offer: Offer, from: SocketAddr) {
    let known = {
        let view = node.view();
        let mut models = view.catalog.models.iter();
        models.find(|known| known.model == model).cloned()
    };
    let Some(model) = known else {
        return;
    };
    match offer {
        Offer::Piece(piece) if piece < model.pieces => offers(node).add(version, piece, from),
        Offer::Coming(piece) if piece < model.pieces => {
            offers(node).add_announcement(node.clock.now(), version, piece);
            return;
        }
        Offer::Piece(_) | Offer::Coming(_) => return,
        Offer::Digests(shared) => receive_digests(node, model, version, shared),
    }
    node.offer_received.notify_waiters();
}

/// Stores digests and forwards them, unless they are known already.
fn receive_digests(node: &Arc<Node>, model: CatalogModel, version: u64, shared: SharedDigests) {
    if node.cached_digests(&model.model, version).is_some() {
        return;
    }
    let wanted = WantedVersion {
        model,
        version,
        named_at: None,
    };
    if let Some(digests) = piece_digests(&wanted, shared) {
        node.cache_digests(&wanted.model.model, &digests);
        let trees = Arc::new(trees_of(node, &wanted));
        let offer = Offer::Digests(SharedDigests(digests.digests));
        forward_to_children(node, &trees, &wanted, offer);
    }
}

/// Sends an offer to the agents below this one in the part's tree.
pub fn forward_to_children(
    node: &Arc<Node>,
    trees: &Arc<DistributionTrees>,
    wanted: &WantedVersion,
    offer: Offer,
) {
    let announcement = Announcement::new(node, trees, wanted, offer);
    let own = node.view().own.instance.clone();
    let children = announcement.children(&own);
    tokio::spawn(announcement.send(children));
}

/// Sends an announcement that this agent fetches a piece from the origin, or
/// now has it, to the agents that depend on that.
pub fn announce_origin_fetch(
    node: &Arc<Node>,
    trees: &Arc<DistributionTrees>,
    wanted: &WantedVersion,
    piece: u32,
    offer: Offer,
) {
    let recipients = trees
        .announcement_recipients(piece)
        .into_iter()
        .cloned()
        .collect();
    let announcement = Announcement::new(node, trees, wanted, offer);
    tokio::spawn(announcement.send(recipients));
}

/// An offer to be sent to other agents.
struct Announcement {
    node: Arc<Node>,
    trees: Arc<DistributionTrees>,
    model: CatalogModel,
    version: u64,
    offer: Offer,
}

impl Announcement {
    fn new(
        node: &Arc<Node>,
        trees: &Arc<DistributionTrees>,
        wanted: &WantedVersion,
        offer: Offer,
    ) -> Self {
        Self {
            node: node.clone(),
            trees: trees.clone(),
            model: wanted.model.clone(),
            version: wanted.version,
            offer,
        }
    }

    /// Sends the offer to `agents`, and to the children of those that cannot be
    /// reached.
    async fn send(self, agents: Vec<InstanceId>) {
        let mut calls = FuturesUnordered::new();
        calls.extend(agents.into_iter().map(|agent| self.send_one(agent)));
        while let Some((agent, is_received)) = calls.next().await {
            if !is_received {
                calls.extend(
                    self.children(&agent)
                        .into_iter()
                        .map(|child| self.send_one(child)),
                );
            }
        }
    }

    /// Returns the number of the offered part in the distribution trees.
    fn part(&self) -> u32 {
        match self.offer {
            Offer::Piece(piece) | Offer::Coming(piece) => piece,
            Offer::Digests(_) => self.model.digests_part(),
        }
    }

    fn children(&self, of: &InstanceId) -> Vec<InstanceId> {
        let children = self.trees.children(of, self.part());
        children.into_iter().cloned().collect()
    }

    async fn send_one(&self, agent: InstanceId) -> (InstanceId, bool) {
        let Some(address) = self.address_of(&agent) else {
            return (agent, false);
        };
        if self.has_piece(&agent) {
            return (agent, true);
        }
        let own = self.node.settings.peer_address();
        let (model, version) = (self.model.model.clone(), self.version);
        let offer = self.offer.clone();
        let call = |client: PeerClient, context| async move {
            client.offer(context, model, version, offer, own).await
        };
        let answer = self.node.peers.call(address, OFFER_TIMEOUT, call).await;
        (agent, answer.is_ok())
    }

    fn address_of(&self, agent: &InstanceId) -> Option<SocketAddr> {
        let view = self.node.view();
        let observed = view.directory.daemon(agent);
        observed.map(|observed| observed.record.peer)
    }

    /// Returns whether the agent is known to have the offered piece.
    fn has_piece(&self, agent: &InstanceId) -> bool {
        let (Offer::Piece(piece) | Offer::Coming(piece)) = self.offer else {
            return false;
        };
        let view = self.node.view();
        let observed = view.directory.daemon(agent);
        let map = observed
            .and_then(|observed| observed.record.pieces_of(&self.model.model, self.version));
        map.is_some_and(|map| map.has(piece))
    }
}
