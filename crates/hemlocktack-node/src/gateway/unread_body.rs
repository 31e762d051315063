//! The rest of a body that nobody needs, as its request is refused before its end.

use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Response, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::tracked_body::TrackedBody;
use crate::refused_body::discard_with_timeout;

/// Lets the caller send the rest of its body beside the refusal; the connection is
/// closed after that.
pub(super) fn refuse_beside(
    mut refusal: Response<TrackedBody>,
    head: &request::Parts,
    body: Incoming,
) -> Response<TrackedBody> {
    if body.is_end_stream() {
        return refusal;
    }
    let close = HeaderValue::from_static("close");
    refusal.headers_mut().insert(CONNECTION, close);
    // A caller that waits for leave to send its body gets the refusal in its place.
    if !head.headers.contains_key(EXPECT) {
        tokio::spawn(discard_with_timeout(take_rest(body)));
    }
    refusal
}

async fn take_rest(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
