//! `emulate`: runs an emulator of the platform or of database groups.

use std::{fs, path::Path};

use async_signal::{Signal, Signals};
use hibiscusladder_core::{
    database::{DatabaseRecord, MemberRecord},
    name::DataCentre,
    position::Term,
};
use hibiscusladder_emulator::{
    database::{Group, GroupConfig, GroupHandle},
    platform::{Platform, PlatformConfig},
};
use hibiscusladder_proxy::{
    platform::{Expected, PlatformClient, PlatformError},
    settings::LogLevel,
};
use serde::de::DeserializeOwned;

use super::{
    args::{Emulate, EmulateDatabase, EmulatePlatform, EmulateTarget},
    error::CliError,
    log, operator, output, serve,
};

/// Runs the emulator until SIGTERM or SIGINT.
pub(crate) fn run(args: &Emulate) -> Result<(), CliError> {
    log::init(LogLevel::Info);
    match &args.what {
        EmulateTarget::Platform(args) => platform(args),
        EmulateTarget::Database(args) => database(args),
    }
}

fn platform(args: &EmulatePlatform) -> Result<(), CliError> {
    let cfg: PlatformConfig = read_config(&args.config)?;
    let platform = Platform::start(cfg).map_err(CliError::Emulator)?;
    output::line(&format!("platform {}", platform.url()))?;
    wait_for_signal()?;
    platform.shutdown();
    Ok(())
}

fn database(args: &EmulateDatabase) -> Result<(), CliError> {
    let cfg: GroupConfig = read_config(&args.config)?;
    let group = Group::start(cfg.clone()).map_err(CliError::Emulator)?;
    for (member, address) in group.addresses() {
        output::line(&format!("member {member} {address}"))?;
    }
    if let Some(url) = &args.platform {
        let platform = operator::client(url)?;
        smol::block_on(register(&platform, &cfg, &group))?;
    }
    wait_for_signal()?;
    group.shutdown();
    Ok(())
}

/// Writes the records of the databases that have none on the platform yet; existing records stay unchanged.
pub(crate) async fn register(
    platform: &PlatformClient,
    cfg: &GroupConfig,
    group: &GroupHandle,
) -> Result<(), CliError> {
    for record in database_records(cfg, group) {
        let name = record.name.to_string();
        let value = serde_json::to_value(&record).map_err(std::io::Error::other)?;
        match platform.put("databases", &name, Expected::Absent, &value).await {
            Ok(_) | Err(PlatformError::Conflict { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}

fn database_records(cfg: &GroupConfig, group: &GroupHandle) -> Vec<DatabaseRecord> {
    let database = |database: &hibiscusladder_emulator::database::DatabaseConfig| {
        let members: Vec<MemberRecord> = database
            .members
            .iter()
            .filter_map(|member| {
                let address = group.address(member.id.as_str())?;
                Some(MemberRecord {
                    id: member.id.clone(),
                    data_centre: member
                        .data_centre
                        .clone()
                        .unwrap_or_else(|| DataCentre::new("local")),
                    address: address.to_string(),
                    slots: u32::try_from(member.slots).unwrap_or(u32::MAX),
                    connections: u32::try_from(member.connections).unwrap_or(u32::MAX),
                })
            })
            .collect();
        let first_member = members.first().map(|member| member.id.clone());
        DatabaseRecord {
            name: database.name.clone(),
            term: Term(1),
            primary: database.primary.clone().or(first_member),
            claimant: None,
            term_start: None,
            term_members: members.iter().map(|member| member.id.clone()).collect(),
            members,
        }
    };
    cfg.databases.iter().map(database).collect()
}

fn read_config<T>(path: &Path) -> Result<T, CliError>
where
    T: DeserializeOwned,
{
    let file_error = |reason: String| CliError::File {
        path: path.to_owned(),
        reason,
        remedy: "see docs/OPERATIONS.md for the settings of the emulators".to_owned(),
    };
    let text = fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    toml::from_str(&text).map_err(|error| file_error(error.to_string().trim_end().to_owned()))
}

fn wait_for_signal() -> Result<(), CliError> {
    let signals = Signals::new([Signal::Term, Signal::Int])?;
    smol::block_on(serve::first_signal(signals));
    Ok(())
}
