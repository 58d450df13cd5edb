//! Serves remote calls from other daemons.

use crate::control_member::MemberInput;
use crate::control_state::{ControlCommand, ControlState};
use crate::halls::UpdateSource;
use crate::listening::accept_connections;
use crate::node::Node;
use crate::operator;
use crate::peer::{
    EngineLoad, GrantAnswer, GrantRequest, Hello, HelloAnswer, LeaderHint, LimitGrantRequest,
    Offer, Peer, ProposeAnswer, SharedDigests, TargetUpdate,
};
use crate::peers::transport;
use crate::stop::StopPhase;
use futures::StreamExt;
use moleroad_consensus::prelude::{MemberId, MemberInfo, Message};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use std::sync::Arc;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of concurrent calls per connection.
const MAX_CONCURRENT_CALLS: usize = 128;

/// Accepts and serves connections from other daemons until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    accept_connections(listener, &node.stop, StopPhase::Exiting, |connection| {
        serve_connection(node.clone(), connection)
    })
    .await;
}

async fn serve_connection(node: Arc<Node>, connection: TcpStream) {
    let bytes = node.metrics.peer_bytes();
    let channel = BaseChannel::with_defaults(transport(connection, bytes));
    channel
        .max_concurrent_requests(MAX_CONCURRENT_CALLS)
        .execute(PeerServer { node }.serve())
        .for_each(|call| async move {
            tokio::spawn(call);
        })
        .await;
}

#[derive(Clone)]
struct PeerServer {
    node: Arc<Node>,
}

impl Peer for PeerServer {
    async fn hello(self, _: Context, hello: Hello) -> HelloAnswer {
        crate::gossip::answer::answer(&self.node, hello)
    }

    async fn consensus(
        self,
        _: Context,
        from: MemberInfo,
        to: MemberId,
        message: Message,
    ) -> Option<MemberInfo> {
        let control_member = self.node.control_member.as_ref()?;
        control_member.send(MemberInput::Receive { from, to, message });
        let own = &control_member.own;
        (own.id != to).then(|| own.clone())
    }

    async fn targets(self, _: Context, updates: Vec<TargetUpdate>) {
        crate::target_updates::apply_updates(&self.node, updates);
    }

    async fn pass_on(self, _: Context, updates: Vec<TargetUpdate>, to: Vec<SocketAddr>) {
        crate::target_updates::pass_on(&self.node, updates, to).await;
    }

    async fn propose(self, _: Context, command: ControlCommand) -> ProposeAnswer {
        operator::propose_locally(&self.node, command).await
    }

    async fn read(self, _: Context) -> Result<ControlState, Option<LeaderHint>> {
        operator::read_locally(&self.node).await
    }

    async fn push(self, _: Context, state: ControlState) {
        self.node.merge_state(&state, UpdateSource::Push);
    }

    async fn pull(self, _: Context) -> ControlState {
        self.node.view().state.clone()
    }

    async fn engine_load(self, _: Context) -> Option<EngineLoad> {
        crate::agent::watch::load(&self.node).await
    }

    async fn grant(self, _: Context, ask: GrantRequest) -> GrantAnswer {
        crate::agent::cold::grant(&self.node, ask)
    }

    async fn limit_grant(self, _: Context, ask: LimitGrantRequest) -> GrantAnswer {
        crate::limit_grants::grant(&self.node, &ask)
    }

    async fn digests(self, _: Context, model: String, version: u64) -> Option<SharedDigests> {
        self.node.cached_digests(&model, version).map(SharedDigests)
    }

    async fn offer(self, _: Context, model: String, version: u64, offer: Offer, from: SocketAddr) {
        crate::agent::offers::receive(&self.node, &model, version, offer, from);
    }

    async fn piece(self, _: Context, model: String, version: u64, piece: u32) -> Option<ByteBuf> {
        crate::agent::uploads::serve_piece(&self.node, &model, version, piece).await
    }
}
