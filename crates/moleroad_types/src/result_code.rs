//! Numbered result codes: what happened, whether the request ran, what to do.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether the request that an error answers was run by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// No byte of the request reached a target.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, and its answer is lost or incomplete.
    Ran,
    /// The code does not answer a caller's request.
    NotApplicable,
}

macro_rules! result_codes {
    ($($name:ident = $number:literal, $http:literal, $execution:ident, $summary:literal, $action:literal;)*) => {
        /// Every numbered result, with its number, HTTP status and meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ResultCode {
            $(#[doc = concat!("`MR-", stringify!($number), "`: ", $summary)] $name,)*
        }

        impl ResultCode {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)*];

            /// The number after `MR-`.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number,)* }
            }

            /// HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $http,)* }
            }

            /// Whether the request was run.
            pub fn execution(self) -> ExecutionStatus {
                match self { $(ResultCode::$name => ExecutionStatus::$execution,)* }
            }

            /// What happened, in one sentence.
            pub fn summary(self) -> &'static str {
                match self { $(ResultCode::$name => $summary,)* }
            }

            /// What the receiver can do.
            pub fn action(self) -> &'static str {
                match self { $(ResultCode::$name => $action,)* }
            }
        }
    };
}

result_codes! {
    SettingsUnreadable = 1001, 500, NotApplicable, "The settings file cannot be read.", "Check the path and its permissions.";
    SettingsInvalid = 1002, 500, NotApplicable, "The settings file has an unknown key, a wrong type or a value out of range.", "Correct the named line.";
    AddressInUse = 1003, 500, NotApplicable, "An address from the settings cannot be listened on.", "Free the address or set another.";
    DataFolderUnusable = 1004, 500, NotApplicable, "The data folder cannot be written or synced.", "Check the folder's permissions and free space.";
    DataFolderForeign = 1005, 500, NotApplicable, "The data folder belongs to another member or is in use by another process.", "Give each member a folder of its own.";
    DataFolderDamaged = 1006, 500, NotApplicable, "Records before the end of the log are damaged.", "Treat the disk as lost: start the member with an empty folder.";
    BadRequest = 2001, 400, NotRun, "The request is malformed.", "Correct the request.";
    BodyTooLarge = 2002, 413, NotRun, "The body is larger than the limit.", "Send a smaller body.";
    UnknownKey = 2003, 401, NotRun, "The key is missing or belongs to no account.", "Send a valid key in Authorization: Bearer.";
    NotFound = 2004, 404, NotRun, "No such path, model or service for this account.", "Check the name.";
    NoReplica = 2005, 503, NotRun, "No replica of the model or service may serve now.", "Come back after Retry-After.";
    LimitReached = 2006, 429, NotRun, "The account is at one of its limits.", "Come back after Retry-After.";
    DeadlineTooShort = 2007, 503, NotRun, "The work cannot finish before the request's deadline.", "Come back after Retry-After.";
    Leaving = 2008, 503, NotRun, "The instance is leaving and takes no new work.", "Use another address from /v1/entries.";
    StaleConfiguration = 2009, 503, NotRun, "The entry cannot show that its configuration is current.", "Use another address from /v1/entries.";
    OutcomeUnknown = 2010, 502, Unknown, "The connection to the target was lost; the request may have run.", "Check the effect before you send it again.";
    AnswerIncomplete = 2011, 502, Ran, "The target's answer ended before its end mark.", "Send the request again if it is repeatable.";
    KeyReused = 2012, 422, NotRun, "The idempotency key was used with another body.", "Use a new key for a new request.";
    StillRunning = 2013, 409, Unknown, "A request with this idempotency key has been dispatched and has no outcome yet.", "Ask again with the same key later.";
    ReplicaChanged = 2014, 409, NotRun, "The target no longer serves what the request was routed to.", "Send the request again.";
    TargetRefused = 2015, 503, NotRun, "The target refused the connection.", "Come back after Retry-After.";
    Busy = 2016, 503, NotRun, "The instance has no free place for the request.", "Come back after Retry-After.";
    ControlUnavailable = 3001, 503, NotRun, "No control member could take the request.", "Send it again with the same request id.";
    NotLeader = 3002, 503, NotRun, "The control member is not the leader.", "Ask the member it names.";
    VersionConflict = 3003, 409, NotRun, "Another change with the same object version won.", "Read the object, then apply with a higher version.";
    VersionTooLow = 3004, 409, NotRun, "The object already has a higher version.", "Read the object, then apply with a higher version.";
    ObjectInvalid = 3005, 400, NotRun, "The object is not valid.", "Correct the named field.";
    UnknownOperator = 3006, 401, NotRun, "The operator's key is not known.", "Use a key that is listed in the control members' settings.";
    AcceptanceUnknown = 3007, 503, Unknown, "The change was taken but its acceptance could not be confirmed in time.", "Send it again with the same request id.";
    FenceTooLow = 3008, 409, NotApplicable, "The order comes from a deposed leader.", "Nothing: the order had no effect.";
    ChunkMismatch = 4001, 502, NotApplicable, "A chunk's bytes do not match its digest.", "Nothing: the source is avoided and the chunk drawn elsewhere.";
    TicketRefused = 4002, 403, NotApplicable, "The ticket does not open these weights.", "Nothing: control gives a new ticket when the selector allows it.";
    SourceBusy = 4003, 503, NotApplicable, "All upload slots are taken.", "Try another source.";
    LoadRefused = 4004, 502, NotApplicable, "The engine did not load the weights.", "Read the engine's log; the agent tries again.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MR-{}", self.number())
    }
}

/// An error that carries a [`ResultCode`] and what exactly it was about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoleroadError {
    /// The numbered result.
    pub code: ResultCode,
    /// What exactly was wrong here.
    pub detail: String,
    /// When it makes sense to try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl MoleroadError {
    /// An error without a time to come back at.
    pub fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), retry_after_ms: None }
    }

    /// The same error with a time to come back at.
    pub fn retry_after(mut self, milliseconds: u64) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }
}

impl fmt::Display for MoleroadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} {}", self.code, self.code.summary(), self.detail)
    }
}

impl std::error::Error for MoleroadError {}
