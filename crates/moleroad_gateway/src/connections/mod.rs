//! Inbound HTTP connections, from the first byte of a request to the last byte of its
//! answer.
//!
//! - [`open_answers`] holds the answers that callers still wait for.
//! - [`tracked`] wraps a connection; it notices when an answer is written, and closes
//!   without losing the end of an answer.
//! - [`serve`] serves the requests of one connection until the process stops.

pub mod open_answers;
pub mod serve;
pub mod tracked;
