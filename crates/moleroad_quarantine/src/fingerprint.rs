//! Identification of repeated requests, whatever their ids.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a fingerprint in bytes. The chance that two of the requests that a group
/// of entries sees in a day (under 2^28) collide is less than 2^-70.
const FINGERPRINT_BYTES: usize = 16;

/// A digest of a request's content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(#[serde(with = "serde_bytes")] pub [u8; FINGERPRINT_BYTES]);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The content of a request and the account that sent it. Ids, deadlines and other
/// headers are excluded, since they change when a caller repeats the request.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Client account; `None` where the route needs none. It is part of the content so
    /// that no account can make the requests of another one suspect.
    pub account: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host named by the caller.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Computes the fingerprint of this content.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new();
        // Each part is preceded by its length, so that different splits of the same
        // bytes differ.
        let mut part = |bytes: &[u8]| {
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        part(&[u8::from(self.account.is_some())]);
        part(self.account.unwrap_or_default().as_bytes());
        part(self.method.as_bytes());
        part(self.host.as_bytes());
        part(self.target.as_bytes());
        part(self.body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        RequestFingerprint(bytes)
    }
}
