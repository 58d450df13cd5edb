//! HTTP API of the daemon itself: lookup of entries by callers, readiness checks and
//! metrics, and calls of targets and operators.

use crate::connections::open_answers::OpenAnswer;
use crate::connections::serve::serve_requests;
use crate::connections::tracked::CurrentAnswer;
use crate::control_state::{ConfigDocument, ControlCommand, MAX_DOCUMENT_BYTES};
use crate::front::answer::AnswerBody;
use crate::hall_calls::HallCall;
use crate::interface::ManagementCall;
use crate::listening::accept_connections;
use crate::node::Node;
use crate::stop::StopPhase;
use crate::{hall_calls, hall_orders, operator, target_updates};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use moleroad_config::prelude::{ConfigurationError, check};
use moleroad_types::prelude::Millis;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Phase of a stop in which connections are closed.
const CLOSES_AT: StopPhase = StopPhase::ClosingManagement;
/// Timeout for reading a request body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to live of a directory answer, in milliseconds, unless the platform's limit
/// is shorter. Some callers keep an answer three times as long.
const ADDRESS_TTL_MS: u64 = 1_000;

/// Accepts and serves connections until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    accept_connections(listener, &node.stop, CLOSES_AT, |connection| {
        serve_connection(node.clone(), connection)
    })
    .await;
}

async fn serve_connection(node: Arc<Node>, connection: TcpStream) {
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT);
    let handler = |request, current: CurrentAnswer| {
        let call = OpenAnswer::new(None, node.clock.now());
        current.begin(node.open_calls.begin(call));
        handle(node.clone(), request)
    };
    serve_requests(connection, &http, &node, CLOSES_AT, handler).await;
}

/// Response to a management call.
pub(crate) type ManagementResponse = Response<AnswerBody>;

async fn handle(node: Arc<Node>, request: Request<Incoming>) -> ManagementResponse {
    let uri = request.uri().clone();
    if let Some(call) = HallCall::read(request.method(), uri.path()) {
        return hall_calls::answer(&node, call).await;
    }
    let call = node
        .interface
        .management_call(request.method(), uri.path(), uri.query());
    match call {
        Some(ManagementCall::Addresses { host, hall, region }) => {
            addresses(&node, &host, &hall, &region)
        }
        Some(ManagementCall::Ready) => ready(&node),
        Some(ManagementCall::Metrics) => plain(StatusCode::OK, node.metrics.render()),
        Some(ManagementCall::ReadConfiguration) => read_configuration(&node).await,
        Some(ManagementCall::Deregister(id)) => {
            target_updates::deregister(&node, &id).await;
            document(&node, StatusCode::OK, b"{}".to_vec())
        }
        Some(ManagementCall::EvacuateHall(hall)) => order_hall(&node, &hall, true).await,
        Some(ManagementCall::RestoreHall(hall)) => order_hall(&node, &hall, false).await,
        Some(call) => match read(request).await {
            Some(body) => handle_with_body(&node, call, &body).await,
            None => failure(
                &node,
                StatusCode::BAD_REQUEST,
                "MR-6301 the body cannot be read",
            ),
        },
        None => failure(&node, StatusCode::NOT_FOUND, "MR-6302 no such call"),
    }
}

async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_DOCUMENT_BYTES);
    let read = tokio::time::timeout(READ_TIMEOUT, body.collect()).await;
    Some(read.ok()?.ok()?.to_bytes())
}

async fn handle_with_body(
    node: &Arc<Node>,
    call: ManagementCall,
    body: &Bytes,
) -> ManagementResponse {
    match call {
        ManagementCall::Heartbeat(id) => heartbeat(node, &id, body).await,
        ManagementCall::ReplaceConfiguration => replace_configuration(node, body).await,
        ManagementCall::NameVersion => name_version(node, body).await,
        _ => failure(node, StatusCode::NOT_FOUND, "MR-6302 no such call"),
    }
}

fn addresses(node: &Node, host: &str, hall: &str, region: &str) -> ManagementResponse {
    let now = node.clock.now();
    let addresses = {
        let view = node.view();
        let table = view.table.as_ref();
        let allowed = table.map(|table| table.regions_of_host(host));
        let allowed = allowed.unwrap_or_default();
        let draw = rand::random();
        view.directory
            .entry_addresses_for(now, hall, region, &allowed, draw)
    };
    if addresses.is_empty() {
        let reason = "MR-6303 no entry is known to be ready";
        return failure(node, StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    let ttl = Millis(ADDRESS_TTL_MS.min(node.settings.bounds.longest_ttl_ms));
    let body = node.interface.write_addresses(&addresses, ttl);
    document(node, StatusCode::OK, body)
}

fn ready(node: &Node) -> ManagementResponse {
    let is_ready = !node.is_leaving() && node.view().table.is_some();
    if is_ready {
        plain(StatusCode::OK, b"ready\n".to_vec())
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, b"not ready\n".to_vec())
    }
}

async fn heartbeat(node: &Arc<Node>, id: &str, body: &Bytes) -> ManagementResponse {
    let Some(record) = node.interface.read_heartbeat(id, body) else {
        let reason = "MR-6304 the heartbeat cannot be read";
        return failure(node, StatusCode::BAD_REQUEST, reason);
    };
    let next = heartbeat_address(node, &record.hall);
    target_updates::heartbeat(node, record).await;
    let body = node.interface.write_heartbeat_answer(next);
    document(node, StatusCode::OK, body)
}

/// Returns the address for the next heartbeat of a target. If possible it is a daemon
/// in the target's own data hall, to reduce traffic between regions.
fn heartbeat_address(node: &Node, hall: &str) -> Option<std::net::SocketAddr> {
    if node.is_leaving() {
        return None;
    }
    let now = node.clock.now();
    let view = node.view();
    let entries = view
        .directory
        .ready_entries(now)
        .filter(|entry| entry.hall == hall);
    let addresses: Vec<_> = entries.filter_map(|entry| entry.control).collect();
    if addresses.is_empty() || addresses.contains(&node.settings.listen.control?) {
        return node.settings.listen.control;
    }
    let at = rand::random::<u32>() as usize % addresses.len();
    addresses.get(at).copied()
}

async fn replace_configuration(node: &Arc<Node>, body: &Bytes) -> ManagementResponse {
    let parsed = node.interface.read_configuration(body);
    let checked = parsed.and_then(|configuration| check(&configuration).map(|()| configuration));
    let version = match checked {
        Ok(configuration) => configuration.version,
        Err(error) => return reject_configuration(node, &error),
    };
    let command = ControlCommand::Replace(ConfigDocument::new(version, body));
    let committed = operator::commit(node, command).await;
    log::info!(event = "configuration_sent", version = version.0, committed = committed; "");
    acknowledge(node, committed)
}

fn reject_configuration(node: &Node, error: &ConfigurationError) -> ManagementResponse {
    log::info!(event = "configuration_refused"; "{error}");
    failure(node, StatusCode::BAD_REQUEST, &error.to_string())
}

async fn name_version(node: &Arc<Node>, body: &Bytes) -> ManagementResponse {
    let Some(named) = node.interface.read_named_version(body) else {
        let reason = "MR-6305 the version cannot be read";
        return failure(node, StatusCode::BAD_REQUEST, reason);
    };
    let command = ControlCommand::NameVersion {
        model: named.model,
        version: named.version,
    };
    let committed = operator::commit(node, command).await;
    acknowledge(node, committed)
}

async fn order_hall(node: &Arc<Node>, hall: &str, evacuated: bool) -> ManagementResponse {
    match hall_orders::order(node, hall, evacuated).await {
        Ok(_) => acknowledge(node, true),
        Err(error) => failure(node, error.status(), &error.to_string()),
    }
}

fn acknowledge(node: &Node, committed: bool) -> ManagementResponse {
    if committed {
        document(node, StatusCode::OK, b"{}".to_vec())
    } else {
        let reason = "MR-6306 the control group cannot be reached in time";
        failure(node, StatusCode::SERVICE_UNAVAILABLE, reason)
    }
}

async fn read_configuration(node: &Arc<Node>) -> ManagementResponse {
    let state = operator::read(node).await;
    match state.and_then(|state| state.configuration) {
        Some(held) => match held.bytes() {
            Ok(bytes) => document(node, StatusCode::OK, bytes),
            Err(error) => {
                log::error!(event = "configuration_unreadable"; "{error}");
                failure(node, StatusCode::SERVICE_UNAVAILABLE, &error.to_string())
            }
        },
        None => {
            let reason = "MR-6307 the newest configuration is not certain here";
            failure(node, StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

fn document(node: &Node, status: StatusCode, body: Vec<u8>) -> ManagementResponse {
    let mut answer = plain(status, body);
    let kind = HeaderValue::from_static(node.interface.document_type());
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

fn failure(node: &Node, status: StatusCode, reason: &str) -> ManagementResponse {
    document(node, status, node.interface.write_error(reason))
}

/// Builds a response without a content type.
pub(crate) fn plain(status: StatusCode, body: Vec<u8>) -> ManagementResponse {
    let mut answer = Response::new(AnswerBody::Whole(Some(Bytes::from(body))));
    *answer.status_mut() = status;
    answer
}
