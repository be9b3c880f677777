//! Runs the binary in child processes with emulators on free ports.

#![allow(dead_code, reason = "each test file uses a part of the support")]
#![allow(clippy::unwrap_used, reason = "a failure here is the failure of the test")]

pub(crate) mod clients;

use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::{
    emulator::{
        database::{Group, GroupConfig, GroupHandle},
        platform::{Platform, PlatformConfig, PlatformHandle},
    },
    proxy::platform::http_get,
};
use hibiscusladder_testkit::fault_proxy::FaultProxy;
use postgres::{Client, NoTls};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Longest wait of [`eventually`]; also used as the timeout of platform clients.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Path of the binary under test.
pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_hibiscusladder");

/// Runs the binary and waits until it exits.
pub(crate) fn run_command(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().unwrap()
}

/// Runs a command that must succeed and returns its standard output.
pub(crate) fn run_ok(args: &[&str]) -> String {
    let output = run_command(args);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{args:?} failed: {error}");
    String::from_utf8(output.stdout).unwrap()
}

/// Runs a command that must fail and returns its standard error on one line, without box characters.
pub(crate) fn run_err(args: &[&str]) -> String {
    let output = run_command(args);
    assert!(!output.status.success(), "{args:?} succeeded");
    join_wrapped_lines(&String::from_utf8_lossy(&output.stderr))
}

/// Removes the box characters of an error report and joins its wrapped lines.
pub(crate) fn join_wrapped_lines(text: &str) -> String {
    let plain = text.replace(['│', '╰', '─', '▶', '×', '╭', '├', '·'], " ");
    plain.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// A free port outside the range from which the system takes ports for outgoing connections.
pub(crate) fn free_port() -> u16 {
    hibiscusladder_testkit::ports::free_port().unwrap()
}

/// Polls `condition` until it returns a value; panics with `description` after [`WAIT_TIMEOUT`].
pub(crate) fn eventually<F, T>(description: &str, mut condition: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{description}: not within {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// A temporary folder for the files of a test. It is removed on drop, unless the test panics.
#[derive(Debug)]
pub(crate) struct Folder(PathBuf);

impl Folder {
    pub(crate) fn new() -> Self {
        let name = format!("hibiscusladder-test-{}-{}", std::process::id(), free_port());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Writes a file and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if thread::panicking() {
            return;
        }
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A child process that is killed on drop.
#[derive(Debug)]
pub(crate) struct Process(pub(crate) Child);

impl Process {
    pub(crate) fn start(args: &[&str], log: Stdio) -> Self {
        let child = Command::new(BINARY).args(args).stdout(Stdio::null()).stderr(log).spawn();
        Self(child.unwrap())
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL.
    pub(crate) fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT to a paused process.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.0.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process exits and returns its exit code, or -1 when a signal ended it.
    pub(crate) fn exit_code(&mut self) -> i32 {
        eventually("exit of the process", || self.0.try_wait().unwrap()).code().unwrap_or(-1)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An instance of the proxy in a child process, with its id and the ports of its listeners.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) process: Process,
    pub(crate) id: String,
    pub(crate) port: u16,
    pub(crate) rpc: u16,
    pub(crate) health: u16,
}

impl Instance {
    /// Starts an instance whose seeds are the RPC ports `seeds`.
    pub(crate) fn start(
        folder: &Folder,
        id: &str,
        data_centre: &str,
        platform: &str,
        seeds: &[u16],
    ) -> Self {
        Self::start_with(folder, id, data_centre, platform, seeds, "")
    }

    /// As [`start`](Self::start), with further sections of the settings.
    pub(crate) fn start_with(
        folder: &Folder,
        id: &str,
        data_centre: &str,
        platform: &str,
        seeds: &[u16],
        sections: &str,
    ) -> Self {
        let (port, rpc, health) = (free_port(), free_port(), free_port());
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"127.0.0.1:{seed}\"")).collect();
        let settings = format!(
            r#"
[instance]
id = "{id}"
data_centre = "{data_centre}"
listen = "127.0.0.1:{port}"
rpc = "127.0.0.1:{rpc}"
health = "127.0.0.1:{health}"
seeds = [{}]
[platform]
url = "{platform}"
[[topology]]
data_centre = "stgo-a"
region = "stgo"
[[topology]]
data_centre = "stgo-b"
region = "stgo"
[upstream]
user = "proxy"
password = "proxy"
{sections}
"#,
            seeds.join(", ")
        );
        let path = folder.write(&format!("{id}.toml"), &settings);
        let log = fs::File::create(format!("{path}.log")).unwrap();
        let process = Process::start(&["serve", "--config", &path], log.into());
        Self { process, id: id.to_owned(), port, rpc, health }
    }

    /// Document of `/status`; `None` when the instance does not answer within 1 s or the answer is invalid.
    pub(crate) fn status(&self) -> Option<Value> {
        let address = format!("127.0.0.1:{}", self.health);
        let body = smol::block_on(http_get(&address, "/status", Duration::from_secs(1))).ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Connects to the database `padron` with a key as the password.
    pub(crate) fn connect(&self, key: &str) -> Result<Client, postgres::Error> {
        let port = self.port;
        let config =
            format!("host=127.0.0.1 port={port} user=club-andino dbname=padron password={key}");
        Client::connect(&config, NoTls)
    }
}

/// Waits until each of the three members has a home with a lease and each instance lists all instances.
pub(crate) fn wait_for_homes(instances: &[Instance]) {
    eventually("a home with a lease for every member", || {
        let mut leases = 0;
        for instance in instances {
            let status = instance.status()?;
            if status["instances"].as_array()?.len() < instances.len() {
                return None;
            }
            for member in status["databases"][0]["members"].as_array()? {
                leases += usize::from(member["lease"] == true);
            }
        }
        (leases == 3).then_some(())
    });
}

/// The emulated platform, a database with three members, and instances in up to two data centres.
#[derive(Debug)]
pub(crate) struct Installation {
    pub(crate) platform: PlatformHandle,
    pub(crate) group: GroupHandle,
    pub(crate) instances: Vec<Instance>,
    pub(crate) folder: Folder,
    /// Fault proxies between the homes and the members, in the order of the members; empty without them.
    pub(crate) fault_proxies: Vec<FaultProxy>,
    /// Further sections of the settings of each instance.
    sections: &'static str,
}

impl Installation {
    /// Starts one instance for each entry of `data_centres` and waits until each member has a home.
    pub(crate) fn start(data_centres: &[&str]) -> Self {
        Self::start_with(data_centres, false, "")
    }

    /// Like [`Installation::start`] with a fault proxy in front of each member.
    pub(crate) fn start_with_fault_proxies(data_centres: &[&str]) -> Self {
        Self::start_with(data_centres, true, "")
    }

    /// Like [`Installation::start`] with further sections of the settings.
    pub(crate) fn start_with_settings(data_centres: &[&str], sections: &'static str) -> Self {
        Self::start_with(data_centres, false, sections)
    }

    fn start_with(data_centres: &[&str], with_fault_proxies: bool, sections: &'static str) -> Self {
        let platform = Platform::start(PlatformConfig::default()).unwrap();
        let mut cfg = GroupConfig::single("padron", &["padron-1", "padron-2", "padron-3"]);
        for (index, member) in cfg.databases[0].members.iter_mut().enumerate() {
            member.data_centre = Some(["stgo-a", "stgo-b"][index % 2].into());
        }
        let group = Group::start(cfg.clone()).unwrap();
        let mut fault_proxies = Vec::new();
        if with_fault_proxies {
            let addresses = group.addresses();
            fault_proxies
                .extend(addresses.iter().map(|(_, address)| FaultProxy::start(*address).unwrap()));
        }
        let (instances, folder) = (Vec::new(), Folder::new());
        let mut installation = Self { platform, group, instances, folder, fault_proxies, sections };
        installation.register_database();
        for data_centre in data_centres {
            installation.add_instance(data_centre);
        }
        installation.wait_for_homes();
        installation
    }

    fn register_database(&self) {
        let members: Vec<Value> = self
            .group
            .addresses()
            .iter()
            .enumerate()
            .map(|(index, (id, address))| {
                let data_centre = ["stgo-a", "stgo-b"][index % 2];
                let address = self.fault_proxies.get(index).map_or(*address, FaultProxy::address);
                serde_json::json!({
                    "id": id, "data_centre": data_centre,
                    "address": address.to_string(), "slots": 2, "connections": 16,
                })
            })
            .collect();
        let record = serde_json::json!({
            "name": "padron", "members": members, "term": 1, "primary": "padron-1",
            "term_members": ["padron-1", "padron-2", "padron-3"],
        });
        let client = self.platform_client();
        let absent = hibiscusladder::prelude::Expected::Absent;
        smol::block_on(client.put("databases", "padron", absent, &record)).unwrap();
    }

    /// Client of the platform with a timeout of 2 s.
    pub(crate) fn platform_client(&self) -> hibiscusladder::prelude::PlatformClient {
        let address = self.platform.address().to_string();
        hibiscusladder::prelude::PlatformClient::new(&address, Duration::from_secs(2))
    }

    /// Starts another instance, whose seeds are the instances that were started before.
    pub(crate) fn add_instance(&mut self, data_centre: &str) {
        let id = format!("i{}", self.instances.len() + 1);
        let seeds: Vec<u16> = self.instances.iter().map(|other| other.rpc).collect();
        let url = self.platform.url();
        let instance =
            Instance::start_with(&self.folder, &id, data_centre, &url, &seeds, self.sections);
        self.instances.push(instance);
    }

    /// Waits until each member has a home with a lease and each instance lists all instances.
    pub(crate) fn wait_for_homes(&self) {
        wait_for_homes(&self.instances);
    }

    /// Waits until all members have the same position. A write that no replica has received is lost when the primary
    /// fails.
    pub(crate) fn wait_for_replicas(&self) {
        eventually("equal positions of all members", || {
            let reports = self.group.reports();
            reports.iter().all(|report| report.position == reports[0].position).then_some(())
        });
    }

    /// Creates the table that recorded clients use through an instance, and waits until all members have it.
    pub(crate) fn create_notes_table(&self, instance: usize, key: &str) {
        let mut client = self.instances[instance].connect(key).unwrap();
        client.batch_execute("CREATE TABLE notas (k TEXT, v TEXT)").unwrap();
        self.wait_for_replicas();
    }

    /// Index of the instance that is home of `padron-1`, the primary of term 1.
    pub(crate) fn home_of_primary(&self) -> usize {
        let status = self.instances[0].status().unwrap();
        let members = status["databases"][0]["members"].as_array().unwrap();
        let primary = members.iter().find(|member| member["id"] == "padron-1").unwrap();
        let home = primary["home"].as_str().unwrap();
        self.instances.iter().position(|instance| instance.id == home).unwrap()
    }

    /// Writes a contract with a rate of 200 requests per second and issues a key for it.
    pub(crate) fn issue_key(&self) -> String {
        let contract = self.write_contract(200);
        let url = self.platform.url();
        run_ok(&["contract", "put", "--platform", &url, "--file", &contract]);
        let issued = run_ok(&["key", "issue", "--platform", &url, "club-andino"]);
        issued.lines().next().unwrap().to_owned()
    }

    /// Issues another key for the contract.
    pub(crate) fn issue_other_key(&self) -> String {
        let url = self.platform.url();
        let issued = run_ok(&["key", "issue", "--platform", &url, "club-andino"]);
        issued.lines().next().unwrap().to_owned()
    }

    /// Writes a file with a contract for `rate` requests per second and returns its path.
    pub(crate) fn write_contract(&self, rate: u32) -> String {
        let text = format!(
            "workspace = \"club-andino\"\ndatabases = [\"padron\"]\nrate = {rate}\nburst = 100\n"
        );
        self.folder.write(&format!("contract-{rate}.toml"), &text)
    }

    /// Contents of the log of an instance.
    pub(crate) fn read_log(&self, index: usize) -> String {
        let id = &self.instances[index].id;
        fs::read_to_string(self.folder.0.join(format!("{id}.toml.log"))).unwrap()
    }
}
