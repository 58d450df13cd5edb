//! Runs requests marked not repeatable at most once.

use crate::entry::caller::CallerRequest;
use crate::entry::forward::TargetAnswer;
use crate::entry::view::EntryState;
use moleroad_events::prelude::EventKind;
use moleroad_rpc::prelude::DaemonServiceClient;
use moleroad_state::claim::{MAX_OUTCOME_BYTES, StoredAnswer};
use moleroad_state::prelude::*;
use moleroad_types::prelude::*;
use std::time::Duration;

/// Longest time that storing an outcome may take before it is left to the
/// claim to answer "unknown".
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// When a caller may ask again for the outcome of a running request.
const RUNNING_RETRY_MS: u64 = 1_000;

/// The right to dispatch one request once.
pub(crate) struct HeldClaim {
    key: ClaimKey,
    request: RequestId,
}

/// What the claim allows.
pub(crate) enum Claimed {
    /// Dispatch it, once.
    Run(HeldClaim),
    /// It ran before; this was its answer.
    Answered(StoredAnswer),
}

/// Claims `request` under its idempotency key.
pub(crate) fn claim(
    state: &EntryState,
    request: &CallerRequest,
    key: &str,
) -> Result<Claimed, MoleroadError> {
    let key = ClaimKey {
        account: request.account.clone(),
        key: key.to_string(),
    };
    let wanted = ClaimRequest {
        key: key.clone(),
        body: request.digest(),
        request: claim_request_id(),
    };
    let limit = Duration::from_millis(request.deadline.since(state.context.clock.now()));
    let ask = |client: DaemonServiceClient, ctx| {
        let wanted = wanted.clone();
        async move { client.claim(ctx, wanted).await }
    };
    let answer = state
        .context
        .runtime
        .block_on(state.context.control.call(limit, ask));
    match answer {
        Ok(ClaimAnswer::Granted) => {
            let event = EventKind::ClaimGranted {
                request: request.request.clone(),
            };
            state.context.events.record(event);
            Ok(Claimed::Run(HeldClaim {
                key,
                request: wanted.request,
            }))
        }
        Ok(ClaimAnswer::Ended(Outcome::Answered(answer))) => Ok(Claimed::Answered(answer)),
        Ok(ClaimAnswer::Ended(_)) => Err(MoleroadError::new(
            ResultCode::OutcomeUnknown,
            "an earlier request with this key",
        )),
        Ok(ClaimAnswer::Running) => {
            Err(MoleroadError::new(ResultCode::StillRunning, "").retry_after(RUNNING_RETRY_MS))
        }
        Ok(ClaimAnswer::OtherBody) => Err(MoleroadError::new(ResultCode::KeyReused, "")),
        Ok(ClaimAnswer::TableFull) => Err(MoleroadError::new(
            ResultCode::LimitReached,
            "too many idempotency keys are on record",
        )),
        // This entry did not dispatch it and never will, so it has not run;
        // but the key may be claimed now and will not be granted again.
        Err(error) if error.code == ResultCode::AcceptanceUnknown => Err(MoleroadError::new(
            ResultCode::ControlUnavailable,
            "the claim was not answered; use a new key",
        )),
        Err(error) => Err(error),
    }
}

/// Each try to claim has an identity of its own, whatever id the caller chose.
fn claim_request_id() -> RequestId {
    RequestId::new(format!("{:032x}", rand::random::<u128>()))
}

impl HeldClaim {
    /// Stores how the request ended, before the caller is answered.
    pub(crate) fn settle(self, state: &EntryState, outcome: Outcome) {
        let settle = |client: DaemonServiceClient, ctx| {
            let (key, request, outcome) = (self.key.clone(), self.request.clone(), outcome.clone());
            async move { client.settle(ctx, key, request, outcome).await }
        };
        let stored = state
            .context
            .runtime
            .block_on(state.context.control.call(SETTLE_LIMIT, settle));
        if let Err(error) = stored {
            log::warn!(code:% = error.code; "an outcome could not be stored: {error}");
        }
    }
}

/// The part of an answer that is kept for repetitions.
pub(crate) fn stored(answer: &TargetAnswer) -> Outcome {
    let fits = answer.body.len() <= MAX_OUTCOME_BYTES;
    Outcome::Answered(StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: fits.then(|| answer.body.clone().into()),
    })
}
