//! The state that the control group agrees on.

use moleroad_config::prelude::ConfigVersion;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A configuration as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Its version.
    pub version: ConfigVersion,
    /// Its bytes, unchanged.
    pub bytes: Arc<ByteBuf>,
}

/// A change that an operator wants.
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
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// The configuration with the highest version.
    pub configuration: Option<ConfigDocument>,
    /// The highest version named of each model.
    pub versions: BTreeMap<String, u64>,
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
        }
        true
    }

    /// Whether the change, or a later one of its kind, was applied.
    pub fn includes(&self, command: &ControlCommand) -> bool {
        match command {
            ControlCommand::Replace(document) => self
                .configuration
                .as_ref()
                .is_some_and(|held| held.version >= document.version),
            ControlCommand::NameVersion { model, version } => {
                self.versions.get(model).is_some_and(|held| held >= version)
            }
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
        changed
    }

    /// Version of the configuration; 0 without one.
    pub fn config_version(&self) -> ConfigVersion {
        let document = self.configuration.as_ref();
        document
            .map(|document| document.version)
            .unwrap_or_default()
    }
}
