//! Frame format on the wire: a length, then one protobuf message.

use std::io::ErrorKind;

use bytes::{Buf, BufMut, BytesMut};
use derive_more::{Display, Error, From};
use hemlocktack_protocol::Frame;
use hemlocktack_telemetry::{Event, log_event};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder};

use super::last_received::LastReceived;
use crate::memory::{GaugedBytes, HeldFor, MemoryGauge};

/// Result of reading or writing a frame.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Largest frame: the largest answer that operators may allow, plus its headers. The connection to
/// a peer that announces a longer one is closed.
pub(crate) const MAX_FRAME_BYTES: usize = 20 << 20;

/// Size of the length prefix of a frame, which is in big-endian byte order.
const LENGTH_BYTES: usize = 4;
/// Buffer space reserved at once for the rest of a partly received frame.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// Errors of reading or writing a frame.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    #[display("link failed or a frame is over {MAX_FRAME_BYTES} bytes: {_0}")]
    Io(std::io::Error),
    #[display("frame is not a message of the schema: {_0}")]
    Malformed(prost::DecodeError),
}

/// Logs a malformed frame. An ordinary loss of the connection is not logged.
pub(super) fn log_malformed(error: &Error) {
    let is_fault = match error {
        Error::Io(error) => error.kind() == std::io::ErrorKind::InvalidData,
        Error::Malformed(_) => true,
    };
    if is_fault {
        log_event!(Event::FrameMalformed, %error);
    }
}

/// Codec for length-delimited protobuf frames.
pub(crate) struct FrameCodec {
    last_received: LastReceived,
    /// Buffer of the bytes that are decoded.
    received: GaugedBytes,
}

impl FrameCodec {
    pub(crate) fn new(memory: &MemoryGauge) -> Self {
        Self {
            last_received: LastReceived::new(),
            received: memory.hold(HeldFor::ReceivedFrames),
        }
    }

    /// Returns the time at which bytes were last received.
    pub(super) fn last_received(&self) -> &LastReceived {
        &self.last_received
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>> {
        // Called when bytes have arrived, and once more for each frame in them.
        self.last_received.update();
        self.received.set(source.capacity());
        let Some(length_bytes) = frame_length(source)? else {
            return Ok(None);
        };
        let end_bytes = LENGTH_BYTES + length_bytes;
        if source.len() < end_bytes {
            // Not the whole frame: the peer may not have authenticated yet.
            source.reserve((end_bytes - source.len()).min(READ_CHUNK_BYTES));
            return Ok(None);
        }
        source.advance(LENGTH_BYTES);
        let frame = Frame::decode(source.split_to(length_bytes).freeze())?;
        Ok(Some(frame))
    }
}

/// Returns the length of the next frame once its prefix has arrived.
fn frame_length(source: &BytesMut) -> Result<Option<usize>> {
    let Some(head) = source.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length_bytes = u32::from_be_bytes(*head) as usize;
    if length_bytes > MAX_FRAME_BYTES {
        return Err(std::io::Error::from(ErrorKind::InvalidData).into());
    }
    Ok(Some(length_bytes))
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<()> {
        let length_bytes = frame.encoded_len();
        if length_bytes > MAX_FRAME_BYTES {
            return Err(std::io::Error::from(ErrorKind::InvalidData).into());
        }
        target.reserve(LENGTH_BYTES + length_bytes);
        target.put_u32(length_bytes as u32);
        frame.encode_raw(target);
        Ok(())
    }
}
