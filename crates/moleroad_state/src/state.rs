//! The state that commands build up.

use crate::claim::ClaimTable;
use crate::command::{Answer, Change, ChangeAnswer, Command, CommandBody};
use crate::validate::validate;
use moleroad_types::object::{ChangeRecord, ObjectKind};
use moleroad_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Changes that the history keeps.
pub const MAX_HISTORY: usize = 2_000;
/// Answers to operators' changes that are kept for resends.
pub const MAX_REMEMBERED_ANSWERS: usize = 10_000;

/// An object with where it stands in the stream of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object; a deleted one stays as [`Spec::Deleted`].
    pub object: Object,
    /// Revision of its first content.
    pub created: Revision,
    /// Revision of its latest content.
    pub changed: Revision,
}

/// What changed after some revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectUpdate {
    /// Revision that the receiver has after taking `objects`.
    pub revision: Revision,
    /// The objects that changed, as they are now.
    pub objects: Vec<Object>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedAnswer {
    digest: ChunkDigest,
    answer: Answer,
}

/// Everything the control members agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    revision: Revision,
    clock_unix_ms: u64,
    objects: BTreeMap<ObjectKey, StoredObject>,
    history: VecDeque<ChangeRecord>,
    answers: BTreeMap<(OperatorId, RequestId), RememberedAnswer>,
    answer_order: VecDeque<(OperatorId, RequestId)>,
    claims: ClaimTable,
}

impl ControlState {
    /// Applies one command and returns its answer.
    pub fn apply(&mut self, command: &Command) -> Answer {
        self.clock_unix_ms = self.clock_unix_ms.max(command.at_unix_ms);
        self.claims.expire(self.clock_unix_ms);
        match &command.body {
            CommandBody::Change(change) => self.change_once(change),
            CommandBody::Claim(request) => {
                Answer::Claim(self.claims.claim(self.clock_unix_ms, request))
            }
            CommandBody::Settle { key, request, outcome } => {
                self.claims.settle(self.clock_unix_ms, key, request, outcome);
                Answer::Settled
            }
        }
    }

    /// Applies a change, or gives a resend the first answer again.
    fn change_once(&mut self, change: &Change) -> Answer {
        let id = (change.operator.clone(), change.request.clone());
        let digest = digest_of(change);
        if let Some(remembered) = self.answers.get(&id) {
            if remembered.digest == digest {
                return remembered.answer.clone();
            }
            let detail = format!("request id {} was used for another change", change.request);
            return Answer::Refused(MoleroadError::new(ResultCode::KeyReused, detail));
        }
        let answer = match self.change(change) {
            Ok(answer) => Answer::Changed(answer),
            Err(error) => Answer::Refused(error),
        };
        self.remember(id, RememberedAnswer { digest, answer: answer.clone() });
        answer
    }

    fn change(&mut self, change: &Change) -> Result<ChangeAnswer, MoleroadError> {
        let object = &change.object;
        validate(object)?;
        let key = object.key();
        let mut created = None;
        if let Some(stored) = self.objects.get(&key) {
            if stored.object.version == object.version && stored.object.spec == object.spec {
                return Ok(ChangeAnswer { revision: stored.changed });
            }
            check_version(&stored.object, object)?;
            check_weights_kept(&stored.object, object)?;
            created = Some(stored.created);
        }
        self.revision = Revision(self.revision.0 + 1);
        let stored = StoredObject {
            object: object.clone(),
            created: created.unwrap_or(self.revision),
            changed: self.revision,
        };
        self.objects.insert(key.clone(), stored);
        self.record(key, change);
        Ok(ChangeAnswer { revision: self.revision })
    }

    fn record(&mut self, key: ObjectKey, change: &Change) {
        self.history.push_back(ChangeRecord {
            revision: self.revision,
            key,
            version: change.object.version,
            operator: change.operator.clone(),
            accepted_at_unix_ms: self.clock_unix_ms,
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn remember(&mut self, id: (OperatorId, RequestId), answer: RememberedAnswer) {
        self.answers.insert(id.clone(), answer);
        self.answer_order.push_back(id);
        if self.answer_order.len() > MAX_REMEMBERED_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    /// Revision of the latest accepted change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The object under `key`, if it exists and is not deleted.
    pub fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.objects.get(key).filter(|stored| !matches!(stored.object.spec, Spec::Deleted(_)))
    }

    /// All objects that are not deleted.
    pub fn objects(&self) -> impl Iterator<Item = &StoredObject> {
        self.objects.values().filter(|stored| !matches!(stored.object.spec, Spec::Deleted(_)))
    }

    /// Objects of the given kinds that changed after `known`, deleted ones
    /// included.
    pub fn changes_since(&self, known: Revision, kinds: &[ObjectKind]) -> ObjectUpdate {
        let changed = self.objects.iter().filter(|(key, stored)| {
            stored.changed > known && kinds.contains(&key.kind)
        });
        let objects = changed.map(|(_, stored)| stored.object.clone()).collect();
        ObjectUpdate { revision: self.revision, objects }
    }

    /// The latest changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.history.iter()
    }

    /// Claims on record.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Digest over the whole state; equal on members that applied equal logs.
    pub fn digest(&self) -> ChunkDigest {
        digest_of(self)
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes what [`ControlState::encode`] made; an empty input is the
    /// state before the first command.
    ///
    /// # Errors
    /// The decoder's message when `bytes` are something else.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data types always encode")
}

fn digest_of(value: &impl Serialize) -> ChunkDigest {
    ChunkDigest::of(&encode(value))
}

fn check_version(stored: &Object, wanted: &Object) -> Result<(), MoleroadError> {
    if wanted.version > stored.version {
        return Ok(());
    }
    let code = if wanted.version == stored.version {
        ResultCode::VersionConflict
    } else {
        ResultCode::VersionTooLow
    };
    let detail = format!(
        "{} has version {} with digest {}",
        stored.key(),
        stored.version.0,
        digest_of(stored).to_hex()
    );
    Err(MoleroadError::new(code, detail))
}

/// A version name stands for one content as long as the object exists.
fn check_weights_kept(stored: &Object, wanted: &Object) -> Result<(), MoleroadError> {
    let (Spec::Weights(old), Spec::Weights(new)) = (&stored.spec, &wanted.spec) else {
        return Ok(());
    };
    if old.manifest.root == new.manifest.root {
        return Ok(());
    }
    let detail = format!("{} already names root {}", stored.name, old.manifest.root);
    Err(MoleroadError::new(ResultCode::VersionConflict, detail))
}
