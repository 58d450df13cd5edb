//! Passes requests from entries to the target.

use crate::agent::AgentShared;
use crate::agent::admission::{Place, Wanted};
use crate::agent::links::PIECE_BYTES;
use crate::agent::uploads::{CHUNKS_PATH, Uploads};
use crate::agent_wire::{EVENT_STREAM, RUN_PATH, StreamTail, request_proof};
use crate::http::exchange::WholeAnswer;
use crate::http::{Exchange, client, header};
use attohttpc::Response;
use moleroad_types::prelude::*;
use std::io::{self, Read};
use std::sync::Arc;
use std::time::Duration;

/// Largest request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Handles everything that reaches the agent over HTTP.
pub(crate) struct RequestHandler {
    shared: Arc<AgentShared>,
    uploads: Uploads,
}

impl RequestHandler {
    pub(crate) fn new(shared: Arc<AgentShared>, uploads: Uploads) -> Self {
        Self { shared, uploads }
    }

    pub(crate) fn handle(&self, exchange: Exchange) {
        let path = exchange.path();
        if path.starts_with(CHUNKS_PATH) {
            return self.uploads.handle(exchange);
        }
        if path.starts_with(RUN_PATH) {
            return self.run(exchange);
        }
        match path {
            "/healthz" => exchange.answer(WholeAnswer::json(&"ok")),
            "/metrics" => exchange.answer(WholeAnswer {
                status: 200,
                content_type: "text/plain; version=0.0.4".into(),
                headers: Vec::new(),
                body: self.shared.context.metrics.to_text().into_bytes(),
            }),
            _ => exchange.refuse(&MoleroadError::new(ResultCode::NotFound, "")),
        }
    }

    fn run(&self, mut exchange: Exchange) {
        let admitted = self.admit(&exchange).and_then(|place| {
            let body = exchange.read_body(MAX_BODY_BYTES)?;
            Ok((place, body))
        });
        let (place, body) = match admitted {
            Ok(admitted) => admitted,
            Err(error) => return exchange.refuse(&error),
        };
        self.shared.links.note_request(body.len(), 0);
        match self.send_to_target(&exchange, &body) {
            Ok(response) => self.pass_back(exchange, response),
            Err(error) if client::never_connected(&error) => {
                exchange.refuse(&MoleroadError::new(
                    ResultCode::TargetRefused,
                    error.to_string(),
                ));
            }
            Err(error) => exchange.refuse(&MoleroadError::new(
                ResultCode::OutcomeUnknown,
                error.to_string(),
            )),
        }
        drop(place);
    }

    fn admit(&self, exchange: &Exchange) -> Result<Place, MoleroadError> {
        let bad = |what: &str| MoleroadError::new(ResultCode::BadRequest, what);
        let request = exchange
            .header(header::REQUEST_ID)
            .ok_or_else(|| bad("no request id"))?;
        let root = match exchange.header(header::ROOT) {
            Some(text) => Some(RootDigest::from_hex(text).ok_or_else(|| bad("no root digest"))?),
            None => None,
        };
        let incarnation = exchange
            .header(header::INCARNATION)
            .and_then(|text| text.parse().ok());
        let incarnation = Incarnation(incarnation.ok_or_else(|| bad("no incarnation"))?);
        let work = exchange
            .header(header::REQUEST_WORK)
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        let key = &self.shared.context.cluster_key;
        let proof = exchange
            .header(header::PROOF)
            .and_then(|text| blake3::Hash::from_hex(text).ok());
        if proof != Some(request_proof(key, request, root)) {
            return Err(MoleroadError::new(
                ResultCode::UnknownKey,
                "the request does not come from an entry",
            ));
        }
        self.shared.admission.admit(&Wanted {
            root,
            incarnation,
            work,
        })
    }

    fn send_to_target(&self, exchange: &Exchange, body: &[u8]) -> io::Result<Response> {
        let address = self.shared.settings.target.address();
        let path = exchange.path_and_query().trim_start_matches(RUN_PATH);
        let deadline_ms = exchange
            .header(header::DEADLINE_MS)
            .and_then(|text| text.parse().ok());
        let deadline = Duration::from_millis(deadline_ms.unwrap_or(30_000));
        let mut request = client::request(
            &exchange.method(),
            &format!("http://{address}{path}"),
            deadline,
        )?;
        for name in [
            header::CONTENT_TYPE,
            header::REQUEST_ID,
            header::DEADLINE_MS,
            header::ACCOUNT,
        ] {
            if let Some(value) = exchange.header(name) {
                request = request.try_header(name, value).map_err(io::Error::from)?;
            }
        }
        request.bytes(body).send().map_err(io::Error::from)
    }

    fn pass_back(&self, exchange: Exchange, response: Response) {
        let content_type =
            client::header(&response, header::CONTENT_TYPE).unwrap_or("application/octet-stream");
        let content_type = content_type.to_string();
        if content_type.starts_with(EVENT_STREAM) {
            return self.pass_stream(exchange, response, &content_type);
        }
        let status = response.status().as_u16();
        match client::read_whole(response) {
            Ok(body) => {
                self.shared.links.note_request(0, body.len());
                exchange.answer(WholeAnswer {
                    status,
                    content_type,
                    headers: vec![self.work_header()],
                    body,
                });
            }
            Err(error) => exchange.refuse(&MoleroadError::new(
                ResultCode::AnswerIncomplete,
                error.to_string(),
            )),
        }
    }

    /// Passes a streamed answer on piece by piece. It gets its end mark only
    /// if the target's own last event came.
    fn pass_stream(&self, exchange: Exchange, mut response: Response, content_type: &str) {
        let status = response.status().as_u16();
        let Ok(mut stream) = exchange.stream(status, content_type, &[self.work_header()]) else {
            return;
        };
        let mut piece = [0; PIECE_BYTES];
        let mut tail = StreamTail::default();
        loop {
            match response.read(&mut piece) {
                Ok(0) if tail.is_whole() => return stream.finish(),
                Ok(0) => return log::warn!("the target's stream ended without its last event"),
                Ok(count) => {
                    tail.push(&piece[..count]);
                    self.shared.links.note_request(0, count);
                    if stream.send(&piece[..count]).is_err() {
                        // The caller is gone; dropping the response cancels.
                        return;
                    }
                }
                Err(error) => return log::warn!(error:% = error; "the target's stream broke"),
            }
        }
    }

    fn work_header(&self) -> (String, String) {
        (
            header::WORK.to_string(),
            self.shared.admission.work().to_string(),
        )
    }
}
