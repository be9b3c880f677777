//! Starts a deployment: the emulators in this process, and the instances as child processes.

use std::{
    error::Error,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use hibiscusladder::{
    core::{
        database::{DatabaseRecord, MemberRecord},
        name::DataCentre,
        position::Term,
    },
    emulator::{
        database::{DatabaseConfig, Group, GroupConfig, GroupHandle, MemberConfig},
        platform::{Platform, PlatformConfig, PlatformHandle},
    },
    prelude::{Expected, PlatformClient},
    proxy::platform::http_get,
};

use hibiscusladder_testkit::ports::free_port;

use super::deployment::{Deployment, WorkspaceSize};

/// Longest wait until every member has a home.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks whether every member has a home.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running deployment. Dropping it ends the emulators and the instances.
#[derive(Debug)]
pub(crate) struct Fleet {
    instances: Vec<Instance>,
    folder: PathBuf,
    keys: Vec<String>,
    platform: PlatformHandle,
    group: GroupHandle,
}

/// An instance in a child process, with its ports on loopback.
#[derive(Debug)]
pub(crate) struct Instance {
    child: Child,
    pub(crate) data_centre: String,
    /// Port for clients.
    pub(crate) listen: u16,
    /// Port for other instances.
    pub(crate) rpc: u16,
    health: u16,
}

impl Instance {
    /// Id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Fleet {
    /// Starts a deployment, waits until every member has a home, and creates the workspaces.
    ///
    /// `policy` is a section of the settings of each instance, or empty.
    pub(crate) fn start(deployment: &Deployment, policy: &str) -> Result<Self, Box<dyn Error>> {
        let platform =
            Platform::start(PlatformConfig { list_lag_ms: 500, ..PlatformConfig::default() })?;
        let group = Group::start(group_config(deployment))?;
        let folder =
            std::env::temp_dir().join(format!("hibiscusladder-measure-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self { instances: Vec::new(), folder, keys: Vec::new(), platform, group };
        fleet.register_databases(deployment)?;
        for centre in &deployment.data_centres {
            for index in 0..centre.instances {
                fleet.spawn_instance(deployment, &centre.name, index, policy)?;
            }
        }
        fleet.wait_until_ready(deployment)?;
        for workspace in &deployment.workspaces {
            let key = fleet.create_workspace(workspace)?;
            fleet.keys.push(key);
        }
        Ok(fleet)
    }

    /// Keys of the workspaces, in the order of [`Deployment::workspaces`].
    pub(crate) fn keys(&self) -> &[String] {
        &self.keys
    }

    /// Address of each instance for clients, as `host:port`.
    pub(crate) fn targets(&self) -> Vec<String> {
        self.instances.iter().map(|instance| format!("127.0.0.1:{}", instance.listen)).collect()
    }

    /// Instances in the order of the data centres.
    pub(crate) fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Address of the emulated platform, as `host:port`.
    pub(crate) fn platform(&self) -> String {
        self.platform.address().to_string()
    }

    /// Address of the member `id`; `None` without such a member.
    pub(crate) fn member(&self, id: &str) -> Option<SocketAddr> {
        self.group.address(id)
    }

    /// Address of the admin interface of the emulated databases, as `host:port`.
    pub(crate) fn database_admin(&self) -> String {
        self.group.admin_address().to_string()
    }

    fn register_databases(&self, deployment: &Deployment) -> Result<(), Box<dyn Error>> {
        let client =
            PlatformClient::new(&self.platform.address().to_string(), Duration::from_secs(2));
        for database in &deployment.databases {
            let database_record = serde_json::to_value(self.database_record(deployment, database))?;
            smol::block_on(client.put("databases", database, Expected::Absent, &database_record))?;
        }
        Ok(())
    }

    fn database_record(&self, deployment: &Deployment, database: &str) -> DatabaseRecord {
        let members: Vec<MemberRecord> = (1..)
            .zip(deployment.member_centres())
            .filter_map(|(index, data_centre)| {
                let id = format!("{database}-{index}");
                Some(MemberRecord {
                    address: self.group.address(&id)?.to_string(),
                    id: id.into(),
                    data_centre: DataCentre::new(data_centre),
                    slots: u32::try_from(deployment.slots).ok()?,
                    connections: u32::try_from(deployment.connections).ok()?,
                })
            })
            .collect();
        DatabaseRecord {
            name: database.into(),
            term: Term(1),
            primary: members.first().map(|member| member.id.clone()),
            claimant: None,
            term_start: None,
            term_members: members.iter().map(|member| member.id.clone()).collect(),
            members,
        }
    }

    fn spawn_instance(
        &mut self,
        deployment: &Deployment,
        data_centre: &str,
        index: usize,
        policy: &str,
    ) -> Result<(), Box<dyn Error>> {
        let (listen, rpc, health) = (free_port()?, free_port()?, free_port()?);
        let seeds: Vec<_> = self
            .instances
            .iter()
            .take(4)
            .map(|other| format!("\"127.0.0.1:{}\"", other.rpc))
            .collect();
        let mut settings = format!(
            "[instance]\nid = \"{data_centre}-{index}\"\ndata_centre = \"{data_centre}\"\n\
             listen = \"127.0.0.1:{listen}\"\nrpc = \"127.0.0.1:{rpc}\"\nhealth = \"127.0.0.1:{health}\"\n\
             seeds = [{}]\n[platform]\nurl = \"{}\"\n[upstream]\nuser = \"proxy\"\npassword = \"proxy\"\n\
             [log]\nlevel = \"warn\"\n{policy}",
            seeds.join(", "),
            self.platform.url()
        );
        for centre in &deployment.data_centres {
            settings += &format!(
                "[[topology]]\ndata_centre = \"{}\"\nregion = \"{}\"\n",
                centre.name, centre.region
            );
        }
        let path = self.folder.join(format!("{data_centre}-{index}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(path.with_extension("log"))?;
        let child = Command::new(binary_path()?)
            .args([Path::new("serve"), Path::new("--config"), &path])
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let data_centre = data_centre.to_owned();
        self.instances.push(Instance { child, data_centre, listen, rpc, health });
        Ok(())
    }

    fn wait_until_ready(&self, deployment: &Deployment) -> Result<(), Box<dyn Error>> {
        let expected = deployment.databases.len() * deployment.member_centres().len();
        let start = Instant::now();
        while self.count_leases() < expected {
            if start.elapsed() > READY_TIMEOUT {
                return Err(format!(
                    "only {} of {expected} members have a home",
                    self.count_leases()
                )
                .into());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Counts the members whose lease an instance reports to hold.
    fn count_leases(&self) -> usize {
        let status = |instance: &Instance| -> Option<serde_json::Value> {
            let address = format!("127.0.0.1:{}", instance.health);
            let body =
                smol::block_on(http_get(&address, "/status", Duration::from_secs(1))).ok()?;
            serde_json::from_slice(&body).ok()
        };
        let members = |status: serde_json::Value| -> usize {
            let databases = status["databases"].as_array().cloned().unwrap_or_default();
            let members =
                databases.iter().filter_map(|database| database["members"].as_array()).flatten();
            members.filter(|member| member["lease"] == true).count()
        };
        self.instances.iter().filter_map(status).map(members).sum()
    }

    /// Writes the contract of a workspace and issues a key for it.
    fn create_workspace(&self, workspace: &WorkspaceSize) -> Result<String, Box<dyn Error>> {
        let path = self.folder.join(format!("{}.contract.toml", workspace.name));
        let contract = format!(
            "workspace = \"{}\"\ndatabases = [\"{}\"]\nrate = {:.1}\nburst = {:.1}\n\
             [[routes]]\ntables = [\"hl_load_catalogue\"]\nrule = {{ stale_read = {{ max_age_ms = 2000 }} }}\n",
            workspace.name, workspace.database, workspace.rate, workspace.burst
        );
        fs::write(&path, contract)?;
        let url = self.platform.url();
        let file = path.display().to_string();
        run_command(&["contract", "put", "--platform", &url, "--file", &file])?;
        let issued = run_command(&["key", "issue", "--platform", &url, &workspace.name])?;
        Ok(issued.lines().next().ok_or("`key issue` printed no key")?.to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let killed = instance.child.kill();
            drop(killed.and_then(|()| instance.child.wait()));
        }
    }
}

fn group_config(deployment: &Deployment) -> GroupConfig {
    let centres = deployment.member_centres();
    let member = |database: &str, index: usize| {
        let mut member = MemberConfig::new(&format!("{database}-{}", index + 1));
        member.data_centre = Some(DataCentre::new(centres[index]));
        member.slots = deployment.slots;
        member.connections = deployment.connections;
        member
    };
    let database = |name: &String| DatabaseConfig {
        name: name.as_str().into(),
        members: (0..centres.len()).map(|index| member(name, index)).collect(),
        primary: None,
    };
    GroupConfig {
        databases: deployment.databases.iter().map(database).collect(),
        lag_ms: deployment.lag_ms,
        statement_us: deployment.statement_us,
        ..GroupConfig::default()
    }
}

fn run_command(arguments: &[&str]) -> Result<String, Box<dyn Error>> {
    let output = Command::new(binary_path()?).args(arguments).output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned().into());
    }
    Ok(String::from_utf8(output.stdout)?)
}

/// Path of the binary `hibiscusladder` of the same build.
fn binary_path() -> Result<PathBuf, Box<dyn Error>> {
    let example = std::env::current_exe()?;
    let profile =
        example.parent().and_then(Path::parent).ok_or("the example is not in a target folder")?;
    Ok(profile.join("hibiscusladder"))
}
