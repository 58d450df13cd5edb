//! A simulated disk that loses unsynced data in a crash.

use moleroad_consensus::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Content of a [`CrashDisk`].
#[derive(Clone, Debug, Default)]
pub struct DiskContents {
    /// Content that survives a crash.
    durable: BTreeMap<String, Vec<u8>>,
    /// Content including unsynced appends.
    current: BTreeMap<String, Vec<u8>>,
    /// Operations until the disk fails; `None` never fails.
    operations_left: Option<u64>,
    /// Number of operations so far.
    pub operations: u64,
}

/// A simulated disk on which only synced content survives a crash.
#[derive(Clone, Debug, Default)]
pub struct CrashDisk(pub Arc<Mutex<DiskContents>>);

impl CrashDisk {
    /// Fails every operation after the next `count`.
    pub fn fail_after(&self, count: u64) {
        self.0.lock().unwrap().operations_left = Some(count);
    }

    /// Simulates a crash: drops unsynced bytes, except for the first `kept` of
    /// each file.
    pub fn crash(&self, kept: usize) {
        let mut contents = self.0.lock().unwrap();
        let mut survived = contents.durable.clone();
        for (name, current) in &contents.current {
            let durable = contents.durable.get(name).cloned().unwrap_or_default();
            if current.starts_with(&durable) {
                let end = (durable.len() + kept).min(current.len());
                survived.insert(name.clone(), current[..end].to_vec());
            }
        }
        survived.retain(|_, bytes| !bytes.is_empty());
        contents.durable = survived.clone();
        contents.current = survived;
        contents.operations_left = None;
    }

    /// Flips one bit of a file.
    pub fn damage(&self, file: &str, offset: usize) {
        let mut contents = self.0.lock().unwrap();
        for content in [true, false] {
            let files = if content {
                &mut contents.durable
            } else {
                &mut contents.current
            };
            if let Some(bytes) = files.get_mut(file) {
                bytes[offset] ^= 1;
            }
        }
    }

    /// Returns the length of a file.
    pub fn len(&self, file: &str) -> usize {
        self.0.lock().unwrap().current.get(file).map_or(0, Vec::len)
    }

    fn count(&self) -> io::Result<()> {
        let mut contents = self.0.lock().unwrap();
        contents.operations += 1;
        match &mut contents.operations_left {
            Some(0) => Err(io::Error::other("the disk failed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Disk for CrashDisk {
    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().current.get(file).cloned())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let failed = self.count();
        let mut contents = self.0.lock().unwrap();
        // A failing write may leave part of its bytes behind.
        let written = if failed.is_ok() {
            bytes
        } else {
            &bytes[..bytes.len() / 2]
        };
        contents
            .current
            .entry(file.to_string())
            .or_default()
            .extend_from_slice(written);
        failed
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.count()?;
        let mut contents = self.0.lock().unwrap();
        let content = contents.current.get(file).cloned().unwrap_or_default();
        contents.durable.insert(file.to_string(), content);
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.count()?;
        let mut contents = self.0.lock().unwrap();
        contents.durable.insert(file.to_string(), bytes.to_vec());
        contents.current.insert(file.to_string(), bytes.to_vec());
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.count()?;
        let mut contents = self.0.lock().unwrap();
        contents.durable.remove(file);
        contents.current.remove(file);
        Ok(())
    }
}
