//! Runs one case of the review: `review-tools CASE FOLDER` in the repository's root. The record goes to `record.txt` in
//! FOLDER. TROUBLE=0 in the environment leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held.

mod client;
mod failover;
mod gateway;
mod group;
mod json;
mod poison;
mod record;
mod stop;
mod store;

use std::{
    fs,
    path::{Path, PathBuf},
    process::exit,
    time::Duration,
};

use crate::record::Record;

/// What every case gets.
pub struct Setup {
    pub record: Record,
    /// The repository.
    pub root: PathBuf,
    /// Folder for settings and logs of the processes.
    pub folder: PathBuf,
    pub trouble: bool,
}

/// A configuration of the operator, with the routes of the sheet of oelwerk-pool.
pub fn config(version: u64, max_connections: usize, tenants: &[(&str, f64)]) -> String {
    let route = |host: &str, kind: &str, timeout: u32, target: u32, stale: u32| {
        format!(
            "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"path_prefix\":\"/\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\
             \"service\":\"{}\",\"max_attempts\":2,\"max_staleness_ms\":{stale},\"public\":false}}",
            group::SERVICE
        )
    };
    let routes = [
        route("order-ledger", "primary", 1000, 800, 0),
        route("cure-status", "bounded_staleness", 3000, 1200, 1500),
        route("coat-log", "read_your_writes", 1000, 1500, 2500),
    ];
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, rate)| {
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[\"key-{name}\"],\"priority\":1,\
                 \"rate_per_s\":{rate},\"burst\":{rate}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\
         \"health_path\":\"/health\",\"max_connections\":{max_connections},\"protocol\":\"h1\",\
         \"tls\":false,\"sync_replicas\":1}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\
         \"tx_idle_ms\":3000}},\"tenants\":[{}]}}",
        routes.join(","),
        group::SERVICE,
        tenants.join(",")
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &*arguments else {
        eprintln!("usage: review-tools CASE FOLDER");
        exit(2);
    };
    let root = std::env::current_dir().expect("a working directory");
    if !root.join("target/release/hibiscusladder").is_file() {
        eprintln!("build the gateway first, as the deploy file says");
        exit(2);
    }
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&scratch).expect("a temporary folder");
    let setup = Setup {
        record: Record::create(&Path::new(folder).join("record.txt")),
        root,
        folder: scratch.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    gateway::limit_time(Duration::from_secs(114));
    let broken = match &**case {
        "failover" => failover::run(&setup),
        "poison" => poison::run(&setup),
        "stop" => stop::run(&setup, false),
        "stop-limit" => stop::run(&setup, true),
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    if std::env::var_os("REVIEW_KEEP").is_none() {
        fs::remove_dir_all(&scratch).ok();
    }
    setup.record.say(if broken { "RULE BROKEN" } else { "the rule held" });
    exit(i32::from(broken));
}
