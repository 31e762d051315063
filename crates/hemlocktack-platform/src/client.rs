//! Calls of the object API over HTTP.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::{Method, RequestBuilder, Response, StatusCode, Url};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    Backoff, BackoffSettings, Budget, BudgetSettings, Effect, Error, Listing, Object, Result,
    Revision, Version, Watched,
};

/// Largest value that the platform stores.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// Larger answers are not read to their end: a list of 560 records is under 1 MiB.
const ANSWER_LIMIT_BYTES: usize = 32 << 20;

/// Error of a 404 that speaks of an object.
const NOT_FOUND: &str = "not-found";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The platform answers in milliseconds; what takes longer is an outage.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How the platform is called.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Base address such as `http://127.0.0.1:7000`.
    pub base_url: String,
    /// This node's share of the platform's rates.
    pub budget: BudgetSettings,
    /// Waits after failures.
    pub backoff: BackoffSettings,
    /// After which a call counts as failed; a watch waits longer by its own wait.
    pub call_timeout: Duration,
}

impl ClientSettings {
    /// Usual limits.
    pub fn new(base_url: &str) -> ClientSettings {
        ClientSettings {
            base_url: base_url.trim_end_matches('/').to_owned(),
            budget: BudgetSettings::default(),
            backoff: BackoffSettings::default(),
            call_timeout: CALL_TIMEOUT,
        }
    }
}

/// A node's client of the platform; shared by all that call it, so that they
/// share one budget and one backoff.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    base_url: Url,
    http: reqwest::Client,
    limits: Mutex<Limits>,
}

#[derive(Debug)]
struct Limits {
    reads: Budget,
    writes: Budget,
    backoff: Backoff,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    Read,
    Write,
}

impl Access {
    /// What a lost answer may mean.
    fn effect_of_lost_answer(self) -> Effect {
        match self {
            Access::Read => Effect::None,
            Access::Write => Effect::Possible,
        }
    }
}

#[derive(Deserialize)]
struct Written {
    version: Version,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: String,
    current_version: Option<Version>,
}

impl Client {
    /// Does not connect yet.
    ///
    /// # Errors
    /// `BadAddress` where the base URL is none; `Unavailable` where the HTTP client cannot be made on this machine.
    pub fn new(settings: ClientSettings) -> Result<Client> {
        let base_url = settings.base_url.parse().map_err(|_| Error::BadAddress {
            base_url: settings.base_url.clone(),
        })?;
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| unavailable(Effect::None, &error, Duration::ZERO))?;
        let now = Instant::now();
        let limits = Limits {
            reads: Budget::new(settings.budget.reads, now),
            writes: Budget::new(settings.budget.writes, now),
            backoff: Backoff::new(settings.backoff),
        };
        Ok(Client {
            settings,
            base_url,
            http,
            limits: Mutex::new(limits),
        })
    }

    /// Whether the last call was answered; also before the first call.
    pub fn is_answering(&self) -> bool {
        let limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        !limits.backoff.is_failing()
    }

    /// One object; `None` where it does not exist.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        let url = self.url(&format!("objects/{key}"), &[]);
        let request = self.request(Method::GET, url);
        self.call_for_object(Access::Read, request).await
    }

    /// All objects whose key begins with the prefix.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        let url = self.url("objects", &[("prefix", prefix)]);
        let request = self.request(Method::GET, url);
        self.call(Access::Read, request).await
    }

    /// As `list`, with null in place of each value.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn list_keys(&self, prefix: &str) -> Result<Listing> {
        let url = self.url("objects", &[("prefix", prefix), ("keys-only", "true")]);
        let request = self.request(Method::GET, url);
        self.call(Access::Read, request).await
    }

    /// Waits for changes under the prefix after the revision, `wait` at most.
    ///
    /// # Errors
    /// See [`Error`]; `RevisionGone` where the objects have to be listed anew.
    pub async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Watched> {
        let after = after.to_string();
        let wait_ms = wait.as_millis().to_string();
        let query = [("prefix", prefix), ("after", &after), ("wait-ms", &wait_ms)];
        let url = self.url("watch", &query);
        let request = self
            .request(Method::GET, url)
            .timeout(wait + self.settings.call_timeout);
        self.call(Access::Read, request).await
    }

    /// Replaces the object's value if it has the expected version (0: does not exist).
    ///
    /// # Errors
    /// See [`Error`]. With `Effect::Possible` the caller does not know whether
    /// the value was stored; `put_resolved` finds out.
    pub async fn put_conditional(
        &self,
        key: &str,
        expected_version: Version,
        value: &Value,
    ) -> Result<Version> {
        let body = Bytes::from(value.to_string());
        if body.len() > VALUE_LIMIT_BYTES {
            return Err(too_large());
        }
        let request = self
            .request(Method::PUT, self.object_url(key, expected_version))
            .body(body);
        let written: Written = self.call(Access::Write, request).await?;
        Ok(written.version)
    }

    /// Deletes the object if it has the expected version. One that does not
    /// exist is deleted already.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn delete(&self, key: &str, expected_version: Version) -> Result<()> {
        let url = self.object_url(key, expected_version);
        let request = self.request(Method::DELETE, url);
        let deleted = self.call_for_object::<Written>(Access::Write, request);
        deleted.await.map(|_| ())
    }

    fn object_url(&self, key: &str, expected_version: Version) -> Url {
        let expected_version = expected_version.to_string();
        let query = [("expected-version", expected_version.as_str())];
        self.url(&format!("objects/{key}"), &query)
    }

    fn url(&self, path: &str, query: &[(&str, &str)]) -> Url {
        let mut url = self.base_url.clone();
        url.set_path(&format!("{}/{path}", url.path().trim_end_matches('/')));
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        url
    }

    fn request(&self, method: Method, url: Url) -> RequestBuilder {
        self.http
            .request(method, url)
            .timeout(self.settings.call_timeout)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        access: Access,
        request: RequestBuilder,
    ) -> Result<T> {
        let missing = malformed(
            access.effect_of_lost_answer(),
            "a missing object where none was asked for".to_owned(),
        );
        self.call_for_object(access, request).await?.ok_or(missing)
    }

    /// `None` where the object does not exist.
    async fn call_for_object<T: DeserializeOwned>(
        &self,
        access: Access,
        request: RequestBuilder,
    ) -> Result<Option<T>> {
        self.admit(access, Instant::now())?;
        let result = exchange(access, request).await;
        let failed = matches!(
            result,
            Err(Error::Unavailable { .. } | Error::Malformed { .. })
        );
        let wait = self.record(failed, Instant::now());
        result.map_err(|error| match error {
            Error::Unavailable { effect, detail, .. } => Error::Unavailable {
                effect,
                detail,
                retry_after: wait,
            },
            Error::Malformed { effect, detail, .. } => Error::Malformed {
                effect,
                detail,
                retry_after: Some(wait),
            },
            other => other,
        })
    }

    fn admit(&self, access: Access, now: Instant) -> Result<()> {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(wait) = limits.backoff.wait(now) {
            return Err(Error::Unavailable {
                effect: Effect::None,
                detail: "not asked: it failed lately".to_owned(),
                retry_after: wait,
            });
        }
        let budget = match access {
            Access::Read => &mut limits.reads,
            Access::Write => &mut limits.writes,
        };
        budget
            .take(now)
            .map_err(|retry_after| Error::BudgetSpent { retry_after })
    }

    fn record(&self, failed: bool, now: Instant) -> Duration {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if failed {
            limits.backoff.failed(now, rand::random::<f64>());
        } else {
            limits.backoff.succeeded();
        }
        limits.backoff.wait(now).unwrap_or_default()
    }
}

async fn exchange<T: DeserializeOwned>(
    access: Access,
    request: RequestBuilder,
) -> Result<Option<T>> {
    let lost = access.effect_of_lost_answer();
    let response = request.send().await.map_err(|error| {
        let effect = if error.is_connect() {
            Effect::None
        } else {
            lost
        };
        unavailable(effect, &error, Duration::ZERO)
    })?;
    let status = response.status();
    let body = read_whole(response, lost).await?;
    if is_missing_object(status, &body) {
        return Ok(None);
    }
    if !status.is_success() {
        return Err(refused(status, &body, lost));
    }
    let answer =
        serde_json::from_slice(&body).map_err(|error| malformed(lost, error.to_string()))?;
    Ok(Some(answer))
}

async fn read_whole(mut response: Response, lost: Effect) -> Result<Bytes> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let chunk = chunk.map_err(|error| unavailable(lost, &error, Duration::ZERO))?;
        let Some(chunk) = chunk else {
            return Ok(Bytes::from(body));
        };
        if body.len() + chunk.len() > ANSWER_LIMIT_BYTES {
            return Err(malformed(
                lost,
                format!("an answer over {ANSWER_LIMIT_BYTES} bytes"),
            ));
        }
        body.extend_from_slice(&chunk);
    }
}

/// Any other 404 comes from something that is not the object API, and must
/// not be taken for "there is no configuration yet".
fn is_missing_object(status: StatusCode, body: &[u8]) -> bool {
    status == StatusCode::NOT_FOUND && error_body(body).error == NOT_FOUND
}

fn error_body(body: &[u8]) -> ErrorBody {
    serde_json::from_slice(body).unwrap_or_default()
}

fn refused(status: StatusCode, body: &[u8], lost: Effect) -> Error {
    let body = error_body(body);
    match (status, body.current_version) {
        (StatusCode::CONFLICT, Some(current_version)) => Error::Conflict { current_version },
        (StatusCode::PAYLOAD_TOO_LARGE, _) => too_large(),
        (StatusCode::GONE, _) => Error::RevisionGone,
        (StatusCode::TOO_MANY_REQUESTS, _) => Error::Unavailable {
            effect: Effect::None,
            detail: "its rates are used up".to_owned(),
            retry_after: Duration::ZERO,
        },
        (status, _) if status.is_server_error() => Error::Unavailable {
            effect: lost,
            detail: format!("status {status}"),
            retry_after: Duration::ZERO,
        },
        _ => malformed(lost, format!("status {status} with error {:?}", body.error)),
    }
}

fn too_large() -> Error {
    Error::TooLarge {
        limit_bytes: VALUE_LIMIT_BYTES,
    }
}

fn malformed(effect: Effect, detail: String) -> Error {
    Error::Malformed {
        effect,
        detail,
        retry_after: None,
    }
}

fn unavailable(effect: Effect, error: &reqwest::Error, retry_after: Duration) -> Error {
    Error::Unavailable {
        effect,
        detail: error.to_string(),
        retry_after,
    }
}
