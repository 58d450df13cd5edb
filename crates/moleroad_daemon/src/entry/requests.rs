//! Takes a caller's request from its first check to its answer.

use crate::entry::caller::CallerRequest;
use crate::entry::claims::{self, Claimed, HeldClaim};
use crate::entry::dispatch::Dispatch;
use crate::entry::forward::{Forwarded, TargetAnswer, forward};
use crate::entry::stream::{BegunStream, EventSplitter, Passed, pass_events};
use crate::entry::view::EntryState;
use crate::http::exchange::{WholeAnswer, error_json};
use crate::http::{Exchange, header};
use moleroad_events::prelude::EventKind;
use moleroad_routing::prelude::{Finish, RequestShape};
use moleroad_state::claim::StoredAnswer;
use moleroad_state::prelude::Outcome;
use moleroad_types::prelude::*;
use moleroad_types::target::Destination;
use std::sync::Arc;

/// Targets that may be tried without taking from the retry budget.
const MAX_FREE_TRIES: usize = 4;
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

/// What a target gave for a request.
enum Answered {
    Whole(TargetAnswer),
    Stream(BegunStream),
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
            Ok(Answered::Stream(begun)) => self.pass_stream(exchange, request, begun),
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
            Ok(Answered::Stream(begun)) => {
                claim.settle(&self.state, Outcome::Unknown);
                self.pass_stream(exchange, request, begun);
            }
            Err(error) => {
                let not_run = error.code.execution() == ExecutionStatus::NotRun;
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
            let dispatch = self.choose(request, &request.shape, &tried)?;
            let (request_id, target) = (request.request.clone(), dispatch.route.instance.clone());
            tried.push(target.clone());
            self.state
                .context
                .events
                .record(EventKind::RequestDispatched {
                    request: request_id,
                    target,
                });
            let error = match self.attempt(request, dispatch, 0) {
                Ok(answered) => return Ok(answered),
                Err(error) => error,
            };
            if !self.may_try_again(request, &error, tried.len()) {
                return Err(error);
            }
            self.state.context.metrics.retries.inc();
        }
    }

    /// Whether another target may be tried after `error`.
    ///
    /// A target that moved on or is gone refuses at no cost, so trying the next
    /// one is free up to a few; everything else takes from the retry budget.
    fn may_try_again(&self, request: &CallerRequest, error: &MoleroadError, tries: usize) -> bool {
        let not_run = error.code.execution() == ExecutionStatus::NotRun;
        let moved_on = matches!(
            error.code,
            ResultCode::Leaving | ResultCode::ReplicaChanged | ResultCode::TargetRefused
        );
        if moved_on && tries < MAX_FREE_TRIES {
            return true;
        }
        (not_run || request.repeatable) && self.may_retry(request)
    }

    fn choose(
        &self,
        request: &CallerRequest,
        shape: &RequestShape,
        tried: &[InstanceId],
    ) -> Result<Dispatch, MoleroadError> {
        let now = self.state.context.clock.now();
        if now >= request.deadline {
            let late = MoleroadError::new(ResultCode::DeadlineTooShort, "the deadline has passed");
            return Err(late.retry_after(NO_REPLICA_RETRY_MS));
        }
        let mut view = self.state.view();
        let Some(route) = view.router.choose(now, shape, tried) else {
            return Err(
                MoleroadError::new(ResultCode::NoReplica, "").retry_after(NO_REPLICA_RETRY_MS)
            );
        };
        let work = shape.work;
        view.router.started(&route, work);
        Ok(Dispatch {
            state: Arc::clone(&self.state),
            route,
            work,
            started: now,
            finish: Finish::Failed,
        })
    }

    fn attempt(
        &self,
        request: &CallerRequest,
        mut dispatch: Dispatch,
        resume_events: u64,
    ) -> Result<Answered, MoleroadError> {
        match forward(&self.state, request, &dispatch.route, resume_events) {
            Forwarded::Whole(answer) => {
                dispatch.finish = Finish::Answered;
                Ok(Answered::Whole(answer))
            }
            Forwarded::Stream(status, content_type, response) => {
                Ok(Answered::Stream(BegunStream {
                    status,
                    content_type,
                    response,
                    dispatch,
                }))
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
    fn pass_stream(&self, exchange: Exchange, request: &CallerRequest, begun: BegunStream) {
        let status = begun.status;
        let headers = [(header::REQUEST_ID.to_string(), request.request.to_string())];
        let Ok(mut stream) = exchange.stream(status, &begun.content_type, &headers) else {
            return;
        };
        let root = begun.dispatch.route.serves.root();
        let mut events = EventSplitter::default();
        let mut begun = begun;
        loop {
            let reason = match pass_events(&mut begun, &mut events, &mut stream) {
                Passed::Whole => {
                    self.ended(Some(request), status, None);
                    return stream.finish();
                }
                // Dropping the target's answer cancels the request there.
                Passed::CallerGone => return,
                Passed::Broken(reason) => reason,
            };
            let tried = [begun.dispatch.route.instance.clone()];
            drop(begun);
            match self.resume(request, root, events.passed(), &tried) {
                Some(resumed) => begun = resumed,
                None => {
                    let error = MoleroadError::new(ResultCode::AnswerIncomplete, reason);
                    self.ended(Some(request), status, Some(error.code));
                    let event = format!("event: error\ndata: {}\n\n", error_json(&error));
                    let _ = stream.send(event.as_bytes());
                    return;
                }
            }
        }
    }

    /// Has another replica of the same weights go on with a broken stream.
    fn resume(
        &self,
        request: &CallerRequest,
        root: Option<RootDigest>,
        passed: u64,
        tried: &[InstanceId],
    ) -> Option<BegunStream> {
        if !request.repeatable || root.is_none() || !self.may_retry(request) {
            return None;
        }
        let shape = RequestShape {
            root,
            ..request.shape.clone()
        };
        let dispatch = self.choose(request, &shape, tried).ok()?;
        let (request_id, target) = (request.request.clone(), dispatch.route.instance.clone());
        self.state
            .context
            .events
            .record(EventKind::RequestDispatched {
                request: request_id,
                target,
            });
        self.state.context.metrics.retries.inc();
        match self.attempt(request, dispatch, passed) {
            Ok(Answered::Stream(begun)) => Some(begun),
            _ => None,
        }
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
