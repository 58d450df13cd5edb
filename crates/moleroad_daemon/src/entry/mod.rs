//! The entry: answers callers and operators.
//!
//! [`view`] holds what control says: accounts, services, routes and the other
//! entries. [`requests`] takes a caller's request through checks, limits,
//! claim, choice of target and answer; [`operators`] passes operators' calls on
//! to the leading control member.

mod caller;
mod claims;
mod dispatch;
mod forward;
mod operators;
mod requests;
mod stream;
mod sync;
mod view;

use crate::context::Context;
use crate::entry::operators::OperatorApi;
use crate::entry::requests::RequestApi;
use crate::entry::view::EntryState;
use crate::http::exchange::WholeAnswer;
use crate::http::{Exchange, HttpServer};
use crate::role::record_start;
use moleroad_settings::prelude::EntrySettings;
use moleroad_types::prelude::{MoleroadError, ResultCode};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How often the main thread looks whether it was asked to stop.
const STOP_POLL: Duration = Duration::from_millis(100);
/// How often a leaving entry looks whether its work is done.
const LEAVE_POLL: Duration = Duration::from_millis(20);
/// Time in which the other entries learn that this one is leaving, at the most.
const WITHDRAWAL: Duration = Duration::from_millis(1_500);

/// A running entry.
pub struct EntryRole {
    context: Arc<Context>,
    settings: EntrySettings,
    server: HttpServer,
}

impl EntryRole {
    /// Starts to answer and to follow control.
    ///
    /// # Errors
    /// When the HTTP address cannot be listened on.
    pub fn start(context: &Arc<Context>, settings: EntrySettings) -> Result<Self, MoleroadError> {
        let state = Arc::new(EntryState::new(Arc::clone(context), settings.clone()));
        let api = Arc::new(EntryApi {
            context: Arc::clone(context),
            state: Arc::clone(&state),
            requests: RequestApi::new(Arc::clone(&state)),
            operators: OperatorApi::new(Arc::clone(context)),
        });
        let address = context.settings.http_address;
        let handler = Arc::new(move |exchange| api.handle(exchange));
        let server = HttpServer::start(address, settings.max_requests, handler)?;
        sync::start(&state);
        record_start(context, "entry");
        Ok(Self {
            context: Arc::clone(context),
            settings,
            server,
        })
    }

    /// Serves until asked to stop, every answer that named this entry has
    /// lapsed, and the last request has ended.
    pub fn run(self) {
        while !self.context.is_leaving() {
            thread::sleep(STOP_POLL);
        }
        let lapsed =
            Instant::now() + WITHDRAWAL + Duration::from_millis(self.settings.entries_keep_ms);
        while Instant::now() < lapsed || self.server.active() > 0 {
            thread::sleep(LEAVE_POLL);
        }
        self.server.stop();
    }
}

/// Everything that an entry answers over HTTP.
struct EntryApi {
    context: Arc<Context>,
    state: Arc<EntryState>,
    requests: RequestApi,
    operators: OperatorApi,
}

impl EntryApi {
    fn handle(&self, exchange: Exchange) {
        let path = exchange.path().to_string();
        match (exchange.method().as_str(), path.as_str()) {
            ("GET", "/v1/entries") => exchange.answer(self.state.entries_answer()),
            ("GET", "/healthz") => exchange.answer(WholeAnswer::json(&"ok")),
            ("GET", "/readyz") => match self.state.check_fresh() {
                Ok(()) => exchange.answer(WholeAnswer::json(&"ready")),
                Err(error) => exchange.refuse(&error),
            },
            ("GET", "/metrics") => exchange.answer(WholeAnswer {
                status: 200,
                content_type: "text/plain; version=0.0.4".into(),
                headers: Vec::new(),
                body: self.context.metrics.to_text().into_bytes(),
            }),
            _ if path.starts_with(operators::OPERATOR_PATH) => self.operators.handle(exchange),
            _ if path.starts_with("/v1/") => self.requests.handle(exchange),
            _ => exchange.refuse(&MoleroadError::new(ResultCode::NotFound, path)),
        }
    }
}
