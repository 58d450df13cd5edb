//! Typed and checked settings of the daemon.
//!
//! A settings file is YAML. It is read whole and checked whole before anything
//! starts: unknown keys, wrong types and values out of range are refused with
//! file, line and column, and for an unknown key the nearest valid one.
//!
//! ```
//! use moleroad_settings::prelude::*;
//!
//! let text = "
//! instance: engine-1
//! data_hall: cardiff-hall
//! region: south-wales
//! cluster_key: 0123456789abcdef
//! control_members: ['127.0.0.1:7000']
//! rpc_address: 127.0.0.1:7001
//! http_address: 127.0.0.1:8001
//! agent:
//!   staging_folder: /var/lib/moleroad/staging
//!   link_bytes_per_second: 1_000_000
//!   target: { engine: { address: '127.0.0.1:9000' } }
//! ";
//! let settings = Settings::from_yaml("engine-1.yaml", text).unwrap();
//! assert!(matches!(settings.role, Role::Agent(_)));
//! let error = Settings::from_yaml("engine-1.yaml", &text.replace("region:", "regoin:")).unwrap_err();
//! assert!(error.to_string().contains("did you mean `region`"));
//! ```
#![warn(missing_docs)]

pub mod error;
pub mod settings;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::error::SettingsError;
    pub use crate::settings::{
        AgentSettings, ControlSettings, EntrySettings, OperatorSettings, OriginSettings, Role,
        Settings, TargetSettings,
    };
}
