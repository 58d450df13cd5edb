//! Which agents exchange chunks with which.

use moleroad_types::prelude::*;
use std::collections::BTreeMap;

/// Positions on either side in the region's ring that become peers.
const REGION_REACH: usize = 2;

/// Where an agent stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Data hall.
    pub data_hall: DataHall,
    /// Region.
    pub region: Region,
}

/// Rings of agents, one a data hall and one a region.
///
/// Within a data hall an agent's peers stand at distances of powers of two, so
/// that each has about `2 log2 n` peers and any two are `log2 n` steps apart.
/// A few neighbours in the region's ring join the data halls. Positions follow
/// a hash of root and agent, so that two models use different edges.
#[derive(Clone, Debug, Default)]
pub struct PeerRings {
    halls: BTreeMap<DataHall, Vec<RingSlot>>,
    regions: BTreeMap<Region, Vec<RingSlot>>,
}

type RingSlot = (u64, InstanceId);

impl PeerRings {
    /// Rings of `agents` for the weights `root`.
    pub fn new<'a>(root: RootDigest, agents: impl IntoIterator<Item = (&'a InstanceId, &'a Place)>) -> Self {
        let mut rings = Self::default();
        for (agent, place) in agents {
            let slot = (position_of(root, agent), agent.clone());
            rings.halls.entry(place.data_hall.clone()).or_default().push(slot.clone());
            rings.regions.entry(place.region.clone()).or_default().push(slot);
        }
        let all = rings.halls.values_mut().chain(rings.regions.values_mut());
        all.for_each(|ring| ring.sort());
        rings
    }

    /// The peers of `agent`, which stands at `place`.
    pub fn peers_of(&self, root: RootDigest, agent: &InstanceId, place: &Place) -> Vec<InstanceId> {
        let slot = (position_of(root, agent), agent.clone());
        let mut peers = Vec::new();
        if let Some(hall) = self.halls.get(&place.data_hall) {
            let powers = (0..usize::BITS).map(|bit| 1usize << bit).take_while(|d| *d <= hall.len() / 2);
            push_neighbours(hall, &slot, powers, &mut peers);
        }
        if let Some(region) = self.regions.get(&place.region) {
            push_neighbours(region, &slot, 1..=REGION_REACH, &mut peers);
        }
        peers
    }
}

fn push_neighbours(
    ring: &[RingSlot],
    slot: &RingSlot,
    distances: impl IntoIterator<Item = usize>,
    peers: &mut Vec<InstanceId>,
) {
    let Ok(position) = ring.binary_search(slot) else { return };
    let count = ring.len();
    for distance in distances {
        for neighbour in [(position + distance) % count, (position + count - distance % count) % count] {
            let peer = &ring[neighbour].1;
            if *peer != slot.1 && !peers.contains(peer) {
                peers.push(peer.clone());
            }
        }
    }
}

fn position_of(root: RootDigest, agent: &InstanceId) -> u64 {
    let hash = blake3::Hasher::new().update(&root.0).update(agent.as_str().as_bytes()).finalize();
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().expect("a digest has eight bytes"))
}
