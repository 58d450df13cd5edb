//! The pieces that this agent has: in memory while they are fetched and not
//! yet taken, in the engine's store afterwards.

use crate::node::Node;
use crate::peer::CatalogModel;
use bytes::Bytes;
use moleroad_directory::prelude::PieceMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::MutexGuard;

/// Pieces in memory, by version and number.
#[derive(Debug, Default)]
pub struct PieceMemory {
    pieces: BTreeMap<(u64, u32), Bytes>,
    /// Pieces that the engine's store took.
    staged: BTreeSet<(u64, u32)>,
    /// Version that the engine is about to take; 0 for none.
    taking: u64,
}

fn memory(node: &Node) -> MutexGuard<'_, PieceMemory> {
    node.pieces
        .lock()
        .unwrap_or_else(|error| error.into_inner())
}

/// Changes the maps that others are told of.
fn change_maps(node: &Node, change: impl FnOnce(&mut Vec<PieceMap>)) {
    let mut view = node.view();
    let before = view.own.pieces.clone();
    change(&mut view.own.pieces);
    if view.own.pieces != before {
        view.own.sequence += 1;
    }
}

fn map_of<'a>(maps: &'a mut Vec<PieceMap>, model: &CatalogModel, version: u64) -> &'a mut PieceMap {
    let is_same = |map: &PieceMap| map.model == model.model && map.version == version;
    let at = maps.iter().position(is_same).unwrap_or_else(|| {
        maps.push(PieceMap::empty(model.model.as_str(), version, model.pieces));
        maps.len() - 1
    });
    &mut maps[at]
}

/// Tells others that pieces of the version will be here.
pub fn open_map(node: &Node, model: &CatalogModel, version: u64) {
    change_maps(node, |maps| {
        map_of(maps, model, version);
    });
}

/// Keeps a piece that was checked.
pub fn keep(node: &Node, model: &CatalogModel, version: u64, piece: u32, bytes: Bytes) {
    memory(node).pieces.insert((version, piece), bytes);
    change_maps(node, |maps| map_of(maps, model, version).set(piece, true));
}

/// Notes a piece that was found in the engine's store and checked.
pub fn keep_staged(node: &Node, model: &CatalogModel, version: u64, piece: u32) {
    note_staged(node, version, piece);
    change_maps(node, |maps| map_of(maps, model, version).set(piece, true));
}

/// Pieces of the version that are not here.
pub fn missing(node: &Node, model: &CatalogModel, version: u64) -> Vec<u32> {
    let view = node.view();
    let map = view.own.pieces_of(&model.model, version);
    let has = |piece: &u32| map.is_some_and(|map| map.has(*piece));
    (0..model.pieces).filter(|piece| !has(piece)).collect()
}

/// An engine that holds a version has its pieces in store too, unless they
/// turned bad or were lost: whoever takes one checks it.
pub fn offer_all(node: &Node, model: &CatalogModel, version: u64) {
    change_maps(node, |maps| {
        if maps
            .iter()
            .any(|map| map.model == model.model && map.version >= version)
        {
            return;
        }
        let map = map_of(maps, model, version);
        (0..model.pieces).for_each(|piece| map.set(piece, true));
    });
}

/// The engine's store is about to hold `version`: what it held of earlier ones
/// is overwritten, and only what is in memory is left of them.
pub fn begin_staging(node: &Node, version: u64) {
    let kept: BTreeSet<(u64, u32)> = memory(node).pieces.keys().copied().collect();
    change_maps(node, |maps| {
        for map in maps.iter_mut().filter(|map| map.version < version) {
            let pieces = map.bits.len() as u32 * u64::BITS;
            let lost = (0..pieces).filter(|piece| !kept.contains(&(map.version, *piece)));
            lost.collect::<Vec<u32>>()
                .into_iter()
                .for_each(|piece| map.set(piece, false));
        }
        maps.retain(|map| map.version >= version || map.count() > 0);
    });
}

/// These pieces are not here after all.
pub fn lost(node: &Node, model: &CatalogModel, version: u64, pieces: &[u32]) {
    change_maps(node, |maps| {
        let map = map_of(maps, model, version);
        pieces.iter().for_each(|piece| map.set(*piece, false));
    });
}

/// The version that the engine is about to take.
pub fn taking(node: &Node) -> Option<u64> {
    Some(memory(node).taking).filter(|version| *version != 0)
}

/// The engine is about to take `version`, and its store is left to that.
pub fn begin_taking(node: &Node, version: u64) {
    memory(node).taking = version;
}

/// The engine took `version` or will not.
pub fn end_taking(node: &Node, version: u64) {
    let mut memory = memory(node);
    if memory.taking == version {
        memory.taking = 0;
    }
}

/// The engine's store took a piece.
pub fn note_staged(node: &Node, version: u64, piece: u32) {
    let mut memory = memory(node);
    memory.staged.retain(|(kept, _)| *kept == version);
    memory.staged.insert((version, piece));
}

/// The pieces in memory that the engine's store has not taken.
pub fn not_staged(node: &Node, version: u64) -> Vec<(u32, Bytes)> {
    let mut pieces = in_memory(node, version);
    let memory = memory(node);
    pieces.retain(|(piece, _)| !memory.staged.contains(&(version, *piece)));
    pieces
}

/// The pieces of the version that are in memory.
pub fn in_memory(node: &Node, version: u64) -> Vec<(u32, Bytes)> {
    let memory = memory(node);
    let range = memory.pieces.range((version, 0)..=(version, u32::MAX));
    range
        .map(|((_, piece), bytes)| (*piece, bytes.clone()))
        .collect()
}

/// One piece, if it is in memory.
pub fn from_memory(node: &Node, version: u64, piece: u32) -> Option<Bytes> {
    memory(node).pieces.get(&(version, piece)).cloned()
}

/// Frees the memory of the version and of earlier ones; of those before it
/// nothing is left.
pub fn forget_memory(node: &Node, version: u64) {
    memory(node).pieces.retain(|(kept, _), _| *kept > version);
    change_maps(node, |maps| maps.retain(|map| map.version >= version));
}
