//! Gateway processes, started with the command of the deploy file.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
};

/// Range of the ports of instances, and the number of ports that each uses.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;
const PORTS: u16 = 5;

/// Settings that differ between the cases.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    pub memory_mb: usize,
    /// Share of a core of each machine, by its number; the last one counts for all others.
    pub cpu_shares: &'static [f64],
}

/// An instance, with the address for requesters.
pub struct Gateway {
    pub name: String,
    pub requesters: SocketAddr,
    folder: PathBuf,
    repository: PathBuf,
    child: Option<Child>,
    starts: usize,
}

impl Gateway {
    /// Writes the settings file of an instance in a temporary folder, and starts it.
    pub fn start(
        number: usize,
        store: SocketAddr,
        promotions: SocketAddr,
        site: Site,
        repository: &Path,
        folder: &Path,
    ) -> Self {
        let zone = ["stgo-a", "vld-a", "stgo-b"][number % 3];
        let name = format!("frontend-{zone}-{}", number / 3 + 1);
        let ports = free_ports();
        let [requesters, readiness, first] = ports;
        let folder = folder.join(&name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let settings = format!(
            "node={name}\nrole=gateway\nmachine_class=frontend\nserves=frontend\nip=127.0.0.1\nzone={zone}\n\
             region={}\nzones.stgo-a=santiago\nzones.vld-a=valdivia\nzones.stgo-b=santiago\n\
             bind_addresses.frontend=127.0.0.1:{requesters}\nbind_addresses.readiness=127.0.0.1:{readiness}\n\
             internal_ports={first},{}\nseeds=\nbootstrap=true\nloss_counts=false\nlimits.cpu_share={}\nlimits.cores=1\n\
             limits.memory_mb={}\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentrypoint=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\nfault_tolerance.machines=2\n\
             fault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.stable_window_ms=5000\nbounds.ack_ms=6000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\n\
             bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=4000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=15000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\nbounds.quota_window_s=5\n\
             bounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.recovery_s=12\nbounds.fencing_required=false\n\
             bounds.thaw_slack_ms=300\nplatform.address={store}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.max_value_bytes=1048576\n\
             platform.min_ttl_ms=1000\ncloud.address={promotions}\ncloud.rate_per_s=50.0\ncloud.duties=promotion\n\
             cloud.duty_per_s=50.0\n",
            if zone == "vld-a" { "valdivia" } else { "santiago" },
            first + 15,
            site.cpu_shares.get(number).or(site.cpu_shares.last()).unwrap_or(&0.25),
            site.memory_mb,
        );
        std::fs::write(folder.join("settings.conf"), settings).expect("the settings file");
        let requesters = SocketAddr::from(([127, 0, 0, 1], requesters));
        let mut gateway = Self {
            name,
            requesters,
            folder,
            repository: repository.to_owned(),
            child: None,
            starts: 0,
        };
        gateway.restart();
        gateway
    }

    /// Starts a new process, with the command and the working directory of the deploy file.
    pub fn restart(&mut self) {
        self.kill();
        self.starts += 1;
        let log =
            File::create(self.folder.join(format!("log-{}", self.starts))).expect("a log file");
        let child = Command::new(self.repository.join("target/release/hibiscusladder"))
            .arg("gateway")
            .current_dir(&self.repository)
            .env_clear()
            .env("HIBISCUSLADDER_NODE_FILE", self.folder.join("settings.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Resident memory now and at its peak, in kB.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1))
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(format!("log-{}", self.starts)))
            .unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A port for requesters, one for readiness, and the first of three for other instances, which are free now.
///
/// They are below the range from which the system takes the ports of outgoing connections, so that they stay free while an
/// instance is down.
fn free_ports() -> [u16; 3] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    loop {
        let number = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let blocks = u32::from((LAST_PORT - FIRST_PORT) / PORTS);
        let block = (std::process::id().wrapping_mul(97) + number) % blocks;
        let first = FIRST_PORT + PORTS * u16::try_from(block).unwrap_or(0);
        if (first..first + PORTS).all(is_free) {
            return [first, first + 1, first + 2];
        }
    }
}
