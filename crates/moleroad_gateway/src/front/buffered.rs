//! Answers that are no streams: read completely before any part is forwarded, so
//! that another target can take over after a failure.

use crate::front::answer::{Answer, AnswerBody};
use crate::front::attempt::{Attempts, RunningSend};
use crate::front::closed_answers::AnswerEnd;
use crate::front::exchange::{ReplyClass, SendError};
use crate::front::give_up::{GiveUp, attach_last_send, forwarded_answer};
use crate::front::request::AcceptedRequest;
use crate::node::Node;
use bytes::Bytes;
use moleroad_dispatch::prelude::Outcome;
use std::sync::Arc;

/// Sends a request whose answer is no stream, and returns the complete answer.
pub async fn answer_buffered(node: &Arc<Node>, request: AcceptedRequest) -> Answer {
    let mut attempts = Attempts::new(node.clone(), request);
    let mut answer = try_buffered(node, &mut attempts).await;
    attach_last_send(&attempts, &mut answer);
    answer
}

async fn try_buffered(node: &Arc<Node>, attempts: &mut Attempts) -> Answer {
    loop {
        let mut running = match attempts.next_run(None).await {
            Ok(running) => running,
            Err(reason) => return attempts.give_up(reason),
        };
        match read_complete_body(node, attempts, &mut running).await {
            Ok((body, end)) => {
                if running.reply.class == ReplyClass::Succeeded && end == AnswerEnd::Complete {
                    node.record_success(&attempts.request.suspects);
                }
                running.slot.set_outcome(Outcome::Answered);
                let answer = forwarded_answer(&running.reply, AnswerBody::Whole(Some(body)));
                running.reply.keep_connection(node);
                return answer;
            }
            Err(error) => {
                attempts.record_body_error(&running.slot, error);
                running.slot.set_outcome(Outcome::Broken);
                attempts.record_broken_answer();
                if !attempts.is_idempotent() {
                    return attempts.give_up(GiveUp::NoRetry);
                }
            }
        }
    }
}

/// Reads the body of an answer and checks that its target did not terminate instead of
/// completing it.
async fn read_complete_body(
    node: &Node,
    attempts: &Attempts,
    running: &mut RunningSend,
) -> Result<(Bytes, AnswerEnd), SendError> {
    let until = attempts.request.until;
    let body = running.reply.read_whole_body(node, until).await?;
    let target = &running.slot.candidate;
    let end = running.reply.end(node, &attempts.request.service, target);
    match end.await {
        AnswerEnd::TargetTerminated => Err(SendError::Broken),
        end => Ok((body, end)),
    }
}
