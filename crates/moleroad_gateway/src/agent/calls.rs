//! HTTP calls of the agent to its engine and to the origin.

use crate::interface::OutsideCall;
use crate::node::Node;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is taken, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Makes a call; `None` when no whole answer came in time.
pub async fn call(
    node: &Node,
    address: SocketAddr,
    outside: OutsideCall,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    let calling = exchange(node, address, outside);
    tokio::time::timeout(timeout, calling).await.ok().flatten()
}

async fn exchange(
    node: &Node,
    address: SocketAddr,
    outside: OutsideCall,
) -> Option<(StatusCode, Bytes)> {
    let mut message = Request::new(Full::new(Bytes::from(outside.body)));
    *message.method_mut() = outside.method;
    *message.uri_mut() = outside.path.parse().ok()?;
    let headers = message.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    if outside.is_document {
        let kind = HeaderValue::from_static(node.interface.document_type());
        headers.insert(CONTENT_TYPE, kind);
    }
    let mut connection = match node.pool.take(address) {
        Some(connection) => connection,
        None => node.pool.connect(address).await.ok()?,
    };
    let response = connection.sender.send_request(message).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
    let closes = head.headers.get(hyper::header::CONNECTION);
    if !closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
        let pool = node.pool.clone();
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.give_back(connection, None);
            }
        });
    }
    Some((head.status, body.to_bytes()))
}
