//! Client of the platform: object store, watches and the list of instances.
//!
//! When the answer to a change is lost, the client finds out from the stored object whether the change took effect, so
//! that its own change is not reported as a conflict. Attempts are repeated after a random delay, so that instances do
//! not call at the same moment when the store is available again.
//!
//! # Example
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use hibiscusladder_proxy::platform::{Expected, PlatformClient};
//! use serde_json::json;
//!
//! # async fn example() -> Result<(), hibiscusladder_proxy::platform::PlatformError> {
//! let platform = PlatformClient::new("127.0.0.1:7300", Duration::from_secs(2));
//! let state = json!({ "state": "leaving" });
//! let version = platform.put("upstreams", "m1", Expected::Absent, &state).await?;
//! println!("accepted as version {version}");
//! # Ok(())
//! # }
//! ```

mod backoff;
mod error;
mod message;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hibiscusladder_core::name::InstanceId;
use hibiscusladder_io::{
    foreign_json::ForeignJson,
    http::{HttpClient, HttpError},
};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use serde::de::DeserializeOwned;
use serde_json::{Value, value::RawValue};
use smol::Timer;

use self::message::{Accepted, EventParts, RawList};
pub use self::{
    backoff::{Backoff, random_up_to},
    error::PlatformError,
    message::{
        ChangeType, Listing, Registration, RegistrationState, StoreEvent, StoredObject, WatchAnswer,
    },
};

/// Largest number of attempts of a change.
const CHANGE_ATTEMPTS: u32 = 4;

/// Condition on the stored version under which a change is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
    /// Any version, or none; the last change wins.
    Any,
}

impl Expected {
    /// Value of the `If-Match` header.
    const fn if_match(self) -> Option<u64> {
        match self {
            Self::Absent => Some(0),
            Self::Version(version) => Some(version),
            Self::Any => None,
        }
    }
}

/// Numbers of calls that a client made, by type; each attempt counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads of objects, of lists of objects and of the list of instances.
    pub reads: u64,
    /// Changes of objects and registrations.
    pub writes: u64,
    /// Watches for changes.
    pub watches: u64,
}

/// Fetches `path` from the HTTP server at `address` (`host:port`) and returns the body.
///
/// # Errors
///
/// Returns an error when the server does not answer with a success status within `timeout`.
pub async fn http_get(address: &str, path: &str, timeout: Duration) -> io::Result<Bytes> {
    let req = Request::builder().uri(path).header(header::HOST, address);
    let req = req.body(Full::new(Bytes::new())).map_err(io::Error::other)?;
    let answer = HttpClient::new(address).send(req, timeout).await;
    let answer = answer.map_err(HttpError::into_io)?;
    if answer.status().is_success() {
        return Ok(answer.into_body());
    }
    Err(io::Error::other(format!("status {}", answer.status().as_u16())))
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// Client of the platform; clones share connections and counters.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: HttpClient,
    timeout: Duration,
    counters: Arc<Counters>,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl PlatformClient {
    /// Creates a client for the platform at `address` (`host:port`); `timeout` limits each call.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { http: HttpClient::new(address), timeout, counters: Arc::default() }
    }

    /// Number of calls made so far by this client and its clones.
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            reads: self.counters.reads.load(Ordering::Relaxed),
            writes: self.counters.writes.load(Ordering::Relaxed),
            watches: self.counters.watches.load(Ordering::Relaxed),
        }
    }

    /// Lists all objects of `kind`.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot be reached or rejects the call.
    pub async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let answer = self.call(Method::GET, &format!("/v1/objects/{kind}"), None, None).await?;
        let (revision, items) = self.decode_list(&answer, |_, _| None)?;
        Ok(Listing { revision, items })
    }

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot be reached or rejects the call.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, PlatformError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects/{kind}/{name}");
        let answer = self.call(Method::GET, &path, None, None).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.decode(&answer).map(Some)
    }

    /// Writes an object and returns its new version; repeats the attempt when the platform does not answer.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] when the object does not have the expected version.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
        value: &Value,
    ) -> Result<u64, PlatformError> {
        let mut backoff = Backoff::default();
        let mut attempt = 1;
        let mut maybe_applied = false;
        loop {
            let result = self.put_once(kind, name, expected, value).await;
            match result {
                Err(PlatformError::Conflict { current: Some(current), .. })
                    if maybe_applied && current.value == *value =>
                {
                    return Ok(current.version);
                }
                Err(error) if error.is_temporary() && attempt < CHANGE_ATTEMPTS => {
                    maybe_applied |= matches!(error, PlatformError::NoAnswer { .. });
                    Timer::after(backoff.record_failure()).await;
                    let stored = self.get(kind, name).await;
                    if let Ok(Some(stored)) = stored
                        && maybe_applied
                        && stored.value == *value
                        && expected != Expected::Version(stored.version)
                    {
                        return Ok(stored.version);
                    }
                }
                result => return result,
            }
            attempt += 1;
        }
    }

    async fn put_once(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
        value: &Value,
    ) -> Result<u64, PlatformError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects/{kind}/{name}");
        let answer = self.call(Method::PUT, &path, expected.if_match(), Some(value)).await?;
        self.read_version(kind, name, &answer)
    }

    /// Deletes an object and returns a revision that includes the change; repeats the attempt when the platform does
    /// not answer.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] when the object does not have the expected version.
    pub async fn delete(
        &self,
        kind: &str,
        name: &str,
        expected: Expected,
    ) -> Result<u64, PlatformError> {
        let mut backoff = Backoff::default();
        let mut attempt = 1;
        let mut maybe_applied = false;
        loop {
            self.counters.writes.fetch_add(1, Ordering::Relaxed);
            let path = format!("/v1/objects/{kind}/{name}");
            let answer = self.call(Method::DELETE, &path, expected.if_match(), None).await;
            match answer.and_then(|answer| self.read_version(kind, name, &answer)) {
                Err(PlatformError::Conflict { current: None, .. }) if maybe_applied => {
                    return Ok(self.list(kind).await?.revision);
                }
                Err(error) if error.is_temporary() && attempt < CHANGE_ATTEMPTS => {
                    maybe_applied |= matches!(error, PlatformError::NoAnswer { .. });
                    Timer::after(backoff.record_failure()).await;
                }
                result => return result,
            }
            attempt += 1;
        }
    }

    /// Waits up to `wait` for changes after the revision `from` and returns them.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Compacted`] when the store no longer keeps the changes after `from`.
    pub async fn watch(&self, from: u64, wait: Duration) -> Result<WatchAnswer, PlatformError> {
        self.counters.watches.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/watch?from={from}&wait_ms={}", wait.as_millis());
        let req = self.build_request(Method::GET, &path, None, None)?;
        let answer = self.exchange(req, self.timeout + wait).await?;
        if answer.status == StatusCode::GONE {
            return Err(PlatformError::Compacted);
        }
        let (revision, events) = self.decode_list(&answer, deletion)?;
        Ok(WatchAnswer { revision, events })
    }

    /// Lists the registered instances; the list may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot be reached or rejects the call.
    pub async fn instances(&self) -> Result<Vec<Registration>, PlatformError> {
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let answer = self.call(Method::GET, "/v1/instances", None, None).await?;
        self.decode_list(&answer, |_, _| None).map(|(_, items)| items)
    }

    /// Registers an instance or updates its registration.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot be reached or rejects the call.
    pub async fn register(&self, registration: &Registration) -> Result<(), PlatformError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/instances/{}", registration.id);
        let value =
            serde_json::to_value(registration).map_err(|error| self.invalid_answer(&error))?;
        let answer = self.call(Method::PUT, &path, None, Some(&value)).await?;
        self.decode::<Value>(&answer).map(drop)
    }

    /// Removes the registration of an instance.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform cannot be reached or rejects the call.
    pub async fn deregister(&self, id: &InstanceId) -> Result<(), PlatformError> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        let answer = self.call(Method::DELETE, &format!("/v1/instances/{id}"), None, None).await?;
        self.decode::<Value>(&answer).map(drop)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        value: Option<&Value>,
    ) -> Result<Answer, PlatformError> {
        let req = self.build_request(method, path, expected, value)?;
        self.exchange(req, self.timeout).await
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        value: Option<&Value>,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.http.address())
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(version) = expected {
            builder = builder.header(header::IF_MATCH, version);
        }
        let body = value.map_or_else(Bytes::new, |value| Bytes::from(value.to_string()));
        builder.body(Full::new(body)).map_err(|error| PlatformError::Rejected {
            status: 400,
            message: format!("the name cannot be part of a URL: {error}"),
        })
    }

    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, PlatformError> {
        let address = self.http.address().to_owned();
        let answer = match self.http.send(req, timeout).await {
            Ok(answer) => answer,
            Err(HttpError::NotSent(error)) => {
                return Err(PlatformError::Unreachable { address, reason: error.to_string() });
            }
            Err(HttpError::MaybeSent(error)) => {
                return Err(PlatformError::NoAnswer { address, reason: error.to_string() });
            }
        };
        let status = answer.status();
        if status.is_server_error() {
            let reason = format!("status {}", status.as_u16());
            return Err(PlatformError::NoAnswer { address, reason });
        }
        Ok(Answer { status, body: answer.into_body() })
    }

    fn read_version(&self, kind: &str, name: &str, answer: &Answer) -> Result<u64, PlatformError> {
        if answer.status == StatusCode::CONFLICT {
            let current: StoredObject = serde_json::from_slice(&answer.body)
                .map_err(|error| self.invalid_answer(&error))?;
            let current = (!current.value.is_null()).then(|| Box::new(current));
            return Err(PlatformError::Conflict {
                kind: kind.to_owned(),
                name: name.to_owned(),
                current,
            });
        }
        self.decode::<Accepted>(answer).map(|accepted| accepted.version)
    }

    /// Decodes a list with its revision. An entry that cannot be read, which another writer may have left, is skipped unless
    /// `decode_parts` can do with the parts that are readable.
    fn decode_list<T, F>(
        &self,
        answer: &Answer,
        decode_parts: F,
    ) -> Result<(u64, Vec<T>), PlatformError>
    where
        T: DeserializeOwned,
        F: Fn(&ForeignJson<'_>, &RawValue) -> Option<T>,
    {
        check_status(answer)?;
        let json = ForeignJson::new(&answer.body);
        let list: RawList<'_> = json.parse().map_err(|error| self.invalid_answer(&error))?;
        let readable = list.items.iter().filter_map(|item| match json.entry(item) {
            Ok(entry) => Some(entry),
            Err(error) => {
                let decoded = decode_parts(&json, item);
                if decoded.is_none() {
                    spdlog::warn!("an entry of the store cannot be read and is skipped: {error}");
                }
                decoded
            }
        });
        Ok((list.revision, readable.collect()))
    }

    fn decode<T>(&self, answer: &Answer) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        check_status(answer)?;
        serde_json::from_slice(&answer.body).map_err(|error| self.invalid_answer(&error))
    }

    fn invalid_answer(&self, error: &serde_json::Error) -> PlatformError {
        PlatformError::NoAnswer {
            address: self.http.address().to_owned(),
            reason: format!("the answer cannot be read: {error}"),
        }
    }
}

/// The deletion of an object whose last value cannot be read; `None` for any other change.
fn deletion(json: &ForeignJson<'_>, item: &RawValue) -> Option<StoreEvent> {
    let parts: EventParts<'_> = json.parts(item).ok()?;
    let change: ChangeType = json.entry(parts.change).ok()?;
    let object = StoredObject {
        kind: json.entry(parts.kind).ok()?,
        name: json.entry(parts.name).ok()?,
        version: json.entry(parts.version).ok()?,
        value: Value::Null,
    };
    (change == ChangeType::Delete).then_some(StoreEvent { change, object })
}

fn check_status(answer: &Answer) -> Result<(), PlatformError> {
    if answer.status.is_success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&answer.body);
    let message = text.chars().take(200).collect();
    Err(PlatformError::Rejected { status: answer.status.as_u16(), message })
}
