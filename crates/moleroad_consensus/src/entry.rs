//! Log entries, durable voting state and snapshots.

use crate::member::{Configuration, MemberId};
use moleroad_types::prelude::Term;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Position in the replicated log; the first entry is at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one; zero stays zero.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that made it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

/// Content of an [`Entry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Opens a leader's term.
    Noop,
    /// An encoded command for the replicated state.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A new set of members, in force from the moment it is in the log.
    Configuration(Configuration),
}

/// What a member must remember of its votes before it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Member voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// The replicated state up to a log position, which replaces the log to there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last position that the state includes.
    pub index: LogIndex,
    /// Term of the entry at that position.
    pub term: Term,
    /// Members at that position.
    pub configuration: Configuration,
    /// The encoded state; empty for a founding snapshot.
    pub state: Arc<serde_bytes::ByteBuf>,
}
