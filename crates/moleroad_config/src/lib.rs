//! Configurations: the routes, services, client accounts and limits that an
//! operator submits as one versioned document.
//!
//! [`Configuration`](configuration::Configuration) is plain data.
//! [`check`](check::check) validates it, and
//! [`RouteTable`](route_table::RouteTable) is its compiled form for request
//! lookups. [`Residency`](residency::Residency) holds the regions in which a
//! request may be served.
//!
//! ```
//! use moleroad_config::prelude::*;
//!
//! let configuration = Configuration { version: ConfigVersion(7), ..Default::default() };
//! assert!(check(&configuration).is_ok());
//! let table = RouteTable::compile(&configuration);
//! assert!(table.find("a.example", "/x/").is_none());
//! ```
#![warn(missing_docs)]

pub mod check;
pub mod configuration;
pub mod residency;
pub mod route_table;

/// Commonly used types of the crate.
pub mod prelude {
    pub use crate::check::{ConfigurationError, check};
    pub use crate::configuration::{
        ClientAccount, ColdStart, ConfigVersion, Configuration, EngineModel, Limits, OriginService,
        Repeatability, Route, Service, StepModel, WeightedService,
    };
    pub use crate::residency::{Residency, ResidencyWarning, residency_warnings};
    pub use crate::route_table::RouteTable;
}
