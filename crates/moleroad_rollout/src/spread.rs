//! How a piece spreads from the origin over all agents: along a tree that all
//! agents work out alike from the members they know.
//!
//! Each piece has a tree of its own, so that the work of giving pieces on is
//! shared by all. Its root is an agent of the origin's region, the only one
//! that takes the piece from the origin. Regions hang below each other by their
//! first agents, so that a piece enters each region once; within a region
//! the agents form a binary tree. An agent that gets a piece tells its children
//! at once ([`DistributionTrees::children`]): news by way of the directory takes longer
//! than a piece takes on a link.

use crate::sources::{AllowedSources, Member, TakeoverTimeouts};
use moleroad_types::prelude::InstanceId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Children of an agent in its region's tree, and of a region among regions.
/// With two, the last of 1,000 agents is ten steps from the root and no agent
/// gives a piece more than four times.
pub const FANOUT: usize = 2;

/// Where an agent stands in the tree of one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    /// Rank in its region; 0 brings the piece into the region.
    rank: usize,
    /// Whether its region is the one that draws from the origin.
    is_first_region: bool,
}

/// The trees of all pieces of a version, as seen by one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistributionTrees {
    own: InstanceId,
    is_in_origin_region: bool,
    /// Agents by region, without the first one.
    others: BTreeMap<String, Vec<InstanceId>>,
    first: Vec<InstanceId>,
    /// Places of the own agent, by piece.
    places: Vec<Option<Place>>,
}

impl DistributionTrees {
    /// The trees of `pieces` pieces over `members`; `origin_region` is where
    /// the origin stands, if that is known.
    pub fn new(
        own: &InstanceId,
        members: &[Member],
        origin_region: Option<&str>,
        pieces: u32,
    ) -> Self {
        let mut others: BTreeMap<String, Vec<InstanceId>> = BTreeMap::new();
        for member in members {
            let region = others.entry(member.region.clone()).or_default();
            region.push(member.instance.clone());
        }
        let first_region = origin_region
            .filter(|region| others.contains_key(*region))
            .map(str::to_string)
            .or_else(|| others.keys().next().cloned());
        let first = first_region.and_then(|region| others.remove(&region));
        let mut spread = Self {
            own: own.clone(),
            is_in_origin_region: false,
            others,
            first: first.unwrap_or_default(),
            places: Vec::new(),
        };
        let region = spread.region_of(own);
        let is_first_region = spread.first.contains(own);
        let place = |piece| {
            Some(Place {
                rank: rank_in(region?, own, piece),
                is_first_region,
            })
        };
        let places = (0..pieces).map(place).collect();
        spread.places = places;
        spread.is_in_origin_region = is_first_region;
        spread
    }

    /// Whether the own agent is in the region that draws from the origin.
    pub fn is_in_origin_region(&self) -> bool {
        self.is_in_origin_region
    }

    /// Rank of the own agent in its region for `piece`, from 0 for the one that
    /// brings the piece into the region. An agent that is no member has none.
    pub fn rank(&self, piece: u32) -> Option<usize> {
        Some(self.place(piece)?.rank)
    }

    /// What the own agent may do for `piece` after `idle_ms` in which nothing
    /// came or the piece was overdue.
    ///
    /// In each region one agent, the first by rank, takes a piece from outside
    /// at once; the second may after one time of patience, the third after two,
    /// and so on: agents that all lose patience at the same time would take the
    /// connections of the origin from each other.
    pub fn permission(
        &self,
        piece: u32,
        patience: TakeoverTimeouts,
        idle_ms: u64,
    ) -> AllowedSources {
        let Some(place) = self.place(piece) else {
            return AllowedSources {
                across_regions: true,
                from_origin: true,
            };
        };
        let turn_ms = place.rank as u64 * patience.across_regions_ms;
        if place.is_first_region {
            AllowedSources {
                across_regions: idle_ms >= turn_ms + patience.across_regions_ms,
                from_origin: idle_ms >= turn_ms,
            }
        } else {
            AllowedSources {
                across_regions: idle_ms >= turn_ms,
                from_origin: idle_ms >= turn_ms + patience.origin_ms,
            }
        }
    }

    /// Whom the agent `of` tells when it has `piece`: the first agents of
    /// the regions below its own, if it is the first of its own, then its
    /// children within its region.
    pub fn children(&self, of: &InstanceId, piece: u32) -> Vec<&InstanceId> {
        let Some(region) = self.region_of(of) else {
            return Vec::new();
        };
        let ranks = ranked(region, piece);
        let Some(rank) = ranks.iter().position(|agent| *agent == of) else {
            return Vec::new();
        };
        let mut children = Vec::new();
        if rank == 0 {
            let regions = self.regions(piece);
            let at = regions.iter().position(|agents| agents.contains(of));
            let below = at.map(|at| below(&regions, at)).unwrap_or_default();
            children.extend(
                below
                    .into_iter()
                    .filter_map(|agents| first_of(agents, piece)),
            );
        }
        children.extend(below(&ranks, rank));
        children
    }

    /// Whom the own agent tells of `piece` when it draws it from the origin: its
    /// children, and in place of the agents before it, which were silent, theirs.
    pub fn told_of_draw(&self, piece: u32) -> Vec<&InstanceId> {
        let own_rank = self.rank(piece).unwrap_or(0);
        let Some(region) = self.region_of(&self.own) else {
            return Vec::new();
        };
        let mut told = self.children(&self.own, piece);
        for agent in ranked(region, piece).into_iter().take(own_rank.min(FANOUT)) {
            told.extend(self.children(agent, piece));
        }
        told.retain(|agent| **agent != self.own);
        told.sort();
        told.dedup();
        told
    }

    fn place(&self, piece: u32) -> Option<Place> {
        self.places.get(piece as usize).copied().flatten()
    }

    fn region_of(&self, agent: &InstanceId) -> Option<&Vec<InstanceId>> {
        let mut regions = std::iter::once(&self.first).chain(self.others.values());
        regions.find(|agents| agents.contains(agent))
    }

    /// All regions, the one that draws from the origin first and the others in
    /// an order that differs between pieces.
    fn regions(&self, piece: u32) -> Vec<&Vec<InstanceId>> {
        let mut others: Vec<(&String, &Vec<InstanceId>)> = self.others.iter().collect();
        others.sort_by_key(|(region, _)| Reverse(weight(region, piece)));
        let others = others.into_iter().map(|(_, agents)| agents);
        std::iter::once(&self.first).chain(others).collect()
    }
}

/// The children of the one at `at`, where each has [`FANOUT`] of those behind
/// it.
fn below<T: Copy>(ordered: &[T], at: usize) -> Vec<T> {
    let from = at * FANOUT + 1;
    let children = ordered.iter().skip(from).take(FANOUT);
    children.copied().collect()
}

fn ranked(agents: &[InstanceId], piece: u32) -> Vec<&InstanceId> {
    let mut ranked: Vec<&InstanceId> = agents.iter().collect();
    ranked.sort_by_cached_key(|agent| Reverse(weight(agent, piece)));
    ranked
}

fn rank_in(agents: &[InstanceId], own: &InstanceId, piece: u32) -> usize {
    let own_weight = weight(own, piece);
    let goes_before = |agent: &&InstanceId| weight(*agent, piece) > own_weight;
    agents.iter().filter(goes_before).count()
}

fn first_of(agents: &[InstanceId], piece: u32) -> Option<&InstanceId> {
    agents.iter().max_by_key(|agent| weight(*agent, piece))
}

/// Highest random weight, so that a change of agents moves few pieces.
fn weight<T: Hash + ?Sized>(subject: &T, piece: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    piece.hash(&mut hasher);
    hasher.finish()
}
