//! How daemons write why they refuse a call.

use serde::Deserialize;

/// The body of a refusal.
#[derive(Deserialize)]
pub(crate) struct ErrorBody {
    /// Why.
    pub(crate) error: ErrorFields,
}

/// Why a call was refused.
#[derive(Deserialize)]
pub(crate) struct ErrorFields {
    /// Number of the error.
    pub(crate) code: String,
    /// The reason in words.
    pub(crate) message: String,
}
