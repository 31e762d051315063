//! Unusual, malformed and unauthenticated frames at a node's link address.

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use hemlocktack_fleet::NodeIncarnation;
use hemlocktack_fleet::keys::{FleetKeys, MacPurpose};
use hemlocktack_fleet::tickets::Ticket;
use hemlocktack_protocol::{
    Call, CallProgress, CallPurpose, Frame, Hello, Outcome, Proof, Reason, ResolveCall, StatusPull,
    frame,
};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::harness::{FLEET_KEY, Fleet, Node, Plan, WAIT_TIMEOUT};

pub(crate) type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// A field number that is not in the schema.
const UNKNOWN_FIELD_NUMBER: u32 = 4_000;
const OWN_INCARNATION: u64 = 7;
/// The node's frame limit; the codec's default is smaller.
const FRAME_LIMIT_BYTES: usize = 32 << 20;

async fn connect(node: &Node) -> Link {
    let stream = TcpStream::connect(node.link).await.unwrap();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

pub(crate) async fn send(link: &mut Link, body: frame::Body) {
    let frame = Frame { body: Some(body) };
    link.send(Bytes::from(frame.encode_to_vec())).await.unwrap();
}

/// Returns the next frame; `None` if the node has closed the link.
pub(crate) async fn receive(link: &mut Link) -> Option<frame::Body> {
    let bytes: BytesMut = link.next().await?.ok()?;
    Frame::decode(bytes.freeze()).unwrap().body
}

/// Opens a link as a node with that fleet key does.
pub(crate) async fn open(node: &Node, fleet_key: &str) -> Link {
    let (mut link, proof) = handshake_before_proof(node, fleet_key).await;
    send(&mut link, frame::Body::Proof(proof)).await;
    link
}

async fn handshake_before_proof(node: &Node, fleet_key: &str) -> (Link, Proof) {
    let keys = FleetKeys::new(fleet_key.as_bytes(), None).unwrap();
    let mut link = connect(node).await;
    let hello = Hello {
        node_id: "visitor".to_owned(),
        incarnation: OWN_INCARNATION,
        nonce: Bytes::from_static(b"sixteen bytes ok"),
        takes_body_parts: false,
    };
    send(&mut link, frame::Body::Hello(hello.clone())).await;
    let Some(frame::Body::Challenge(challenge)) = receive(&mut link).await else {
        panic!("no challenge");
    };
    let parts = [
        hello.node_id.as_bytes(),
        &hello.incarnation.to_be_bytes(),
        &hello.nonce,
        challenge.node_id.as_bytes(),
        &challenge.incarnation.to_be_bytes(),
        &challenge.nonce,
    ];
    let mac = Bytes::copy_from_slice(&keys.sign(MacPurpose::LinkDialler, &parts));
    (link, Proof { mac })
}

/// Whether the node answers a query on this link.
pub(crate) async fn is_answered(link: &mut Link) -> bool {
    send(link, frame::Body::StatusPull(StatusPull { query_id: 9 })).await;
    loop {
        match receive(link).await {
            Some(frame::Body::Status(status)) => return status.query_id == 9,
            Some(_) => {}
            None => return false,
        }
    }
}

async fn assert_serves(fleet: &Fleet) {
    let reply = fleet.caller(0).get("diaries/slots", "after").await;
    assert!(reply.is_answered(), "{reply:?}");
    let mut link = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut link).await);
}

/// A node of a newer version sends a kind of frame that this one does not know: the frame is
/// ignored and the link stays open.
#[tokio::test(flavor = "multi_thread")]
async fn a_frame_of_a_newer_schema_is_ignored() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let mut link = open(&fleet.nodes[0], FLEET_KEY).await;
    let mut newer = BytesMut::new();
    prost::encoding::string::encode(UNKNOWN_FIELD_NUMBER, &"unheard of".to_owned(), &mut newer);
    link.send(newer.freeze()).await.unwrap();
    assert!(is_answered(&mut link).await);
}

/// A node sends a query together with the last handshake frame, in one segment, and then nothing
/// more. Guards against a query that stays in the read buffer until another frame arrives: the
/// first call over such a link ended as `unknown` after its whole timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_frame_in_one_segment_with_the_handshake_is_handled() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let (mut link, proof) = handshake_before_proof(&fleet.nodes[0], FLEET_KEY).await;
    let pull = StatusPull { query_id: 9 };
    for body in [frame::Body::Proof(proof), frame::Body::StatusPull(pull)] {
        let frame = Frame { body: Some(body) };
        link.feed(Bytes::from(frame.encode_to_vec())).await.unwrap();
    }
    SinkExt::<Bytes>::flush(&mut link).await.unwrap();
    let answer = tokio::time::timeout(WAIT_TIMEOUT, receive(&mut link)).await;
    assert!(
        matches!(answer, Ok(Some(frame::Body::Status(_)))),
        "{answer:?}"
    );
}

/// Truncated, oversized and undecodable frames, before and after authentication, close their link;
/// the node keeps running.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_frames_end_only_their_link() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let truncated: &[u8] = &[0, 0, 0, 100, 1, 2, 3];
    let oversized: &[u8] = &[0x7f, 0xff, 0xff, 0xff, 1, 2, 3];
    let undecodable: &[u8] = &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    for bytes in [truncated, oversized, undecodable] {
        let unauthenticated = TcpStream::connect(fleet.nodes[0].link).await.unwrap();
        let authenticated = open(&fleet.nodes[0], FLEET_KEY).await.into_inner();
        for mut stream in [unauthenticated, authenticated] {
            stream.write_all(bytes).await.unwrap();
            stream.shutdown().await.unwrap();
            let mut rest = Vec::new();
            // End of stream or a reset: either way the node has closed the link.
            let _ = stream.read_to_end(&mut rest).await;
        }
        assert_serves(&fleet).await;
    }
}

/// A process without the fleet key, or one that skips the handshake, gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_link_without_the_fleet_key_is_refused() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let other_key = "another fleet's key, which is long enough";
    let mut with_other_key = open(&fleet.nodes[0], other_key).await;
    assert!(!is_answered(&mut with_other_key).await);
    let mut without_handshake = connect(&fleet.nodes[0]).await;
    assert!(!is_answered(&mut without_handshake).await);
    assert_serves(&fleet).await;
}

/// Guards against answers sent over the wrong one of two links to the same process: only the link
/// that the call came over waits for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_goes_over_the_link_that_its_call_came_over() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let mut first = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut first).await);
    let mut second = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut second).await);
    send(&mut first, frame::Body::Call(page(1))).await;
    assert_eq!(answered_call(&mut first).await, Some(1));
    send(&mut second, frame::Body::Call(page(2))).await;
    assert_eq!(answered_call(&mut second).await, Some(2));
}

/// Guards against answers that are dropped when the link opened last is closed, while the link that
/// waits for them is open.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_sent_after_a_later_link_has_closed() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let mut first = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut first).await);
    let mut second = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut second).await);
    fleet.set_service_time_ms("diaries", 500).await;
    send(&mut first, frame::Body::Call(page(1))).await;
    drop(second);
    assert_eq!(answered_call(&mut first).await, Some(1));
}

/// A query that was delayed on a lost link arrives after the query over the next link. Guards
/// against an answer sent over the lost link, where nothing waits for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_query_over_a_lost_link_does_not_redirect_the_answer() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let mut first = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut first).await);
    fleet.set_service_time_ms("diaries", 1_000).await;
    send(&mut first, frame::Body::Call(page(1))).await;
    assert!(is_answered(&mut first).await);
    drop(first);
    let mut lost = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut lost).await);
    let mut next = open(&fleet.nodes[0], FLEET_KEY).await;
    assert!(is_answered(&mut next).await);
    assert_eq!(progress(&mut next).await, Some(CallProgress::Running));
    assert_eq!(progress(&mut lost).await, Some(CallProgress::Running));
    drop(lost);
    assert_eq!(answered_call(&mut next).await, Some(1));
}

/// Returns the node's answer to a query for the progress of call 1 over this link.
async fn progress(link: &mut Link) -> Option<CallProgress> {
    send(link, frame::Body::Resolve(ResolveCall { call_id: 1 })).await;
    let next = tokio::time::timeout(WAIT_TIMEOUT, receive(link)).await;
    match next {
        Ok(Some(frame::Body::Resolution(resolution))) => Some(resolution.progress()),
        _ => None,
    }
}

pub(crate) fn page(call_id: u64) -> Call {
    Call {
        call_id,
        purpose: CallPurpose::Placed.into(),
        service: "diaries".to_owned(),
        method: "GET".to_owned(),
        path: "/slots".to_owned(),
        time_left_us: 5_000_000,
        ..Call::default()
    }
}

/// Returns the id of the call that the next answer on this link belongs to.
async fn answered_call(link: &mut Link) -> Option<u64> {
    let next = tokio::time::timeout(WAIT_TIMEOUT, receive(link)).await;
    match next {
        Ok(Some(frame::Body::Answer(answer))) => Some(answer.call_id),
        _ => None,
    }
}

/// During a key change, a home gets a ticket signed with a key that it does not hold. The booking
/// may have run under that key, so the home must not answer that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_home_answers_unknown_to_a_ticket_it_cannot_verify() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let other_keys = FleetKeys::new(b"another fleet's key, long enough", None).unwrap();
    let home = NodeIncarnation::new("diaries-1", 1);
    let ticket = Ticket::issue(&other_keys, "diaries".into(), home, 1, 1).unwrap();
    let call = Call {
        call_id: 1,
        purpose: CallPurpose::Home.into(),
        service: "diaries".to_owned(),
        method: "POST".to_owned(),
        path: "/appointments".to_owned(),
        time_left_us: 5_000_000,
        retries_given: 2,
        ticket: ticket.encode(),
        ..Call::default()
    };
    let mut link = open(&fleet.nodes[0], FLEET_KEY).await;
    send(&mut link, frame::Body::Call(call)).await;
    let answer = tokio::time::timeout(WAIT_TIMEOUT, receive(&mut link))
        .await
        .unwrap();
    let Some(frame::Body::Answer(answer)) = answer else {
        panic!("no answer: {answer:?}");
    };
    assert_eq!(answer.outcome(), Outcome::Unknown);
    assert_eq!(answer.reason(), Reason::TicketForeign);
    assert_eq!(answer.retries_unspent, 2);
}
