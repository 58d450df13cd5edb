//! What operators and the platform do to a deployment, and what they see of it.

use super::{Deployment, account_key};
use crate::wait::until;
use moleroad_rpc::message::{ReplicaCounts, SystemStatus};
use moleroad_types::object::*;
use moleroad_types::prelude::*;
use std::io;

impl Deployment {
    /// Applies an object's content under the next version number.
    ///
    /// # Errors
    /// The refusal.
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

    /// Adds an account whose key is `NAME key`.
    ///
    /// # Errors
    /// The refusal.
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

    /// Lets `accounts` call `service`.
    ///
    /// # Errors
    /// The refusal.
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

    /// Puts weights at the origin.
    ///
    /// # Errors
    /// Passes on write errors.
    pub fn put_at_origin(&self, path: &str, content: &[u8]) -> io::Result<()> {
        let file = self.folder.join("origin").join(path);
        if let Some(parent) = file.parent() {
            std::fs::create_dir_all(parent)?;
        }
        // A draw in progress sees the old or the new content, never a part.
        let staged = file.with_extension("new");
        std::fs::write(&staged, content)?;
        std::fs::rename(staged, file)
    }

    /// Publishes weights: at the origin, and as an object.
    ///
    /// # Errors
    /// The refusal.
    pub fn publish(
        &mut self,
        account: &str,
        model: &str,
        version: &str,
        content: &[u8],
        chunk_bytes: u32,
    ) -> Result<RootDigest, MoleroadError> {
        let origin_path = format!("{account}/{model}/{version}");
        let unwritable =
            |error: io::Error| MoleroadError::new(ResultCode::ObjectInvalid, error.to_string());
        self.put_at_origin(&origin_path, content)
            .map_err(unwritable)?;
        let manifest = Manifest::from_reader(content, chunk_bytes).map_err(unwritable)?;
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
    /// The refusal.
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

    /// The state of the system, when it can be had.
    pub fn status(&self) -> Option<SystemStatus> {
        self.client().status().ok()
    }

    /// Counts of the selector `name`, when they can be had.
    pub fn replicas(&self, name: &str) -> Option<ReplicaCounts> {
        let status = self.status()?;
        status
            .replicas
            .into_iter()
            .find(|counts| counts.selector.as_str() == name)
    }

    /// Waits until `count` replicas of a selector serve `root`.
    pub fn wait_serving(&self, selector: &str, root: RootDigest, count: u32) -> ReplicaCounts {
        until(&format!("{count} replicas of {selector}"), || {
            let counts = self.replicas(selector)?;
            let serves = counts.weights.as_ref().is_some_and(|id| id.root == root);
            (serves && counts.serving >= count).then_some(counts)
        })
    }

    /// Bytes that the origin has sent.
    pub fn origin_sent_bytes(&self) -> u64 {
        crate::caller::caller_get(self.origin, "/sent", "")
            .body
            .parse()
            .unwrap_or(0)
    }

    /// Lists instances as leaving.
    ///
    /// # Errors
    /// Passes on write errors.
    pub fn list_leaving(&self, instances: &[&str]) -> io::Result<()> {
        std::fs::write(
            self.folder.join("leaving.json"),
            serde_json::to_vec(instances)?,
        )
    }

    /// The entry instance that leads the control group.
    pub fn leader(&self) -> Option<InstanceId> {
        let group = self.status()?.group;
        let leader = group.leader?;
        group
            .members
            .into_iter()
            .find(|member| member.info.id == leader)
            .map(|member| member.info.instance)
    }
}
