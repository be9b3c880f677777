//! Tests of the platform's calls and faults over HTTP.

use std::{
    error::Error,
    net::TcpListener,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hibiscusladder_emulator::platform::{
    CallCounts, OutageMode, Platform, PlatformConfig, PlatformFaults, PlatformHandle,
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1};
use serde_json::{Value, json};
use smol::{Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;

type TestResult = Result<(), Box<dyn Error>>;

struct Answer {
    status: u16,
    body: Value,
}

/// Sends one request on a new connection.
async fn call(
    platform: &PlatformHandle,
    method: Method,
    path: &str,
    if_match: Option<u64>,
    body: Option<Value>,
) -> Result<Answer, Box<dyn Error>> {
    let stream = TcpStream::connect(platform.address()).await?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    let task = smol::spawn(connection);
    let mut req = Request::builder().method(method).uri(path).header("host", "platform");
    if let Some(version) = if_match {
        req = req.header("if-match", version.to_string());
    }
    let bytes = body.map(|body| Bytes::from(body.to_string())).unwrap_or_default();
    let response = sender.send_request(req.body(Full::new(bytes))?).await?;
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await?.to_bytes();
    drop(task);
    Ok(Answer { status, body: serde_json::from_slice(&bytes)? })
}

async fn get(platform: &PlatformHandle, path: &str) -> Result<Answer, Box<dyn Error>> {
    call(platform, Method::GET, path, None, None).await
}

async fn put(
    platform: &PlatformHandle,
    path: &str,
    if_match: Option<u64>,
    body: Value,
) -> Result<Answer, Box<dyn Error>> {
    call(platform, Method::PUT, path, if_match, Some(body)).await
}

/// Two operators who change the same object must not overwrite each other.
#[test]
fn conditional_update_rejects_stale_version() -> TestResult {
    let platform = Platform::start(PlatformConfig::default())?;
    smol::block_on(async {
        let path = "/v1/objects/contracts/andes";
        let created = put(&platform, path, Some(0), json!({"rate": 5})).await?;
        assert_eq!((created.status, created.body), (200, json!({"version": 1})));
        assert_eq!(put(&platform, path, Some(0), json!({})).await?.status, 409);
        assert_eq!(
            put(&platform, path, Some(1), json!({"rate": 6})).await?.body,
            json!({"version": 2})
        );
        let conflict = put(&platform, path, Some(1), json!({"rate": 7})).await?;
        assert_eq!(conflict.status, 409);
        let object =
            json!({"kind": "contracts", "name": "andes", "version": 2, "value": {"rate": 6}});
        assert_eq!(conflict.body, object);
        let list = get(&platform, "/v1/objects/contracts").await?.body;
        assert_eq!(list, json!({"revision": 2, "items": [object]}));
        let deleted = call(&platform, Method::DELETE, path, Some(2), None).await?;
        assert_eq!((deleted.status, deleted.body), (200, json!({"version": 3})));
        assert_eq!(get(&platform, path).await?.status, 404);
        let large = "x".repeat(1 << 20);
        assert_eq!(put(&platform, path, None, json!(large)).await?.status, 413);
        Ok(())
    })
}

/// A watch must neither miss a change nor resume from a revision that is no longer kept.
#[test]
fn watch_resumes_and_reports_gone() -> TestResult {
    let cfg = PlatformConfig { kept_events: 2, ..PlatformConfig::default() };
    let platform = Platform::start(cfg)?;
    smol::block_on(async {
        let waiting = get(&platform, "/v1/watch?from=0&wait_ms=5000");
        let writing = async {
            Timer::after(Duration::from_millis(50)).await;
            put(&platform, "/v1/objects/keys/k1", None, json!("hash")).await
        };
        let started = Instant::now();
        let (watched, written) = futures::try_join!(waiting, writing)?;
        assert!(started.elapsed() < Duration::from_secs(2));
        assert_eq!(written.status, 200);
        let event =
            json!({"type": "put", "kind": "keys", "name": "k1", "version": 1, "value": "hash"});
        assert_eq!(watched.body, json!({"revision": 1, "events": [event]}));
        for value in 2..=3 {
            put(&platform, "/v1/objects/keys/k1", None, json!(value)).await?;
        }
        assert_eq!(get(&platform, "/v1/watch?from=0&wait_ms=0").await?.status, 410);
        let resumed = get(&platform, "/v1/watch?from=1&wait_ms=0").await?.body;
        assert_eq!(resumed["events"].as_array().map(Vec::len), Some(2));
        let empty = get(&platform, "/v1/watch?from=3&wait_ms=20").await?.body;
        assert_eq!(empty, json!({"revision": 3, "events": []}));
        assert_eq!(platform.calls(), CallCounts { reads: 0, writes: 3, watches: 4 });
        Ok(())
    })
}

/// A change must be applied although its answer is dropped; a request during an outage must change nothing.
#[test]
fn faults_lose_answers_and_refuse_calls() -> TestResult {
    let platform = Platform::start(PlatformConfig::default())?;
    smol::block_on(async {
        let faults = json!({"drop_answers": 1});
        assert_eq!(put(&platform, "/admin/faults", None, faults).await?.status, 200);
        let path = "/v1/objects/databases/clubes";
        assert!(put(&platform, path, Some(0), json!(1)).await.is_err());
        assert_eq!(get(&platform, path).await?.body["version"], json!(1));

        let outage = PlatformFaults { outage: true, ..PlatformFaults::default() };
        platform.set_faults(outage.clone());
        assert_eq!(put(&platform, path, None, json!(2)).await?.status, 503);
        platform.set_faults(PlatformFaults { outage_mode: OutageMode::Hang, ..outage });
        let timeout = async {
            Timer::after(Duration::from_millis(100)).await;
            Err("no answer".into())
        };
        let hanging = put(&platform, path, None, json!(3)).or(timeout).await;
        assert_eq!(hanging.err().map(|error| error.to_string()).as_deref(), Some("no answer"));
        platform.set_faults(PlatformFaults::default());
        assert_eq!(get(&platform, path).await?.body["value"], json!(1));
        assert_eq!(put(&platform, "/admin/faults", None, json!({"typo": 1})).await?.status, 400);
        Ok(())
    })
}

/// The list must lag and omit dead instances, because instances must not rely on it being current.
#[test]
fn instance_list_lags_and_drops_dead_instances() -> TestResult {
    let cfg = PlatformConfig {
        list_lag_ms: 200,
        health_interval_ms: 20,
        health_timeout_ms: 150,
        ..PlatformConfig::default()
    };
    let platform = Platform::start(cfg)?;
    let health = TcpListener::bind("127.0.0.1:0")?;
    let instance = json!({
        "data_centre": "dc-a", "rpc": "127.0.0.1:1", "health": health.local_addr()?.to_string(),
        "state": "live",
    });
    smol::block_on(async {
        put(&platform, "/v1/instances/i1", None, instance).await?;
        assert_eq!(get(&platform, "/v1/instances").await?.body, json!({"items": []}));
        Timer::after(Duration::from_millis(400)).await;
        let listed = get(&platform, "/v1/instances").await?.body;
        assert_eq!(listed["items"][0]["id"], json!("i1"));
        assert_eq!(listed["items"][0]["state"], json!("live"));
        drop(health);
        Timer::after(Duration::from_millis(400)).await;
        assert_eq!(get(&platform, "/v1/instances").await?.body, json!({"items": []}));
        Ok(())
    })
}

/// A misspelt setting must be rejected.
#[test]
fn settings_reject_unknown_keys() {
    let error = toml::from_str::<PlatformConfig>("list_lag = 5").expect_err("the key is unknown");
    assert!(error.to_string().contains("unknown field"));
}
