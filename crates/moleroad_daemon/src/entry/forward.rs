//! Sends one request to one agent.

use crate::agent_wire::{EVENT_STREAM, RUN_PATH, request_proof};
use crate::entry::caller::CallerRequest;
use crate::entry::view::EntryState;
use crate::http::{client, header};
use attohttpc::Response;
use moleroad_types::prelude::*;
use moleroad_types::result_code::ExecutionStatus;
use std::io;
use std::time::Duration;

/// What came of sending a request to an agent.
pub(crate) enum Forwarded {
    /// The target answered; the body is known whole.
    Whole(TargetAnswer),
    /// The target began a streamed answer.
    Stream(u16, String, Box<Response>),
    /// It did not run.
    NotRun(MoleroadError),
    /// It may have run, or ran without a whole answer.
    MayHaveRun(MoleroadError),
}

/// A target's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TargetAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) body: Vec<u8>,
}

/// Sends `request` along `route` and waits for the beginning of the answer.
/// With `resume_events` a streamed answer goes on after that many events.
pub(crate) fn forward(
    state: &EntryState,
    request: &CallerRequest,
    route: &TargetRoute,
    resume_events: u64,
) -> Forwarded {
    let left_ms = request.deadline.since(state.context.clock.now());
    match send(state, request, route, resume_events, left_ms) {
        Ok(response) => sort_answer(state, route, response),
        Err(error) if client::never_connected(&error) => Forwarded::NotRun(MoleroadError::new(
            ResultCode::TargetRefused,
            error.to_string(),
        )),
        Err(error) => Forwarded::MayHaveRun(MoleroadError::new(
            ResultCode::OutcomeUnknown,
            error.to_string(),
        )),
    }
}

fn send(
    state: &EntryState,
    request: &CallerRequest,
    route: &TargetRoute,
    resume_events: u64,
    left_ms: u64,
) -> io::Result<Response> {
    let url = format!("http://{}{RUN_PATH}{}", route.address, request.target_path);
    let root = route.serves.root();
    let proof = request_proof(&state.context.cluster_key, request.request.as_str(), root);
    let mut headers = vec![
        (header::REQUEST_ID, request.request.to_string()),
        (header::ACCOUNT, request.account.to_string()),
        (header::DEADLINE_MS, left_ms.to_string()),
        (header::INCARNATION, route.incarnation.0.to_string()),
        (header::REQUEST_WORK, request.shape.work.to_string()),
        (header::PROOF, proof.to_hex().to_string()),
        (header::STAMP, state.context.events.stamp().to_string()),
    ];
    headers.extend((resume_events > 0).then(|| (header::RESUME_EVENTS, resume_events.to_string())));
    headers.extend(root.map(|root| (header::ROOT, root.to_hex())));
    headers.extend(
        request
            .content_type
            .clone()
            .map(|value| (header::CONTENT_TYPE, value)),
    );
    let mut builder =
        client::request(&request.method, &url, Duration::from_millis(left_ms.max(1)))?;
    for (name, value) in headers {
        builder = builder.try_header(name, value).map_err(io::Error::from)?;
    }
    client::send(builder.bytes(&request.body))
}

fn sort_answer(state: &EntryState, route: &TargetRoute, response: Response) -> Forwarded {
    let work = client::header(&response, header::WORK).and_then(|text| text.parse().ok());
    if let Some(work) = work {
        state.view().router.reported(
            state.context.clock.now(),
            &route.instance,
            route.incarnation,
            work,
        );
    }
    if let Some(code) = client::header(&response, header::RESULT_CODE).and_then(code_of) {
        let retry_after_ms = client::header(&response, header::RETRY_AFTER)
            .and_then(|text| text.parse::<u64>().ok())
            .map(|seconds| seconds * 1_000);
        let error = MoleroadError {
            code,
            detail: format!("at {}", route.instance),
            retry_after_ms,
        };
        return match code.execution() {
            ExecutionStatus::NotRun => Forwarded::NotRun(error),
            _ => Forwarded::MayHaveRun(error),
        };
    }
    let status = response.status().as_u16();
    let content_type =
        client::header(&response, header::CONTENT_TYPE).unwrap_or("application/octet-stream");
    let content_type = content_type.to_string();
    if content_type.starts_with(EVENT_STREAM) {
        return Forwarded::Stream(status, content_type, Box::new(response));
    }
    match client::read_whole(response) {
        Ok(body) => Forwarded::Whole(TargetAnswer {
            status,
            content_type,
            body,
        }),
        Err(error) => Forwarded::MayHaveRun(MoleroadError::new(
            ResultCode::OutcomeUnknown,
            error.to_string(),
        )),
    }
}

/// The result code named by a header such as `MR-2008`.
fn code_of(text: &str) -> Option<ResultCode> {
    ResultCode::ALL
        .iter()
        .copied()
        .find(|code| code.to_string() == text)
}
