//! Calls that came in, as typed messages for the thread that decides.

use crate::message::*;
use crate::service::DaemonService;
use crossbeam::channel::{Sender, TrySendError};
use moleroad_consensus::prelude::{Configuration, MemberId, MemberInfo, Message};
use moleroad_events::prelude::Event;
use moleroad_state::prelude::{ChangeAnswer, ClaimAnswer, ClaimKey, ClaimRequest, Outcome};
use moleroad_types::object::ChangeRecord;
use moleroad_types::prelude::*;
use tarpc::context::Context;
use tokio::sync::oneshot;

/// Sends the answer of a call.
pub type Reply<T> = oneshot::Sender<Result<T, CallError>>;

/// A call that a daemon has to answer.
#[derive(Debug)]
pub enum InboundCall {
    /// See [`DaemonService::replicate`].
    Replicate(MemberId, Message),
    /// See [`DaemonService::identify`].
    Identify(Reply<(MemberInfo, bool)>),
    /// See [`DaemonService::found`].
    Found(Configuration, Reply<()>),
    /// See [`DaemonService::announce_spare`].
    AnnounceSpare(MemberInfo, Reply<()>),
    /// See [`DaemonService::found_group`].
    FoundGroup(String, Reply<Configuration>),
    /// See [`DaemonService::change`].
    Change(String, RequestId, Box<Object>, Reply<ChangeAnswer>),
    /// See [`DaemonService::objects`].
    Objects(String, Reply<Vec<Object>>),
    /// See [`DaemonService::history`].
    History(String, Reply<Vec<ChangeRecord>>),
    /// See [`DaemonService::status`].
    Status(String, Reply<SystemStatus>),
    /// See [`DaemonService::directory`].
    Directory(String, Reply<Vec<DaemonAddress>>),
    /// See [`DaemonService::agent_sync`].
    AgentSync(Box<AgentReport>, Reply<AgentOrders>),
    /// See [`DaemonService::entry_sync`].
    EntrySync(Box<EntryReport>, Reply<EntryView>),
    /// See [`DaemonService::manifest`].
    Manifest(RootDigest, Reply<Manifest>),
    /// See [`DaemonService::claim`].
    Claim(ClaimRequest, Reply<ClaimAnswer>),
    /// See [`DaemonService::settle`].
    Settle(ClaimKey, RequestId, Outcome, Reply<()>),
    /// See [`DaemonService::events`].
    Events(oneshot::Sender<Vec<Event>>),
}

/// Puts calls into the bounded inbox of the thread that decides.
#[derive(Clone, Debug)]
pub struct CallServer {
    inbox: Sender<InboundCall>,
}

impl CallServer {
    /// Calls go to `inbox`; when it is full they are refused.
    pub fn new(inbox: Sender<InboundCall>) -> Self {
        Self { inbox }
    }

    async fn ask<T>(&self, call: impl FnOnce(Reply<T>) -> InboundCall) -> Result<T, CallError> {
        let (reply, answer) = oneshot::channel();
        let sent = self.inbox.try_send(call(reply));
        let refusal = |why: &str| CallError::Refused(MoleroadError::new(ResultCode::ControlUnavailable, why));
        match sent {
            Ok(()) => answer.await.unwrap_or_else(|_| Err(refusal("this daemon does not answer the call"))),
            Err(TrySendError::Full(_)) => Err(refusal("the inbox is full")),
            Err(TrySendError::Disconnected(_)) => Err(refusal("the daemon is stopping")),
        }
    }
}

impl DaemonService for CallServer {
    async fn replicate(self, _: Context, from: MemberId, message: Message) {
        // A lost message is sent again by the algorithm.
        let _ = self.inbox.try_send(InboundCall::Replicate(from, message));
    }

    async fn identify(self, _: Context) -> Result<(MemberInfo, bool), CallError> {
        self.ask(InboundCall::Identify).await
    }

    async fn found(self, _: Context, configuration: Configuration) -> Result<(), CallError> {
        self.ask(|reply| InboundCall::Found(configuration, reply)).await
    }

    async fn announce_spare(self, _: Context, info: MemberInfo) -> Result<(), CallError> {
        self.ask(|reply| InboundCall::AnnounceSpare(info, reply)).await
    }

    async fn found_group(self, _: Context, operator_key: String) -> Result<Configuration, CallError> {
        self.ask(|reply| InboundCall::FoundGroup(operator_key, reply)).await
    }

    async fn change(
        self,
        _: Context,
        operator_key: String,
        request: RequestId,
        object: Object,
    ) -> Result<ChangeAnswer, CallError> {
        self.ask(|reply| InboundCall::Change(operator_key, request, Box::new(object), reply)).await
    }

    async fn objects(self, _: Context, operator_key: String) -> Result<Vec<Object>, CallError> {
        self.ask(|reply| InboundCall::Objects(operator_key, reply)).await
    }

    async fn history(self, _: Context, operator_key: String) -> Result<Vec<ChangeRecord>, CallError> {
        self.ask(|reply| InboundCall::History(operator_key, reply)).await
    }

    async fn status(self, _: Context, operator_key: String) -> Result<SystemStatus, CallError> {
        self.ask(|reply| InboundCall::Status(operator_key, reply)).await
    }

    async fn directory(self, _: Context, operator_key: String) -> Result<Vec<DaemonAddress>, CallError> {
        self.ask(|reply| InboundCall::Directory(operator_key, reply)).await
    }

    async fn agent_sync(self, _: Context, report: AgentReport) -> Result<AgentOrders, CallError> {
        self.ask(|reply| InboundCall::AgentSync(Box::new(report), reply)).await
    }

    async fn entry_sync(self, _: Context, report: EntryReport) -> Result<EntryView, CallError> {
        self.ask(|reply| InboundCall::EntrySync(Box::new(report), reply)).await
    }

    async fn manifest(self, _: Context, root: RootDigest) -> Result<Manifest, CallError> {
        self.ask(|reply| InboundCall::Manifest(root, reply)).await
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> Result<ClaimAnswer, CallError> {
        self.ask(|reply| InboundCall::Claim(request, reply)).await
    }

    async fn settle(
        self,
        _: Context,
        key: ClaimKey,
        request: RequestId,
        outcome: Outcome,
    ) -> Result<(), CallError> {
        self.ask(|reply| InboundCall::Settle(key, request, outcome, reply)).await
    }

    async fn events(self, _: Context) -> Vec<Event> {
        let (reply, answer) = oneshot::channel();
        if self.inbox.try_send(InboundCall::Events(reply)).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}
