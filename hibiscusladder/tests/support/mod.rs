//! Runs the binary as child processes against emulators on free ports.

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

/// Longest wait for a state that follows from what a test did.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Path of the binary under test.
pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_hibiscusladder");

/// Runs a command to its end.
pub(crate) fn command(args: &[&str]) -> Output {
    Command::new(BINARY).args(args).output().unwrap()
}

/// Standard output of a command that succeeds.
pub(crate) fn succeeds(args: &[&str]) -> String {
    let output = command(args);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{args:?} failed: {error}");
    String::from_utf8(output.stdout).unwrap()
}

/// Standard error of a command that fails, with blanks and box characters folded.
pub(crate) fn fails(args: &[&str]) -> String {
    let output = command(args);
    assert!(!output.status.success(), "{args:?} succeeded");
    folded(&String::from_utf8_lossy(&output.stderr))
}

/// Joins wrapped lines of a report.
pub(crate) fn folded(text: &str) -> String {
    let plain = text.replace(['│', '╰', '─', '▶', '×', '╭', '├', '·'], " ");
    plain.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// A free port outside the range from which the system takes ports for outgoing connections.
pub(crate) fn free_port() -> u16 {
    hibiscusladder_testkit::ports::free_port().unwrap()
}

/// Waits until `condition` gives a value.
pub(crate) fn eventually<F, T>(what: &str, mut condition: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// A folder for the files of one test, removed at its end.
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

/// A child process that is killed when it is dropped.
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

    /// Ends the process at once.
    pub(crate) fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Stops the process until it is resumed.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.0.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Exit code of a process that ends by itself.
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

/// One running instance.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) process: Process,
    pub(crate) id: String,
    pub(crate) port: u16,
    pub(crate) rpc: u16,
    pub(crate) health: u16,
}

impl Instance {
    /// Starts an instance that knows the RPC ports `seeds`.
    pub(crate) fn start(
        folder: &Folder,
        id: &str,
        data_centre: &str,
        platform: &str,
        seeds: &[u16],
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
"#,
            seeds.join(", ")
        );
        let path = folder.write(&format!("{id}.toml"), &settings);
        let log = fs::File::create(format!("{path}.log")).unwrap();
        let process = Process::start(&["serve", "--config", &path], log.into());
        Self { process, id: id.to_owned(), port, rpc, health }
    }

    /// Status of the instance, when it answers.
    pub(crate) fn status(&self) -> Option<Value> {
        let address = format!("127.0.0.1:{}", self.health);
        let body = smol::block_on(http_get(&address, "/status", Duration::from_secs(1))).ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Connects with a key.
    pub(crate) fn connect(&self, key: &str) -> Result<Client, postgres::Error> {
        let port = self.port;
        let config =
            format!("host=127.0.0.1 port={port} user=club-andino dbname=padron password={key}");
        Client::connect(&config, NoTls)
    }
}

/// Waits until the three members have homes with their leases and all instances know each other.
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

/// Platform, one database of three members and instances in two data centres.
#[derive(Debug)]
pub(crate) struct Installation {
    pub(crate) platform: PlatformHandle,
    pub(crate) group: GroupHandle,
    pub(crate) instances: Vec<Instance>,
    pub(crate) folder: Folder,
    /// Relays between the homes and the members, in the order of the members; empty when there are none.
    pub(crate) relays: Vec<FaultProxy>,
}

impl Installation {
    /// Starts everything and waits until every member has a home.
    pub(crate) fn start(data_centres: &[&str]) -> Self {
        Self::start_with(data_centres, false)
    }

    /// The same with a relay in front of each member.
    pub(crate) fn start_behind_relays(data_centres: &[&str]) -> Self {
        Self::start_with(data_centres, true)
    }

    fn start_with(data_centres: &[&str], behind_relays: bool) -> Self {
        let platform = Platform::start(PlatformConfig::default()).unwrap();
        let mut cfg = GroupConfig::single("padron", &["padron-1", "padron-2", "padron-3"]);
        for (index, member) in cfg.databases[0].members.iter_mut().enumerate() {
            member.data_centre = Some(["stgo-a", "stgo-b"][index % 2].into());
        }
        let group = Group::start(cfg.clone()).unwrap();
        let mut relays = Vec::new();
        if behind_relays {
            let addresses = group.addresses();
            relays
                .extend(addresses.iter().map(|(_, address)| FaultProxy::start(*address).unwrap()));
        }
        let (instances, folder) = (Vec::new(), Folder::new());
        let mut installation = Self { platform, group, instances, folder, relays };
        installation.register();
        for data_centre in data_centres {
            installation.add(data_centre);
        }
        installation.wait_for_homes();
        installation
    }

    fn register(&self) {
        let members: Vec<Value> = self
            .group
            .addresses()
            .iter()
            .enumerate()
            .map(|(index, (id, address))| {
                let data_centre = ["stgo-a", "stgo-b"][index % 2];
                let address = self.relays.get(index).map_or(*address, FaultProxy::address);
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
        let client = self.client();
        let absent = hibiscusladder::prelude::Expected::Absent;
        smol::block_on(client.put("databases", "padron", absent, &record)).unwrap();
    }

    /// A client of the platform.
    pub(crate) fn client(&self) -> hibiscusladder::prelude::PlatformClient {
        let address = self.platform.address().to_string();
        hibiscusladder::prelude::PlatformClient::new(&address, Duration::from_secs(2))
    }

    /// Starts one more instance.
    pub(crate) fn add(&mut self, data_centre: &str) {
        let id = format!("i{}", self.instances.len() + 1);
        let seeds: Vec<u16> = self.instances.iter().map(|other| other.rpc).collect();
        let url = self.platform.url();
        let instance = Instance::start(&self.folder, &id, data_centre, &url, &seeds);
        self.instances.push(instance);
    }

    /// Waits until every member has a home with its lease.
    pub(crate) fn wait_for_homes(&self) {
        wait_for_homes(&self.instances);
    }

    /// Waits until all members have the same position; a write that only the primary has is lost with it.
    pub(crate) fn wait_for_replicas(&self) {
        eventually("equal positions of all members", || {
            let reports = self.group.reports();
            reports.iter().all(|report| report.position == reports[0].position).then_some(())
        });
    }

    /// Creates the table of the recorded clients through an instance and waits until all members have it.
    pub(crate) fn create_notes(&self, instance: usize, key: &str) {
        let mut client = self.instances[instance].connect(key).unwrap();
        client.batch_execute("CREATE TABLE notas (k TEXT, v TEXT)").unwrap();
        self.wait_for_replicas();
    }

    /// Index of the instance that is home of the first primary.
    pub(crate) fn home_of_primary(&self) -> usize {
        let status = self.instances[0].status().unwrap();
        let members = status["databases"][0]["members"].as_array().unwrap();
        let primary = members.iter().find(|member| member["id"] == "padron-1").unwrap();
        let home = primary["home"].as_str().unwrap();
        self.instances.iter().position(|instance| instance.id == home).unwrap()
    }

    /// Writes a contract and issues a key.
    pub(crate) fn issue_key(&self) -> String {
        let contract = self.contract(200);
        let url = self.platform.url();
        succeeds(&["contract", "put", "--platform", &url, "--file", &contract]);
        let issued = succeeds(&["key", "issue", "--platform", &url, "club-andino"]);
        issued.lines().next().unwrap().to_owned()
    }

    /// Issues another key of the workspace.
    pub(crate) fn issue_other_key(&self) -> String {
        let url = self.platform.url();
        let issued = succeeds(&["key", "issue", "--platform", &url, "club-andino"]);
        issued.lines().next().unwrap().to_owned()
    }

    /// Writes the file of a contract with this rate.
    pub(crate) fn contract(&self, rate: u32) -> String {
        let text = format!(
            "workspace = \"club-andino\"\ndatabases = [\"padron\"]\nrate = {rate}\nburst = 100\n"
        );
        self.folder.write(&format!("contract-{rate}.toml"), &text)
    }

    /// Log of an instance.
    pub(crate) fn log(&self, index: usize) -> String {
        let id = &self.instances[index].id;
        fs::read_to_string(self.folder.0.join(format!("{id}.toml.log"))).unwrap()
    }
}
