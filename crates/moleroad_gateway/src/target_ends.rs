//! Finding out whether a target ended when a request broke off at it.
//!
//! A connection also breaks when a link is reset or an answer is spoilt. A
//! target whose process ended refuses connections; one that lives takes them.
//! Asking costs one connection for each target and break, which is kept for
//! requests when it comes up.

use crate::node::Node;
use crate::quarantine::EndSource;
use moleroad_quarantine::prelude::{RequestFingerprint, TargetIncarnation, TerminationReport};
use moleroad_types::prelude::Millis;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a target that neither takes nor refuses a connection is asked: one
/// packet in thirty may be lost.
const LOOKS: usize = 3;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// How long an end explains further requests that break at the same life, in
/// milliseconds: longer than a lost packet is sent again.
pub const EXPLAINS_MS: u64 = 5_000;
/// Most requests that wait for what is found out of one target: as many as an
/// entry has in flight at one.
const MOST_BROKEN: usize = 64;

/// What is found out of the targets at which requests broke off.
#[derive(Default)]
pub struct TargetEnds {
    by_life: HashMap<TargetIncarnation, Finding>,
    left_behind: HashMap<TargetIncarnation, Vec<LeftBehind>>,
}

enum Finding {
    /// It is being looked for; these requests broke off.
    Pending(Vec<RequestFingerprint>),
    /// It ended, found at that time.
    Ended(Millis),
}

/// A request that was given up and that its target may still work on.
struct LeftBehind {
    request: RequestFingerprint,
    /// When its target gives it up too.
    until: Millis,
}

/// What is to be done about a request that broke off.
enum Next {
    Look,
    Wait,
    Accuse,
}

impl TargetEnds {
    /// Notes a request that was given up at a target that may go on with it.
    pub fn leave_behind(
        &mut self,
        now: Millis,
        life: &TargetIncarnation,
        request: RequestFingerprint,
        until: Millis,
    ) {
        self.left_behind.retain(|_, requests| {
            requests.retain(|left| left.until > now);
            !requests.is_empty()
        });
        let requests = self.left_behind.entry(life.clone()).or_default();
        if requests.len() < MOST_BROKEN {
            requests.push(LeftBehind { request, until });
        }
    }

    /// Notes that a target ended; the requests that broke off or were left behind
    /// there and were not accused yet.
    pub fn ended(&mut self, now: Millis, life: &TargetIncarnation) -> Vec<RequestFingerprint> {
        let finding = self.by_life.insert(life.clone(), Finding::Ended(now));
        let mut requests = match finding {
            Some(Finding::Pending(requests)) => requests,
            _ => Vec::new(),
        };
        let left_behind = self.left_behind.remove(life).unwrap_or_default();
        let alive = left_behind.iter().filter(|left| left.until > now);
        requests.extend(alive.map(|left| left.request));
        requests
    }

    fn broke(
        &mut self,
        now: Millis,
        life: &TargetIncarnation,
        request: RequestFingerprint,
    ) -> Next {
        let explains = |finding: &Finding| match finding {
            Finding::Pending(_) => true,
            Finding::Ended(at) => now.since(*at) < EXPLAINS_MS,
        };
        self.by_life.retain(|_, finding| explains(finding));
        match self.by_life.get_mut(life) {
            Some(Finding::Ended(_)) => Next::Accuse,
            Some(Finding::Pending(requests)) => {
                if requests.len() < MOST_BROKEN && !requests.contains(&request) {
                    requests.push(request);
                }
                Next::Wait
            }
            None => {
                let pending = Finding::Pending(vec![request]);
                self.by_life.insert(life.clone(), pending);
                Next::Look
            }
        }
    }

    /// Forgets what broke off at a target that did not end.
    fn lives(&mut self, life: &TargetIncarnation) {
        if let Some(Finding::Pending(_)) = self.by_life.get(life) {
            self.by_life.remove(life);
        }
    }
}

impl Node {
    /// Takes that a request broke off at a target, and finds out whether the
    /// target ended.
    pub fn request_broke(
        self: &Arc<Self>,
        life: TargetIncarnation,
        address: SocketAddr,
        request: RequestFingerprint,
    ) {
        let next = self.target_ends().broke(self.clock.now(), &life, request);
        match next {
            Next::Look => {
                tokio::spawn(look(self.clone(), life, address));
            }
            Next::Accuse => self.accuse(&life, vec![request]),
            Next::Wait => {}
        }
    }

    /// Takes that a life of a target ended under these requests.
    pub(crate) fn accuse(&self, life: &TargetIncarnation, requests: Vec<RequestFingerprint>) {
        let end = |request| TerminationReport {
            request,
            life: life.clone(),
            age_ms: 0,
            is_excused: false,
        };
        let news = requests.into_iter().map(end).collect();
        self.take_ends(news, EndSource::Here);
    }
}

/// What a look at a target shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Ended,
    Lives,
    Nothing,
}

async fn look(node: Arc<Node>, life: TargetIncarnation, address: SocketAddr) {
    let began = node.clock.now();
    let seen = look_often(&node, address).await;
    let now = node.clock.now();
    let requests = match seen {
        Seen::Ended => node.target_ends().ended(now, &life),
        Seen::Lives | Seen::Nothing => {
            node.target_ends().lives(&life);
            Vec::new()
        }
    };
    node.metrics.count(match seen {
        Seen::Ended => "broke_at_ended_target",
        Seen::Lives => "broke_at_living_target",
        Seen::Nothing => "broke_at_silent_target",
    });
    log::info!(
        event = "target_looked_for",
        target:% = life.target,
        seen:? = seen,
        requests = requests.len() as u64,
        took_ms = now.since(began);
        ""
    );
    node.accuse(&life, requests);
}

async fn look_often(node: &Node, address: SocketAddr) -> Seen {
    for number in 0..LOOKS {
        if number > 0 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        match node.pool.connect(address).await {
            Ok(connection) => {
                node.metrics.count("connection_opened");
                node.pool.give_back_unused(connection);
                return Seen::Lives;
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Seen::Ended,
            Err(_) => {}
        }
    }
    Seen::Nothing
}
