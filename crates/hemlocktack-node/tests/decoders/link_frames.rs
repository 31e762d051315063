//! Bytes on a link that are nearly frames.

use bytes::{BufMut, Bytes, BytesMut};
use hemlocktack_protocol::{
    Answer, Call, CallResolution, CancelCall, Challenge, ConfigurationDocument, ConfigurationPull,
    Frame, Handover, HandoverEntry, Header, Hello, LoadHint, NodeStatus, Proof, ResolveCall, frame,
};
use hemlocktack_testkit::mutated_json::fixed_seed_config;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use prost::Message;
use tokio_util::codec::Decoder;

use crate::codec::{FrameCodec, MAX_FRAME_BYTES};

/// Room for reading before anything has come.
const FIRST_BUFFER_BYTES: usize = 8 << 10;
/// What a buffer may hold for each byte that has come: it grows by doubling.
const ROOM_A_BYTE: usize = 4;

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, any::<u64>(), select(vec![u64::MAX])]
}

fn bytes() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..80).prop_map(Bytes::from)
}

fn headers() -> impl Strategy<Value = Vec<Header>> {
    let header = (".{0,12}", bytes()).prop_map(|(name, value)| Header { name, value });
    vec(header, 0..4)
}

fn call() -> impl Strategy<Value = Call> {
    let numbers = (number(), number(), number(), any::<u32>(), any::<u32>());
    let texts = (".{0,12}", ".{0,12}");
    (numbers, texts, headers(), bytes(), -1..6_i32).prop_map(
        |(numbers, texts, headers, body, purpose)| Call {
            call_id: numbers.0,
            time_left_us: numbers.1,
            work_spent_us: numbers.2,
            depth: numbers.3,
            retries_given: numbers.4,
            service: texts.0,
            ticket: texts.1,
            purpose,
            headers,
            body,
            ..Call::default()
        },
    )
}

fn answer() -> impl Strategy<Value = Answer> {
    let numbers = (number(), any::<u32>(), any::<u32>(), number());
    (numbers, headers(), bytes(), -1..40_i32).prop_map(|(numbers, headers, body, reason)| Answer {
        call_id: numbers.0,
        status: numbers.1,
        retry_after_ms: numbers.2,
        hint: Some(LoadHint {
            limit: numbers.1,
            shed_level: numbers.2,
            queue_delay_us: numbers.3,
            ..LoadHint::default()
        }),
        outcome: reason,
        reason,
        headers,
        body,
        ..Answer::default()
    })
}

fn handover() -> impl Strategy<Value = Handover> {
    let entry = (bytes(), number(), proptest::option::of(answer()));
    let entry = entry.prop_map(|(nonce, epoch, answer)| HandoverEntry {
        nonce,
        epoch,
        answer,
        ..HandoverEntry::default()
    });
    (vec(entry, 0..3), any::<u32>(), number()).prop_map(|(entries, part, query_id)| Handover {
        entries,
        part,
        query_id,
        ..Handover::default()
    })
}

/// Frames of an opening and of questions.
fn small_body() -> impl Strategy<Value = frame::Body> {
    (0..9_u8, number(), number(), bytes(), ".{0,40}").prop_map(
        |(kind, number, other, bytes, text)| match kind {
            0 => frame::Body::Hello(Hello {
                node_id: text,
                incarnation: number,
                nonce: bytes,
            }),
            1 => frame::Body::Challenge(Challenge {
                node_id: text,
                nonce: bytes.clone(),
                mac: bytes,
                ..Challenge::default()
            }),
            2 => frame::Body::Proof(Proof { mac: bytes }),
            3 => frame::Body::Cancel(CancelCall { call_id: number }),
            4 => frame::Body::Resolve(ResolveCall { call_id: number }),
            5 => frame::Body::Resolution(CallResolution {
                call_id: number,
                progress: other as i32,
            }),
            6 => frame::Body::ConfigurationPull(ConfigurationPull {
                generation_in_force: number,
                query_id: other,
            }),
            7 => frame::Body::Configuration(ConfigurationDocument {
                generation: number,
                document: text,
                ..ConfigurationDocument::default()
            }),
            _ => frame::Body::Status(NodeStatus {
                node_id: text,
                demand_count: number,
                ..NodeStatus::default()
            }),
        },
    )
}

fn frame() -> impl Strategy<Value = Frame> {
    let body = prop_oneof![
        call().prop_map(frame::Body::Call),
        answer().prop_map(frame::Body::Answer),
        handover().prop_map(frame::Body::Handover),
        small_body(),
    ];
    body.prop_map(|body| Frame { body: Some(body) })
}

/// What stands before a frame's bytes.
#[derive(Clone, Copy, Debug)]
enum Length {
    Right,
    Announced(u32),
}

fn length() -> impl Strategy<Value = Length> {
    let most = u32::try_from(MAX_FRAME_BYTES).unwrap();
    prop_oneof![
        8 => Just(Length::Right),
        1 => (0..200_u32).prop_map(Length::Announced),
        1 => select(vec![most, most + 1, u32::MAX]).prop_map(Length::Announced),
        1 => any::<u32>().prop_map(Length::Announced),
    ]
}

/// One frame as it goes over the wire, seldom with a byte changed.
fn on_the_wire() -> impl Strategy<Value = Vec<u8>> {
    let change = proptest::option::weighted(0.2, (any::<Index>(), any::<u8>()));
    (frame(), length(), change).prop_map(|(frame, length, change)| {
        let mut body = frame.encode_to_vec();
        if let (Some((place, byte)), false) = (change, body.is_empty()) {
            let place = place.index(body.len());
            body[place] = byte;
        }
        let mut wire = Vec::new();
        wire.put_u32(match length {
            Length::Right => u32::try_from(body.len()).unwrap(),
            Length::Announced(length) => length,
        });
        wire.extend(body);
        wire
    })
}

/// The same in pieces, as the network brings them.
fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    (vec(on_the_wire(), 1..5), vec(1..600_usize, 1..8)).prop_map(|(frames, sizes)| {
        let mut left = frames.concat();
        let mut pieces = Vec::new();
        for size in sizes.iter().cycle() {
            let rest = left.split_off((*size).min(left.len()));
            pieces.push(left);
            left = rest;
            if left.is_empty() {
                return pieces;
            }
        }
        pieces
    })
}

/// Room that the buffer of a link takes at its largest; the link ends at its first
/// fault.
fn largest_buffer_bytes(pieces: &[Vec<u8>]) -> usize {
    let mut codec = FrameCodec::new();
    let mut buffer = BytesMut::with_capacity(FIRST_BUFFER_BYTES);
    let mut largest = 0;
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            let decoded = codec.decode(&mut buffer);
            largest = largest.max(buffer.capacity());
            match decoded {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return largest,
            }
        }
    }
    largest
}

/// A peer announces the largest frame on each of a thousand links and sends nothing
/// of it: room for it on each is all the memory there is.
#[test]
fn an_announced_length_takes_no_room_before_its_bytes_come() {
    let most = u32::try_from(MAX_FRAME_BYTES).unwrap();
    let largest = largest_buffer_bytes(&[most.to_be_bytes().to_vec()]);
    assert!(largest <= 2 * FIRST_BUFFER_BYTES, "{largest} bytes");
}

proptest! {
    #![proptest_config(fixed_seed_config(27))]

    /// Frames that nothing was done to come out as they went in, whatever the
    /// pieces they come in.
    #[test]
    fn sound_frames_are_read_in_any_pieces(
        frames in vec(frame(), 1..4), size in 1..300_usize,
    ) {
        let mut wire = Vec::new();
        for frame in &frames {
            wire.put_u32(u32::try_from(frame.encoded_len()).unwrap());
            wire.extend(frame.encode_to_vec());
        }
        let mut codec = FrameCodec::new();
        let mut buffer = BytesMut::new();
        let mut read = Vec::new();
        for piece in wire.chunks(size) {
            buffer.extend_from_slice(piece);
            while let Some(frame) = codec.decode(&mut buffer).unwrap() {
                read.push(frame);
            }
        }
        prop_assert_eq!(read, frames);
    }

    /// A peer of another version, or one with a memory fault: its link ends, the
    /// node does not.
    #[test]
    fn nearly_right_frames_are_taken_or_end_their_link(pieces in pieces()) {
        let largest = largest_buffer_bytes(&pieces);
        let come: usize = pieces.iter().map(Vec::len).sum();
        let most = 2 * FIRST_BUFFER_BYTES + ROOM_A_BYTE * come;
        prop_assert!(largest <= most, "{largest} bytes for {come}");
    }
}
