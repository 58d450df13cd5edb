//! The agent: brings the weights of the wanted version to the engine of its
//! instance, gives pieces to other agents, and tells entries how busy the
//! engine is.
//!
//! [`watch`] reads the engine, [`bring`] decides what is wanted, [`digests`]
//! and [`fetch`] get it: [`choice`] says which piece from where, [`transfer`]
//! brings it, `overtaken` whether a newer version goes first, [`offers`] tells
//! others of it. [`pieces`] knows what is here, [`store`] puts it into the
//! engine's store, [`change`] lets the engine take it, [`uploads`] gives pieces
//! to others, [`calls`] are the HTTP calls to the engine and the origin, [`cold`] grants requests while the engine is cold.

pub mod bring;
pub mod calls;
pub mod change;
pub mod choice;
pub mod cold;
pub mod digests;
pub mod fetch;
pub mod offers;
mod overtaken;
pub mod pieces;
pub mod store;
pub mod transfer;
pub mod uploads;
pub mod watch;

use crate::node::Node;
use std::sync::Arc;

/// Starts the tasks of an agent.
pub fn start(node: &Arc<Node>) {
    tokio::spawn(watch::watch(node.clone()));
    tokio::spawn(bring::bring(node.clone()));
    tokio::spawn(cold::report_sums(node.clone()));
}
