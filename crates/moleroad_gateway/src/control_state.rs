//! State that is replicated by the control group.

use crate::evacuations::{Evacuations, HallOrder};
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use moleroad_config::prelude::{ConfigVersion, ConfigurationError};
use moleroad_quarantine::prelude::*;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;

/// A configuration as sent by the operator. It is stored and transmitted
/// compressed, since it is repetitive text and is sent across regions to every
/// member and relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Content, in zlib format.
    compressed: Arc<ByteBuf>,
}

/// Identifies a configuration document by version and content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentId {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// SHA-256 of the compressed bytes.
    pub digest: [u8; 32],
}

impl DocumentId {
    /// Returns the first eight bytes of the digest, enough to detect that two
    /// documents differ.
    pub fn short_digest(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.digest;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

/// Largest configuration in bytes, uncompressed: the most that one management
/// call may carry.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

impl ConfigDocument {
    /// Creates a document from the uncompressed content.
    pub fn new(version: ConfigVersion, bytes: &[u8]) -> Self {
        let mut reader = ZlibEncoder::new(bytes, Compression::fast());
        let mut compressed = Vec::new();
        reader
            .read_to_end(&mut compressed)
            .expect("reading from a slice into a vector cannot fail");
        Self {
            version,
            compressed: Arc::new(ByteBuf::from(compressed)),
        }
    }

    /// Returns the uncompressed content, as sent by the operator.
    ///
    /// # Errors
    /// [`ConfigurationError::Unreadable`] if the content is corrupt or larger
    /// than [`MAX_DOCUMENT_BYTES`].
    pub fn bytes(&self) -> Result<Vec<u8>, ConfigurationError> {
        let decoder = ZlibDecoder::new(&self.compressed[..]);
        let mut bytes = Vec::new();
        decoder
            .take(MAX_DOCUMENT_BYTES as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(|error| ConfigurationError::Unreadable(error.to_string()))?;
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let reason = "it is larger than a call may bring";
            return Err(ConfigurationError::Unreadable(reason.into()));
        }
        Ok(bytes)
    }

    /// Returns the document's ID. The digest is part of it because another
    /// document may have the same version.
    pub fn id(&self) -> DocumentId {
        DocumentId {
            version: self.version,
            digest: Sha256::digest(&self.compressed[..]).into(),
        }
    }

    /// Returns the compressed size in bytes.
    pub fn compressed_len(&self) -> usize {
        self.compressed.len()
    }
}

/// A change proposed by an operator or an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Replaces the configuration if this version is higher than the current
    /// one.
    Replace(ConfigDocument),
    /// Names a version of a model if it is higher than the last one named.
    NameVersion {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: u64,
    },
    /// Evacuates a data hall or reverses its evacuation.
    OrderHall(HallOrder),
    /// Holds what terminates targets: requests that carry it are no longer sent.
    HoldRequest(HoldOrder),
    /// Allows a single trial of what is held.
    TryRequest(TrialOrder),
    /// Releases what was held after a request with it ended well.
    ReleaseRequest(ReleaseOrder),
}

/// The state in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Configuration with the highest version.
    pub configuration: Option<ConfigDocument>,
    /// Highest version named for each model.
    pub versions: BTreeMap<String, u64>,
    /// Evacuation state of data halls.
    #[serde(default)]
    pub evacuations: Evacuations,
    /// Requests and parts of prompts that are held because they terminate targets.
    #[serde(default)]
    pub holds: Holds,
    /// Trials and releases of what is held.
    #[serde(default)]
    pub reviews: Reviews,
}

impl ControlState {
    /// Applies a change. Returns whether the state changed.
    pub fn apply(&mut self, command: &ControlCommand) -> bool {
        if self.includes(command) {
            return false;
        }
        match command {
            ControlCommand::Replace(document) => self.configuration = Some(document.clone()),
            ControlCommand::NameVersion { model, version } => {
                self.versions.insert(model.clone(), *version);
            }
            ControlCommand::OrderHall(order) => {
                let before = self.evacuations.state_of(&order.hall);
                return self.evacuations.apply(order).state != before;
            }
            ControlCommand::HoldRequest(order) => return self.holds.apply(order),
            ControlCommand::TryRequest(order) => return self.reviews.grant(order),
            ControlCommand::ReleaseRequest(order) => return self.reviews.release(order),
        }
        true
    }

    /// Returns whether the change, or a later one that supersedes it, was
    /// applied.
    ///
    /// The result of an order for a data hall depends on its position in the
    /// log, so orders are never reported as included. For a configuration, only
    /// the version is compared: the content applied under it may differ.
    pub fn includes(&self, command: &ControlCommand) -> bool {
        match command {
            ControlCommand::Replace(document) => self
                .configuration
                .as_ref()
                .is_some_and(|held| held.version >= document.version),
            ControlCommand::NameVersion { model, version } => {
                self.versions.get(model).is_some_and(|held| held >= version)
            }
            ControlCommand::OrderHall(_) => false,
            ControlCommand::HoldRequest(order) => self.holds.includes(order),
            ControlCommand::TryRequest(order) => self.reviews.includes_trial(order),
            ControlCommand::ReleaseRequest(order) => self.reviews.includes_release(order),
        }
    }

    /// Merges the newer parts of `other`. Returns whether the state changed.
    pub fn merge(&mut self, other: &ControlState) -> bool {
        let mut changed = false;
        if let Some(document) = &other.configuration {
            changed |= self.apply(&ControlCommand::Replace(document.clone()));
        }
        for (model, version) in &other.versions {
            changed |= self.apply(&ControlCommand::NameVersion {
                model: model.clone(),
                version: *version,
            });
        }
        changed |= self.evacuations.merge(&other.evacuations);
        changed |= self.holds.merge(&other.holds);
        changed | self.reviews.merge(&other.reviews)
    }

    /// Returns how much longer a hold lasts, in milliseconds, or `None` without one.
    pub fn hold_left_ms(&self, now: UnixMillis, key: &Fingerprint) -> Option<u64> {
        let until = self.holds.until(key)?;
        let left_ms = self.holds.left_ms(now, key)?;
        (!self.reviews.ends_hold(key, until)).then_some(left_ms)
    }

    /// Returns whether this state has a different document under the same
    /// version as `decided`.
    pub fn conflicts_with(&self, decided: &Self) -> bool {
        match (self.document_id(), decided.document_id()) {
            (Some(held), Some(decided)) => held.version == decided.version && held != decided,
            _ => false,
        }
    }

    /// Returns the ID of the configuration, or `None` if there is none.
    pub fn document_id(&self) -> Option<DocumentId> {
        self.configuration.as_ref().map(ConfigDocument::id)
    }

    /// Returns the version of the configuration, or 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        let document = self.configuration.as_ref();
        document
            .map(|document| document.version)
            .unwrap_or_default()
    }
}
