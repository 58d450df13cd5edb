//! Calls that other daemons make here.

use crate::control_state::{ControlCommand, ControlState};
use crate::core::CoreInput;
use crate::node::Node;
use crate::operator;
use crate::peer::{
    Aged, CommitAnswer, Hello, HelloAnswer, LeaderHint, Peer, SharedDigests, TargetNews,
};
use crate::peers::{prepare, transport};
use futures::StreamExt;
use moleroad_consensus::prelude::{MemberInfo, Message};
use moleroad_directory::prelude::*;
use serde_bytes::ByteBuf;
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

/// Most calls of one connection that are worked on at once.
const MAX_CALLS: usize = 128;
/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Takes connections of other daemons until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((connection, _)) => {
                tokio::spawn(serve_connection(node.clone(), connection));
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(node: Arc<Node>, connection: TcpStream) {
    prepare(&connection);
    let channel = BaseChannel::with_defaults(transport(connection));
    channel
        .max_concurrent_requests(MAX_CALLS)
        .execute(Callee { node }.serve())
        .for_each(|call| async move {
            tokio::spawn(call);
        })
        .await;
}

#[derive(Clone)]
struct Callee {
    node: Arc<Node>,
}

impl Peer for Callee {
    async fn hello(self, _: Context, hello: Hello) -> HelloAnswer {
        let now = self.node.clock.now();
        let from = hello.from.clone();
        note_spare(&self.node, hello.member);
        let (answer, behind) = {
            let mut view = self.node.view();
            let news = view.directory.hear_daemon(now, hello.from, 0);
            for aged in hello.targets {
                view.directory.hear_target(now, aged.record, aged.age_ms);
            }
            view.take_leader(hello.leader);
            take_report(&mut view, now, &from);
            if news || from.role == DaemonRole::Entry {
                view.refresh_candidates(now, &self.node.settings);
            }
            let differs = view.directory.daemons_digest() != hello.daemons_digest;
            let aged = |heard: &Heard<DaemonRecord>| Aged {
                record: heard.record.clone(),
                age_ms: now.since(heard.at),
            };
            let targets = view.directory.targets().filter(|_| hello.wants_targets);
            let targets = targets.map(|heard| Aged {
                record: heard.record.clone(),
                age_ms: now.since(heard.at),
            });
            let answer = HelloAnswer {
                daemons: if differs {
                    view.directory.daemons().map(aged).collect()
                } else {
                    Vec::new()
                },
                config_version: view.state.config_version(),
                versions: if from.role == DaemonRole::Agent {
                    view.version_ages(now)
                } else {
                    view.named_ages(now)
                },
                leader: view.leader,
                targets: targets.collect(),
                catalog: (from.role == DaemonRole::Agent && !view.catalog.models.is_empty())
                    .then(|| view.catalog.clone()),
            };
            let behind = from.role == DaemonRole::Entry
                && hello.config_version > view.state.config_version();
            (answer, behind)
        };
        if behind {
            let node = self.node.clone();
            tokio::spawn(async move { crate::greeting::pull(&node, from.peer).await });
        }
        self.node.serve_waiting();
        answer
    }

    async fn consensus(self, _: Context, from: MemberInfo, message: Message) {
        if let Some(core) = &self.node.core {
            core.tell(CoreInput::Receive(from, message));
        }
    }

    async fn targets(self, _: Context, news: Vec<TargetNews>) {
        crate::target_news::take(&self.node, news);
    }

    async fn propose(self, _: Context, command: ControlCommand) -> CommitAnswer {
        operator::propose_here(&self.node, command).await
    }

    async fn read(self, _: Context) -> Result<ControlState, Option<LeaderHint>> {
        operator::read_here(&self.node).await
    }

    async fn push(self, _: Context, state: ControlState) {
        self.node.take_state(&state);
    }

    async fn pull(self, _: Context) -> ControlState {
        self.node.view().state.clone()
    }

    async fn digests(self, _: Context, model: String, version: u64) -> Option<SharedDigests> {
        self.node.known_digests(&model, version).map(SharedDigests)
    }

    async fn piece(self, _: Context, model: String, version: u64, piece: u32) -> Option<ByteBuf> {
        crate::agent::uploads::give(&self.node, &model, version, piece).await
    }
}

fn note_spare(node: &Node, member: Option<MemberInfo>) {
    if let (Some(core), Some(member)) = (&node.core, member) {
        core.tell(CoreInput::Spare(member));
    }
}

/// Puts an agent's report of its engine to the engine's load.
fn take_report(
    view: &mut crate::view::View,
    now: moleroad_types::prelude::Millis,
    from: &DaemonRecord,
) {
    let (Some(engine), Some(report)) = (from.engine, &from.report) else {
        return;
    };
    let current = view
        .directory
        .targets()
        .find(|heard| heard.record.address == engine && heard.record.life != TargetLife::Gone);
    let Some((id, service)) =
        current.map(|heard| (heard.record.id.clone(), heard.record.service.clone()))
    else {
        return;
    };
    if let Some(places) = view.services.get_mut(&service) {
        places
            .targets
            .reported(now, &id, report.running, report.queued);
    }
}
