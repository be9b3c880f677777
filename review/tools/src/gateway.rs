//! Gateway processes, started as the deploy file says.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU16, Ordering},
    },
    time::{Duration, Instant},
};

use crate::record::Record;

/// Processes that run, for the end of a script that takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and the script after `limit`, with exit code 2.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the script took longer than {} s", limit.as_secs());
        for pid in RUNNING.lock().unwrap().iter() {
            Command::new("kill").args(["-s", "KILL", &pid.to_string()]).status().ok();
        }
        std::process::exit(2);
    });
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    root: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

/// A port below those that the system gives to outgoing connections, so that none takes it while a gateway is down.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// The first of `count` consecutive ports that are free for TCP and UDP.
fn free_ports(count: u16) -> u16 {
    let base = 10_000 + u16::try_from(std::process::id() % 500).unwrap_or(0) * 40;
    loop {
        let first = base + NEXT_PORT.fetch_add(count, Ordering::SeqCst) % 2_000;
        let is_free = |port| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        };
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}

impl Gateway {
    pub fn new(
        record: &Record,
        root: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        let callers = SocketAddr::from(([127, 0, 0, 1], free_ports(1)));
        let readiness = SocketAddr::from(([127, 0, 0, 1], free_ports(1)));
        let first = free_ports(3);
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "node={name}\nrole=gateway\nmachine_class=frontend\nserves=frontend\nip=127.0.0.1\n\
             zone={zone}\nregion=mittelland\nzones.bern-nord=mittelland\nzones.solothurn=mittelland\n\
             zones.lausanne-ost=romandie\nbind_addresses.frontend={callers}\n\
             bind_addresses.readiness={readiness}\ninternal_ports={first},{}\nbootstrap=true\n\
             loss_counts=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entrypoint=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_window_ms=5000\n\
             bounds.ack_ms=6000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=4000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=15000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\n\
             bounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n\
             bounds.recovery_s=12\nbounds.fencing_required=false\nbounds.thaw_slack_ms=300\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.max_value_bytes=1048576\n\
             cloud.address={store}\ncloud.rate_per_s=50.0\ncloud.duties=promotion\n\
             cloud.duty_per_s=50.0\n",
            first + 15
        );
        fs::write(&settings, text).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            settings,
            root: root.to_owned(),
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new("target/release/hibiscusladder")
            .arg("gateway")
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HIBISCUSLADDER_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("the gateway cannot be started: {error}");
            std::process::exit(2);
        });
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record.write(&format!("{}: started", self.name));
    }

    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let pid = child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status();
        sent.expect("the signal can be sent");
        self.record.write(&format!("{}: gets SIG{signal}", self.name));
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().expect("a state").is_some(),
            None => true,
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Whether the readiness probe is answered with 200.
    pub fn is_ready(address: SocketAddr) -> bool {
        let probe = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream
                .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")?;
            let mut buf = [0; 64];
            let read = stream.read(&mut buf)?;
            Ok(buf[..read].starts_with(b"HTTP/1.1 200"))
        };
        probe().unwrap_or(false)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all gateways are ready; ends the script with 2 if one is not.
pub fn wait_until_ready(gateways: &[Gateway]) {
    let until = Instant::now() + Duration::from_secs(15);
    for gateway in gateways {
        while !Gateway::is_ready(gateway.readiness) {
            if Instant::now() > until {
                eprintln!("{} does not become ready:\n{}", gateway.name, gateway.log());
                std::process::exit(2);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
