//! Frames on the wire: a length, then one protobuf message.

use std::io::ErrorKind;

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use hemlocktack_protocol::Frame;
use hemlocktack_telemetry::{Event, log_event};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::heard::Heard;

/// Result of reading or writing a frame.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Largest frame: the largest answer that operators may allow, with room for
/// its headers. A peer that announces more is cut off.
pub(crate) const MAX_FRAME_BYTES: usize = 20 << 20;

/// Before each frame stands its length, most significant byte first.
const LENGTH_BYTES: usize = 4;
/// Room that is made for the rest of a frame whose beginning has come.
const READ_CHUNK_BYTES: usize = 8 << 10;

/// What can go wrong with a frame.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Error {
    #[display("link failed or a frame is over {MAX_FRAME_BYTES} bytes: {_0}")]
    Io(std::io::Error),
    #[display("frame is not a message of the schema: {_0}")]
    Malformed(prost::DecodeError),
}

/// An ordinary loss of the connection is no fault of a frame.
pub(super) fn log_malformed(error: &Error) {
    let is_fault = match error {
        Error::Io(error) => error.kind() == std::io::ErrorKind::InvalidData,
        Error::Malformed(_) => true,
    };
    if is_fault {
        log_event!(Event::FrameMalformed, %error);
    }
}

/// Length-delimited protobuf frames.
pub(crate) struct FrameCodec {
    lengths: LengthDelimitedCodec,
    heard: Heard,
}

impl FrameCodec {
    pub(crate) fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        let heard = Heard::new();
        Self { lengths, heard }
    }

    /// When anything was read last.
    pub(super) fn heard(&self) -> &Heard {
        &self.heard
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>> {
        // Called when bytes have come, and once more for each frame in them.
        self.heard.note();
        let Some(length_bytes) = frame_length(source)? else {
            return Ok(None);
        };
        let end_bytes = LENGTH_BYTES + length_bytes;
        if source.len() < end_bytes {
            source.reserve((end_bytes - source.len()).min(READ_CHUNK_BYTES));
            return Ok(None);
        }
        source.advance(LENGTH_BYTES);
        let frame = Frame::decode(source.split_to(length_bytes).freeze())?;
        Ok(Some(frame))
    }
}

/// Length of the next frame, once its prefix has come.
///
/// `LengthDelimitedCodec` would make room for the whole frame at once, also for a peer
/// that has not proved itself.
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
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, target)?;
        Ok(())
    }
}
