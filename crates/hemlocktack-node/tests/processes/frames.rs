//! Bytes at a node's link address that are not what another node sends.

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

use crate::harness::{FLEET_KEY, Fleet, Node, PATIENCE, Plan};

pub(crate) type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// A field number that no schema has yet.
const FIELD_OF_THE_FUTURE: u32 = 4_000;
const OWN_INCARNATION: u64 = 7;
/// As in the node; the codec's own default is smaller.
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

/// The next frame; `None` where the node has closed the link.
pub(crate) async fn receive(link: &mut Link) -> Option<frame::Body> {
    let bytes: BytesMut = link.next().await?.ok()?;
    Frame::decode(bytes.freeze()).unwrap().body
}

/// Opens a link as a node with that fleet key does.
pub(crate) async fn open(node: &Node, fleet_key: &str) -> Link {
    let (mut link, proof) = open_up_to_proof(node, fleet_key).await;
    send(&mut link, frame::Body::Proof(proof)).await;
    link
}

async fn open_up_to_proof(node: &Node, fleet_key: &str) -> (Link, Proof) {
    let keys = FleetKeys::new(fleet_key.as_bytes(), None).unwrap();
    let mut link = connect(node).await;
    let hello = Hello {
        node_id: "visitor".to_owned(),
        incarnation: OWN_INCARNATION,
        nonce: Bytes::from_static(b"sixteen bytes ok"),
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

/// Whether the node answers a question on this link.
async fn is_answered(link: &mut Link) -> bool {
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

/// A node of a newer version sends a kind of frame that this one does not know:
/// it is dropped, and the link goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_frame_of_a_newer_schema_is_passed_over() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let mut link = open(&fleet.nodes[0], FLEET_KEY).await;
    let mut newer = BytesMut::new();
    prost::encoding::string::encode(FIELD_OF_THE_FUTURE, &"unheard of".to_owned(), &mut newer);
    link.send(newer.freeze()).await.unwrap();
    assert!(is_answered(&mut link).await);
}

/// A node dials another and sends a question at once: both frames come in one
/// segment. Nothing else comes on this link, so the question must be answered
/// from what is there already. (It waited for the next frame, and the first
/// call over each such link ended `unknown` after its whole patience.)
#[tokio::test(flavor = "multi_thread")]
async fn a_frame_right_behind_the_opening_is_treated() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let (mut link, proof) = open_up_to_proof(&fleet.nodes[0], FLEET_KEY).await;
    let pull = StatusPull { query_id: 9 };
    for body in [frame::Body::Proof(proof), frame::Body::StatusPull(pull)] {
        let frame = Frame { body: Some(body) };
        link.feed(Bytes::from(frame.encode_to_vec())).await.unwrap();
    }
    SinkExt::<Bytes>::flush(&mut link).await.unwrap();
    let answer = tokio::time::timeout(PATIENCE, receive(&mut link)).await;
    assert!(
        matches!(answer, Ok(Some(frame::Body::Status(_)))),
        "{answer:?}"
    );
}

/// Truncated, oversized and senseless frames, before and after the link has
/// proved itself: the link is closed, and the node goes on.
#[tokio::test(flavor = "multi_thread")]
async fn broken_frames_end_their_link_only() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let truncated: &[u8] = &[0, 0, 0, 100, 1, 2, 3];
    let oversized: &[u8] = &[0x7f, 0xff, 0xff, 0xff, 1, 2, 3];
    let senseless: &[u8] = &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];
    for bytes in [truncated, oversized, senseless] {
        let strangers = TcpStream::connect(fleet.nodes[0].link).await.unwrap();
        let proved = open(&fleet.nodes[0], FLEET_KEY).await.into_inner();
        for mut stream in [strangers, proved] {
            stream.write_all(bytes).await.unwrap();
            stream.shutdown().await.unwrap();
            let mut rest = Vec::new();
            // The end, or a reset: the node has closed the link.
            let _ = stream.read_to_end(&mut rest).await;
        }
        assert_serves(&fleet).await;
    }
}

/// A process without the fleet key, or that skips the opening, is not served.
#[tokio::test(flavor = "multi_thread")]
async fn a_link_without_the_fleet_key_is_refused() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let other_key = "another fleet's key, which is long enough";
    let mut stranger = open(&fleet.nodes[0], other_key).await;
    assert!(!is_answered(&mut stranger).await);
    let mut impatient = connect(&fleet.nodes[0]).await;
    assert!(!is_answered(&mut impatient).await);
    assert_serves(&fleet).await;
}

/// Guards against answers that go over a link of which their call knows nothing: a
/// node holds two links to one process, and only the caller's own link waits.
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

/// Guards against answers that are dropped with the link opened last, while the
/// link that waits for them is well.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_outlives_a_later_link_of_its_sender() {
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

/// Guards against a question that was held up on a lost link: it comes after the one
/// over the next link, and the answer goes over the lost link, where nobody waits.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_question_over_a_lost_link_does_not_take_the_answer_there() {
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

/// What the node says of the first call, asked over this link.
async fn progress(link: &mut Link) -> Option<CallProgress> {
    send(link, frame::Body::Resolve(ResolveCall { call_id: 1 })).await;
    let next = tokio::time::timeout(PATIENCE, receive(link)).await;
    match next {
        Ok(Some(frame::Body::Resolution(resolution))) => Some(resolution.progress()),
        _ => None,
    }
}

fn page(call_id: u64) -> Call {
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

/// The call that the next answer on this link is for.
async fn answered_call(link: &mut Link) -> Option<u64> {
    let next = tokio::time::timeout(PATIENCE, receive(link)).await;
    match next {
        Ok(Some(frame::Body::Answer(answer))) => Some(answer.call_id),
        _ => None,
    }
}

/// A home gets a ticket that it cannot verify: signed with a key that it does
/// not hold, while keys are changed. The booking may have run under that key,
/// so the home must not say that it was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_home_does_not_vouch_for_a_ticket_it_cannot_verify() {
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
    let answer = tokio::time::timeout(PATIENCE, receive(&mut link))
        .await
        .unwrap();
    let Some(frame::Body::Answer(answer)) = answer else {
        panic!("no answer: {answer:?}");
    };
    assert_eq!(answer.outcome(), Outcome::Unknown);
    assert_eq!(answer.reason(), Reason::TicketForeign);
    assert_eq!(answer.retries_unspent, 2);
}
