//! `demo`: runs the emulators and one instance for each data centre on loopback, in one process.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use async_signal::{Signal, Signals};
use futures::future::join_all;
use hibiscusladder_core::name::DataCentre;
use hibiscusladder_emulator::{
    database::{DatabaseConfig, Group, GroupConfig, GroupHandle, MemberConfig},
    platform::{Platform, PlatformConfig},
};
use hibiscusladder_proxy::{
    platform::{Expected, PlatformClient, http_get},
    serve::{self, Listeners},
    settings::{LogLevel, Settings},
};
use serde_json::{Value, json};
use smol::{Timer, channel, future::FutureExt};

use super::{args::Demo, emulate, error::CliError, in_force, key, log, operator, output};

/// Data centres with their regions; each has one instance and one member of each database.
const DATA_CENTRES: [(&str, &str); 3] = [("stgo-a", "stgo"), ("stgo-b", "stgo"), ("vld-a", "vld")];

const DATABASES: [&str; 3] = ["padron", "cuotas", "torneos"];

const WORKSPACE: &str = "club-andino";

/// Longest wait until every member has a home.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two checks whether every member has a home.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demo until SIGINT, SIGTERM or the end of `--seconds`.
pub(crate) fn run(args: &Demo) -> Result<(), CliError> {
    log::init(LogLevel::Warn);
    let platform_cfg = PlatformConfig { list_lag_ms: 0, ..PlatformConfig::default() };
    let platform = Platform::start(platform_cfg).map_err(CliError::Emulator)?;
    let cfg = group_config();
    let group = Group::start(cfg.clone()).map_err(CliError::Emulator)?;
    smol::block_on(run_instances(args, &platform.url(), &cfg, &group))?;
    group.shutdown();
    platform.shutdown();
    output::line("demo ended")
}

fn group_config() -> GroupConfig {
    let member = |database: &str, index: usize| {
        let mut member = MemberConfig::new(&format!("{database}-{}", index + 1));
        member.data_centre = Some(DataCentre::new(DATA_CENTRES[index].0));
        member
    };
    let database = |name: &str| DatabaseConfig {
        name: name.into(),
        members: (0..DATA_CENTRES.len()).map(|index| member(name, index)).collect(),
        primary: None,
    };
    let databases = DATABASES.iter().map(|name| database(name)).collect();
    GroupConfig { databases, ..GroupConfig::default() }
}

async fn run_instances(
    args: &Demo,
    url: &str,
    cfg: &GroupConfig,
    group: &GroupHandle,
) -> Result<(), CliError> {
    let signals = Signals::new([Signal::Term, Signal::Int])?;
    let platform = operator::client(url)?;
    emulate::register(&platform, cfg, group).await?;
    let (stop, stopped) = channel::bounded::<()>(1);
    let mut instances = Vec::new();
    let mut instance_settings = Vec::new();
    for (settings, listeners) in bind_instances(url)? {
        instance_settings.push(settings.instance.clone());
        let stopped = stopped.clone();
        let shutdown = async move {
            let _ = stopped.recv().await;
        };
        instances.push(smol::spawn(serve::run(settings, listeners, shutdown)));
    }
    let health: Vec<SocketAddr> =
        instance_settings.iter().map(|instance| instance.health).collect();
    wait_until_ready(&health).await;
    // The contract is written after the start of the instances, which then use their shares of it at once. An
    // instance that finds a contract when it starts uses no share of it for 8 s.
    let key = create_workspace(&platform).await?;
    for instance in &instance_settings {
        let listen = instance.listen;
        output::line(&format!(
            "{:7} postgresql://{WORKSPACE}:{key}@{listen}/{}",
            instance.data_centre.as_str(),
            DATABASES[0]
        ))?;
    }
    output::line(&format!("platform {url} (for `hibiscusladder status --platform {url}`)"))?;
    output::line("try:")?;
    output::line("  CREATE TABLE socios (id INTEGER PRIMARY KEY, nombre TEXT);")?;
    output::line("  INSERT INTO socios VALUES (1, 'Ana'); SELECT * FROM socios;")?;
    wait_for_end(args.seconds, signals).await;
    drop(stop);
    for result in join_all(instances).await {
        result?;
    }
    Ok(())
}

/// Writes a contract for all databases and issues a key.
async fn create_workspace(platform: &PlatformClient) -> Result<String, CliError> {
    let contract = json!({
        "workspace": WORKSPACE,
        "databases": DATABASES,
        "rate": 1000.0,
        "burst": 500.0,
    });
    platform.put("contracts", WORKSPACE, Expected::Absent, &contract).await?;
    let (key, version) = key::create(platform, WORKSPACE).await?;
    in_force::wait(platform, version).await?;
    Ok(key.expose())
}

/// Binds free ports for all instances and lists all of them as seeds in the settings of each.
fn bind_instances(url: &str) -> Result<Vec<(Settings, Listeners)>, CliError> {
    let bind_free_port = || TcpListener::bind("127.0.0.1:0");
    let mut all_listeners = Vec::new();
    for _ in DATA_CENTRES {
        all_listeners.push(Listeners {
            clients: bind_free_port()?,
            rpc: bind_free_port()?,
            health: bind_free_port()?,
        });
    }
    let seeds: Vec<String> = all_listeners
        .iter()
        .map(|listeners| listeners.rpc.local_addr().map(|address| format!("\"{address}\"")))
        .collect::<Result<_, _>>()?;
    let mut instances = Vec::new();
    for (listeners, (data_centre, _)) in all_listeners.into_iter().zip(DATA_CENTRES) {
        let text = settings_text(url, data_centre, &listeners, &seeds.join(", "))?;
        instances.push((Settings::parse("demo", &text)?, listeners));
    }
    Ok(instances)
}

fn settings_text(
    url: &str,
    data_centre: &str,
    listeners: &Listeners,
    seeds: &str,
) -> Result<String, CliError> {
    let mut text = format!(
        "[instance]\nid = \"{data_centre}-1\"\ndata_centre = \"{data_centre}\"\n\
         listen = \"{}\"\nrpc = \"{}\"\nhealth = \"{}\"\nseeds = [{seeds}]\n\
         [platform]\nurl = \"{url}\"\n[upstream]\nuser = \"proxy\"\npassword = \"proxy\"\n",
        listeners.clients.local_addr()?,
        listeners.rpc.local_addr()?,
        listeners.health.local_addr()?,
    );
    for (name, region) in DATA_CENTRES {
        text.push_str(&format!("[[topology]]\ndata_centre = \"{name}\"\nregion = \"{region}\"\n"));
    }
    Ok(text)
}

/// Waits until every member has a home that holds its lease, or until [`READY_TIMEOUT`] has passed.
async fn wait_until_ready(health: &[SocketAddr]) {
    let ready = async {
        while count_leases(health).await < DATABASES.len() * DATA_CENTRES.len() {
            Timer::after(READY_POLL_INTERVAL).await;
        }
    };
    let timeout = async {
        Timer::after(READY_TIMEOUT).await;
        spdlog::warn!("home: some members have no home yet");
    };
    ready.or(timeout).await;
}

/// Counts the members whose lease an instance reports to hold.
async fn count_leases(health: &[SocketAddr]) -> usize {
    let mut count = 0;
    for address in health {
        let answer = http_get(&address.to_string(), "/status", READY_POLL_INTERVAL * 10).await;
        let status = answer.ok().and_then(|body| serde_json::from_slice::<Value>(&body).ok());
        let databases = status.map(|status| status["databases"].clone());
        let databases = databases.as_ref().and_then(Value::as_array).into_iter().flatten();
        let members = databases.filter_map(|database| database["members"].as_array()).flatten();
        count += members.filter(|member| member["lease"] == true).count();
    }
    count
}

async fn wait_for_end(seconds: Option<u64>, signals: Signals) {
    let signal = super::serve::first_signal(signals);
    match seconds {
        None => signal.await,
        Some(seconds) => {
            let timer = async {
                Timer::after(Duration::from_secs(seconds)).await;
            };
            signal.or(timer).await;
        }
    }
}
