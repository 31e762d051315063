//! Calls and answers whose bodies follow in parts.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hemlocktack_protocol::{
    Answer, BodyPart, BodyRequest, Call, CallId, CallPurpose, Outcome, Reason, frame,
};
use tokio::task::JoinHandle;

use crate::calls::SendProgress;
use crate::links::connection::Connection;
use crate::links::handshake::Reader;
use crate::links::outgoing::SendOutcome;
use crate::links::tests::{Receiver, next_body, sender, start_sending};

const BODY_BYTES: usize = 150_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A call whose frame has arrived at a receiver, without its body.
struct ArrivedCall {
    call_id: CallId,
    outcome: JoinHandle<SendOutcome>,
    reader: Reader,
    connection: Connection,
}

fn body() -> Bytes {
    let bytes = (0..BODY_BYTES).map(|position| position as u8);
    bytes.collect()
}

impl ArrivedCall {
    async fn send(timeout: Duration) -> Self {
        let receiver = Receiver::listen("127.0.0.1:0".parse().unwrap()).await;
        let (links, peer) = (sender(), receiver.peer());
        let outcome = tokio::spawn(async move {
            let call = Call {
                purpose: CallPurpose::PlacedOnce.into(),
                body: body(),
                ..Call::default()
            };
            let deadline = Instant::now() + timeout;
            let progress = SendProgress::default();
            links.call(&peer, call, deadline, &progress).await
        });
        let (mut reader, writer) = receiver.accept().await;
        let Some(frame::Body::Call(call)) = next_body(&mut reader).await else {
            panic!("no call");
        };
        assert_eq!((call.body.len(), call.body_length), (0, BODY_BYTES as u64));
        let connection = start_sending(writer);
        Self {
            call_id: call.call_id,
            outcome,
            reader,
            connection,
        }
    }

    async fn request_body(&self) {
        let call_id = self.call_id;
        let request = frame::Body::BodyRequest(BodyRequest { call_id });
        assert!(self.connection.send(request).await);
    }

    /// Reads this many bytes of the body at least.
    async fn read_body(&mut self, wanted_bytes: usize) -> BytesMut {
        let mut received = BytesMut::new();
        while received.len() < wanted_bytes {
            if let Some(frame::Body::BodyPart(part)) = next_body(&mut self.reader).await {
                received.extend_from_slice(&part.bytes);
            }
        }
        received
    }
}

/// Failure: a link is lost before a body has been sent, and its call is reported as possibly run.
#[tokio::test]
async fn a_call_whose_body_was_not_sent_whole_never_arrived() {
    let call = ArrivedCall::send(CALL_TIMEOUT).await;
    drop((call.reader, call.connection));
    let outcome = call.outcome.await.unwrap();
    let never_arrived = matches!(outcome, SendOutcome::NeverArrived(Reason::LinkLost));
    assert!(never_arrived, "{outcome:?}");
}

/// Failure: a receiver has no memory until the deadline, and the call is reported as possibly run.
#[tokio::test]
async fn a_call_whose_body_is_not_asked_for_never_arrived() {
    let call = ArrivedCall::send(Duration::from_millis(300)).await;
    let outcome = call.outcome.await.unwrap();
    let never_arrived = matches!(outcome, SendOutcome::NeverArrived(Reason::Timeout));
    assert!(never_arrived, "{outcome:?}");
}

/// Failure: a body that follows in parts arrives damaged, on either way.
#[tokio::test]
async fn bodies_arrive_whole_on_both_ways() {
    let mut call = ArrivedCall::send(CALL_TIMEOUT).await;
    call.request_body().await;
    assert_eq!(call.read_body(BODY_BYTES).await, body());
    let answer = Answer {
        call_id: call.call_id,
        outcome: Outcome::Answered.into(),
        body_length: BODY_BYTES as u64,
        ..Answer::default()
    };
    assert!(call.connection.send(frame::Body::Answer(answer)).await);
    let asked = next_body(&mut call.reader).await;
    let is_asked =
        matches!(asked, Some(frame::Body::BodyRequest(asked)) if asked.call_id == call.call_id);
    assert!(is_asked);
    for bytes in body().chunks(40_000) {
        let part = BodyPart {
            call_id: call.call_id,
            bytes: Bytes::copy_from_slice(bytes),
        };
        assert!(call.connection.send(frame::Body::BodyPart(part)).await);
    }
    let SendOutcome::Answer(answer) = call.outcome.await.unwrap() else {
        panic!("no answer");
    };
    assert_eq!(answer.body, body());
}

/// Failure: a faulty peer sends more than it has announced, and the node holds all of it.
#[tokio::test]
async fn a_body_longer_than_announced_is_given_up() {
    let mut call = ArrivedCall::send(Duration::from_millis(500)).await;
    call.request_body().await;
    call.read_body(BODY_BYTES).await;
    let answer = Answer {
        call_id: call.call_id,
        outcome: Outcome::Answered.into(),
        body_length: 100_000,
        ..Answer::default()
    };
    assert!(call.connection.send(frame::Body::Answer(answer)).await);
    next_body(&mut call.reader).await;
    let part = BodyPart {
        call_id: call.call_id,
        bytes: body(),
    };
    assert!(call.connection.send(frame::Body::BodyPart(part)).await);
    let outcome = call.outcome.await.unwrap();
    assert!(matches!(outcome, SendOutcome::Unknown(_)), "{outcome:?}");
}
