//! Accepts callers' connections and handles their requests.

use crate::connections::open_answers::{AnswerProgress, OpenAnswer};
use crate::connections::serve::serve_requests;
use crate::connections::tracked::CurrentAnswer;
use crate::front::answer::{Answer, EntryError, close_after};
use crate::front::attempt::LastSend;
use crate::front::request::AcceptedRequest;
use crate::front::{buffered, request, stream};
use crate::listening::accept_connections;
use crate::node::Node;
use crate::peers::allow_unacknowledged;
use crate::stop::{self, StopPhase};
use crate::trial;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Phase of a stop in which connections are closed.
const CLOSES_AT: StopPhase = StopPhase::ClosingFront;
/// Idle timeout of a connection before a configuration is known, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;
/// Longest time for which a caller may read nothing of its answer, in milliseconds, however
/// long the time-outs of routes are.
const MAX_UNREAD_MS: u64 = 60_000;
/// Largest request head before a configuration is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 64 << 10;

/// Accepts and serves connections until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    accept_connections(listener, &node.stop, CLOSES_AT, |connection| {
        serve_connection(node.clone(), connection)
    })
    .await;
}

async fn serve_connection(node: Arc<Node>, connection: TcpStream) {
    // A caller may read its answer late, up to the time-out of its route.
    let max_timeout_ms = node
        .view()
        .table
        .as_ref()
        .map(|table| table.max_timeout_ms());
    let unread_ms = max_timeout_ms.unwrap_or_default().min(MAX_UNREAD_MS);
    allow_unacknowledged(&connection, Duration::from_millis(unread_ms));
    let limits = node.view().table.as_ref().map(|table| table.limits());
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| {
        limits.max_header_bytes.max(8_192) + 8_192
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes);
    let handler = |request, current| handle(node.clone(), request, current);
    serve_requests(connection, &http, &node, CLOSES_AT, handler).await;
}

async fn handle(node: Arc<Node>, message: Request<Incoming>, current: CurrentAnswer) -> Answer {
    node.unmeasured_requests.fetch_add(1, Ordering::Relaxed);
    let arrived = node.clock.now();
    let id = message.headers().get(&node.interface.headers().request_id);
    let id = id.cloned();
    let open = node
        .open_answers
        .begin(OpenAnswer::new(id.clone(), arrived));
    let progress = open.progress().clone();
    current.begin(open);
    let mut guard = DisconnectGuard::new(&node, id.clone());
    let mut summary = None;
    let accepting = request::accept(&node, message, arrived, progress.clone());
    let answering = answer(&node, accepting, &current, &mut summary);
    let mut answer = tokio::select! {
        biased;
        answer = answering => answer,
        () = stop::out_of_time(&node) => give_up_by_stop(&node, &progress),
    };
    guard.answered();
    let is_own = answer.extensions().get::<EntryError>().is_some();
    if !is_own && answer.status().is_success() {
        progress.record_target_answer();
    }
    if let Some(id) = id {
        let name = &node.interface.headers().request_id;
        if !answer.headers().contains_key(name) {
            answer.headers_mut().insert(name, id.clone());
        }
    }
    if node.is_leaving() {
        close_after(&mut answer);
    }
    record_answer(&node, &answer, &guard, summary, arrived, &progress);
    answer
}

/// Answers a request once it is accepted; sets `summary` then.
async fn answer(
    node: &Arc<Node>,
    accepting: impl Future<Output = Result<AcceptedRequest, EntryError>>,
    current: &CurrentAnswer,
    summary: &mut Option<RequestSummary>,
) -> Answer {
    let mut accepted = match accepting.await {
        Ok(accepted) => accepted,
        Err(error) => return error.response(retry_after_ms(error)),
    };
    current.set_route(&accepted.route, accepted.until);
    *summary = Some(RequestSummary::of(&accepted));
    if stop::is_too_late_for(node, &accepted) {
        return refuse_by_stop(node);
    }
    accepted.is_trial = trial::obtain(node, &accepted).await;
    if accepted.route.streaming {
        stream::answer_stream(node, accepted).await
    } else {
        buffered::answer_buffered(node, accepted).await
    }
}

/// Refuses a request that did not run because this process stops.
fn refuse_by_stop(node: &Node) -> Answer {
    node.metrics.count("refused_by_stop");
    EntryError::Stopping.response(Some(0))
}

/// Answers a request that has no answer when this process must exit.
fn give_up_by_stop(node: &Node, progress: &AnswerProgress) -> Answer {
    if progress.sends() == 0 {
        return refuse_by_stop(node);
    }
    node.metrics.count("given_up_by_stop");
    EntryError::StoppedWhileSent.response(None)
}

fn retry_after_ms(error: EntryError) -> Option<u64> {
    match error {
        EntryError::NoConfiguration => Some(NO_CONFIGURATION_RETRY_MS),
        EntryError::BodyTimeout => Some(0),
        EntryError::OutOfMemory => Some(OUT_OF_MEMORY_RETRY_MS),
        _ => None,
    }
}

/// Retry delay while no configuration is known, in milliseconds.
const NO_CONFIGURATION_RETRY_MS: u64 = 300;

/// Retry delay while this process holds too many bytes, in milliseconds.
const OUT_OF_MEMORY_RETRY_MS: u64 = 1_000;

/// Log fields of a request that was read and validated.
struct RequestSummary {
    route: String,
    config_version: u64,
    is_restricted: bool,
}

impl RequestSummary {
    fn of(accepted: &AcceptedRequest) -> Self {
        Self {
            route: accepted.route.name.clone(),
            config_version: accepted.config_version,
            is_restricted: !accepted.residency.allowed().is_unrestricted(),
        }
    }
}

fn count_residency(node: &Node, answer: &Answer, summary: &RequestSummary) {
    let error = answer.extensions().get::<EntryError>();
    let outcome = error.map_or("from_target", |error| error.outcome());
    let regions = if summary.is_restricted {
        "restricted"
    } else {
        "all"
    };
    let counter = &node.metrics.residency;
    counter.with_label_values(&[regions, outcome]).inc();
}

fn record_answer(
    node: &Node,
    answer: &Answer,
    guard: &DisconnectGuard,
    summary: Option<RequestSummary>,
    arrived: moleroad_types::prelude::Millis,
    progress: &AnswerProgress,
) {
    let status = answer.status().as_u16();
    node.metrics
        .requests
        .with_label_values(&[&status.to_string()])
        .inc();
    let elapsed_ms = node.clock.now().since(arrived);
    node.metrics
        .first_byte_s
        .observe(elapsed_ms as f64 / 1_000.0);
    let sent = answer.extensions().get::<LastSend>();
    let estimate = sent.map(|sent| sent.load_estimate).unwrap_or_default();
    if let Some(summary) = &summary {
        count_residency(node, answer, summary);
    }
    let route = summary.as_ref().map_or("-", |known| known.route.as_str());
    let config_version = summary.as_ref().map_or(0, |known| known.config_version);
    log::info!(
        event = "answer",
        request = guard.id(),
        route = route,
        configuration = config_version,
        status = status,
        result = answer.extensions().get::<EntryError>().map_or("-", |error| error.parts().1),
        elapsed_ms = elapsed_ms,
        target = sent.map_or("-", |sent| sent.target.as_str()),
        sends = sent.map_or(progress.sends(), |sent| sent.send),
        waited_ms = sent.map_or(elapsed_ms, |sent| sent.waited_ms),
        weights = sent.map_or(0, |sent| sent.weights),
        believed_requests = estimate.requests,
        believed_unread_tokens = estimate.unread_tokens,
        report_age_ms = estimate.report_age_ms.unwrap_or(0);
        ""
    );
}

/// Counts and logs a caller that disconnects before its answer is ready.
struct DisconnectGuard {
    node: Arc<Node>,
    id: Option<hyper::header::HeaderValue>,
    answered: AtomicBool,
}

impl DisconnectGuard {
    fn new(node: &Arc<Node>, id: Option<hyper::header::HeaderValue>) -> Self {
        Self {
            node: node.clone(),
            id,
            answered: AtomicBool::new(false),
        }
    }

    fn id(&self) -> &str {
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }

    fn answered(&mut self) {
        self.answered.store(true, Ordering::Relaxed);
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let exits = self.node.stop.phase() == StopPhase::Exiting;
        if !self.answered.load(Ordering::Relaxed) && !exits {
            self.node.metrics.count("caller_left");
            log::info!(event = "caller_left", request = self.id(); "");
        }
    }
}
