//! What a member keeps on its disk: identity, votes, log and snapshot.
//!
//! Two files: `identity` names the member and the format; `log` holds
//! checksummed records, of which the first is a snapshot if there is one. The
//! log file is replaced as a whole when a snapshot is saved.
//!
//! A torn last record is cut. A record that is damaged while a sound one
//! follows means that the disk is lost: see [`StorageError::Damaged`].

use crate::disk::Disk;
use crate::entry::{Entry, HardState, LogIndex, Snapshot};
use crate::member::{Configuration, MemberId};
use moleroad_types::prelude::Term;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::io;

/// Version of the layout of the files.
pub const FORMAT_VERSION: u32 = 1;

const IDENTITY_FILE: &str = "identity";
const LOG_FILE: &str = "log";
const RECORD_MAGIC: [u8; 4] = *b"MRr1";
const CHECKSUM_BYTES: usize = 16;
const HEADER_BYTES: usize = RECORD_MAGIC.len() + 4 + CHECKSUM_BYTES;

quick_error! {
    /// Why the data folder cannot be used.
    #[derive(Debug)]
    pub enum StorageError {
        /// Reading, writing or syncing failed.
        Io(error: io::Error) {
            from()
            display("the data folder cannot be read or written: {}", error)
            source(error)
        }
        /// A record before the end of the log does not match its checksum.
        Damaged(offset: usize) {
            display("the log is damaged at byte {}, before its end", offset)
        }
        /// The folder was written by another version of the program.
        Format(found: u32) {
            display("the data folder has format {}, this program reads {}", found, FORMAT_VERSION)
        }
        /// The identity file is not readable.
        Identity {
            display("the identity file is damaged")
        }
        /// A record could not be encoded.
        Encode(reason: String) {
            display("a record could not be encoded: {}", reason)
        }
    }
}

/// Who the folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Layout of the files.
    pub format: u32,
    /// Identity of the member.
    pub member: MemberId,
    /// Instance that made the folder.
    pub instance: String,
}

/// What the disk held when the member started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
    /// Bytes of a torn last record that were cut.
    pub torn_bytes: usize,
}

impl Restored {
    /// The state of a member of a newly founded group.
    pub fn founded(configuration: Configuration) -> Self {
        let snapshot = Snapshot {
            index: LogIndex(1),
            term: Term(0),
            configuration,
            state: std::sync::Arc::default(),
        };
        Self { snapshot: Some(snapshot), ..Self::default() }
    }
}

#[derive(Serialize, Deserialize)]
enum Record {
    Snapshot(Snapshot),
    HardState(HardState),
    Entry(Entry),
    Truncate(LogIndex),
}

/// A member's durable state on a [`Disk`].
#[derive(Debug)]
pub struct Storage<D> {
    disk: D,
    identity: Identity,
    hard_state: HardState,
}

impl<D: Disk> Storage<D> {
    /// Opens the folder, or founds it with the identity `fresh` when empty.
    ///
    /// # Errors
    /// [`StorageError::Damaged`] and [`StorageError::Identity`] mean that the
    /// disk counts as lost.
    pub fn open(mut disk: D, fresh: MemberId, instance: &str) -> Result<(Self, Restored), StorageError> {
        let identity = match disk.read(IDENTITY_FILE)? {
            Some(bytes) => rmp_serde::from_slice(&bytes).map_err(|_| StorageError::Identity)?,
            None => found_identity(&mut disk, fresh, instance)?,
        };
        if identity.format != FORMAT_VERSION {
            return Err(StorageError::Format(identity.format));
        }
        let bytes = disk.read(LOG_FILE)?.unwrap_or_default();
        let restored = replay(&bytes)?;
        let mut storage = Self { disk, identity, hard_state: restored.hard_state };
        if restored.torn_bytes > 0 {
            storage.rewrite(restored.snapshot.as_ref(), &restored.entries)?;
        }
        Ok((storage, restored))
    }

    /// Who the folder belongs to.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Stores term and vote durably.
    ///
    /// # Errors
    /// After an error nothing may be acknowledged any more.
    pub fn save_hard_state(&mut self, hard_state: HardState) -> Result<(), StorageError> {
        self.hard_state = hard_state;
        self.write(&[Record::HardState(hard_state)])
    }

    /// Stores entries durably with one sync.
    ///
    /// # Errors
    /// After an error nothing may be acknowledged any more.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        let records: Vec<Record> = entries.iter().cloned().map(Record::Entry).collect();
        self.write(&records)
    }

    /// Drops entries from `first` on.
    ///
    /// # Errors
    /// After an error nothing may be acknowledged any more.
    pub fn truncate(&mut self, first: LogIndex) -> Result<(), StorageError> {
        self.write(&[Record::Truncate(first)])
    }

    /// Stores `snapshot` and the entries to `keep` durably, and nothing else.
    ///
    /// # Errors
    /// After an error nothing may be acknowledged any more.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, keep: &[Entry]) -> Result<(), StorageError> {
        self.rewrite(Some(snapshot), keep)
    }

    fn rewrite(&mut self, snapshot: Option<&Snapshot>, entries: &[Entry]) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        if let Some(snapshot) = snapshot {
            encode(&Record::Snapshot(snapshot.clone()), &mut bytes)?;
        }
        encode(&Record::HardState(self.hard_state), &mut bytes)?;
        for entry in entries {
            encode(&Record::Entry(entry.clone()), &mut bytes)?;
        }
        self.disk.replace(LOG_FILE, &bytes)?;
        Ok(())
    }

    fn write(&mut self, records: &[Record]) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        for record in records {
            encode(record, &mut bytes)?;
        }
        self.disk.append(LOG_FILE, &bytes)?;
        self.disk.sync(LOG_FILE)?;
        Ok(())
    }
}

fn found_identity(disk: &mut impl Disk, member: MemberId, instance: &str) -> Result<Identity, StorageError> {
    // A log without an identity is not this program's own work.
    if disk.read(LOG_FILE)?.is_some() {
        return Err(StorageError::Identity);
    }
    let identity = Identity { format: FORMAT_VERSION, member, instance: instance.to_string() };
    let bytes = rmp_serde::to_vec(&identity).map_err(|error| StorageError::Encode(error.to_string()))?;
    disk.replace(IDENTITY_FILE, &bytes)?;
    Ok(identity)
}

fn encode(record: &Record, out: &mut Vec<u8>) -> Result<(), StorageError> {
    let body = rmp_serde::to_vec(record).map_err(|error| StorageError::Encode(error.to_string()))?;
    out.extend_from_slice(&RECORD_MAGIC);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(&body));
    out.extend_from_slice(&body);
    Ok(())
}

fn checksum(body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut short = [0; CHECKSUM_BYTES];
    short.copy_from_slice(&blake3::hash(body).as_bytes()[..CHECKSUM_BYTES]);
    short
}

/// The record at the start of `bytes` and its length, `None` if not sound.
fn decode(bytes: &[u8]) -> Option<(Record, usize)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let (magic, rest) = header.split_at(RECORD_MAGIC.len());
    let (length, sum) = rest.split_at(4);
    if magic != RECORD_MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let end = HEADER_BYTES.checked_add(length)?;
    let body = bytes.get(HEADER_BYTES..end)?;
    if checksum(body) != sum {
        return None;
    }
    rmp_serde::from_slice(body).ok().map(|record| (record, end))
}

fn replay(bytes: &[u8]) -> Result<Restored, StorageError> {
    let mut restored = Restored::default();
    let mut offset = 0;
    while offset < bytes.len() {
        match decode(&bytes[offset..]) {
            Some((record, length)) => {
                apply(&mut restored, record);
                offset += length;
            }
            None if sound_record_after(bytes, offset) => return Err(StorageError::Damaged(offset)),
            None => {
                restored.torn_bytes = bytes.len() - offset;
                break;
            }
        }
    }
    Ok(restored)
}

fn sound_record_after(bytes: &[u8], offset: usize) -> bool {
    let candidates = offset + 1..bytes.len().saturating_sub(HEADER_BYTES);
    candidates.into_iter().any(|start| {
        bytes[start..].starts_with(&RECORD_MAGIC) && decode(&bytes[start..]).is_some()
    })
}

fn apply(restored: &mut Restored, record: Record) {
    match record {
        Record::Snapshot(snapshot) => {
            restored.entries.retain(|entry| entry.index > snapshot.index);
            restored.snapshot = Some(snapshot);
        }
        Record::HardState(hard_state) => restored.hard_state = hard_state,
        Record::Entry(entry) => restored.entries.push(entry),
        Record::Truncate(first) => restored.entries.retain(|entry| entry.index < first),
    }
}
