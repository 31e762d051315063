//! One TCP connection: a writer task behind a bounded queue, and a close signal.

use std::sync::Arc;

use futures::SinkExt;
use hemlocktack_protocol::{Frame, Incarnation, frame};
use tokio::sync::{mpsc, watch};

use super::handshake::Writer;

/// Frames that wait for the socket. A peer that reads slowly makes senders
/// wait here, bounded, and they give up at their own deadlines.
const WRITE_QUEUE_FRAMES: usize = 1024;

/// Sending end of a connection.
#[derive(Clone)]
pub(crate) struct Connection {
    pub(crate) peer_incarnation: Incarnation,
    frames: mpsc::Sender<Frame>,
    closed: Arc<watch::Sender<bool>>,
}

impl Connection {
    pub(crate) fn start(peer_incarnation: Incarnation, writer: Writer) -> Self {
        let (frames, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
        let closed = Arc::new(watch::Sender::new(false));
        tokio::spawn(write_frames(writer, queue, closed.clone()));
        Self {
            peer_incarnation,
            frames,
            closed,
        }
    }

    /// Whether the frame was taken; if not, no byte of it left.
    pub(crate) async fn send(&self, body: frame::Body) -> bool {
        if self.is_closed() {
            return false;
        }
        self.frames.send(Frame { body: Some(body) }).await.is_ok()
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    pub(crate) fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Ends when the connection is lost or closed.
    pub(crate) async fn closed(&self) {
        let mut closed = self.closed.subscribe();
        let _ = closed.wait_for(|is_closed| *is_closed).await;
    }
}

/// Writes what is queued and flushes when the queue is empty, so that a burst
/// of frames costs one system call and a lone frame leaves at once.
async fn write_frames(
    mut writer: Writer,
    mut queue: mpsc::Receiver<Frame>,
    closed: Arc<watch::Sender<bool>>,
) {
    let mut close_signal = closed.subscribe();
    loop {
        let next = tokio::select! {
            next = queue.recv() => next,
            _ = close_signal.wait_for(|is_closed| *is_closed) => None,
        };
        let Some(frame) = next else { break };
        if write_batch(&mut writer, frame, &mut queue).await.is_err() {
            break;
        }
    }
    closed.send_replace(true);
}

async fn write_batch(
    writer: &mut Writer,
    first: Frame,
    queue: &mut mpsc::Receiver<Frame>,
) -> super::codec::Result<()> {
    writer.feed(first).await?;
    while let Ok(frame) = queue.try_recv() {
        writer.feed(frame).await?;
    }
    writer.flush().await
}
