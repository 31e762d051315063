//! Sends one request and repeats it if its response is lost.

use std::error::Error as StdError;
use std::time::Duration;

use bytes::Bytes;
use hemlocktack_protocol::{OPERATORS_SERVICE, OperatorError, OperatorErrorCode};
use prost::Message;
use reqwest::header::CONTENT_TYPE;
use reqwest::{Response, StatusCode};

use super::Method;
use crate::error::{Error, Result};

const PROTOBUF: &str = "application/x-protobuf";
/// Maximum number of sends of one request. Every method is idempotent: queries change nothing, and a
/// command carries a change id or names the state that it wants.
const MAX_ATTEMPTS: u32 = 4;
/// Backoff before the first repeat; doubles with each further one, so that a restarting node is
/// reached again without a burst of requests.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The status of 560 nodes is well below this limit.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// RPC client of one node.
pub(crate) struct Client {
    node_url: String,
    token: String,
    timeout: Duration,
}

/// Why one send got no usable response.
enum Failure {
    /// A repeat may succeed.
    Transient(Error),
    Final(Error),
}

impl Client {
    pub(crate) fn new(node_url: String, token: String, timeout: Duration) -> Self {
        Client {
            node_url,
            token,
            timeout,
        }
    }

    /// Calls a method and waits for its response.
    pub(crate) fn call<Request, Answer>(
        &self,
        method: &Method<Request, Answer>,
        request: &Request,
    ) -> Result<Answer>
    where
        Request: Message,
        Answer: Message + Default,
    {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| self.unreachable(&error))?;
        let body = Bytes::from(request.encode_to_vec());
        let answer = runtime.block_on(self.send_until_answered(method.name, body))?;
        Answer::decode(answer).map_err(|error| self.unreachable(&error))
    }

    async fn send_until_answered(&self, method: &str, body: Bytes) -> Result<Bytes> {
        let client = reqwest::Client::builder()
            .timeout(self.timeout)
            .no_proxy()
            .build()
            .map_err(|error| self.unreachable(&error))?;
        let mut backoff = FIRST_BACKOFF;
        for _ in 1..MAX_ATTEMPTS {
            match self.send(&client, method, body.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(Failure::Final(error)) => return Err(error),
                Err(Failure::Transient(_)) => {}
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        let last = self.send(&client, method, body).await;
        last.map_err(|failure| match failure {
            Failure::Transient(error) | Failure::Final(error) => error,
        })
    }

    async fn send(
        &self,
        client: &reqwest::Client,
        method: &str,
        body: Bytes,
    ) -> std::result::Result<Bytes, Failure> {
        let base = self.node_url.trim_end_matches('/');
        let response = client
            .post(format!("{base}/{OPERATORS_SERVICE}/{method}"))
            .bearer_auth(&self.token)
            .header(CONTENT_TYPE, PROTOBUF)
            .body(body)
            .send()
            .await
            .map_err(|error| self.lost(&error))?;
        let status = response.status();
        let has_protobuf_body = is_protobuf(&response);
        let answer = self.read(response).await?;
        if !has_protobuf_body {
            let cause = format!("the response with status {status} is not from a hemlocktack node");
            return Err(Failure::Final(self.unreachable(&cause)));
        }
        if status == StatusCode::OK {
            return Ok(answer);
        }
        Err(self.refusal(answer))
    }

    /// Reads the whole response body. A truncated body counts as a lost response and is never decoded.
    async fn read(&self, mut response: Response) -> std::result::Result<Bytes, Failure> {
        let mut answer = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(|error| self.lost(&error))? {
            if answer.len() + chunk.len() > ANSWER_LIMIT_BYTES {
                let error = self.unreachable(&"the response exceeds the size limit");
                return Err(Failure::Final(error));
            }
            answer.extend_from_slice(&chunk);
        }
        Ok(answer.into())
    }

    fn refusal(&self, answer: Bytes) -> Failure {
        let refusal = match OperatorError::decode(answer) {
            Ok(refusal) => refusal,
            Err(error) => return Failure::Final(self.unreachable(&error)),
        };
        let code = refusal.code.parse::<OperatorErrorCode>();
        let is_transient = code.is_ok_and(OperatorErrorCode::is_transient);
        let error = Error::Refused(refusal);
        match is_transient {
            true => Failure::Transient(error),
            false => Failure::Final(error),
        }
    }

    fn lost(&self, error: &reqwest::Error) -> Failure {
        let cause = root_cause(error);
        Failure::Transient(self.unreachable(&cause))
    }

    fn unreachable(&self, cause: &dyn ToString) -> Error {
        Error::Unreachable {
            node_url: self.node_url.clone(),
            cause: cause.to_string(),
        }
    }
}

fn is_protobuf(response: &Response) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(PROTOBUF.as_bytes()))
}

/// Returns the innermost cause: `reqwest`'s own message repeats the URL and hides what happened.
fn root_cause(error: &dyn StdError) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
