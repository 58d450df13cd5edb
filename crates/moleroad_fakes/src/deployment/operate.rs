//! Operator and platform actions on a deployment, and queries of its state.

use super::{Deployment, account_key, generate_weights};
use crate::wait::wait_until;
use moleroad_rpc::message::{ReplicaCounts, SystemStatus};
use moleroad_types::label::Operator;
use moleroad_types::object::*;
use moleroad_types::prelude::*;
use std::io;

/// Seed of the weights of `pallets/notes`.
const NOTES_SEED: u64 = 1;
/// Size of their chunks, in bytes.
const NOTES_CHUNK_BYTES: u32 = 64 << 10;

impl Deployment {
    /// Applies an object with the next version number.
    ///
    /// # Errors
    /// The error of the operator call.
    pub fn apply(&mut self, name: &str, spec: Spec) -> Result<Revision, MoleroadError> {
        let version = ObjectVersion(self.next_version);
        self.next_version += 1;
        let object = Object {
            name: name.into(),
            version,
            spec,
        };
        let request = RequestId::new(format!("harness-{}", version.0));
        self.client()
            .change(&request, &object)
            .map(|answer| answer.revision)
    }

    /// Adds an account whose key is [`account_key`] of its name.
    ///
    /// # Errors
    /// The error of the operator call.
    pub fn add_account(
        &mut self,
        name: &str,
        max_in_flight: u32,
        requests_per_second: u32,
    ) -> Result<(), MoleroadError> {
        let key_hashes = vec![KeyHash::of(account_key(name).as_bytes())];
        let spec = AccountSpec {
            key_hashes,
            max_in_flight,
            requests_per_second,
        };
        self.apply(name, Spec::Account(spec)).map(|_| ())
    }

    /// Adds a service that `accounts` may call.
    ///
    /// # Errors
    /// The error of the operator call.
    pub fn add_service(&mut self, service: &str, accounts: &[&str]) -> Result<(), MoleroadError> {
        let accounts = accounts
            .iter()
            .map(|account| AccountId::new(*account))
            .collect();
        let spec = ServiceSpec {
            service: service.into(),
            accounts,
        };
        self.apply(service, Spec::Service(spec)).map(|_| ())
    }

    /// Stores weights at the origin.
    ///
    /// # Errors
    /// I/O errors of writing the file.
    pub fn store_at_origin(&self, path: &str, content: &[u8]) -> io::Result<()> {
        let file = self.folder.join("origin").join(path);
        if let Some(parent) = file.parent() {
            std::fs::create_dir_all(parent)?;
        }
        // The rename is atomic: a download sees the old or the new content, never a part.
        let staged = file.with_extension("new");
        std::fs::write(&staged, content)?;
        std::fs::rename(staged, file)
    }

    /// Stores weights at the origin and applies the object that publishes them.
    ///
    /// # Errors
    /// The error of the operator call.
    pub fn publish(
        &mut self,
        account: &str,
        model: &str,
        version: &str,
        content: &[u8],
        chunk_bytes: u32,
    ) -> Result<RootDigest, MoleroadError> {
        let origin_path = format!("{account}/{model}/{version}");
        let to_error =
            |error: io::Error| MoleroadError::new(ResultCode::ObjectInvalid, error.to_string());
        self.store_at_origin(&origin_path, content)
            .map_err(to_error)?;
        let manifest = Manifest::from_reader(content, chunk_bytes).map_err(to_error)?;
        let root = manifest.root;
        let spec = WeightsSpec {
            account: account.into(),
            model: model.into(),
            version: version.into(),
            labels: Labels::default(),
            origin_path: origin_path.clone(),
            manifest,
        };
        self.apply(&origin_path, Spec::Weights(spec))?;
        Ok(root)
    }

    /// Places the newest version of a model on matching instances.
    ///
    /// # Errors
    /// The error of the operator call.
    pub fn select(
        &mut self,
        name: &str,
        account: &str,
        model: &str,
        instances: Vec<Requirement>,
        replicas: Replicas,
    ) -> Result<(), MoleroadError> {
        let spec = SelectorSpec {
            account: account.into(),
            weights: vec![Requirement::equals(MODEL_LABEL, model)],
            instances,
            replicas,
            priority: 0,
            max_unavailable_percent: 25,
        };
        self.apply(name, Spec::Selector(spec)).map(|_| ())
    }

    /// Places the newest version of a model on all instances.
    ///
    /// # Errors
    /// The error of the operator call.
    pub fn select_everywhere(
        &mut self,
        name: &str,
        account: &str,
        model: &str,
    ) -> Result<(), MoleroadError> {
        // Every instance has a region.
        let everywhere = Requirement {
            key: REGION_LABEL.into(),
            operator: Operator::Exists,
            values: vec![],
        };
        self.select(name, account, model, vec![everywhere], Replicas::All)
    }

    /// Publishes random weights of `bytes` bytes as version `v1` of `pallets/notes`, places
    /// them on all instances, and waits until all engines serve them.
    ///
    /// # Errors
    /// The error of an operator call.
    pub fn serve_notes(&mut self, bytes: usize) -> Result<RootDigest, MoleroadError> {
        self.select_everywhere("notes", "pallets", "notes")?;
        let weights = generate_weights(NOTES_SEED, bytes);
        let root = self.publish("pallets", "notes", "v1", &weights, NOTES_CHUNK_BYTES)?;
        self.wait_serving("notes", root, self.shape.engines as u32);
        Ok(root)
    }

    /// Returns the state of the system, if it is available.
    pub fn status(&self) -> Option<SystemStatus> {
        self.client().status().ok()
    }

    /// Returns the replica counts of the selector `name`, if they are available.
    pub fn replicas(&self, name: &str) -> Option<ReplicaCounts> {
        let status = self.status()?;
        status
            .replicas
            .into_iter()
            .find(|counts| counts.selector.as_str() == name)
    }

    /// Waits until at least `count` replicas of a selector serve `root`.
    pub fn wait_serving(&self, selector: &str, root: RootDigest, count: u32) -> ReplicaCounts {
        wait_until(&format!("{count} replicas of {selector}"), || {
            let counts = self.replicas(selector)?;
            let serves = counts.weights.as_ref().is_some_and(|id| id.root == root);
            (serves && counts.serving >= count).then_some(counts)
        })
    }

    /// Returns the bytes that the origin has sent.
    pub fn origin_sent_bytes(&self) -> u64 {
        crate::caller::caller_get(self.origin, "/sent", "")
            .body
            .parse()
            .unwrap_or(0)
    }

    /// Replaces the platform's list of leaving instances.
    ///
    /// # Errors
    /// I/O errors of writing the list.
    pub fn set_leaving(&self, instances: &[&str]) -> io::Result<()> {
        std::fs::write(
            self.folder.join("leaving.json"),
            serde_json::to_vec(instances)?,
        )
    }

    /// Returns the entry instance that leads the control group.
    pub fn leader(&self) -> Option<InstanceId> {
        leading_instance(self.status()?)
    }
}

/// Returns the entry instance that leads the control group by this status.
pub fn leading_instance(status: SystemStatus) -> Option<InstanceId> {
    let leader = status.group.leader?;
    let mut members = status.group.members.into_iter();
    let leading = members.find(|member| member.info.id == leader)?;
    Some(leading.info.instance)
}
