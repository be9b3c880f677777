//! `contract`: changes and shows contracts.

use std::{fs, path::Path};

use hibiscusladder_core::{contract::Contract, database::DatabaseRecord};
use hibiscusladder_proxy::platform::{PlatformClient, StoredObject};
use serde_json::{Value, json};

use super::{
    args::{self, ContractAction, ContractList, ContractPut, ContractShow, ContractWithdraw},
    error::CliError,
    operator, output,
};

const KIND: &str = "contracts";

pub(crate) async fn run(args: &args::Contract) -> Result<(), CliError> {
    match &args.action {
        ContractAction::Put(args) => put(args).await,
        ContractAction::List(args) => list(args).await,
        ContractAction::Show(args) => show(args).await,
        ContractAction::Withdraw(args) => withdraw(args).await,
    }
}

async fn put(args: &ContractPut) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let contract = read_contract(&args.file)?;
    contract.check()?;
    let members = count_members(&platform, &contract).await?;
    contract.check_for(members)?;
    let name = contract.workspace.to_string();
    let value = serde_json::to_value(&contract).map_err(|error| file_error(&args.file, &error))?;
    let version = match args.expect {
        Some(expected) => operator::put_expected(&platform, KIND, &name, expected, &value).await?,
        None => {
            let base = platform.get(KIND, &name).await?;
            operator::put(&platform, KIND, &name, base.as_ref(), &value).await?
        }
    };
    operator::wait_for_confirmation(&platform, &format!("{KIND}/{name}"), version, args.no_wait)
        .await
}

async fn list(args: &ContractList) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let listing = platform.list(KIND).await?;
    if args.json {
        return output::json(&json!(listing.items));
    }
    let rows: Vec<Vec<String>> = listing.items.iter().map(row).collect();
    output::table(&["WORKSPACE", "VERSION", "RATE", "BURST", "WEIGHT", "DATABASES"], &rows)
}

fn row(object: &StoredObject) -> Vec<String> {
    let field = |name: &str| object.value.get(name).map(Value::to_string).unwrap_or_default();
    let databases = object.value.get("databases").and_then(Value::as_array);
    let databases =
        databases.map(|names| names.iter().filter_map(Value::as_str).collect::<Vec<_>>());
    vec![
        object.name.clone(),
        object.version.to_string(),
        field("rate"),
        field("burst"),
        field("weight"),
        databases.unwrap_or_default().join(", "),
    ]
}

async fn show(args: &ContractShow) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let object = get(&platform, &args.workspace).await?;
    if args.json {
        return output::json(&json!(object));
    }
    output::line(&format!("version {}", object.version))?;
    output::json(&object.value)
}

async fn withdraw(args: &ContractWithdraw) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let object = get(&platform, &args.workspace).await?;
    let version = operator::delete(&platform, KIND, &args.workspace, &object).await?;
    let change = format!("{KIND}/{} withdrawn", args.workspace);
    operator::wait_for_confirmation(&platform, &change, version, args.no_wait).await
}

/// Reads the contract of `workspace`; [`CliError::NotFound`] without one.
pub(crate) async fn get(
    platform: &PlatformClient,
    workspace: &str,
) -> Result<StoredObject, CliError> {
    let object = platform.get(KIND, workspace).await?;
    object.ok_or_else(|| CliError::NotFound {
        object: format!("contract of the workspace `{workspace}`"),
        remedy: "see `hibiscusladder contract list` for the workspaces that have one".to_owned(),
    })
}

/// Counts the members of all databases of the contract; [`CliError::UnknownDatabase`] if a database does not exist.
async fn count_members(platform: &PlatformClient, contract: &Contract) -> Result<usize, CliError> {
    let listing = platform.list("databases").await?;
    let records: Vec<DatabaseRecord> = listing
        .items
        .into_iter()
        .filter_map(|item| serde_json::from_value(item.value).ok())
        .collect();
    let mut members = 0;
    for database in &contract.databases {
        let record = records.iter().find(|record| record.name == *database);
        let record = record.ok_or_else(|| unknown_database(database.as_str(), &records))?;
        members += record.members.len();
    }
    Ok(members)
}

fn unknown_database(name: &str, records: &[DatabaseRecord]) -> CliError {
    let existing: Vec<&str> = records.iter().map(|record| record.name.as_str()).collect();
    let remedy = if existing.is_empty() {
        "write a record `databases/<name>` to the store of the platform first".to_owned()
    } else {
        format!("use one of: {}", existing.join(", "))
    };
    CliError::UnknownDatabase { name: name.to_owned(), remedy }
}

fn read_contract(path: &Path) -> Result<Contract, CliError> {
    let text = fs::read_to_string(path).map_err(|error| file_error(path, &error))?;
    if path.extension().is_some_and(|extension| extension == "json") {
        return serde_json::from_str(&text).map_err(|error| file_error(path, &error));
    }
    toml::from_str(&text).map_err(|error| file_error(path, &error))
}

fn file_error<E>(path: &Path, error: &E) -> CliError
where
    E: std::fmt::Display,
{
    CliError::File {
        path: path.to_owned(),
        reason: error.to_string().trim_end().to_owned(),
        remedy: "write the contract with workspace, databases, rate and burst as TOML or JSON"
            .to_owned(),
    }
}
