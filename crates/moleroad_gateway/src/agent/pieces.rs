//! The pieces that this agent has: in memory from the fetch until the engine
//! has loaded them, in the engine's store afterwards.

use crate::node::Node;
use crate::peer::CatalogModel;
use bytes::Bytes;
use moleroad_directory::prelude::PieceMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::MutexGuard;

/// Pieces held in memory, and the state of the engine's store.
#[derive(Debug, Default)]
pub struct PieceMemory {
    pieces: BTreeMap<(u64, u32), Bytes>,
    /// Pieces that were written to the engine's store, by version and number.
    staged: BTreeSet<(u64, u32)>,
    /// Version that the engine is about to load; 0 if none.
    loading: u64,
}

fn memory(node: &Node) -> MutexGuard<'_, PieceMemory> {
    node.pieces
        .lock()
        .unwrap_or_else(|error| error.into_inner())
}

/// Updates the piece maps in this agent's record, and publishes them if they
/// changed.
fn update_maps(node: &Node, change: impl FnOnce(&mut Vec<PieceMap>)) {
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

/// Adds an empty map for the version, so that other agents know that this one
/// will have its pieces.
pub fn add_empty_map(node: &Node, model: &CatalogModel, version: u64) {
    update_maps(node, |maps| {
        map_of(maps, model, version);
    });
}

/// Stores a verified piece in memory.
pub fn insert_verified(node: &Node, model: &CatalogModel, version: u64, piece: u32, bytes: Bytes) {
    memory(node).pieces.insert((version, piece), bytes);
    update_maps(node, |maps| map_of(maps, model, version).set(piece, true));
}

/// Records a verified piece that was found in the engine's store.
pub fn record_staged_piece(node: &Node, model: &CatalogModel, version: u64, piece: u32) {
    mark_staged(node, version, piece);
    update_maps(node, |maps| map_of(maps, model, version).set(piece, true));
}

/// Returns the pieces of the version that this agent does not have.
pub fn missing(node: &Node, model: &CatalogModel, version: u64) -> Vec<u32> {
    let view = node.view();
    let map = view.own.pieces_of(&model.model, version);
    let has = |piece: &u32| map.is_some_and(|map| map.has(*piece));
    (0..model.pieces).filter(|piece| !has(piece)).collect()
}

/// Marks all pieces of a version that the engine holds as available. They are
/// in the engine's store unless they were lost or corrupted there, which the
/// receiver's verification detects.
pub fn mark_all_available(node: &Node, model: &CatalogModel, version: u64) {
    update_maps(node, |maps| {
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

/// Prepares the piece maps for staging `version`. Staging overwrites earlier
/// versions in the engine's store, so only their pieces in memory remain.
pub fn begin_staging(node: &Node, version: u64) {
    let kept: BTreeSet<(u64, u32)> = memory(node).pieces.keys().copied().collect();
    update_maps(node, |maps| {
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

/// Marks pieces as missing.
pub fn mark_missing(node: &Node, model: &CatalogModel, version: u64, pieces: &[u32]) {
    update_maps(node, |maps| {
        let map = map_of(maps, model, version);
        pieces.iter().for_each(|piece| map.set(*piece, false));
    });
}

/// Returns the version that the engine is about to load.
pub fn loading_version(node: &Node) -> Option<u64> {
    Some(memory(node).loading).filter(|version| *version != 0)
}

/// Records that the engine is about to load `version`, for which its store is
/// reserved from now on.
pub fn begin_loading(node: &Node, version: u64) {
    memory(node).loading = version;
}

/// Records that the engine has loaded `version` or will not load it.
pub fn end_loading(node: &Node, version: u64) {
    let mut memory = memory(node);
    if memory.loading == version {
        memory.loading = 0;
    }
}

/// Records that a piece was written to the engine's store.
pub fn mark_staged(node: &Node, version: u64, piece: u32) {
    let mut memory = memory(node);
    memory.staged.retain(|(kept, _)| *kept == version);
    memory.staged.insert((version, piece));
}

/// Returns the pieces in memory that are not yet in the engine's store.
pub fn unstaged(node: &Node, version: u64) -> Vec<(u32, Bytes)> {
    let mut pieces = in_memory(node, version);
    let memory = memory(node);
    pieces.retain(|(piece, _)| !memory.staged.contains(&(version, *piece)));
    pieces
}

/// Returns the pieces of the version that are in memory.
pub fn in_memory(node: &Node, version: u64) -> Vec<(u32, Bytes)> {
    let memory = memory(node);
    let range = memory.pieces.range((version, 0)..=(version, u32::MAX));
    range
        .map(|((_, piece), bytes)| (*piece, bytes.clone()))
        .collect()
}

/// Returns a piece if it is in memory.
pub fn get(node: &Node, version: u64, piece: u32) -> Option<Bytes> {
    memory(node).pieces.get(&(version, piece)).cloned()
}

/// Frees the memory of the version and of earlier ones, and removes the maps of
/// earlier versions, of which nothing remains.
pub fn free_memory(node: &Node, version: u64) {
    memory(node).pieces.retain(|(kept, _), _| *kept > version);
    update_maps(node, |maps| maps.retain(|map| map.version >= version));
}
