//! Intact and faulty HTTP answers of both stand-ins.

use std::future::Future;
use std::io::Cursor;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Header, Status};
use rocket::{Data, Request, Response};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::Sleep;

const READ_LIMIT_MIB: u32 = 16;
/// Bytes that a lost answer declares and does not send.
const MISSING_BYTES: usize = 64;
/// Long enough for the bytes before the pause to leave the server.
const CUT_PAUSE: Duration = Duration::from_millis(30);
/// Longer than any timeout in a test.
const STALL: Duration = Duration::from_secs(120);

/// One answer.
pub(crate) struct Reply {
    status: u16,
    body: Vec<u8>,
    headers: Vec<(&'static str, String)>,
    fault: Option<BodyFault>,
}

/// How an answer ends before its declared length is sent.
#[derive(Clone, Copy)]
enum BodyFault {
    /// The server closes the connection before it sends the head.
    Lost,
    /// The head and this many bytes are sent; the connection closes after the pause.
    StopsAfter(usize, Duration),
}

impl Reply {
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            headers: Vec::new(),
            fault: None,
        }
    }

    pub(crate) fn error(status: u16, error: &str, message: &str) -> Reply {
        Reply::json(status, &json!({ "error": error, "message": message }))
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.headers.push((name, value.into()));
        self
    }

    /// Closes the connection instead of answering.
    pub(crate) fn lost(mut self) -> Reply {
        self.fault = Some(BodyFault::Lost);
        self
    }

    /// Declares the full length, sends this many bytes and closes the connection.
    ///
    /// The pause lets those bytes leave the server. If it closed the connection immediately, it would
    /// send nothing at all, which is another fault.
    pub(crate) fn cut_after(mut self, sent_bytes: usize) -> Reply {
        self.fault = Some(BodyFault::StopsAfter(sent_bytes, CUT_PAUSE));
        self
    }

    /// Declares the full length, sends this many bytes and keeps the connection open.
    pub(crate) fn stall_after(mut self, sent_bytes: usize) -> Reply {
        self.fault = Some(BodyFault::StopsAfter(sent_bytes, STALL));
        self
    }

    pub(crate) fn into_response<'r>(mut self) -> Response<'r> {
        let mut response = Response::build();
        response
            .status(Status::new(self.status))
            .header(ContentType::JSON);
        for (name, value) in self.headers {
            response.header(Header::new(name, value));
        }
        match self.fault {
            None => {
                response.sized_body(self.body.len(), Cursor::new(self.body));
            }
            Some(BodyFault::Lost) => {
                response.sized_body(MISSING_BYTES, Cursor::new(Vec::new()));
            }
            Some(BodyFault::StopsAfter(sent_bytes, pause)) => {
                response.raw_header("Content-Length", self.body.len().to_string());
                self.body.truncate(sent_bytes);
                response.streamed_body(PartialBody::new(self.body, pause));
            }
        }
        response.finalize()
    }
}

/// A body that sends some bytes and ends after a pause.
struct PartialBody {
    bytes: Cursor<Vec<u8>>,
    end: Pin<Box<Sleep>>,
}

impl PartialBody {
    fn new(bytes: Vec<u8>, pause: Duration) -> PartialBody {
        PartialBody {
            bytes: Cursor::new(bytes),
            end: Box::pin(tokio::time::sleep(pause)),
        }
    }
}

impl AsyncRead for PartialBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.bytes.position() < self.bytes.get_ref().len() as u64 {
            return Pin::new(&mut self.bytes).poll_read(context, buffer);
        }
        self.end.as_mut().poll(context).map(Ok)
    }
}

/// Reads the request's body. Returns `None` if it could not be read completely.
pub(crate) async fn read_body(data: Data<'_>) -> Option<Vec<u8>> {
    let body = data.open(READ_LIMIT_MIB.mebibytes()).into_bytes().await;
    match body {
        Ok(body) if body.is_complete() => Some(body.into_inner()),
        _ => None,
    }
}

/// Reads the request's body as JSON.
pub(crate) async fn read_json(data: Data<'_>) -> Option<Value> {
    let body = read_body(data).await?;
    serde_json::from_slice(&body).ok()
}

/// Returns the path without its leading slash, percent-decoded.
pub(crate) fn path_of(request: &Request<'_>) -> String {
    let path = request.uri().path();
    let decoded = path.percent_decode_lossy();
    decoded.trim_start_matches('/').to_owned()
}

/// Returns a query parameter as a number.
pub(crate) fn number(request: &Request<'_>, name: &str) -> Option<u64> {
    request.query_value::<u64>(name)?.ok()
}

/// Returns a query parameter as text.
pub(crate) fn text(request: &Request<'_>, name: &str) -> Option<String> {
    request.query_value::<String>(name)?.ok()
}
