//! A caller's request, read and checked.

use crate::http::{Exchange, header};
use moleroad_routing::prelude::RequestShape;
use moleroad_types::id::is_valid_name;
use moleroad_types::prelude::*;
use moleroad_types::target::Destination;
use serde::Deserialize;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Beginning of the paths of plain services.
const SERVICES_PATH: &str = "/v1/services/";
/// Paths of the model interface.
const MODEL_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Bytes of a prompt that decide its affinity.
const PREFIX_BYTES: usize = 256;
/// Tokens that an answer is taken to have when the caller names no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 128;
/// Bytes of a prompt that count as one token of work.
const BYTES_PER_TOKEN: u64 = 4;

/// Everything that decides how a request is treated.
pub(crate) struct CallerRequest {
    pub(crate) request: RequestId,
    pub(crate) account: AccountId,
    pub(crate) method: String,
    /// Path and query at the target.
    pub(crate) target_path: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    pub(crate) shape: RequestShape,
    /// When the caller needs the answer.
    pub(crate) deadline: Millis,
    pub(crate) repeatable: bool,
    pub(crate) idempotency_key: Option<String>,
}

/// The fields of a model request that moleroad reads; all others pass.
#[derive(Deserialize)]
struct ModelFields {
    model: String,
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    #[serde(default)]
    messages: Option<serde_json::Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// What the path says.
enum PathKind {
    Model,
    Service(ServiceName, String),
}

impl CallerRequest {
    /// Reads the request of `account` that came in at `now`.
    pub(crate) fn read(
        exchange: &mut Exchange,
        account: &AccountId,
        now: Millis,
        max_body_bytes: usize,
        default_deadline_ms: u64,
    ) -> Result<Self, MoleroadError> {
        let kind = path_kind(exchange)?;
        let request = request_id(exchange)?;
        let deadline_ms = number(exchange, header::DEADLINE_MS)?.unwrap_or(default_deadline_ms);
        let method = exchange.method();
        let stated = flag(exchange, header::REPEATABLE)?;
        let idempotency_key = idempotency_key(exchange)?;
        let content_type = exchange.header(header::CONTENT_TYPE).map(str::to_string);
        let path = exchange.path_and_query().to_string();
        let body = exchange.read_body(max_body_bytes)?;
        let (shape, target_path, usual) = match kind {
            PathKind::Model => (model_shape(account, &body)?, path, true),
            PathKind::Service(service, path) => {
                let safe = matches!(method.as_str(), "GET" | "HEAD");
                (
                    RequestShape::new(Destination::Service(service), 1),
                    path,
                    safe,
                )
            }
        };
        // A key asks for one run, whatever else is usual.
        let repeatable = stated.unwrap_or(usual && idempotency_key.is_none());
        Ok(Self {
            request,
            account: account.clone(),
            method,
            target_path,
            content_type,
            body,
            shape,
            deadline: now + deadline_ms,
            repeatable,
            idempotency_key: idempotency_key.filter(|_| !repeatable),
        })
    }

    /// Digest of what the request asks for.
    pub(crate) fn digest(&self) -> ChunkDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [
            self.method.as_bytes(),
            self.target_path.as_bytes(),
            &self.body,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        ChunkDigest(*hasher.finalize().as_bytes())
    }
}

fn path_kind(exchange: &Exchange) -> Result<PathKind, MoleroadError> {
    if MODEL_PATHS.contains(&exchange.path()) {
        if exchange.method() != "POST" {
            return Err(bad_request("completions are asked for with POST"));
        }
        return Ok(PathKind::Model);
    }
    let unknown = || MoleroadError::new(ResultCode::NotFound, exchange.path());
    let rest = exchange
        .path_and_query()
        .strip_prefix(SERVICES_PATH)
        .ok_or_else(unknown)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if !is_valid_name(service) {
        return Err(unknown());
    }
    let path = if path.starts_with('/') {
        path.to_string()
    } else {
        format!("/{path}")
    };
    Ok(PathKind::Service(ServiceName::new(service), path))
}

fn model_shape(account: &AccountId, body: &[u8]) -> Result<RequestShape, MoleroadError> {
    let fields: ModelFields = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not valid: {error}")))?;
    if !is_valid_name(&fields.model) {
        return Err(bad_request("model: not a valid name"));
    }
    let prompt = fields
        .prompt
        .or(fields.messages)
        .map(|value| value.to_string())
        .unwrap_or_default();
    let beginning = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let mut hasher = DefaultHasher::new();
    (account, &fields.model, beginning).hash(&mut hasher);
    let work =
        prompt.len() as u64 / BYTES_PER_TOKEN + fields.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let destination = Destination::Model(account.clone(), ModelName::new(fields.model));
    Ok(RequestShape {
        destination,
        work,
        prefix: Some(hasher.finish()),
        root: None,
    })
}

fn request_id(exchange: &Exchange) -> Result<RequestId, MoleroadError> {
    match exchange.header(header::REQUEST_ID) {
        Some(id) if is_valid_name(id) => Ok(RequestId::new(id)),
        Some(_) => Err(bad_request("X-Request-Id is not a valid name")),
        None => Ok(RequestId::new(format!("{:032x}", rand::random::<u128>()))),
    }
}

fn idempotency_key(exchange: &Exchange) -> Result<Option<String>, MoleroadError> {
    match exchange.header(header::IDEMPOTENCY_KEY) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(bad_request("Idempotency-Key must have 1 to 256 bytes"))
        }
        key => Ok(key.map(str::to_string)),
    }
}

fn number(exchange: &Exchange, name: &str) -> Result<Option<u64>, MoleroadError> {
    let Some(text) = exchange.header(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| bad_request(format!("{name} is not a number")))
}

fn flag(exchange: &Exchange, name: &str) -> Result<Option<bool>, MoleroadError> {
    let Some(text) = exchange.header(name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| bad_request(format!("{name} is neither true nor false")))
}

fn bad_request(detail: impl Into<String>) -> MoleroadError {
    MoleroadError::new(ResultCode::BadRequest, detail)
}
