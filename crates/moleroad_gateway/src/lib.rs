//! The daemons that communicate with callers, targets and operators: the entry,
//! which routes callers' requests and handles calls of operators and targets, the
//! control daemon, which handles such calls only, and the agent, which transfers
//! weights to one engine.
//!
//! Each daemon is one process that runs on one thread, apart from disk access for
//! the control group ([`control_member`]). The decision logic is in crates without I/O
//! (`moleroad_config`, `moleroad_directory`, `moleroad_dispatch`,
//! `moleroad_rollout`, `moleroad_consensus`); this crate performs the I/O.
//! [`run`] starts the tasks of each role. [`interface::Interface`] abstracts over
//! the platform's wire formats.
#![warn(missing_docs)]

pub mod acquire;
pub mod agent;
pub mod answer_times;
pub mod candidates;
pub mod clock;
pub mod cold_targets;
pub mod connections;
pub mod control_member;
pub mod control_state;
pub mod counted_stream;
pub mod deciding;
pub mod evacuations;
pub mod experiments;
pub mod front;
pub mod gossip;
pub mod grants;
mod hall_calls;
pub mod hall_orders;
mod hall_updates;
pub mod halls;
pub mod held_bytes;
pub mod interface;
pub mod limit_grants;
pub mod listening;
pub mod logging;
pub mod management_api;
pub mod metrics;
pub mod named_versions;
pub mod no_place;
pub mod node;
pub mod operator;
pub mod peer;
pub mod peer_server;
pub mod peers;
pub mod places;
pub mod probe;
pub mod quarantine;
mod refusal;
mod region_warnings;
pub mod run;
pub mod settings;
pub mod stop;
pub mod suspension;
mod target_ends;
mod target_limits;
pub mod target_notice;
pub mod target_updates;
pub mod ticks;
pub mod trial;
pub mod view;
