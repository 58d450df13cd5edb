//! Serves the requests of one connection.

use crate::connections::tracked::{CurrentAnswer, TrackedBody, TrackedStream};
use crate::front::answer::Answer;
use crate::node::Node;
use crate::stop::StopPhase;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::pin;
use tokio::net::TcpStream;

/// Serves requests with `handler` until the caller closes the connection, or until the
/// stop of the process reaches `closes_at`: the connection then ends after the answer in
/// progress, if there is one.
pub async fn serve_requests<H, F>(
    connection: TcpStream,
    http: &http1::Builder,
    node: &Node,
    closes_at: StopPhase,
    handler: H,
) where
    H: Fn(Request<Incoming>, CurrentAnswer) -> F,
    F: Future<Output = Answer>,
{
    let current = CurrentAnswer::default();
    let stream = TrackedStream::new(
        connection,
        current.clone(),
        node.closing_connections.clone(),
    );
    let service = service_fn(|request| {
        let current = current.clone();
        let answering = handler(request, current.clone());
        async move {
            let answer = answering.await;
            let tracked: Response<TrackedBody> = answer.map(|body| current.track(body));
            Ok::<_, Infallible>(tracked)
        }
    });
    let mut served = pin!(http.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = node.stop.reached(closes_at) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!(event = "connection_ended"; "{error}");
    }
}
