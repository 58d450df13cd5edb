//! Callers' requests: taken, sent to a target, answered.
//!
//! [`serve`] takes connections, [`request`] reads and checks a request,
//! [`attempt`] sends it until it has an answer, [`sends`] counts that, `waiting` says how
//! long it waits for a place, [`exchange`] is one send over
//! a connection of the [`pool`], `breaks` notes those that broke off, `give_up` answers when no target does, `patience` says how long
//! silence is borne, [`whole`] reads answers to their end, [`stream`] passes events on and resumes at
//! another target, [`answer`] holds the answers of our own.

pub mod answer;
pub mod attempt;
mod attempt_log;
mod breaks;
pub mod connect;
pub mod events;
pub mod exchange;
pub mod give_up;
mod patience;
pub mod pool;
pub mod request;
pub mod sends;
pub mod serve;
pub mod stream;
mod waiting;
pub mod whole;
