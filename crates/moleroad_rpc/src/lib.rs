//! Calls between the system's own processes.
//!
//! One tarpc service, [`DaemonService`](service::DaemonService), is served by
//! every daemon; a daemon refuses the calls that its role does not answer.
//! Connections begin with a [`handshake`] in which both sides prove that they
//! know the cluster key. [`ControlClient`](client::ControlClient) finds the
//! leading control member and follows it when it changes.
//!
//! ```
//! use moleroad_rpc::prelude::*;
//!
//! let key = ClusterKey::from_secret("0123456789abcdef");
//! assert_ne!(key, ClusterKey::from_secret("another secret..."));
//! ```
#![warn(missing_docs)]

pub mod client;
pub mod handshake;
pub mod inbound;
pub mod message;
pub mod server;
pub mod service;

/// The types most users of the crate need.
pub mod prelude {
    pub use crate::client::{Connection, ControlClient};
    pub use crate::handshake::ClusterKey;
    pub use crate::inbound::{CallServer, InboundCall, Reply};
    pub use crate::message::*;
    pub use crate::server::serve;
    pub use crate::service::{DaemonService, DaemonServiceClient};
}
