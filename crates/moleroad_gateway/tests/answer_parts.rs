//! An answer that is forwarded in parts is complete only if its sender says so.

use bytes::Bytes;
use http_body_util::BodyExt;
use moleroad_gateway::front::answer::AnswerBody;
use moleroad_gateway::front::parts::{CallerLeft, answer_parts};

#[tokio::test]
async fn a_finished_answer_ends_in_order() {
    let (sender, receiver) = answer_parts();
    sender.send(Bytes::from_static(b"part")).await.unwrap();
    sender.finish();
    let whole = AnswerBody::Parts(receiver).collect().await;
    assert_eq!(whole.expect("a whole answer").to_bytes(), "part");
}

/// Guards against an answer that looks complete though its sender ended in another way.
#[tokio::test]
async fn an_answer_whose_sender_is_dropped_breaks_off() {
    let (sender, receiver) = answer_parts();
    sender.send(Bytes::from_static(b"part")).await.unwrap();
    drop(sender);
    let mut body = AnswerBody::Parts(receiver);
    let part = body.frame().await.expect("a part").expect("no error");
    assert_eq!(part.into_data().unwrap(), "part");
    assert!(body.frame().await.expect("an error").is_err());
}

#[tokio::test]
async fn a_sender_learns_that_the_caller_left() {
    let (sender, receiver) = answer_parts();
    drop(receiver);
    sender.caller_left().await;
    assert_eq!(sender.send(Bytes::new()).await, Err(CallerLeft));
}
