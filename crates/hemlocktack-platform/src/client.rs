//! HTTP client of the object API.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use reqwest::{RequestBuilder, Url};
use serde_json::Value;

use crate::call_backoffs::{CallBackoffs, CallEnd, call_id};
use crate::exchange::{
    Access, Answer, CallError, exchange, not_found_as_none, too_large, unavailable,
};
use crate::native_codec::NATIVE_CODEC;
use crate::store_codec::{DecodeResult, StoreCall, StoreCodec};
use crate::{
    BackoffSettings, Budget, BudgetSettings, Effect, Error, Listing, Object, PlatformRates, Result,
    StoreEras, StoreRevision, WatchResponse,
};

/// Largest value that the platform stores.
pub const VALUE_LIMIT_BYTES: usize = 1 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// TCP keep-alive: a connection whose peer has become unreachable must not block a watch for its
/// whole wait. It is probed after this idle time and closed after `KEEPALIVE_PROBES` unanswered
/// probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// The platform responds in milliseconds; a call that takes this long is part of an outage.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts to read all pages of a list in one era.
const LIST_ATTEMPT_LIMIT: usize = 3;
/// Time after an answer for which a conditional write relies on the era that it named.
const ERA_VALIDITY: Duration = Duration::from_millis(500);

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Base address such as `http://127.0.0.1:7000`.
    pub base_url: String,
    /// Limits on this node's calls.
    pub budget: BudgetSettings,
    /// Rates that the platform accepts from all nodes, if known: the budget is then divided by the
    /// number of nodes.
    pub rates: Option<PlatformRates>,
    /// Waits after failures.
    pub backoff: BackoffSettings,
    /// Timeout of a call; that of a watch is longer by the watch's own wait.
    pub call_timeout: Duration,
    /// Wire format of the platform.
    pub codec: StoreCodec,
    /// Eras that answers of the platform name; shared by all clients with a copy of the settings.
    pub eras: Arc<StoreEras>,
}

impl ClientSettings {
    /// Returns settings with default limits.
    pub fn new(base_url: &str) -> ClientSettings {
        ClientSettings {
            base_url: base_url.trim_end_matches('/').to_owned(),
            budget: BudgetSettings::default(),
            rates: None,
            backoff: BackoffSettings::default(),
            call_timeout: CALL_TIMEOUT,
            codec: NATIVE_CODEC,
            eras: Arc::default(),
        }
    }
}

/// A node's client of the platform. The whole node shares one client, and with it one budget and
/// one backoff.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    base_url: Url,
    http: reqwest::Client,
    limits: Mutex<Limits>,
}

#[derive(Debug)]
struct Limits {
    rates: Option<PlatformRates>,
    nodes: usize,
    reads: Budget,
    writes: Budget,
    backoffs: CallBackoffs,
    /// Changes of the era that the backoffs know of.
    era_changes: u64,
    /// When a call last got a valid answer.
    answered_at: Option<Instant>,
}

impl Limits {
    fn apply_rates(&mut self) {
        let Some(rates) = self.rates else {
            return;
        };
        let reads = PlatformRates::share(rates.reads_per_second, self.nodes);
        let writes = PlatformRates::share(rates.writes_per_second, self.nodes);
        self.reads.set_calls_per_second(reads);
        self.writes.set_calls_per_second(writes);
    }
}

impl Client {
    /// Creates a client without connecting.
    ///
    /// # Errors
    /// `BadAddress` if the base URL is invalid; `Unavailable` if the HTTP client cannot be created
    /// on this machine.
    pub fn new(settings: ClientSettings) -> Result<Client> {
        let base_url = settings.base_url.parse().map_err(|_| Error::BadAddress {
            base_url: settings.base_url.clone(),
        })?;
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEPALIVE_PROBES)
            .tcp_user_timeout(KEEPALIVE_INTERVAL * KEEPALIVE_PROBES)
            .no_proxy()
            .build()
            .map_err(|error| unavailable(Effect::None, &error, Duration::ZERO))?;
        let now = Instant::now();
        let limits = Limits {
            rates: settings.rates,
            nodes: 1,
            reads: Budget::new(settings.budget.reads, now),
            writes: Budget::new(settings.budget.writes, now),
            backoffs: CallBackoffs::new(settings.backoff),
            era_changes: 0,
            answered_at: None,
        };
        Ok(Client {
            settings,
            base_url,
            http,
            limits: Mutex::new(limits),
        })
    }

    /// Returns whether the platform answered the last call; also true before the first call.
    pub fn is_answering(&self) -> bool {
        let limits = self.lock();
        !limits.backoffs.is_outage()
    }

    /// Sets how many nodes share the platform's rates.
    pub fn set_node_count(&self, nodes: usize) {
        let mut limits = self.lock();
        limits.nodes = nodes;
        limits.apply_rates();
    }

    /// Sets the rates that the platform accepts from all nodes.
    pub fn set_rates(&self, rates: Option<PlatformRates>) {
        let mut limits = self.lock();
        limits.rates = rates;
        limits.apply_rates();
    }

    /// Returns the eras that answers of the platform name.
    pub fn eras(&self) -> &StoreEras {
        &self.settings.eras
    }

    /// Returns the wire format of the platform.
    pub(crate) fn codec(&self) -> &StoreCodec {
        &self.settings.codec
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        let read = self.codec().read_object;
        let call = (self.codec().get)(key);
        let got = self.call(Access::Read, call, |body| read(key, body));
        let got = not_found_as_none(got.await)?;
        Ok(got.map(|answer| answer.value.in_era(answer.era)))
    }

    /// Lists all objects whose keys begin with the prefix.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        self.list_pages(prefix, false).await
    }

    /// Like `list`, with null in place of each value.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn list_keys(&self, prefix: &str) -> Result<Listing> {
        self.list_pages(prefix, true).await
    }

    /// Reads the store's revision, which grows with each change of any object: as long as it and
    /// its era are the same, nothing in the store has changed.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn revision(&self) -> Result<StoreRevision> {
        let read = self.codec().read_listing;
        let call = (self.codec().revision)();
        let got = self.call(Access::Read, call, |body| read("", body));
        let answer = got.await.map_err(CallError::into_error)?;
        Ok(answer.value.listing.revision.in_era(answer.era))
    }

    /// Asks the store for any answer, however outdated, within the timeout; returns its revision.
    ///
    /// The call neither waits for the backoff nor counts toward it, nor toward the budget: it shows
    /// whether the store answers this node and must neither delay a read nor be delayed.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn probe(&self, timeout: Duration) -> Result<StoreRevision> {
        let read = self.codec().read_listing;
        let request = self.request((self.codec().probe)(), timeout);
        let read = |body: &[u8]| read("", body);
        let got = exchange(Access::Read, request, self.codec(), self.eras(), read).await;
        let answer = got.map_err(CallError::into_error)?;
        Ok(answer.value.listing.revision.in_era(answer.era))
    }

    /// Reads all pages of a list, again if the era changes between two of them.
    async fn list_pages(&self, prefix: &str, keys_only: bool) -> Result<Listing> {
        for _ in 0..LIST_ATTEMPT_LIMIT {
            if let Some(listing) = self.list_pages_of_one_era(prefix, keys_only).await? {
                return Ok(listing);
            }
        }
        Err(Error::Unavailable {
            effect: Effect::None,
            detail: "the platform's era has changed within each attempt to read a list".to_owned(),
            retry_after: Duration::ZERO,
        })
    }

    /// Reads all pages of a list; `None` if their eras differ. Pages may have different revisions;
    /// a watch from the first page's revision reports what changed between them.
    async fn list_pages_of_one_era(
        &self,
        prefix: &str,
        keys_only: bool,
    ) -> Result<Option<Listing>> {
        let read = self.codec().read_listing;
        let mut whole: Option<Listing> = None;
        let mut after: Option<String> = None;
        loop {
            let call = (self.codec().list)(prefix, after.as_deref(), keys_only);
            let got = self.call(Access::Read, call, |body| read(prefix, body));
            let answer = got.await.map_err(CallError::into_error)?;
            let (page, era) = (answer.value, answer.era);
            let listing = match whole {
                Some(listing) if listing.revision.era != era => return Ok(None),
                Some(mut listing) => {
                    let next = page.listing.in_era(era);
                    listing.objects.extend(next.objects);
                    listing.unreadable_count += next.unreadable_count;
                    listing.first_unreadable = listing.first_unreadable.or(next.first_unreadable);
                    listing.is_complete = next.is_complete;
                    listing
                }
                None => page.listing.in_era(era),
            };
            let Some(next_after) = page.next_after else {
                return Ok(Some(listing));
            };
            if after.as_ref().is_some_and(|after| next_after <= *after) {
                return Ok(Some(Listing {
                    is_complete: false,
                    ..listing
                }));
            }
            whole = Some(listing);
            after = Some(next_after);
        }
    }

    /// Waits up to `wait` for changes under the prefix after the revision.
    ///
    /// # Errors
    /// See [`Error`]; after `RevisionGone` the objects have to be listed again. An answer of another
    /// era, or of an earlier revision, counts as that, too: its events do not continue what was
    /// read before.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchResponse> {
        let read = self.codec().read_watched;
        let call = (self.codec().watch)(prefix, after.number, wait);
        let timeout = wait + self.settings.call_timeout;
        let era_changes = self.eras().seen().changes;
        let got = self.call_within(timeout, Access::Read, call, |body| read(prefix, body));
        let answer = got.await.map_err(CallError::into_error)?;
        let era_changed = self.eras().seen().changes != era_changes;
        let is_older = answer.value.revision.number < after.number;
        if era_changed || is_older || answer.era != after.era {
            return Err(Error::RevisionGone);
        }
        Ok(answer.value.in_era(answer.era))
    }

    /// Replaces the value of an object if it has the expected version; `None` means that it must
    /// not exist.
    ///
    /// # Errors
    /// See [`Error`]. With `Effect::Possible` it is not known whether the value was stored;
    /// `put_confirmed` finds out.
    pub async fn put_conditional(
        &self,
        key: &str,
        expected_version: Option<StoreRevision>,
        value: &Value,
    ) -> Result<StoreRevision> {
        let expected_number = expected_version.map_or(0, |version| version.number);
        let call = (self.codec().put)(key, expected_number, value);
        if call
            .body
            .as_ref()
            .is_some_and(|body| body.len() > VALUE_LIMIT_BYTES)
        {
            return Err(too_large());
        }
        self.confirm_era(expected_version).await?;
        let got = self.call(Access::Write, call, self.codec().read_written);
        let answer = match got.await {
            Err(CallError::NotFound) => return Err(Error::Conflict { current_version: 0 }),
            other => other.map_err(CallError::into_error)?,
        };
        let stored = StoreRevision::from(answer.value).in_era(answer.era);
        match expected_version {
            Some(expected) if expected.era != stored.era => Err(Error::EraEnded {
                effect: Effect::Possible,
            }),
            _ => Ok(stored),
        }
    }

    /// Deletes the object if it has the expected version. Succeeds if the object does not exist.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn delete(&self, key: &str, expected_version: StoreRevision) -> Result<()> {
        self.confirm_era(Some(expected_version)).await?;
        let call = (self.codec().delete)(key, expected_version.number);
        let got = self.call(Access::Write, call, self.codec().read_deleted);
        not_found_as_none(got.await).map(|_| ())
    }

    /// Fails if the version is of another era than the store's answers are now.
    ///
    /// The store compares the revision only. After its return from a copy the number may stand for
    /// another content, which a write with the old number would replace. A node that has not called
    /// for long does not know of the return, so it asks first.
    async fn confirm_era(&self, expected_version: Option<StoreRevision>) -> Result<()> {
        let Some(expected) = expected_version else {
            return Ok(());
        };
        if expected.era.is_none() && self.eras().seen().era.is_none() {
            return Ok(());
        }
        let is_recent = self
            .lock()
            .answered_at
            .is_some_and(|at| at.elapsed() < ERA_VALIDITY);
        let era = match is_recent {
            true => self.eras().seen().era,
            false => self.revision().await?.era,
        };
        if era == expected.era {
            return Ok(());
        }
        Err(Error::EraEnded {
            effect: Effect::None,
        })
    }

    fn url(&self, call: &StoreCall) -> Url {
        let mut url = self.base_url.clone();
        url.set_path(&format!(
            "{}/{}",
            url.path().trim_end_matches('/'),
            call.path
        ));
        if !call.query.is_empty() {
            url.query_pairs_mut().extend_pairs(&call.query);
        }
        url
    }

    fn request(&self, call: StoreCall, timeout: Duration) -> RequestBuilder {
        let url = self.url(&call);
        let request = self.http.request(call.method, url).timeout(timeout);
        let Some(body) = call.body else {
            return request;
        };
        request
            .header(reqwest::header::CONTENT_TYPE, "application/json")
            .body(body)
    }

    async fn call<T>(
        &self,
        access: Access,
        call: StoreCall,
        read: impl FnOnce(&[u8]) -> DecodeResult<T>,
    ) -> std::result::Result<Answer<T>, CallError> {
        self.call_within(self.settings.call_timeout, access, call, read)
            .await
    }

    async fn call_within<T>(
        &self,
        timeout: Duration,
        access: Access,
        call: StoreCall,
        read: impl FnOnce(&[u8]) -> DecodeResult<T>,
    ) -> std::result::Result<Answer<T>, CallError> {
        let call_id = call_id(&call);
        self.admit(&call_id, access, Instant::now())?;
        let request = self.request(call, timeout);
        let result = exchange(access, request, self.codec(), self.eras(), read).await;
        let end = match &result {
            Err(CallError::Failed(Error::Unavailable { .. })) => CallEnd::Unavailable,
            Err(CallError::Failed(Error::Malformed { .. })) => CallEnd::Undecoded,
            _ => CallEnd::Answered,
        };
        let wait = self.record(call_id, end, Instant::now());
        result.map_err(|error| error.with_retry_after(wait))
    }

    fn admit(&self, call_id: &str, access: Access, now: Instant) -> Result<()> {
        let era_changes = self.eras().seen().changes;
        let mut limits = self.lock();
        if limits.era_changes != era_changes {
            // The store has answered another client of this node.
            limits.era_changes = era_changes;
            limits.backoffs.forget();
        }
        if let Some(wait) = limits.backoffs.wait(call_id, now) {
            return Err(Error::Unavailable {
                effect: Effect::None,
                detail: "not called: waiting after a failure".to_owned(),
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

    fn record(&self, call_id: String, end: CallEnd, now: Instant) -> Duration {
        let mut limits = self.lock();
        if end == CallEnd::Answered {
            limits.answered_at = Some(now);
        }
        let random = rand::random::<f64>();
        limits.backoffs.record(call_id.clone(), end, now, random);
        limits.backoffs.wait(&call_id, now).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
