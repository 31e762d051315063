//! The rest of a body that nobody needs, as its request is refused before its end.

use std::time::Duration;

use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Response, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::leaving::LeavingBody;

/// Longest that a caller may go on sending a body after its refusal.
const REST_TAKEN_FOR: Duration = Duration::from_secs(2);

/// Lets the caller send the rest of its body beside the refusal; the connection is
/// closed after that.
///
/// Failure: a connection that is closed with bytes unread is reset, and the reset
/// takes the refusal away from a caller that reads it once all is sent.
pub(super) fn refuse_beside(
    mut refusal: Response<LeavingBody>,
    head: &request::Parts,
    body: Incoming,
) -> Response<LeavingBody> {
    if body.is_end_stream() {
        return refusal;
    }
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
    // A caller that waits for leave to send its body gets the refusal in its place.
    if !head.headers.contains_key(EXPECT) {
        tokio::spawn(tokio::time::timeout(REST_TAKEN_FOR, take_rest(body)));
    }
    refusal
}

async fn take_rest(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
