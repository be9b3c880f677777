//! HTTP handlers of the platform's calls.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use event_listener::Event;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use smol::{Timer, future::FutureExt, net::TcpStream};

use super::{
    config::{OutageMode, PlatformConfig, PlatformFaults},
    instances::InstanceRegistry,
    store::{Changes, Store},
};
use crate::http::{self, Body, Handler, HangUp, HttpError, Reply};

/// Largest value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Time limit for a connection to a health address.
const HEALTH_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Upper limit of `wait_ms` of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Interval at which an unanswered request checks whether the outage has ended.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of calls since the start, by type.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that read objects or the list of instances.
    pub reads: u64,
    /// Calls that change objects or registrations.
    pub writes: u64,
    /// Watch requests, including those that end without a change.
    pub watches: u64,
}

#[derive(Debug)]
struct State {
    store: Store,
    instances: InstanceRegistry,
    faults: PlatformFaults,
}

/// State, settings and call counters of the platform.
#[derive(Debug)]
pub(crate) struct Service {
    cfg: PlatformConfig,
    state: Mutex<State>,
    changed: Event,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl Handler for Arc<Service> {
    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let path = req.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        if segments.first() == Some(&"admin") {
            return Ok(http::into_response(self.admin(&segments, req).await));
        }
        self.count_call(&segments, req.method());
        self.delay().await;
        if let Some(reply) = self.outage_reply().await {
            return reply;
        }
        match segments.as_slice() {
            ["v1", "objects", kind, name] if req.method() != Method::GET => {
                let response = http::into_response(self.change(kind, name, req).await);
                self.reply_or_drop(response)
            }
            ["v1", "objects", ..] => Ok(http::into_response(self.read(&segments[2..], &req))),
            ["v1", "instances"] if req.method() == Method::GET => {
                let list = self.state().instances.list(Instant::now());
                Ok(http::json(StatusCode::OK, &list))
            }
            ["v1", "instances", id] => {
                let response = http::into_response(self.register(id, req).await);
                self.reply_or_drop(response)
            }
            ["v1", "watch"] => self.watch(req).await,
            _ => Ok(HttpError::not_found().response()),
        }
    }
}

impl Service {
    /// Creates an empty platform.
    pub(crate) fn new(cfg: PlatformConfig) -> Self {
        let instances = InstanceRegistry::new(
            Duration::from_millis(cfg.list_lag_ms),
            Duration::from_millis(cfg.health_timeout_ms),
        );
        let store = Store::new(cfg.kept_events);
        let state = State { store, instances, faults: cfg.faults.clone() };
        Self {
            cfg,
            state: Mutex::new(state),
            changed: Event::new(),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
        }
    }

    /// Replaces the faults.
    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        spdlog::info!("emulator: platform faults are now {faults:?}");
        self.state().faults = faults;
        self.changed.notify(usize::MAX);
    }

    /// Calls since the start.
    pub(crate) fn calls(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }

    /// Checks the health addresses of all instances, again `health_interval_ms` after each round.
    pub(crate) async fn check_health(self: Arc<Self>) {
        loop {
            let addresses = self.state().instances.health_addresses();
            let checks =
                addresses.into_iter().map(|(id, address)| self.check_instance_health(id, address));
            futures::future::join_all(checks).await;
            Timer::after(Duration::from_millis(self.cfg.health_interval_ms)).await;
        }
    }

    async fn check_instance_health(&self, id: String, address: String) {
        let connect = async { TcpStream::connect(address).await.is_ok() };
        let timeout = async {
            Timer::after(HEALTH_CONNECT_TIMEOUT).await;
            false
        };
        if connect.or(timeout).await {
            self.state().instances.record_healthy(&id, Instant::now());
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_call(&self, segments: &[&str], method: &Method) {
        let counter = match (segments, method) {
            (["v1", "watch"], _) => &self.watches,
            (_, &Method::GET) => &self.reads,
            _ => &self.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    async fn delay(&self) {
        let delay = self.cfg.latency_ms + self.state().faults.delay_ms;
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
    }

    /// Reply to a request during an outage; `None` when there is no outage. With [`OutageMode::Hang`] it follows only
    /// when the outage has ended.
    async fn outage_reply(&self) -> Option<Reply> {
        let mode = {
            let state = self.state();
            state.faults.outage.then_some(state.faults.outage_mode)
        };
        match mode? {
            OutageMode::Fail => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Some(Ok(HttpError::new(status, "the store is not available").response()))
            }
            OutageMode::Hang => {
                while self.state().faults.outage {
                    Timer::after(OUTAGE_CHECK_INTERVAL).await;
                }
                Some(Err(HangUp))
            }
        }
    }

    fn read(
        &self,
        segments: &[&str],
        req: &Request<Incoming>,
    ) -> Result<Response<Body>, HttpError> {
        if req.method() != Method::GET {
            return Err(HttpError::method_not_allowed());
        }
        match segments {
            [kind] => Ok(http::json(StatusCode::OK, &self.state().store.list(kind))),
            [kind, name] => match self.state().store.get(kind, name) {
                Some(object) => Ok(http::json(StatusCode::OK, object)),
                None => Err(HttpError::not_found()),
            },
            _ => Err(HttpError::not_found()),
        }
    }

    async fn change(
        &self,
        kind: &str,
        name: &str,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, HttpError> {
        let expected = if_match(&req)?;
        let result = match *req.method() {
            Method::PUT => {
                let value = http::read_json(req.into_body(), MAX_VALUE_BYTES).await?;
                self.state().store.put(kind, name, expected, value)
            }
            Method::DELETE => self.state().store.delete(kind, name, expected),
            _ => return Err(HttpError::method_not_allowed()),
        };
        match result {
            Ok(accepted) => {
                self.changed.notify(usize::MAX);
                Ok(http::json(StatusCode::OK, &accepted))
            }
            Err(conflict) => Ok(http::json(StatusCode::CONFLICT, &conflict.0)),
        }
    }

    /// Returns the response, or closes the connection instead while `drop_answers` is not used up.
    fn reply_or_drop(&self, response: Response<Body>) -> Reply {
        let faults = &mut self.state().faults;
        if faults.drop_answers == 0 {
            return Ok(response);
        }
        faults.drop_answers -= 1;
        Err(HangUp)
    }

    async fn watch(&self, req: Request<Incoming>) -> Reply {
        let query = req.uri().query();
        let Some(from) = http::query_value(query, "from") else {
            let message = "`from` is missing or not a number";
            return Ok(HttpError::new(StatusCode::BAD_REQUEST, message).response());
        };
        let wait = Duration::from_millis(http::query_value(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
        loop {
            let listener = self.changed.listen();
            if let Some(reply) = self.outage_reply().await {
                return reply;
            }
            let changes = self.state().store.changes(from);
            match changes {
                Err(_) => {
                    let message = "the revision is no longer kept; list the objects and resume";
                    return Ok(HttpError::new(StatusCode::GONE, message).response());
                }
                Ok(changes) if is_watch_complete(&changes, deadline) => {
                    return Ok(http::json(StatusCode::OK, &changes));
                }
                Ok(_) => {}
            }
            let timer = async {
                Timer::at(deadline).await;
            };
            listener.or(timer).await;
        }
    }

    async fn register(
        &self,
        id: &str,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, HttpError> {
        let registration = match *req.method() {
            Method::PUT => Some(http::read_json(req.into_body(), MAX_VALUE_BYTES).await?),
            Method::DELETE => None,
            _ => return Err(HttpError::method_not_allowed()),
        };
        self.state().instances.register(id, registration, Instant::now());
        Ok(http::json(StatusCode::OK, &Empty {}))
    }

    async fn admin(
        &self,
        segments: &[&str],
        req: Request<Incoming>,
    ) -> Result<Response<Body>, HttpError> {
        match (req.method().clone(), segments) {
            (Method::PUT, ["admin", "faults"]) => {
                let faults = http::read_json(req.into_body(), MAX_VALUE_BYTES).await?;
                self.set_faults(faults);
                Ok(http::json(StatusCode::OK, &Empty {}))
            }
            (Method::GET, ["admin", "faults"]) => {
                Ok(http::json(StatusCode::OK, &self.state().faults))
            }
            (Method::GET, ["admin", "calls"]) => Ok(http::json(StatusCode::OK, &self.calls())),
            _ => Err(HttpError::not_found()),
        }
    }
}

/// Response without contents, written as `{}`.
#[derive(Debug, Serialize)]
struct Empty {}

/// Whether a watch has to return: a change has arrived or its wait is over.
fn is_watch_complete(changes: &Changes, deadline: Instant) -> bool {
    !changes.is_empty() || Instant::now() >= deadline
}

/// Version in the `If-Match` header; `None` without the header.
fn if_match(req: &Request<Incoming>) -> Result<Option<u64>, HttpError> {
    let Some(header) = req.headers().get(hyper::header::IF_MATCH) else { return Ok(None) };
    let text = header.to_str().unwrap_or_default().trim().trim_matches('"');
    let invalid = |_| HttpError::new(StatusCode::BAD_REQUEST, "`If-Match` is not a version number");
    text.parse().map(Some).map_err(invalid)
}
