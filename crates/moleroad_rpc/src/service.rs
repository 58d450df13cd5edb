//! The calls that daemons answer.

use crate::message::*;
use moleroad_consensus::prelude::{Configuration, MemberId, MemberInfo, Message};
use moleroad_events::prelude::Event;
use moleroad_state::prelude::{ChangeAnswer, ClaimAnswer, ClaimKey, ClaimRequest, Outcome};
use moleroad_types::object::ChangeRecord;
use moleroad_types::prelude::*;

/// All calls between daemons. Each daemon answers those of its role.
#[tarpc::service]
pub trait DaemonService {
    /// Carries one message of the replicated log.
    async fn replicate(from: MemberId, message: Message);
    /// Says which member this is, and whether it belongs to a group already.
    async fn identify() -> Result<(MemberInfo, bool), CallError>;
    /// Makes this member one of a new group.
    async fn found(configuration: Configuration) -> Result<(), CallError>;
    /// Announces a member that is in no group, to the leader.
    async fn announce_spare(info: MemberInfo) -> Result<(), CallError>;
    /// Founds a group of all control members in the settings, as an operator.
    async fn found_group(operator_key: String) -> Result<Configuration, CallError>;
    /// Changes an object, as the operator with the key.
    async fn change(operator_key: String, request: RequestId, object: Object) -> Result<ChangeAnswer, CallError>;
    /// Reads objects, as an operator.
    async fn objects(operator_key: String) -> Result<Vec<Object>, CallError>;
    /// Reads the latest changes, as an operator.
    async fn history(operator_key: String) -> Result<Vec<ChangeRecord>, CallError>;
    /// Reads the state of the system, as an operator.
    async fn status(operator_key: String) -> Result<SystemStatus, CallError>;
    /// Reads where all daemons take calls, as an operator.
    async fn directory(operator_key: String) -> Result<Vec<DaemonAddress>, CallError>;
    /// Reports an agent's state; answered when there are orders.
    async fn agent_sync(report: AgentReport) -> Result<AgentOrders, CallError>;
    /// Reports an entry's state; answered when its view changes.
    async fn entry_sync(report: EntryReport) -> Result<EntryView, CallError>;
    /// Reads the manifest of weights that an agent shall hold.
    async fn manifest(root: RootDigest) -> Result<Manifest, CallError>;
    /// Claims the right to run a request once.
    async fn claim(request: ClaimRequest) -> Result<ClaimAnswer, CallError>;
    /// Stores how a claimed request ended.
    async fn settle(key: ClaimKey, request: RequestId, outcome: Outcome) -> Result<(), CallError>;
    /// Reads the daemon's own events.
    async fn events() -> Vec<Event>;
}
