//! Reads and validates a caller's request.

use crate::connections::open_answers::AnswerProgress;
use crate::front::answer::EntryError;
use crate::held_bytes::HeldBody;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request};
use moleroad_config::prelude::{ClientAccount, Repeatability, Residency, Route, RouteTable};
use moleroad_quarantine::prelude::{RequestContent, RequestSuspects};
use moleroad_types::prelude::Millis;
use std::sync::Arc;

/// Upper limit on the time that a request may take, in milliseconds, where its
/// route's timeout is longer.
const MAX_HOLD_MS: u64 = 600_000;

/// Maximum number of parts of a prompt that are considered. Prompts have two to four
/// parts.
pub const MAX_PROMPT_PARTS: usize = 16;

/// A validated request that may be sent to a target.
pub struct AcceptedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as sent by the caller.
    pub path_and_query: String,
    /// Headers for targets, without those that differ between sends.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Request id set by the caller; `-` if it set none.
    pub id: HeaderValue,
    /// Matching route.
    pub route: Arc<Route>,
    /// Service selected at random by the route's weights.
    pub service: String,
    /// Version of the configuration that the request was validated against.
    pub config_version: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Arrival time of the head.
    pub arrived: Millis,
    /// Time at which the whole request was read.
    pub received: Millis,
    /// Deadline stated by the caller, if any.
    pub caller_deadline: Option<Millis>,
    /// Deadline for the answer.
    pub until: Millis,
    /// Number of prompt tokens; 0 if the caller does not state it.
    pub prompt_tokens: u64,
    /// Identifiers of the parts of the prompt that other prompts may share, in order; at
    /// most [`MAX_PROMPT_PARTS`].
    pub prompt_parts: Vec<String>,
    /// Regions in which the request may be served.
    pub residency: Residency,
    /// Id of the last event that the caller received, for resuming a stream.
    pub last_event: Option<Bytes>,
    /// What of the request may terminate targets; it stays the same when the caller
    /// retries the request.
    pub suspects: RequestSuspects,
    /// Whether the first send is a trial, allowed although the request is
    /// quarantined.
    pub is_trial: bool,
    /// How far the answer has come.
    pub progress: Arc<AnswerProgress>,
}

impl AcceptedRequest {
    /// Returns whether the request may run at more than one target.
    pub fn is_idempotent(&self) -> bool {
        if self.route.streaming {
            self.route.resumable
        } else {
            self.route.repeatability == Repeatability::Idempotent
        }
    }
}

/// Reads and validates a request.
///
/// # Errors
/// Returns the answer for the caller if the request may not be sent.
pub async fn accept(
    node: &Node,
    request: Request<Incoming>,
    arrived: Millis,
    progress: Arc<AnswerProgress>,
) -> Result<AcceptedRequest, EntryError> {
    let Some(table) = node.view().table.clone() else {
        return Err(EntryError::NoConfiguration);
    };
    let (head, body) = request.into_parts();
    let names = node.interface.headers();
    let host = host_of(&head.headers, &head.uri).ok_or(EntryError::BadRequest)?;
    let path = head.uri.path();
    let route = table.find(&host, path).ok_or(EntryError::NoRoute)?.clone();
    let key = head.headers.get(&names.key);
    let account = account_of(&table, &route, key)?;
    let id = head.headers.get(&names.request_id).cloned();
    let id = id.unwrap_or_else(|| HeaderValue::from_static("-"));
    let weighted = RouteTable::select_service(&route, rand::random()).ok_or(EntryError::NoRoute)?;
    let service = weighted.service.clone();
    let deadline_ms = number(head.headers.get(&names.deadline_ms));
    let hold_ms = route.timeout_ms.min(MAX_HOLD_MS);
    let until = arrived + deadline_ms.map_or(hold_ms, |deadline| deadline.min(hold_ms));
    let usage = node
        .interface
        .token_usage(&head.headers)
        .unwrap_or_default();
    let mut prompt_parts = node.interface.shared_prompt_parts(&head.headers);
    prompt_parts.truncate(MAX_PROMPT_PARTS);
    let last_event = head.headers.get(&names.last_event);
    let last_event = last_event.map(|value| Bytes::copy_from_slice(value.as_bytes()));
    let path_and_query = head.uri.path_and_query().map_or("/", |both| both.as_str());
    let path_and_query = path_and_query.to_string();
    let priority = account.as_ref().and_then(|account| account.priority);
    let key = key.and_then(|key| key.to_str().ok());
    let residency = Residency::new(&table, &host, path, key);
    let mut headers = forwarded_headers(&head.headers);
    set_account(&mut headers, &names.account, account.as_deref());
    headers.remove(&names.key);
    headers.remove(&names.expected_target);
    headers.remove(&names.expected_version);
    if !headers.contains_key(HOST) {
        let value = HeaderValue::from_str(&host).map_err(|_| EntryError::BadRequest)?;
        headers.insert(HOST, value);
    }
    let body = read_body(body, &table, arrived, node).await?;
    let account_name = account.as_ref().map(|account| account.name.as_str());
    let content = RequestContent {
        account: account_name,
        method: head.method.as_str(),
        host: &host,
        target: &path_and_query,
        body: &body,
    };
    Ok(AcceptedRequest {
        suspects: RequestSuspects::new(content.fingerprint(), account_name, &prompt_parts),
        is_trial: false,
        progress,
        method: head.method.clone(),
        path_and_query,
        headers,
        body,
        id,
        service,
        config_version: table.version().0,
        priority: priority.unwrap_or(route.priority),
        route,
        arrived,
        received: node.clock.now(),
        caller_deadline: deadline_ms.map(|deadline| arrived + deadline),
        until,
        residency,
        last_event,
        prompt_tokens: usage.prompt,
        prompt_parts,
    })
}

fn host_of(headers: &HeaderMap, uri: &hyper::Uri) -> Option<String> {
    let named = headers.get(HOST).and_then(|value| value.to_str().ok());
    named.or(uri.host()).map(str::to_string)
}

fn account_of(
    table: &RouteTable,
    route: &Route,
    key: Option<&HeaderValue>,
) -> Result<Option<Arc<ClientAccount>>, EntryError> {
    let key = key.and_then(|key| key.to_str().ok());
    let account = key.and_then(|key| table.account_by_key(key)).cloned();
    if table.needs_key() && !route.public && account.is_none() {
        return Err(EntryError::UnknownKey);
    }
    Ok(account)
}

fn set_account(headers: &mut HeaderMap, name: &HeaderName, account: Option<&ClientAccount>) {
    headers.remove(name);
    if let Some(account) = account
        && let Ok(value) = HeaderValue::from_str(&account.name)
    {
        headers.insert(name, value);
    }
}

fn number(value: Option<&HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.trim().parse().ok()
}

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
];

/// Returns the headers without the hop-by-hop ones.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                kept.remove(name);
            }
        }
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept.remove("proxy-connection");
    kept
}

async fn read_body(
    body: Incoming,
    table: &RouteTable,
    arrived: Millis,
    node: &Node,
) -> Result<Bytes, EntryError> {
    let limits = table.limits();
    let expected = body.size_hint().lower();
    if expected > limits.max_body_bytes as u64 {
        return Err(EntryError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let until = node.clock.instant(arrived + limits.header_timeout_ms);
    let held = HeldBody::new(&node.held_bytes);
    let reading = collect(Limited::new(body, limits.max_body_bytes), held);
    match tokio::time::timeout_at(until, reading).await {
        Ok(result) => result,
        Err(_) => Err(EntryError::BodyTimeout),
    }
}

async fn collect(mut body: Limited<Incoming>, mut held: HeldBody) -> Result<Bytes, EntryError> {
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                if !held.push(&data) {
                    return Err(EntryError::OutOfMemory);
                }
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                return Err(EntryError::TooLarge);
            }
            Err(_) => return Err(EntryError::BadRequest),
        }
    }
    Ok(held.into_bytes())
}
