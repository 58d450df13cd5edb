//! What a request carries that may terminate targets: its content, and parts of its
//! prompt that other requests share.

use crate::fingerprint::{AccountTag, FINGERPRINT_BYTES, Fingerprint};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Something that may terminate the targets that run it, as carried by one request.
///
/// It is encoded as the bytes of its fingerprint, followed by those of the account for a
/// part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "ByteBuf", into = "ByteBuf")]
pub enum Suspect {
    /// The content of the request, which includes its account.
    Content(Fingerprint),
    /// A part of its prompt, in a request of this account.
    PromptPart(Fingerprint, AccountTag),
}

impl Suspect {
    /// Returns the fingerprint, which for a part of a prompt is the same for all
    /// accounts.
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Suspect::Content(fingerprint) | Suspect::PromptPart(fingerprint, _) => *fingerprint,
        }
    }

    /// Returns the account that sent a part of a prompt; `None` for a content.
    pub fn account(&self) -> Option<AccountTag> {
        match self {
            Suspect::Content(_) => None,
            Suspect::PromptPart(_, account) => Some(*account),
        }
    }

    /// Returns the fingerprints under which the control group may store a hold of it: a
    /// part of a prompt is held for one account or for all.
    pub fn hold_keys(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        let fingerprint = self.fingerprint();
        let of_account = self.account().map(|account| fingerprint.within(account));
        of_account.into_iter().chain([fingerprint])
    }

    /// Returns a name of its kind, for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Suspect::Content(_) => "content",
            Suspect::PromptPart(..) => "prompt_part",
        }
    }
}

impl From<Suspect> for ByteBuf {
    fn from(suspect: Suspect) -> Self {
        let mut bytes = suspect.fingerprint().0.to_vec();
        if let Some(account) = suspect.account() {
            bytes.extend_from_slice(&account.0.to_le_bytes());
        }
        ByteBuf::from(bytes)
    }
}

impl TryFrom<ByteBuf> for Suspect {
    type Error = &'static str;

    fn try_from(bytes: ByteBuf) -> Result<Self, Self::Error> {
        const WRONG_LENGTH: &str = "a suspect is a fingerprint, with or without an account";
        let (fingerprint, account) = bytes
            .split_first_chunk::<FINGERPRINT_BYTES>()
            .ok_or(WRONG_LENGTH)?;
        let fingerprint = Fingerprint(*fingerprint);
        if account.is_empty() {
            return Ok(Suspect::Content(fingerprint));
        }
        let account = account.try_into().map_err(|_| WRONG_LENGTH)?;
        let account = AccountTag(u32::from_le_bytes(account));
        Ok(Suspect::PromptPart(fingerprint, account))
    }
}

/// All suspects that one request carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSuspects {
    content: Fingerprint,
    account: AccountTag,
    prompt_parts: Arc<[Fingerprint]>,
}

impl RequestSuspects {
    /// Returns the suspects of a request: its content and the parts of its prompt.
    pub fn new(content: Fingerprint, account: Option<&str>, prompt_parts: &[String]) -> Self {
        let mut fingerprints: Vec<Fingerprint> = Vec::with_capacity(prompt_parts.len());
        for part in prompt_parts {
            let fingerprint = Fingerprint::of_prompt_part(part);
            if !fingerprints.contains(&fingerprint) {
                fingerprints.push(fingerprint);
            }
        }
        Self {
            content,
            account: AccountTag::of(account),
            prompt_parts: fingerprints.into(),
        }
    }

    /// Returns the fingerprint of the content.
    pub fn content(&self) -> Fingerprint {
        self.content
    }

    /// Returns the parts of the prompt.
    pub fn prompt_parts(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.prompt_parts.iter();
        parts.map(|part| Suspect::PromptPart(*part, self.account))
    }

    /// Returns all suspects, the content first.
    pub fn iter(&self) -> impl Iterator<Item = Suspect> {
        std::iter::once(Suspect::Content(self.content)).chain(self.prompt_parts())
    }

    /// Returns the same request without the parts of its prompt.
    pub fn without_prompt_parts(&self) -> Self {
        Self {
            prompt_parts: Arc::default(),
            ..*self
        }
    }
}
