//! Distribution of each piece from the origin to all agents along a tree that every
//! agent computes from the known members.
//!
//! Each piece has its own tree, so that the work of forwarding is shared by all agents.
//! The root is an agent in the origin's region, the only one that fetches the piece
//! from the origin. The regions form a tree of their first agents, so that a piece
//! enters each region once; within a region the agents form a binary tree. An agent
//! that receives a piece offers it to its children immediately
//! ([`DistributionTrees::children`]): an update through the directory takes longer than
//! a piece takes on a link.

use crate::sources::{AllowedSources, Member, TakeoverTimeouts};
use moleroad_types::prelude::InstanceId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Number of children of an agent in its region's tree, and of a region in the tree of
/// regions. With two, the last of 1,000 agents is ten steps from the root, and no agent
/// sends a piece more than four times.
pub const FANOUT: usize = 2;

/// Position of an agent in the tree of one piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Position {
    /// Rank in its region; 0 brings the piece into the region.
    rank: usize,
    /// Whether its region is the one that fetches from the origin.
    is_first_region: bool,
}

/// The trees of all pieces of a version, as seen by one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DistributionTrees {
    own: InstanceId,
    is_in_origin_region: bool,
    /// Agents by region, without the first region.
    others: BTreeMap<String, Vec<InstanceId>>,
    first: Vec<InstanceId>,
    /// Positions of the own agent, by piece.
    positions: Vec<Option<Position>>,
}

impl DistributionTrees {
    /// Computes the trees of `pieces` pieces over `members`; `origin_region` is the
    /// region of the origin, if known.
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
        let mut trees = Self {
            own: own.clone(),
            is_in_origin_region: false,
            others,
            first: first.unwrap_or_default(),
            positions: Vec::new(),
        };
        let region = trees.region_of(own);
        let is_first_region = trees.first.contains(own);
        let position = |piece| {
            Some(Position {
                rank: rank_in(region?, own, piece),
                is_first_region,
            })
        };
        let positions = (0..pieces).map(position).collect();
        trees.positions = positions;
        trees.is_in_origin_region = is_first_region;
        trees
    }

    /// Returns whether the own agent is in the region that fetches from the origin.
    pub fn is_in_origin_region(&self) -> bool {
        self.is_in_origin_region
    }

    /// Returns the rank of the own agent in its region for `piece`; 0 is the agent that
    /// brings the piece into the region. An agent that is not a member has no rank.
    pub fn rank(&self, piece: u32) -> Option<usize> {
        Some(self.position(piece)?.rank)
    }

    /// Returns the sources that the own agent may use for `piece` after `idle_ms` in
    /// which nothing arrived or the piece was overdue.
    ///
    /// In each region the first agent by rank may fetch a piece from outside
    /// immediately; the second may after one timeout, the third after two, and so on:
    /// if all agents timed out at the same moment, they would compete for the origin's
    /// connections.
    pub fn allowed_sources(
        &self,
        piece: u32,
        timeouts: TakeoverTimeouts,
        idle_ms: u64,
    ) -> AllowedSources {
        let Some(position) = self.position(piece) else {
            return AllowedSources {
                across_regions: true,
                from_origin: true,
            };
        };
        let own_wait_ms = position.rank as u64 * timeouts.across_regions_ms;
        if position.is_first_region {
            AllowedSources {
                across_regions: idle_ms >= own_wait_ms + timeouts.across_regions_ms,
                from_origin: idle_ms >= own_wait_ms,
            }
        } else {
            AllowedSources {
                across_regions: idle_ms >= own_wait_ms,
                from_origin: idle_ms >= own_wait_ms + timeouts.origin_ms,
            }
        }
    }

    /// Returns the agents to which `of` offers `piece` once it has it: the first agents
    /// of the child regions, if it is the first of its own region, then its children
    /// within its region.
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
            let child_regions = at.map(|at| children_at(&regions, at)).unwrap_or_default();
            children.extend(
                child_regions
                    .into_iter()
                    .filter_map(|agents| first_of(agents, piece)),
            );
        }
        children.extend(children_at(&ranks, rank));
        children
    }

    /// Returns the agents to which the own agent announces that it fetches `piece` from
    /// the origin: its children, and those of the silent agents that precede it by
    /// rank.
    pub fn announcement_recipients(&self, piece: u32) -> Vec<&InstanceId> {
        let own_rank = self.rank(piece).unwrap_or(0);
        let Some(region) = self.region_of(&self.own) else {
            return Vec::new();
        };
        let mut recipients = self.children(&self.own, piece);
        for agent in ranked(region, piece).into_iter().take(own_rank.min(FANOUT)) {
            recipients.extend(self.children(agent, piece));
        }
        recipients.retain(|agent| **agent != self.own);
        recipients.sort();
        recipients.dedup();
        recipients
    }

    fn position(&self, piece: u32) -> Option<Position> {
        self.positions.get(piece as usize).copied().flatten()
    }

    fn region_of(&self, agent: &InstanceId) -> Option<&Vec<InstanceId>> {
        let mut regions = std::iter::once(&self.first).chain(self.others.values());
        regions.find(|agents| agents.contains(agent))
    }

    /// All regions: first the one that fetches from the origin, then the others in an
    /// order that differs between pieces.
    fn regions(&self, piece: u32) -> Vec<&Vec<InstanceId>> {
        let mut others: Vec<(&String, &Vec<InstanceId>)> = self.others.iter().collect();
        others.sort_by_key(|(region, _)| Reverse(weight(region, piece)));
        let others = others.into_iter().map(|(_, agents)| agents);
        std::iter::once(&self.first).chain(others).collect()
    }
}

/// The children of the element at `at`, where each element has [`FANOUT`] of the
/// following ones.
fn children_at<T: Copy>(ordered: &[T], at: usize) -> Vec<T> {
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
    let ranks_before = |agent: &&InstanceId| weight(*agent, piece) > own_weight;
    agents.iter().filter(ranks_before).count()
}

fn first_of(agents: &[InstanceId], piece: u32) -> Option<&InstanceId> {
    agents.iter().max_by_key(|agent| weight(*agent, piece))
}

/// Weight for rendezvous hashing (highest random weight), so that a change of agents
/// moves few pieces.
fn weight<T: Hash + ?Sized>(subject: &T, piece: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    piece.hash(&mut hasher);
    hasher.finish()
}
