//! The state that the control group agrees on.

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

/// A configuration as the operator sent it, kept and passed on compressed: it
/// is text that repeats itself and crosses regions to every member and relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Its version.
    pub version: ConfigVersion,
    /// Its bytes, in the zlib format.
    compressed: Arc<ByteBuf>,
}

/// Which document it is, without its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentId {
    /// Its version.
    pub version: ConfigVersion,
    /// SHA-256 of its bytes as they are passed on.
    pub digest: [u8; 32],
}

impl DocumentId {
    /// The begin of its digest: enough to notice that two documents differ.
    pub fn short_digest(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.digest;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

/// Largest configuration, in bytes: as much as a call may bring.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

impl ConfigDocument {
    /// The document `version` with these bytes.
    pub fn new(version: ConfigVersion, bytes: &[u8]) -> Self {
        let mut reader = ZlibEncoder::new(bytes, Compression::fast());
        let mut compressed = Vec::new();
        reader
            .read_to_end(&mut compressed)
            .expect("a slice can be read and a vector grows");
        Self {
            version,
            compressed: Arc::new(ByteBuf::from(compressed)),
        }
    }

    /// The bytes as the operator sent them.
    ///
    /// # Errors
    /// [`ConfigurationError::Unreadable`] when they are spoilt or too many.
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

    /// Which document it is: another one may have the same version.
    pub fn id(&self) -> DocumentId {
        DocumentId {
            version: self.version,
            digest: Sha256::digest(&self.compressed[..]).into(),
        }
    }

    /// Bytes that it takes on the way and on disk.
    pub fn compressed_len(&self) -> usize {
        self.compressed.len()
    }
}

/// A change that an operator or an entry wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Put a configuration in force if its version is higher than the one held.
    Replace(ConfigDocument),
    /// Name a version of a model if it is higher than the one named before.
    NameVersion {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: u64,
    },
    /// Evacuate a data hall or take it back.
    OrderHall(HallOrder),
    /// Send a request no more that ends targets.
    HoldRequest(HoldOrder),
    /// Send one copy of a request that is held.
    TryRequest(TrialOrder),
    /// Send a request again that ran to a good end.
    ReleaseRequest(ReleaseOrder),
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration with the highest version.
    pub configuration: Option<ConfigDocument>,
    /// The highest version named of each model.
    pub versions: BTreeMap<String, u64>,
    /// Which data halls are evacuated.
    #[serde(default)]
    pub evacuations: Evacuations,
    /// Requests that are not sent, since they end targets.
    #[serde(default)]
    pub holds: Holds,
    /// How such requests come to be sent again.
    #[serde(default)]
    pub reviews: Reviews,
}

impl ControlState {
    /// Applies a change; true if it changed anything.
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
                let before = self.evacuations.of(&order.hall);
                return self.evacuations.carry_out(order).state != before;
            }
            ControlCommand::HoldRequest(order) => return self.holds.apply(order),
            ControlCommand::TryRequest(order) => return self.reviews.grant(order),
            ControlCommand::ReleaseRequest(order) => return self.reviews.release(order),
        }
        true
    }

    /// Whether the change, or a later one of its kind, was applied. What an
    /// order for a hall comes to, the log alone can tell; and that a document with
    /// this version was applied does not say that it has the same bytes.
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

    /// Takes what is newer in `other`; true if anything was.
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

    /// How much longer a request is held, in milliseconds; `None` when it may be
    /// sent.
    pub fn hold_left_ms(&self, now: UnixMillis, request: &RequestFingerprint) -> Option<u64> {
        let until = self.holds.until(request)?;
        let left_ms = self.holds.left_ms(now, request)?;
        (!self.reviews.ends_hold(request, until)).then_some(left_ms)
    }

    /// Whether another document is held here under the version that `decided` holds.
    pub fn conflicts_with(&self, decided: &Self) -> bool {
        match (self.document_id(), decided.document_id()) {
            (Some(held), Some(decided)) => held.version == decided.version && held != decided,
            _ => false,
        }
    }

    /// Which configuration it is; `None` without one.
    pub fn document_id(&self) -> Option<DocumentId> {
        self.configuration.as_ref().map(ConfigDocument::id)
    }

    /// Version of the configuration; 0 without one.
    pub fn config_version(&self) -> ConfigVersion {
        let document = self.configuration.as_ref();
        document
            .map(|document| document.version)
            .unwrap_or_default()
    }
}
