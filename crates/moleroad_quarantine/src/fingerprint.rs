//! Digests that identify repeated requests and parts of prompts, whatever the ids of
//! the requests.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a fingerprint in bytes. The chance that two of the requests that a group
/// of entries sees in a day (under 2^28) collide is less than 2^-70.
pub(crate) const FINGERPRINT_BYTES: usize = 16;

/// Prefixes of what is hashed, so that fingerprints of different kinds differ.
const PROMPT_PART_DOMAIN: &[u8] = b"prompt part";
const ACCOUNT_DOMAIN: &[u8] = b"hold for one account";

/// A digest of a request's content or of a part of a prompt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(#[serde(with = "serde_bytes")] pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Returns the fingerprint of the part of a prompt with this identifier.
    pub fn of_prompt_part(id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(PROMPT_PART_DOMAIN).update(id.as_bytes());
        Self::finish(&hasher)
    }

    /// Returns the fingerprint of this part in requests of one account.
    pub fn within(&self, account: AccountTag) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(ACCOUNT_DOMAIN).update(&self.0);
        hasher.update(&account.0.to_le_bytes());
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A short digest of a client account; two accounts of a thousand share one with a
/// chance of one in 8,000.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountTag(pub u32);

impl AccountTag {
    /// Returns the tag of an account; `None` where the route needs none.
    pub fn of(account: Option<&str>) -> Self {
        let Some(account) = account else {
            return Self(0);
        };
        let digest = blake3::hash(account.as_bytes());
        let [a, b, c, d, ..] = *digest.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
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
    pub fn fingerprint(&self) -> Fingerprint {
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
        Fingerprint::finish(&hasher)
    }
}
