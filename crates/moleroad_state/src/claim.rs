//! Claims: the record that lets a request marked not repeatable run once.
//!
//! A claim is in the replicated log before its request is dispatched, and it
//! is never granted twice. Its outcome is kept for a while to answer
//! repetitions; after that a repetition is refused, never run.

use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most claims one account may have on record.
pub const MAX_CLAIMS_PER_ACCOUNT: usize = 100_000;
/// Largest body kept in an [`Outcome`], in bytes.
pub const MAX_OUTCOME_BYTES: usize = 16 * 1024;
/// How long an outcome's body is kept, in milliseconds.
pub const OUTCOME_RETENTION_MS: u64 = 15 * 60 * 1_000;
/// How long a claim stays on record, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// What a claim is for: the account and the key its caller chose.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Account of the caller.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: String,
}

/// Asks for the right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed.
    pub key: ClaimKey,
    /// Digest of method, path and body.
    pub body: ChunkDigest,
    /// Request that would run; only this one is granted, ever.
    pub request: RequestId,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Answered(StoredAnswer),
    /// The target was reached and no whole answer came back.
    Unknown,
    /// No byte reached a target: the claim is free again.
    NotRun,
}

/// A target's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` when it was larger than [`MAX_OUTCOME_BYTES`] or its
    /// retention ended.
    pub body: Option<serde_bytes::ByteBuf>,
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// This request, and no other, may be dispatched, once.
    Granted,
    /// Another request holds the claim and has not ended.
    Running,
    /// The claimed request ended like this.
    Ended(Outcome),
    /// The key was used with another body.
    OtherBody,
    /// The account has too many claims on record.
    TableFull,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    body: ChunkDigest,
    request: RequestId,
    outcome: Option<Outcome>,
}

/// All claims on record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTable {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    per_account: BTreeMap<AccountId, u64>,
    /// Claims in the order they were granted, for dropping them.
    granted_order: VecDeque<(u64, ClaimKey)>,
    /// Claims in the order they ended, for dropping their bodies.
    ended_order: VecDeque<(u64, ClaimKey)>,
}

impl ClaimTable {
    /// Grants the claim, or says who has it or how it ended.
    pub fn claim(&mut self, now_unix_ms: u64, request: &ClaimRequest) -> ClaimAnswer {
        if let Some(record) = self.records.get(&request.key) {
            return answer_from(record, request);
        }
        let held = self.per_account.entry(request.key.account.clone()).or_default();
        if *held as usize >= MAX_CLAIMS_PER_ACCOUNT {
            return ClaimAnswer::TableFull;
        }
        *held += 1;
        let record =
            ClaimRecord { body: request.body, request: request.request.clone(), outcome: None };
        self.records.insert(request.key.clone(), record);
        self.granted_order.push_back((now_unix_ms, request.key.clone()));
        ClaimAnswer::Granted
    }

    /// Stores how the claimed request ended. A first outcome stays, and only
    /// the request that holds the claim may give it.
    pub fn settle(&mut self, now_unix_ms: u64, key: &ClaimKey, request: &RequestId, outcome: &Outcome) {
        let Some(record) = self.records.get_mut(key) else { return };
        if record.request != *request || record.outcome.is_some() {
            return;
        }
        if *outcome == Outcome::NotRun {
            return self.remove(key);
        }
        record.outcome = Some(outcome.clone());
        self.ended_order.push_back((now_unix_ms, key.clone()));
    }

    /// Drops what its retention has ended for.
    pub fn expire(&mut self, now_unix_ms: u64) {
        while let Some((ended_at, key)) = self.ended_order.front() {
            if ended_at + OUTCOME_RETENTION_MS > now_unix_ms {
                break;
            }
            if let Some(ClaimRecord { outcome: Some(Outcome::Answered(answer)), .. }) =
                self.records.get_mut(key)
            {
                answer.body = None;
            }
            self.ended_order.pop_front();
        }
        while let Some((granted_at, key)) = self.granted_order.front() {
            if granted_at + CLAIM_RETENTION_MS > now_unix_ms {
                break;
            }
            let key = key.clone();
            self.remove(&key);
            self.granted_order.pop_front();
        }
    }

    /// Number of claims on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no claim is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove(&mut self, key: &ClaimKey) {
        if self.records.remove(key).is_none() {
            return;
        }
        if let Some(held) = self.per_account.get_mut(&key.account) {
            *held -= 1;
        }
    }
}

fn answer_from(record: &ClaimRecord, request: &ClaimRequest) -> ClaimAnswer {
    if record.body != request.body {
        return ClaimAnswer::OtherBody;
    }
    match &record.outcome {
        Some(outcome) => ClaimAnswer::Ended(outcome.clone()),
        // The same request asks again after it lost the answer to its claim.
        // It cannot tell whether it was granted before, so it is not granted
        // a second time.
        None => ClaimAnswer::Running,
    }
}
