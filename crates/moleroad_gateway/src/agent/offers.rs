//! Offers: who offered which piece to this agent, and telling the agents below
//! it in the tree of a piece ([`DistributionTrees`]) what it has.
//!
//! An offer arrives within milliseconds, news by way of relays after some
//! hundred. Whoever misses an offer still finds the piece by the directory.

use crate::agent::bring::Wanted;
use crate::agent::digests::{piece_digests, spread_of};
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

/// Time for an agent to take an offer; one that does not is passed over and
/// the agents below it are told instead.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);
/// Agents that are remembered to have offered one piece.
const MOST_OFFERS: usize = 3;
/// Versions whose offers are remembered: one that is being taken, one that is
/// fetched and one that was named behind it.
const MOST_VERSIONS: usize = 3;

/// Who offered which piece, by version.
#[derive(Debug, Default)]
pub struct Offers {
    versions: BTreeMap<u64, BTreeMap<u32, Vec<SocketAddr>>>,
    /// When agents last said that they draw a piece from the origin, by version.
    coming: BTreeMap<u64, BTreeMap<u32, Millis>>,
}

impl Offers {
    /// Remembers that the agent at `from` has a piece.
    pub fn add(&mut self, version: u64, piece: u32, from: SocketAddr) {
        let pieces = self.versions.entry(version).or_default();
        let offers = pieces.entry(piece).or_default();
        if !offers.contains(&from) && offers.len() < MOST_OFFERS {
            offers.push(from);
        }
        while self.versions.len() > MOST_VERSIONS {
            self.versions.pop_first();
        }
    }

    /// Remembers that an agent draws a piece from the origin.
    pub fn announce(&mut self, now: Millis, version: u64, piece: u32) {
        self.coming.entry(version).or_default().insert(piece, now);
        while self.coming.len() > MOST_VERSIONS {
            self.coming.pop_first();
        }
    }

    /// When an agent last said that it draws the piece from the origin.
    pub fn announced_at(&self, version: u64, piece: u32) -> Option<Millis> {
        self.coming.get(&version)?.get(&piece).copied()
    }

    /// Agents that offered a piece, the first one first.
    pub fn of(&self, version: u64, piece: u32) -> &[SocketAddr] {
        let pieces = self.versions.get(&version);
        let offers = pieces.and_then(|pieces| pieces.get(&piece));
        offers.map_or(&[], Vec::as_slice)
    }

    /// The highest piece of a version that was offered.
    pub fn newest(&self, version: u64) -> Option<u32> {
        let pieces = self.versions.get(&version)?;
        pieces.last_key_value().map(|(piece, _)| *piece)
    }

    /// Forgets what the agent at `from` offered: it cannot be reached.
    pub fn forget(&mut self, from: SocketAddr) {
        let pieces = self.versions.values_mut().flat_map(BTreeMap::values_mut);
        pieces.for_each(|offers| offers.retain(|offer| *offer != from));
    }
}

/// The offers that this agent remembers.
pub fn offers(node: &Node) -> MutexGuard<'_, Offers> {
    node.offers
        .lock()
        .unwrap_or_else(|error| error.into_inner())
}

/// Takes an offer of another agent. What concerns an unknown model is dropped:
/// it is found by the directory once the model is known.
pub fn take(node: &Arc<Node>, model: &str, version: u64, offer: Offer, from: SocketAddr) {
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
            offers(node).announce(node.clock.now(), version, piece);
            return;
        }
        Offer::Piece(_) | Offer::Coming(_) => return,
        Offer::Digests(shared) => take_digests(node, model, version, shared),
    }
    node.offered.notify_waiters();
}

/// Keeps digests and passes them on, if they are news.
fn take_digests(node: &Arc<Node>, model: CatalogModel, version: u64, shared: SharedDigests) {
    if node.cached_digests(&model.model, version).is_some() {
        return;
    }
    let wanted = Wanted {
        model,
        version,
        named_at: None,
    };
    if let Some(digests) = piece_digests(&wanted, shared) {
        node.cache_digests(&wanted.model.model, &digests);
        let spread = Arc::new(spread_of(node, &wanted));
        let offer = Offer::Digests(SharedDigests(digests.digests));
        pass_on(node, &spread, &wanted, offer);
    }
}

/// Tells the agents below this one what it has of a version.
pub fn pass_on(node: &Arc<Node>, spread: &Arc<DistributionTrees>, wanted: &Wanted, offer: Offer) {
    let telling = Telling::new(node, spread, wanted, offer);
    let own = node.view().own.instance.clone();
    let below = telling.children(&own);
    tokio::spawn(telling.tell(below));
}

/// Tells those who reckon with this agent's draw of a piece from the origin that
/// it comes, or that it is here.
pub fn tell_of_draw(
    node: &Arc<Node>,
    spread: &Arc<DistributionTrees>,
    wanted: &Wanted,
    piece: u32,
    offer: Offer,
) {
    let told = spread.told_of_draw(piece).into_iter().cloned().collect();
    let telling = Telling::new(node, spread, wanted, offer);
    tokio::spawn(telling.tell(told));
}

/// An offer on its way to the agents below this one.
struct Telling {
    node: Arc<Node>,
    spread: Arc<DistributionTrees>,
    model: CatalogModel,
    version: u64,
    offer: Offer,
}

impl Telling {
    fn new(
        node: &Arc<Node>,
        spread: &Arc<DistributionTrees>,
        wanted: &Wanted,
        offer: Offer,
    ) -> Self {
        Self {
            node: node.clone(),
            spread: spread.clone(),
            model: wanted.model.clone(),
            version: wanted.version,
            offer,
        }
    }

    /// Tells these agents, and in place of those that cannot be told their
    /// children.
    async fn tell(self, agents: Vec<InstanceId>) {
        let mut calls = FuturesUnordered::new();
        calls.extend(agents.into_iter().map(|agent| self.tell_one(agent)));
        while let Some((agent, is_told)) = calls.next().await {
            if !is_told {
                calls.extend(
                    self.children(&agent)
                        .into_iter()
                        .map(|child| self.tell_one(child)),
                );
            }
        }
    }

    /// The part of the version that the offer is about, as its tree counts it.
    fn part(&self) -> u32 {
        match self.offer {
            Offer::Piece(piece) | Offer::Coming(piece) => piece,
            Offer::Digests(_) => self.model.digests_part(),
        }
    }

    fn children(&self, of: &InstanceId) -> Vec<InstanceId> {
        let children = self.spread.children(of, self.part());
        children.into_iter().cloned().collect()
    }

    async fn tell_one(&self, agent: InstanceId) -> (InstanceId, bool) {
        let Some(address) = self.address_of(&agent) else {
            return (agent, false);
        };
        if self.has_it(&agent) {
            return (agent, true);
        }
        let own = self.node.settings.peer_address();
        let (model, version) = (self.model.model.clone(), self.version);
        let offer = self.offer.clone();
        let call = |client: PeerClient, context| async move {
            client.offer(context, model, version, offer, own).await
        };
        let told = self.node.peers.call(address, OFFER_TIMEOUT, call).await;
        (agent, told.is_ok())
    }

    fn address_of(&self, agent: &InstanceId) -> Option<SocketAddr> {
        let view = self.node.view();
        let heard = view.directory.daemon(agent);
        heard.map(|heard| heard.record.peer)
    }

    /// Whether the agent is known to have the piece.
    fn has_it(&self, agent: &InstanceId) -> bool {
        let (Offer::Piece(piece) | Offer::Coming(piece)) = self.offer else {
            return false;
        };
        let view = self.node.view();
        let heard = view.directory.daemon(agent);
        let map = heard.and_then(|heard| heard.record.pieces_of(&self.model.model, self.version));
        map.is_some_and(|map| map.has(piece))
    }
}
