//! Takes a caller's request from its first check to its answer.

use crate::agent_wire::StreamTail;
use crate::entry::caller::CallerRequest;
use crate::entry::claims::{self, Claimed, HeldClaim};
use crate::entry::forward::{Forwarded, TargetAnswer, forward};
use crate::entry::view::EntryState;
use crate::http::exchange::{WholeAnswer, error_json};
use crate::http::{Exchange, header};
use attohttpc::Response;
use moleroad_events::prelude::EventKind;
use moleroad_routing::prelude::Finish;
use moleroad_state::claim::StoredAnswer;
use moleroad_state::prelude::Outcome;
use moleroad_types::prelude::*;
use moleroad_types::target::Destination;
use std::io::Read;
use std::sync::Arc;

/// Bytes read from a stream at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// When a caller may come back who found no replica.
const NO_REPLICA_RETRY_MS: u64 = 1_000;

/// Handles callers' requests.
pub(crate) struct RequestApi {
    state: Arc<EntryState>,
}

/// A request's place in its account's limits; given back when dropped.
struct LimitPlace {
    state: Arc<EntryState>,
    account: AccountId,
}

impl Drop for LimitPlace {
    fn drop(&mut self) {
        let mut view = self.state.view();
        view.limits.end(&self.account);
        view.in_flight -= 1;
        self.state.context.metrics.requests_in_flight.dec();
    }
}

/// A request at a target; ends as failed unless told otherwise.
struct Dispatch {
    state: Arc<EntryState>,
    route: TargetRoute,
    work: u64,
    finish: Finish,
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let now = self.state.context.clock.now();
        let (instance, incarnation) = (&self.route.instance, self.route.incarnation);
        self.state
            .view()
            .router
            .finished(now, instance, incarnation, self.work, self.finish);
    }
}

/// What a target gave for a request.
enum Answered {
    Whole(TargetAnswer),
    Stream(u16, String, Box<Response>, Dispatch),
}

impl RequestApi {
    pub(crate) fn new(state: Arc<EntryState>) -> Self {
        Self { state }
    }

    pub(crate) fn handle(&self, mut exchange: Exchange) {
        let (_place, request) = match self.accept(&mut exchange) {
            Ok(accepted) => accepted,
            Err(error) => return self.refuse(exchange, None, &error),
        };
        let (id, account) = (request.request.clone(), request.account.clone());
        self.state
            .context
            .events
            .record(EventKind::RequestReceived {
                request: id,
                account,
            });
        match &request.idempotency_key {
            Some(key) => self.run_once(exchange, &request, key),
            None => self.run_plain(exchange, &request),
        }
    }

    /// Checks, limits and reads the request.
    fn accept(
        &self,
        exchange: &mut Exchange,
    ) -> Result<(LimitPlace, CallerRequest), MoleroadError> {
        self.state.check_fresh()?;
        let now = self.state.context.clock.now();
        let place = self.take_place(exchange, now)?;
        let settings = &self.state.settings;
        let (max_body, deadline) = (settings.max_body_bytes, settings.default_deadline_ms);
        let request = CallerRequest::read(exchange, &place.account, now, max_body, deadline)?;
        if let Destination::Service(service) = &request.shape.destination
            && !self.state.view().may_call(&request.account, service)
        {
            return Err(MoleroadError::new(
                ResultCode::NotFound,
                format!("service {service}"),
            ));
        }
        Ok((place, request))
    }

    fn take_place(&self, exchange: &Exchange, now: Millis) -> Result<LimitPlace, MoleroadError> {
        let unknown = || MoleroadError::new(ResultCode::UnknownKey, "");
        let key = exchange.bearer_key().ok_or_else(unknown)?;
        let mut view = self.state.view();
        let account = view.account_of(key).cloned().ok_or_else(unknown)?;
        let share = view.share_of(&account).ok_or_else(unknown)?;
        view.limits
            .start(now, &account, share)
            .map_err(|retry_after_ms| {
                MoleroadError::new(ResultCode::LimitReached, "").retry_after(retry_after_ms)
            })?;
        view.in_flight += 1;
        view.budget(&account, self.state.settings.retry_budget_percent)
            .note_request();
        self.state.context.metrics.requests_in_flight.inc();
        Ok(LimitPlace {
            state: Arc::clone(&self.state),
            account,
        })
    }

    fn run_plain(&self, exchange: Exchange, request: &CallerRequest) {
        match self.dispatch(request) {
            Ok(Answered::Whole(answer)) => self.answer(exchange, request, answer),
            Ok(Answered::Stream(status, content_type, response, dispatch)) => {
                self.pass_stream(
                    exchange,
                    request,
                    status,
                    &content_type,
                    *response,
                    dispatch,
                );
            }
            Err(error) => self.refuse(exchange, Some(request), &error),
        }
    }

    /// Runs a request under its claim and stores its outcome.
    fn run_once(&self, exchange: Exchange, request: &CallerRequest, key: &str) {
        match claims::claim(&self.state, request, key) {
            Ok(Claimed::Run(claim)) => self.run_claimed(exchange, request, claim),
            Ok(Claimed::Answered(answer)) => self.repeat_answer(exchange, request, answer),
            Err(error) => self.refuse(exchange, Some(request), &error),
        }
    }

    fn run_claimed(&self, exchange: Exchange, request: &CallerRequest, claim: HeldClaim) {
        match self.dispatch(request) {
            Ok(Answered::Whole(answer)) => {
                claim.settle(&self.state, claims::stored(&answer));
                self.answer(exchange, request, answer);
            }
            Ok(Answered::Stream(status, content_type, response, dispatch)) => {
                claim.settle(&self.state, Outcome::Unknown);
                self.pass_stream(
                    exchange,
                    request,
                    status,
                    &content_type,
                    *response,
                    dispatch,
                );
            }
            Err(error) => {
                let not_run =
                    error.code.execution() == moleroad_types::result_code::ExecutionStatus::NotRun;
                claim.settle(
                    &self.state,
                    if not_run {
                        Outcome::NotRun
                    } else {
                        Outcome::Unknown
                    },
                );
                self.refuse(exchange, Some(request), &error);
            }
        }
    }

    fn repeat_answer(&self, exchange: Exchange, request: &CallerRequest, answer: StoredAnswer) {
        match answer.body {
            Some(body) => {
                let (status, content_type) = (answer.status, answer.content_type);
                self.answer(
                    exchange,
                    request,
                    TargetAnswer {
                        status,
                        content_type,
                        body: body.into_vec(),
                    },
                );
            }
            None => {
                let detail = format!(
                    "it was answered with status {}, the body is not kept",
                    answer.status
                );
                self.refuse(
                    exchange,
                    Some(request),
                    &MoleroadError::new(ResultCode::OutcomeNotKept, detail),
                );
            }
        }
    }

    /// Sends the request to targets until one answers, as far as the deadline,
    /// the retry budget and what may be repeated allow.
    fn dispatch(&self, request: &CallerRequest) -> Result<Answered, MoleroadError> {
        let mut tried = Vec::new();
        loop {
            let dispatch = self.choose(request, &tried)?;
            let (request_id, target) = (request.request.clone(), dispatch.route.instance.clone());
            tried.push(target.clone());
            self.state
                .context
                .events
                .record(EventKind::RequestDispatched {
                    request: request_id,
                    target,
                });
            let error = match self.attempt(request, dispatch) {
                Ok(answered) => return Ok(answered),
                Err(error) => error,
            };
            let not_run =
                error.code.execution() == moleroad_types::result_code::ExecutionStatus::NotRun;
            if !(not_run || request.repeatable) || !self.may_retry(request) {
                return Err(error);
            }
            self.state.context.metrics.retries.inc();
        }
    }

    fn choose(
        &self,
        request: &CallerRequest,
        tried: &[InstanceId],
    ) -> Result<Dispatch, MoleroadError> {
        let now = self.state.context.clock.now();
        if now >= request.deadline {
            return Err(MoleroadError::new(
                ResultCode::DeadlineTooShort,
                "the deadline has passed",
            ));
        }
        let mut view = self.state.view();
        let Some(route) = view.router.choose(now, &request.shape, tried) else {
            return Err(
                MoleroadError::new(ResultCode::NoReplica, "").retry_after(NO_REPLICA_RETRY_MS)
            );
        };
        let work = request.shape.work;
        view.router.started(&route.instance, work);
        Ok(Dispatch {
            state: Arc::clone(&self.state),
            route,
            work,
            finish: Finish::Failed,
        })
    }

    fn attempt(
        &self,
        request: &CallerRequest,
        mut dispatch: Dispatch,
    ) -> Result<Answered, MoleroadError> {
        match forward(&self.state, request, &dispatch.route) {
            Forwarded::Whole(answer) => {
                dispatch.finish = Finish::Answered;
                Ok(Answered::Whole(answer))
            }
            Forwarded::Stream(status, content_type, response) => {
                Ok(Answered::Stream(status, content_type, response, dispatch))
            }
            Forwarded::NotRun(error) => {
                if error.code != ResultCode::TargetRefused {
                    dispatch.finish = Finish::Refused;
                }
                Err(error)
            }
            Forwarded::MayHaveRun(error) => Err(error),
        }
    }

    fn may_retry(&self, request: &CallerRequest) -> bool {
        let percent = self.state.settings.retry_budget_percent;
        self.state.view().budget(&request.account, percent).take()
    }

    fn answer(&self, exchange: Exchange, request: &CallerRequest, answer: TargetAnswer) {
        self.ended(Some(request), answer.status, None);
        exchange.answer(WholeAnswer {
            status: answer.status,
            content_type: answer.content_type,
            headers: vec![(header::REQUEST_ID.into(), request.request.to_string())],
            body: answer.body,
        });
    }

    fn refuse(&self, exchange: Exchange, request: Option<&CallerRequest>, error: &MoleroadError) {
        self.ended(request, error.code.http_status(), Some(error.code));
        let mut answer = WholeAnswer::error(error);
        if let Some(request) = request {
            answer
                .headers
                .push((header::REQUEST_ID.into(), request.request.to_string()));
        }
        exchange.answer(answer);
    }

    /// Passes a streamed answer on. It gets its end mark only if the target's
    /// last event came; otherwise an error event and a broken end follow.
    fn pass_stream(
        &self,
        exchange: Exchange,
        request: &CallerRequest,
        status: u16,
        content_type: &str,
        mut response: Response,
        mut dispatch: Dispatch,
    ) {
        let headers = [(header::REQUEST_ID.to_string(), request.request.to_string())];
        let Ok(mut stream) = exchange.stream(status, content_type, &headers) else {
            dispatch.finish = Finish::Answered;
            return;
        };
        let mut piece = [0; PIECE_BYTES];
        let mut tail = StreamTail::default();
        let reason = loop {
            match response.read(&mut piece) {
                Ok(0) if tail.is_whole() => {
                    dispatch.finish = Finish::Answered;
                    self.ended(Some(request), status, None);
                    return stream.finish();
                }
                Ok(0) => break "the stream ended without its last event".to_string(),
                Ok(count) => {
                    tail.push(&piece[..count]);
                    if stream.send(&piece[..count]).is_err() {
                        // The caller is gone; dropping the response cancels.
                        dispatch.finish = Finish::Answered;
                        return;
                    }
                }
                Err(error) => break error.to_string(),
            }
        };
        let error = MoleroadError::new(ResultCode::AnswerIncomplete, reason);
        self.ended(Some(request), status, Some(error.code));
        let _ = stream.send(format!("event: error\ndata: {}\n\n", error_json(&error)).as_bytes());
    }

    fn ended(&self, request: Option<&CallerRequest>, status: u16, code: Option<ResultCode>) {
        let label = code.map_or_else(|| "ok".to_string(), |code| code.to_string());
        self.state
            .context
            .metrics
            .requests
            .with_label_values(&[label.as_str()])
            .inc();
        if let Some(request) = request {
            let request = request.request.clone();
            self.state.context.events.record(EventKind::RequestEnded {
                request,
                status,
                code,
            });
        }
    }
}
