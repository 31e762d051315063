//! Frames on the wire: a length, then one protobuf message.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use hemlocktack_protocol::Frame;
use hemlocktack_telemetry::{Event, log_event};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::heard::Heard;

/// Result of reading or writing a frame.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Largest frame: the largest answer that operators may allow, with room for
/// its headers. A peer that announces more is cut off before anything is
/// allocated for it.
pub(crate) const MAX_FRAME_BYTES: usize = 20 << 20;

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
        let Some(bytes) = self.lengths.decode(source)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze())?;
        Ok(Some(frame))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<()> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, target)?;
        Ok(())
    }
}
