//! Whether a caller has closed its connection.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::sync::{Arc, Weak};
use std::time::Duration;

use futures::FutureExt;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How often a connection with unread bytes is looked at for its end.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Watches the connection of a caller for its end, beside the code that reads requests from it.
///
/// The HTTP library reads no further while a request is served and bytes lie behind it, or while
/// its body is not wanted yet, and so does not notice the end of the connection behind them.
///
/// The end of what a caller sends counts as its leaving, whether or not it would still read: a
/// closed connection and one that is shut in one direction only look the same from here.
#[derive(Clone)]
pub(crate) struct CallerWatch {
    /// Weak, so that a call that outlives its connection does not keep it open.
    stream: Weak<TcpStream>,
}

impl CallerWatch {
    pub(crate) fn new(stream: &Arc<TcpStream>) -> Self {
        Self {
            stream: Arc::downgrade(stream),
        }
    }

    /// Returns once the caller has left.
    pub(crate) async fn left(&self) {
        while let Some(stream) = self.stream.upgrade() {
            match stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => {}
                _ => return,
            }
            drop(stream);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Whether the caller has left, as far as the system knows at this moment. After this process
    /// stood still, that is more than the runtime has been told.
    pub(crate) fn has_left(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return true;
        };
        is_known_to_be_closed(&stream) || is_at_end(&stream)
    }
}

fn is_known_to_be_closed(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
}

/// Whether nothing is left to read and the connection has ended.
fn is_at_end(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(length) => length == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}
