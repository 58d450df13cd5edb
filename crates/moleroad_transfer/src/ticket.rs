//! Tickets: proof that control wants an agent to have an account's weights.

use moleroad_types::prelude::*;

/// Lets one agent fetch one root's chunks from its peers until it expires.
///
/// The code is a keyed blake3 digest over all of it, so a peer can check a
/// ticket without asking control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Account that owns the weights.
    pub account: AccountId,
    /// The weights.
    pub root: RootDigest,
    /// The agent that may fetch them.
    pub agent: InstanceId,
    /// End of validity, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

impl Ticket {
    /// The ticket as text for a header: expiry and code.
    pub fn seal(&self, cluster_key: &[u8; 32]) -> String {
        format!("{}.{}", self.expires_unix_ms, self.code(cluster_key).to_hex())
    }

    /// Whether `sealed` opens `root` of `account` to `agent` at `now_unix_ms`.
    pub fn opens(
        sealed: &str,
        cluster_key: &[u8; 32],
        account: &AccountId,
        root: RootDigest,
        agent: &InstanceId,
        now_unix_ms: u64,
    ) -> bool {
        let Some((expires, code)) = sealed.split_once('.') else { return false };
        let (Ok(expires_unix_ms), Ok(code)) = (expires.parse(), blake3::Hash::from_hex(code)) else {
            return false;
        };
        let ticket = Ticket { account: account.clone(), root, agent: agent.clone(), expires_unix_ms };
        // Comparison of blake3 hashes takes constant time.
        ticket.code(cluster_key) == code && now_unix_ms < expires_unix_ms
    }

    fn code(&self, cluster_key: &[u8; 32]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(cluster_key);
        for part in [self.account.as_str().as_bytes(), &self.root.0, self.agent.as_str().as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&self.expires_unix_ms.to_le_bytes());
        hasher.finalize()
    }
}
