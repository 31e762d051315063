//! HTTP client for upstreams with a deployment-specific interface. A call ends with a complete
//! answer or with the reason why there is none.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlocktack_interface::{AnswerCheck, Health, UpstreamCodec};
use hemlocktack_protocol::Reason;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::ext::on_informational;

use super::connections::{Connections, LeasedConnection};
use super::send::IncompleteAnswer;
use super::{
    AnswerClaim, ContestedAnswer, HeardAnswer, UpstreamOutcome, UpstreamRequest, UpstreamResponse,
};
use crate::gateway::forwarded_headers;

/// Idle connections that may turn out to be closed before a new one is opened.
const MAX_STALE_CONNECTIONS: usize = 3;

/// Most bytes of a body that nobody waits for. It is read so that its connection can be used again.
const MAX_UNUSED_BODY_BYTES: usize = 16 << 10;
/// Longest time for reading such a body; it usually arrives with its head.
const MAX_UNUSED_BODY_TIME: Duration = Duration::from_millis(20);

/// Client for the node's upstream.
pub(crate) struct InterfaceClient {
    codec: UpstreamCodec,
    connections: Connections,
}

/// The head of an answer, on the connection that the rest of it arrives on.
struct AnswerHead {
    leased: LeasedConnection,
    response: Response<Incoming>,
    request_sent_at: Instant,
}

/// Why a request was not sent; no byte of it was written.
enum NotSent {
    Unreachable,
    Malformed,
}

impl InterfaceClient {
    pub(crate) fn new(codec: UpstreamCodec) -> Self {
        Self {
            codec,
            connections: Connections::default(),
        }
    }

    /// Sends the call and reads the complete answer, until the deadline. If the caller disconnects
    /// before, this future is dropped, which closes the connection.
    ///
    /// An upstream that accepts no connection until the deadline has not got the call.
    pub(super) async fn send(&self, send: &UpstreamRequest<'_>) -> UpstreamResponse {
        let is_handed_over = AtomicBool::new(false);
        let exchange = self.exchange(send, &is_handed_over);
        match tokio::time::timeout_at(send.deadline.into(), exchange).await {
            Ok(end) => end,
            Err(_) if is_handed_over.into_inner() => {
                UpstreamOutcome::Unknown(Reason::Timeout).into()
            }
            Err(_) => UpstreamOutcome::NotRun(Reason::UpstreamUnreachable).into(),
        }
    }

    async fn exchange(
        &self,
        send: &UpstreamRequest<'_>,
        is_handed_over: &AtomicBool,
    ) -> UpstreamResponse {
        let AnswerHead {
            leased,
            response,
            request_sent_at,
        } = match self.send_head(send, is_handed_over).await {
            Ok(Ok(head)) => head,
            Ok(Err(reason)) => return UpstreamOutcome::Unknown(reason).into(),
            Err(NotSent::Unreachable) => {
                return UpstreamOutcome::NotRun(Reason::UpstreamUnreachable).into();
            }
            Err(NotSent::Malformed) => {
                return UpstreamOutcome::NotRun(Reason::MalformedRequest).into();
            }
        };
        let read_at = Instant::now();
        let (head, body) = response.into_parts();
        // The upstream switched to another protocol without being asked to.
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return UpstreamOutcome::Unknown(Reason::UpstreamFailed).into();
        }
        let check = (self.codec.check_answer)(&head, &send.call.request_id);
        let is_own_answer = check != AnswerCheck::OtherInstance;
        let contested = |claim| ContestedAnswer {
            claim,
            status: head.status.as_u16(),
            elapsed: read_at.duration_since(request_sent_at),
            connection_age: leased.age(),
            earlier_requests: leased.earlier_requests(),
        };
        let end = match check {
            AnswerCheck::Answer => None,
            AnswerCheck::NotRun(reason) => Some(UpstreamOutcome::NotRun(reason)),
            AnswerCheck::OtherInstance => Some(UpstreamOutcome::NotRun(Reason::UpstreamReplaced)),
            // The connection cannot be reused: what follows belongs to no request of this node.
            AnswerCheck::OtherRequest { answered_id } => {
                return UpstreamResponse {
                    outcome: UpstreamOutcome::Unknown(Reason::UpstreamFailed),
                    heard: None,
                    contested: Some(contested(AnswerClaim::OtherRequest { answered_id })),
                    no_memory: None,
                };
            }
            AnswerCheck::UnconfirmedNotRun => {
                Some(UpstreamOutcome::Unknown(Reason::UpstreamFailed))
            }
        };
        let contested = match &end {
            Some(UpstreamOutcome::NotRun(_)) => Some(contested(AnswerClaim::NotRun)),
            _ => None,
        };
        let heard = |is_complete| {
            is_own_answer.then(|| HeardAnswer {
                notice: (self.codec.read_notice)(&head.headers),
                request_sent_at,
                read_at,
                is_complete,
            })
        };
        if let Some(outcome) = end {
            if read_unused(body).await {
                self.connections.release(leased, &head.headers);
            }
            return UpstreamResponse {
                outcome,
                heard: heard(false),
                contested,
                no_memory: None,
            };
        }
        let whole = read_whole(body, send).await;
        let heard = heard(whole.is_ok());
        let no_memory = whole.as_ref().err().and_then(IncompleteAnswer::no_memory);
        let outcome = match whole {
            Ok(body) => {
                self.connections.release(leased, &head.headers);
                UpstreamOutcome::Answered {
                    status: head.status.as_u16(),
                    headers: forwarded_headers(&head.headers, &[]),
                    body,
                }
            }
            Err(incomplete) => UpstreamOutcome::Unknown(incomplete.reason()),
        };
        UpstreamResponse {
            outcome,
            heard,
            contested,
            no_memory,
        }
    }

    /// Sends the request and returns the head of the answer. A request is resent, on another
    /// connection, only if nothing of it was written. `is_handed_over` is set while some of it may
    /// have been.
    async fn send_head(
        &self,
        send: &UpstreamRequest<'_>,
        is_handed_over: &AtomicBool,
    ) -> Result<Result<AnswerHead, Reason>, NotSent> {
        let address = send.announcement.address;
        let request_id = &send.call.request_id;
        for attempt in 0.. {
            let leased = match attempt < MAX_STALE_CONNECTIONS {
                true => self.connections.lease(address, request_id).await,
                false => self.connections.lease_new(address, request_id).await,
            };
            let mut leased = leased.ok_or(NotSent::Unreachable)?;
            let mut request = self.request(send).ok_or(NotSent::Malformed)?;
            let watch = leased.head_watch.clone();
            watch.begin();
            on_informational(&mut request, {
                let watch = watch.clone();
                move |_| watch.record_interim_answer()
            });
            let Some(sender) = leased.sender.as_mut() else {
                continue;
            };
            let request_sent_at = Instant::now();
            is_handed_over.store(true, Ordering::Relaxed);
            let sent = tokio::select! {
                biased;
                sent = sender.try_send_request(request) => sent,
                () = watch.exceeded() => return Ok(Err(Reason::UpstreamFailed)),
            };
            match sent {
                Ok(response) => {
                    return Ok(Ok(AnswerHead {
                        leased,
                        response,
                        request_sent_at,
                    }));
                }
                Err(mut error) => {
                    let nothing_sent = error.take_message().is_some();
                    if !nothing_sent {
                        return Ok(Err(Reason::UpstreamFailed));
                    }
                    is_handed_over.store(false, Ordering::Relaxed);
                    if leased.is_fresh {
                        return Err(NotSent::Unreachable);
                    }
                }
            }
        }
        Err(NotSent::Unreachable)
    }

    fn request(&self, send: &UpstreamRequest<'_>) -> Option<Request<Full<Bytes>>> {
        let call = send.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = Method::from_bytes(call.method.as_bytes()).ok()?;
        *request.uri_mut() = call.path.parse::<Uri>().ok()?;
        let headers = request.headers_mut();
        for header in &call.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_maybe_shared(header.value.clone()).ok()?;
            headers.append(name, value);
        }
        let time_left = send.deadline.saturating_duration_since(Instant::now());
        let upstream_start = send.announcement.upstream_start.as_deref();
        (self.codec.write_headers)(headers, time_left, upstream_start);
        Some(request)
    }

    /// Queries the upstream's identity and health.
    pub(super) async fn ask_health(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Instant,
    ) -> Option<Health> {
        let question = async {
            let mut leased = self.connections.dial(address).await?;
            let request = Request::get(path)
                .header("host", address.to_string())
                .body(Full::default())
                .ok()?;
            let response = leased.sender.as_mut()?.send_request(request).await.ok()?;
            (self.codec.read_health)(&response.into_parts().0)
        };
        tokio::time::timeout_at(deadline.into(), question)
            .await
            .ok()?
    }
}

/// Reads a body that nobody waits for, and returns whether it is complete. The outcome of its
/// request is known from the head, so a body that is long or slow is given up.
async fn read_unused(body: Incoming) -> bool {
    let reading = Limited::new(body, MAX_UNUSED_BODY_BYTES).collect();
    let read = tokio::time::timeout(MAX_UNUSED_BODY_TIME, reading).await;
    matches!(read, Ok(Ok(_)))
}

/// Reads the complete body. The HTTP library reports a body shorter than its declared length as an
/// error, so a caller never gets a truncated answer as if it were complete.
async fn read_whole(body: Incoming, send: &UpstreamRequest<'_>) -> Result<Bytes, IncompleteAnswer> {
    let plan = send.answer_plan(body.size_hint().exact());
    let pieces = body.into_data_stream();
    let collected = send.memory.collect(&send.answer_need(), plan, pieces).await;
    Ok(collected?)
}
