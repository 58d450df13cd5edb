//! The reverse proxy: accepts callers' requests, forwards them to targets and
//! returns the answers.
//!
//! - [`serve`] accepts connections and handles each request.
//! - [`request`] reads and validates a request.
//! - [`attempt`] sends a request, with retries, until it has an answer.
//! - [`sends`] tracks the number of sends and what was already counted.
//! - `waiting` decides how long a request waits for a slot.
//! - [`exchange`] performs one send over a connection of the [`pool`].
//! - `pending_send` waits for the head of an answer, and for another target if it stays
//!   out.
//! - [`connect`] opens a connection, with a hedge against packet loss.
//! - `broken_sends` records sends whose connection broke.
//! - [`give_up`] builds the answer when no target provides one.
//! - `silence_timeouts` derives timeouts from the route.
//! - [`buffered`] reads a complete answer before forwarding it.
//! - `first_events` waits for the beginning of a stream.
//! - [`stream`] forwards event streams and resumes them at another target.
//! - [`parts`] hands the parts of a stream to its caller.
//! - [`events`] splits a byte stream into events.
//! - [`answer`] defines the answers that the entry generates itself.

pub mod answer;
pub mod attempt;
mod attempt_log;
mod broken_sends;
pub mod buffered;
pub mod closed_answers;
pub mod connect;
pub mod events;
pub mod exchange;
mod first_events;
pub mod give_up;
pub mod parts;
mod pending_send;
pub mod pool;
pub mod request;
pub mod sends;
pub mod serve;
mod silence_timeouts;
pub mod stream;
mod waiting;
