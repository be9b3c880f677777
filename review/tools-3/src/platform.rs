//! A small deployment: the store with a config, three database groups, and gateways. Figures are those of coleccion-hub.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, Site},
    member::{Group, Shape},
    proxy::Proxy,
    record::Record,
    requester::Session,
    store::Store,
};

pub const TENANTS: usize = 8;
const ZONES: [&str; 3] = ["stgo-a", "vld-a", "stgo-b"];
const START_LIMIT: Duration = Duration::from_secs(15);

pub struct Platform {
    pub store: Store,
    pub gateways: Vec<Gateway>,
    pub record: Record,
    folder: PathBuf,
}

/// Database of a group with a kind of consistency.
pub fn database(kind: &str, group: usize) -> String {
    format!("{kind}{group}")
}

/// Key of a tenant.
pub fn key(tenant: usize) -> String {
    format!("key-of-tenant-{tenant}")
}

/// The config, in the form of PROTOCOL.md. The tenants in `withdrawn` have no key.
pub fn config(version: u64, withdrawn: &[usize]) -> String {
    let mut routes = Vec::new();
    for group in 1..=3 {
        for (kind, consistency, timeout, target, stale) in [
            ("ledger", "primary", 800, 600, 0),
            ("album", "bounded_staleness", 1200, 800, 1500),
            ("wishlist", "read_your_writes", 800, 1000, 2500),
        ] {
            let host = database(kind, group);
            routes.push(format!(
                "{{\"name\":\"r-{host}\",\"host\":\"{host}\",\"path_prefix\":\"/\",\"type\":\"{consistency}\",\
                 \"timeout_ms\":{timeout},\"target_latency_ms\":{target},\"priority\":1,\"service\":\"clubes{group}\",\
                 \"max_attempts\":2,\"max_staleness_ms\":{stale},\"public\":false}}"
            ));
        }
    }
    let services: Vec<String> = (1..=3)
        .map(|group| {
            format!(
                "{{\"name\":\"clubes{group}\",\"health_path\":\"/health\",\"max_connections\":16,\"protocol\":\"h1\",\
                 \"tls\":false,\"sync_replicas\":1}}"
            )
        })
        .collect();
    let tenants: Vec<String> = (1..=TENANTS)
        .map(|tenant| {
            let keys = if withdrawn.contains(&tenant) { String::new() } else { format!("\"{}\"", key(tenant)) };
            format!(
                "{{\"name\":\"club{tenant}\",\"api_keys\":[{keys}],\"priority\":1,\"rate_per_s\":137,\"burst\":137}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

impl Platform {
    /// Starts the store, the members and `count` gateways, and waits until each serves.
    pub fn start(
        count: usize,
        shape: Shape,
        site: Site,
        repository: &Path,
        record: &Record,
    ) -> Result<Self, String> {
        Self::start_behind(count, shape, site, repository, record, &Proxy::default(), &[])
    }

    /// Like [`start`](Self::start), with the gateways in `behind` connected to the store through `proxy`.
    pub fn start_behind(
        count: usize,
        shape: Shape,
        site: Site,
        repository: &Path,
        record: &Record,
        proxy: &Proxy,
        behind: &[usize],
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        let groups: Vec<Arc<Group>> = (1..=3)
            .map(|group| {
                let ids: Vec<String> =
                    (1..=3).map(|member| format!("i-{group}{member}c0ffee")).collect();
                Group::new(
                    &format!("clubes{group}"),
                    [&ids[0], &ids[1], &ids[2]],
                    shape,
                    record.clone(),
                )
            })
            .collect();
        let store = Store::new(groups.clone(), record.clone());
        store.put("config", "main", config(7, &[]).as_bytes());
        for (number, group) in groups.iter().enumerate() {
            for member in 0..3 {
                let address = group.serve(member);
                let role = if member == 0 { "primary" } else { "replica" };
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\
                     \"state\":\"ready\",\"cold_remaining_ms\":0,\"db_role\":\"{role}\",\"sequence\":1,\
                     \"born\":1796000000000}}",
                    group.name(),
                    ZONES[member],
                    shape.slots
                );
                store.put(
                    "servers",
                    &format!("i-{}{}c0ffee", number + 1, member + 1),
                    entry.as_bytes(),
                );
            }
        }
        let address = store.serve();
        let proxied = proxy.serve(address);
        let gateways = (0..count).map(|number| {
            let store = if behind.contains(&number) { proxied } else { address };
            Gateway::start(number, store, address, site, repository, &folder)
        });
        let gateways = gateways.collect();
        let platform = Self { store, gateways, record: record.clone(), folder };
        platform.wait_until_serving()?;
        Ok(platform)
    }

    /// Addresses for requesters.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.requesters).collect()
    }

    /// Waits until each gateway answers a write and a read of each group.
    pub fn wait_until_serving(&self) -> Result<(), String> {
        let until = Instant::now() + START_LIMIT;
        for gateway in &self.gateways {
            for group in 1..=3 {
                while !self.is_serving(gateway, group) {
                    if Instant::now() > until {
                        return Err(format!(
                            "{} does not serve; its log ends with {}",
                            gateway.name,
                            tail(&gateway.log())
                        ));
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
        Ok(())
    }

    fn is_serving(&self, gateway: &Gateway, group: usize) -> bool {
        let session =
            Session::open(gateway.requesters, &database("ledger", group), &key(1), &self.record);
        let answer =
            session.and_then(|mut session| session.query("WRITE start 1", Duration::from_secs(6)));
        answer.is_ok_and(|answer| answer.outcome.is_ok())
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Last lines of a log.
pub fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(4)..].join(" | ")
}
