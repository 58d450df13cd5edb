//! Content digests: of chunks, of whole weights, and of keys.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Bytes in a blake3 digest.
pub const DIGEST_BYTES: usize = 32;

/// Parses `text` as 64 hexadecimal digits.
pub fn parse_hex(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
}

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub [u8; DIGEST_BYTES]);

        impl $name {
            /// The blake3 digest of `bytes`.
            pub fn of(bytes: &[u8]) -> Self {
                Self(*blake3::hash(bytes).as_bytes())
            }

            /// The digest as 64 hexadecimal digits.
            pub fn to_hex(self) -> String {
                blake3::Hash::from_bytes(self.0).to_hex().to_string()
            }

            /// Reads 64 hexadecimal digits, or `None` when `text` is not that.
            pub fn from_hex(text: &str) -> Option<Self> {
                parse_hex(text).map(Self)
            }

            /// The first eight hexadecimal digits, for logs.
            pub fn short(self) -> String {
                self.to_hex()[..8].to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.to_hex())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.short())
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.serialize_str(&self.to_hex())
                } else {
                    serializer.serialize_bytes(&self.0)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    Self::from_hex(&text).ok_or_else(|| D::Error::custom("expected 64 hexadecimal digits"))
                } else {
                    let bytes = serde_bytes::ByteArray::<DIGEST_BYTES>::deserialize(deserializer)?;
                    Ok(Self(bytes.into_array()))
                }
            }
        }
    };
}

digest_type!(
    /// Digest of one chunk of weights.
    ChunkDigest
);
digest_type!(
    /// Digest over a whole [`Manifest`](crate::manifest::Manifest): what is
    /// transferred, loaded and routed is always named by this, never by the
    /// version's name alone.
    RootDigest
);
digest_type!(
    /// Digest of a secret key. Only this form is kept in replicated state.
    KeyHash
);

impl KeyHash {
    /// Compares in time that does not depend on where the digests differ.
    pub fn matches_key(&self, key: &str) -> bool {
        blake3::hash(key.as_bytes()) == blake3::Hash::from_bytes(self.0)
    }
}
