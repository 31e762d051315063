//! The link codec with mutated frames.

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
use crate::memory::MemoryGauge;

/// Initial capacity of the read buffer.
const INITIAL_BUFFER_BYTES: usize = 8 << 10;
/// Maximum capacity of a buffer for each byte received: it grows by doubling.
const MAX_CAPACITY_PER_BYTE: usize = 4;

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

/// Frames of the handshake and of queries.
fn small_body() -> impl Strategy<Value = frame::Body> {
    (0..9_u8, number(), number(), bytes(), ".{0,40}").prop_map(
        |(kind, number, other, bytes, text)| match kind {
            0 => frame::Body::Hello(Hello {
                node_id: text,
                incarnation: number,
                nonce: bytes,
                takes_body_parts: true,
            }),
            1 => frame::Body::Challenge(Challenge {
                node_id: text,
                nonce: bytes.clone(),
                mac: bytes,
                ..Challenge::default()
            }),
            2 => frame::Body::Proof(Proof { mac: bytes }),
            3 => frame::Body::Cancel(CancelCall {
                call_id: number,
                left_ago_us: number,
                queued_at_us: number,
            }),
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

/// The length prefix of a frame.
#[derive(Clone, Copy, Debug)]
enum Length {
    Correct,
    Announced(u32),
}

fn length() -> impl Strategy<Value = Length> {
    let max_length = u32::try_from(MAX_FRAME_BYTES).unwrap();
    prop_oneof![
        8 => Just(Length::Correct),
        1 => (0..200_u32).prop_map(Length::Announced),
        1 => select(vec![max_length, max_length + 1, u32::MAX]).prop_map(Length::Announced),
        1 => any::<u32>().prop_map(Length::Announced),
    ]
}

/// One encoded frame, sometimes with a byte changed.
fn encoded_frame() -> impl Strategy<Value = Vec<u8>> {
    let change = proptest::option::weighted(0.2, (any::<Index>(), any::<u8>()));
    (frame(), length(), change).prop_map(|(frame, length, change)| {
        let mut body = frame.encode_to_vec();
        if let (Some((position, byte)), false) = (change, body.is_empty()) {
            let position = position.index(body.len());
            body[position] = byte;
        }
        let mut wire = Vec::new();
        wire.put_u32(match length {
            Length::Correct => u32::try_from(body.len()).unwrap(),
            Length::Announced(length) => length,
        });
        wire.extend(body);
        wire
    })
}

/// Encoded frames, split into pieces as the network may deliver them.
fn pieces() -> impl Strategy<Value = Vec<Vec<u8>>> {
    (vec(encoded_frame(), 1..5), vec(1..600_usize, 1..8)).prop_map(|(frames, sizes)| {
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

/// Returns the largest capacity that the read buffer of a link reaches; the link ends at its
/// first error.
fn largest_buffer_bytes(pieces: &[Vec<u8>]) -> usize {
    let mut codec = FrameCodec::new(&MemoryGauge::default());
    let mut buffer = BytesMut::with_capacity(INITIAL_BUFFER_BYTES);
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

/// A peer sends the length prefix of the largest frame on each of a thousand links and nothing
/// more. Buffers allocated from the prefix would use up the memory.
#[test]
fn a_length_prefix_allocates_nothing_before_its_bytes_arrive() {
    let max_length = u32::try_from(MAX_FRAME_BYTES).unwrap();
    let largest = largest_buffer_bytes(&[max_length.to_be_bytes().to_vec()]);
    assert!(largest <= 2 * INITIAL_BUFFER_BYTES, "{largest} bytes");
}

proptest! {
    #![proptest_config(fixed_seed_config(27))]

    /// Unchanged frames decode to themselves, however they are split.
    #[test]
    fn valid_frames_decode_in_any_pieces(
        frames in vec(frame(), 1..4), size in 1..300_usize,
    ) {
        let mut wire = Vec::new();
        for frame in &frames {
            wire.put_u32(u32::try_from(frame.encoded_len()).unwrap());
            wire.extend(frame.encode_to_vec());
        }
        let mut codec = FrameCodec::new(&MemoryGauge::default());
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

    /// Malformed frames of a peer of another version, or with faulty memory, end its link and
    /// not the node.
    #[test]
    fn mutated_frames_are_accepted_or_end_their_link(pieces in pieces()) {
        let largest = largest_buffer_bytes(&pieces);
        let received_bytes: usize = pieces.iter().map(Vec::len).sum();
        let limit_bytes = 2 * INITIAL_BUFFER_BYTES + MAX_CAPACITY_PER_BYTE * received_bytes;
        prop_assert!(largest <= limit_bytes, "{largest} bytes for {received_bytes}");
    }
}
