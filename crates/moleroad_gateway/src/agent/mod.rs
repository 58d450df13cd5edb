//! The agent: loads the wanted version of the weights into the engine of its
//! instance, serves pieces to other agents, and reports the engine's load to
//! entries.
//!
//! [`watch`] polls the engine. [`update_loop`] decides which version is wanted.
//! [`digests`] and [`fetch`] retrieve it: [`choice`] selects the next piece and
//! its source, [`transfer`] retrieves one piece, `superseded` decides whether
//! to abandon a version for a newer one, and [`offers`] announces pieces to
//! other agents. [`pieces`] tracks which pieces this agent has, [`store`]
//! writes them to the engine's store, [`switch`] makes the engine load them,
//! and [`uploads`] serves pieces to other agents. [`calls`] makes the HTTP
//! calls to the engine and the origin, and [`cold`] grants requests while the
//! engine is cold.

pub mod calls;
pub mod choice;
pub mod cold;
pub mod digests;
pub mod fetch;
pub mod offers;
pub mod pieces;
pub mod store;
mod superseded;
pub mod switch;
pub mod transfer;
pub mod update_loop;
pub mod uploads;
pub mod watch;

use crate::deciding::spawn_deciding;
use crate::node::Node;
use std::sync::Arc;

/// Starts the tasks of an agent.
pub fn start(node: &Arc<Node>) {
    spawn_deciding("engine_watch", watch::watch(node.clone()));
    spawn_deciding("weights", update_loop::run(node.clone()));
    tokio::spawn(cold::log_grants(node.clone()));
}
