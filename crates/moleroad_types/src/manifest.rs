//! What a version of weights consists of, chunk by chunk.

use crate::digest::{ChunkDigest, RootDigest};
use crate::id::{AccountId, ModelName, VersionName};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, Read};
use std::ops::Range;

/// Most chunks that one manifest may list.
pub const MAX_CHUNKS: usize = 65_536;

/// Position of a chunk within its [`Manifest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChunkIndex(pub u32);

impl fmt::Display for ChunkIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Full identity of one set of weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightsId {
    /// Client account that owns the weights.
    pub account: AccountId,
    /// Model name within the account.
    pub model: ModelName,
    /// Version name of the model.
    pub version: VersionName,
    /// Digest that fixes the content.
    pub root: RootDigest,
}

quick_error! {
    /// Why a manifest is not usable.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ManifestError {
        /// The chunk size or the total is zero.
        Empty {
            display("a manifest needs a chunk size and a total above zero")
        }
        /// The list of chunks does not cover the total size.
        ChunkCount(listed: usize, needed: usize) {
            display("the manifest lists {} chunks where its size needs {}", listed, needed)
        }
        /// More chunks than [`MAX_CHUNKS`].
        TooManyChunks(listed: usize) {
            display("the manifest lists {} chunks, the limit is {}", listed, MAX_CHUNKS)
        }
        /// The root digest does not match the rest of the manifest.
        Root(stated: RootDigest, computed: RootDigest) {
            display("the manifest states root {} and its content gives {}", stated, computed)
        }
    }
}

/// The content of one version: sizes in bytes and a digest for each chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Size of the whole, in bytes.
    pub total_bytes: u64,
    /// Size of each chunk but the last, in bytes.
    pub chunk_bytes: u32,
    /// Digest of each chunk, in order.
    pub chunks: Vec<ChunkDigest>,
    /// Digest over all of the above.
    pub root: RootDigest,
}

impl Manifest {
    /// Reads `source` to its end and builds its manifest.
    ///
    /// # Errors
    /// Passes on read errors; an empty source is [`io::ErrorKind::InvalidInput`].
    pub fn from_reader(mut source: impl Read, chunk_bytes: u32) -> io::Result<Self> {
        let mut chunks = Vec::new();
        let mut total_bytes = 0;
        loop {
            let mut chunk = Vec::with_capacity(chunk_bytes as usize);
            source.by_ref().take(u64::from(chunk_bytes)).read_to_end(&mut chunk)?;
            if chunk.is_empty() {
                break;
            }
            total_bytes += chunk.len() as u64;
            chunks.push(ChunkDigest::of(&chunk));
        }
        let root = root_of(total_bytes, chunk_bytes, &chunks);
        let manifest = Self { total_bytes, chunk_bytes, chunks, root };
        manifest.check().map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        Ok(manifest)
    }

    /// Checks that sizes, chunk list and root agree.
    ///
    /// # Errors
    /// The first [`ManifestError`] found.
    pub fn check(&self) -> Result<(), ManifestError> {
        if self.total_bytes == 0 || self.chunk_bytes == 0 {
            return Err(ManifestError::Empty);
        }
        if self.chunks.len() > MAX_CHUNKS {
            return Err(ManifestError::TooManyChunks(self.chunks.len()));
        }
        let needed = self.total_bytes.div_ceil(u64::from(self.chunk_bytes));
        if self.chunks.len() as u64 != needed {
            return Err(ManifestError::ChunkCount(self.chunks.len(), needed as usize));
        }
        let computed = root_of(self.total_bytes, self.chunk_bytes, &self.chunks);
        if computed != self.root {
            return Err(ManifestError::Root(self.root, computed));
        }
        Ok(())
    }

    /// Number of chunks.
    pub fn chunk_count(&self) -> usize {
        self.chunks.len()
    }

    /// Byte range of `chunk` within the whole.
    pub fn byte_range(&self, chunk: ChunkIndex) -> Range<u64> {
        let start = u64::from(chunk.0) * u64::from(self.chunk_bytes);
        let end = (start + u64::from(self.chunk_bytes)).min(self.total_bytes);
        start..end
    }

    /// Whether `bytes` are exactly the content of `chunk`.
    pub fn verifies(&self, chunk: ChunkIndex, bytes: &[u8]) -> bool {
        self.chunks.get(chunk.0 as usize).is_some_and(|digest| *digest == ChunkDigest::of(bytes))
    }
}

/// The root digest over sizes and chunk digests.
fn root_of(total_bytes: u64, chunk_bytes: u32, chunks: &[ChunkDigest]) -> RootDigest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(b"moleroad manifest 1");
    hasher.update(&total_bytes.to_le_bytes());
    hasher.update(&chunk_bytes.to_le_bytes());
    for chunk in chunks {
        hasher.update(&chunk.0);
    }
    RootDigest(*hasher.finalize().as_bytes())
}
