//! Handles the unread rest of a request body after an early refusal.

use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Response, request};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::connection::RequestBody;
use super::tracked_body::TrackedBody;
use crate::refused_body::discard_with_timeout;

/// Sends the refusal while the rest of the request body is read and discarded, and
/// closes the connection afterwards.
pub(super) fn refuse_and_discard(
    mut refusal: Response<TrackedBody>,
    head: &request::Parts,
    body: RequestBody,
) -> Response<TrackedBody> {
    if body.is_end_stream() {
        return refusal;
    }
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
    // A caller that sent `Expect` gets the refusal instead of `100 Continue` and sends no body.
    if !head.headers.contains_key(EXPECT) {
        tokio::spawn(discard_with_timeout(read_to_end(body)));
    }
    refusal
}

async fn read_to_end(mut body: RequestBody) {
    while let Some(Ok(_)) = body.frame().await {}
}
