//! JSON error bodies of daemons.

use serde::Deserialize;

/// Body of an error response.
#[derive(Deserialize)]
pub(crate) struct ErrorBody {
    /// The error.
    pub(crate) error: ErrorFields,
}

/// Code and description of an error.
#[derive(Deserialize)]
pub(crate) struct ErrorFields {
    /// Result code.
    pub(crate) code: String,
    /// Human-readable description.
    pub(crate) message: String,
}
