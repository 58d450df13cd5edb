//! A set of chunk positions, one bit each.

use moleroad_types::prelude::ChunkIndex;
use serde::{Deserialize, Serialize};

const BITS: u32 = u64::BITS;

/// Which chunks of one manifest are held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkSet {
    chunk_count: u32,
    words: Vec<u64>,
}

impl ChunkSet {
    /// An empty set over `chunk_count` chunks.
    pub fn empty(chunk_count: usize) -> Self {
        let words = vec![0; chunk_count.div_ceil(BITS as usize)];
        Self { chunk_count: chunk_count as u32, words }
    }

    /// The set of all of `chunk_count` chunks.
    pub fn full(chunk_count: usize) -> Self {
        let mut set = Self::empty(chunk_count);
        for chunk in 0..chunk_count as u32 {
            set.insert(ChunkIndex(chunk));
        }
        set
    }

    /// Number of chunks of the manifest.
    pub fn chunk_count(&self) -> usize {
        self.chunk_count as usize
    }

    /// Adds `chunk`; true if it is new. Positions outside are ignored.
    pub fn insert(&mut self, chunk: ChunkIndex) -> bool {
        if chunk.0 >= self.chunk_count {
            return false;
        }
        let word = &mut self.words[(chunk.0 / BITS) as usize];
        let bit = 1 << (chunk.0 % BITS);
        let is_new = *word & bit == 0;
        *word |= bit;
        is_new
    }

    /// Removes `chunk`.
    pub fn remove(&mut self, chunk: ChunkIndex) {
        if chunk.0 < self.chunk_count {
            self.words[(chunk.0 / BITS) as usize] &= !(1 << (chunk.0 % BITS));
        }
    }

    /// Whether `chunk` is in the set.
    pub fn contains(&self, chunk: ChunkIndex) -> bool {
        chunk.0 < self.chunk_count && self.words[(chunk.0 / BITS) as usize] >> (chunk.0 % BITS) & 1 == 1
    }

    /// Number of chunks in the set.
    pub fn len(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Whether all chunks are in the set.
    pub fn is_complete(&self) -> bool {
        self.len() == self.chunk_count()
    }

    /// The chunks in the set, in order.
    pub fn iter(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.words.iter().enumerate().flat_map(|(position, word)| ones(position, *word))
    }

    /// The chunks not in the set, in order.
    pub fn missing(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        let inverted = self.words.iter().enumerate().flat_map(|(position, word)| ones(position, !word));
        inverted.take_while(|chunk| chunk.0 < self.chunk_count)
    }

    /// The chunks in `self` and not in `other`.
    pub fn difference<'a>(&'a self, other: &'a ChunkSet) -> impl Iterator<Item = ChunkIndex> + 'a {
        self.words.iter().enumerate().flat_map(move |(position, word)| {
            let others = other.words.get(position).copied().unwrap_or(0);
            ones(position, word & !others)
        })
    }

    /// Hexadecimal text for an HTTP header.
    pub fn to_hex(&self) -> String {
        let words = self.words.iter().map(|word| format!("{word:016x}"));
        words.collect()
    }

    /// Reads [`ChunkSet::to_hex`] for a manifest of `chunk_count` chunks.
    /// `None` if the text has another length or sets a bit out of range.
    pub fn from_hex(text: &str, chunk_count: usize) -> Option<Self> {
        let mut set = Self::empty(chunk_count);
        if !text.is_ascii() || text.len() != set.words.len() * 16 {
            return None;
        }
        for (position, word) in set.words.iter_mut().enumerate() {
            *word = u64::from_str_radix(&text[position * 16..][..16], 16).ok()?;
        }
        let in_range = set.iter().all(|chunk| chunk.0 < set.chunk_count);
        in_range.then_some(set)
    }
}

/// Positions of the one bits of the word at `position`.
fn ones(position: usize, word: u64) -> impl Iterator<Item = ChunkIndex> {
    let mut rest = word;
    std::iter::from_fn(move || {
        if rest == 0 {
            return None;
        }
        let bit = rest.trailing_zeros();
        rest &= rest - 1;
        Some(ChunkIndex(position as u32 * BITS + bit))
    })
}
