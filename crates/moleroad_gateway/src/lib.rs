//! The programs that meet the outside: the entry, which takes callers'
//! requests and the calls of operators and targets, and the agent, which
//! brings weights to one engine.
//!
//! Each is one process with one thread for everything but the disk of the
//! control group ([`core`]). What is decided lies in the pure crates
//! (`moleroad_config`, `moleroad_directory`, `moleroad_dispatch`,
//! `moleroad_rollout`, `moleroad_consensus`); this crate does the I/O.
//! [`run`] is the one place that shows what runs in which role. What the
//! outside speaks is behind [`interface::Interface`].
#![warn(missing_docs)]

pub mod acquire;
pub mod agent;
pub mod candidates;
pub mod clock;
pub mod cold_targets;
pub mod control_member;
pub mod control_state;
pub mod counted_stream;
pub mod evacuations;
pub mod experiments;
pub mod front;
pub mod gossip;
pub mod grants;
mod hall_calls;
pub mod hall_orders;
mod hall_updates;
pub mod halls;
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
pub mod suspension;
mod target_ends;
mod target_limits;
pub mod target_notice;
pub mod target_updates;
pub mod trial;
pub mod view;
