//! Chunks on the instance's own disk: a cache that may vanish.

use moleroad_transfer::prelude::ChunkSet;
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};

const LOCK_FILE: &str = "lock";
const WEIGHTS_FILE: &str = "weights";
const MANIFEST_FILE: &str = "manifest.json";

/// What is staged, as kept beside the chunks.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StagedManifest {
    weights: WeightsId,
    manifest: Manifest,
}

/// The staging folder. Its lock keeps a second agent from the same target.
pub(crate) struct Staging {
    folder: PathBuf,
    roots: RwLock<BTreeMap<RootDigest, Arc<RootStore>>>,
    _lock: File,
}

impl Staging {
    /// Locks the folder, which is created if needed.
    pub(crate) fn open(folder: &Path) -> Result<Self, MoleroadError> {
        let unusable = |error: io::Error| {
            let detail = format!("staging_folder {}: {error}", folder.display());
            MoleroadError::new(ResultCode::DataFolderUnusable, detail)
        };
        fs::create_dir_all(folder).map_err(unusable)?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock = options.open(folder.join(LOCK_FILE)).map_err(unusable)?;
        if lock.try_lock().is_err() {
            let detail = format!("{} is in use by another agent", folder.display());
            return Err(MoleroadError::new(ResultCode::DataFolderForeign, detail));
        }
        Ok(Self {
            folder: folder.to_path_buf(),
            roots: RwLock::default(),
            _lock: lock,
        })
    }

    /// Opens every root that an earlier process left, and verifies each chunk.
    pub(crate) fn recover(&self) -> Vec<Arc<RootStore>> {
        let Ok(entries) = fs::read_dir(&self.folder) else {
            return Vec::new();
        };
        let folders = entries
            .flatten()
            .map(|entry| entry.path())
            .filter(|path| path.is_dir());
        let mut stores = Vec::new();
        for folder in folders {
            match RootStore::recover(&folder) {
                Ok(store) => stores.push(self.insert(store)),
                Err(error) => {
                    log::warn!(folder:% = folder.display(), error:% = error; "staged weights are dropped");
                    let _ = fs::remove_dir_all(&folder);
                }
            }
        }
        stores
    }

    /// The store of a root, made if needed.
    pub(crate) fn create(
        &self,
        weights: &WeightsId,
        manifest: &Manifest,
    ) -> io::Result<Arc<RootStore>> {
        if let Some(store) = self.get(weights.root) {
            return Ok(store);
        }
        let folder = self.folder.join(weights.root.to_hex());
        let store = RootStore::create(&folder, weights, manifest)?;
        Ok(self.insert(store))
    }

    fn insert(&self, store: RootStore) -> Arc<RootStore> {
        let store = Arc::new(store);
        let mut roots = self
            .roots
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        roots.insert(store.weights.root, Arc::clone(&store));
        store
    }

    /// The store of `root`, if it is open.
    pub(crate) fn get(&self, root: RootDigest) -> Option<Arc<RootStore>> {
        let roots = self
            .roots
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        roots.get(&root).cloned()
    }

    /// Removes a root's chunks.
    pub(crate) fn remove(&self, root: RootDigest) {
        let mut roots = self
            .roots
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(store) = roots.remove(&root) {
            let _ = fs::remove_dir_all(&store.folder);
        }
    }
}

/// The verified chunks of one root, in one file.
pub(crate) struct RootStore {
    /// Identity of the weights.
    pub(crate) weights: WeightsId,
    /// Their manifest.
    pub(crate) manifest: Manifest,
    folder: PathBuf,
    file: File,
    have: RwLock<ChunkSet>,
}

impl RootStore {
    fn create(folder: &Path, weights: &WeightsId, manifest: &Manifest) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let staged = StagedManifest {
            weights: weights.clone(),
            manifest: manifest.clone(),
        };
        fs::write(folder.join(MANIFEST_FILE), serde_json::to_vec(&staged)?)?;
        let file = open_weights(folder)?;
        file.set_len(manifest.total_bytes)?;
        let have = ChunkSet::empty(manifest.chunk_count());
        Ok(Self {
            weights: weights.clone(),
            manifest: manifest.clone(),
            folder: folder.to_path_buf(),
            file,
            have: RwLock::new(have),
        })
    }

    /// Opens what an earlier process left; only chunks that verify count.
    fn recover(folder: &Path) -> io::Result<Self> {
        let staged: StagedManifest =
            serde_json::from_slice(&fs::read(folder.join(MANIFEST_FILE))?)?;
        staged.manifest.check().map_err(io::Error::other)?;
        if staged.weights.root != staged.manifest.root {
            return Err(io::Error::other("the manifest is of other weights"));
        }
        let file = open_weights(folder)?;
        file.set_len(staged.manifest.total_bytes)?;
        let have = ChunkSet::empty(staged.manifest.chunk_count());
        let store = Self {
            weights: staged.weights,
            manifest: staged.manifest,
            folder: folder.to_path_buf(),
            file,
            have: RwLock::new(have),
        };
        for chunk in (0..store.manifest.chunk_count() as u32).map(ChunkIndex) {
            let bytes = store.read_at(chunk)?;
            if store.manifest.verifies(chunk, &bytes) {
                store.mark(chunk);
            }
        }
        Ok(store)
    }

    /// Chunks held.
    pub(crate) fn have(&self) -> ChunkSet {
        self.have
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Stores `bytes` as `chunk` if they verify; false if they do not.
    pub(crate) fn store(&self, chunk: ChunkIndex, bytes: &[u8]) -> io::Result<bool> {
        if !self.manifest.verifies(chunk, bytes) {
            return Ok(false);
        }
        self.file
            .write_all_at(bytes, self.manifest.byte_range(chunk).start)?;
        self.mark(chunk);
        Ok(true)
    }

    fn mark(&self, chunk: ChunkIndex) {
        self.have
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .insert(chunk);
    }

    /// The bytes of a chunk that is held.
    pub(crate) fn read(&self, chunk: ChunkIndex) -> io::Result<Option<Vec<u8>>> {
        let held = self
            .have
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .contains(chunk);
        if !held {
            return Ok(None);
        }
        self.read_at(chunk).map(Some)
    }

    fn read_at(&self, chunk: ChunkIndex) -> io::Result<Vec<u8>> {
        let range = self.manifest.byte_range(chunk);
        let mut bytes = vec![0; (range.end - range.start) as usize];
        self.file.read_exact_at(&mut bytes, range.start)?;
        Ok(bytes)
    }

    /// The file with the whole weights.
    pub(crate) fn path(&self) -> PathBuf {
        self.folder.join(WEIGHTS_FILE)
    }
}

fn open_weights(folder: &Path) -> io::Result<File> {
    let mut options = OpenOptions::new();
    options.create(true).truncate(false).read(true).write(true);
    options.open(folder.join(WEIGHTS_FILE))
}
