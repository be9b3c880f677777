//! `key`: issues, lists and withdraws keys.

use hibiscusladder_core::{
    key::{Key, KeyRecord},
    name::Workspace,
};
use hibiscusladder_proxy::platform::PlatformClient;
use serde_json::{Value, json};

use super::{
    args::{self, KeyAction, KeyIssue, KeyList, KeyWithdraw},
    contract,
    error::CliError,
    operator, output,
};

const KIND: &str = "keys";

/// Attempts to add a key to a contract that other operators change at the same time.
const CONTRACT_WRITE_ATTEMPTS: u32 = 8;

pub(crate) async fn run(args: &args::Key) -> Result<(), CliError> {
    match &args.action {
        KeyAction::Issue(args) => issue(args).await,
        KeyAction::List(args) => list(args).await,
        KeyAction::Withdraw(args) => withdraw(args).await,
    }
}

async fn issue(args: &KeyIssue) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let (key, version) = create(&platform, &args.workspace).await?;
    output::line(&key.expose())?;
    operator::wait_for_confirmation(
        &platform,
        &format!("{KIND}/{}", key.id()),
        version,
        args.no_wait,
    )
    .await
}

/// Writes the hash of a new key and adds its id to the contract of the workspace.
///
/// Returns the key with its secret, and the version of the contract that lists it.
pub(crate) async fn create(
    platform: &PlatformClient,
    workspace: &str,
) -> Result<(Key, u64), CliError> {
    contract::get(platform, workspace).await?;
    let mut random = [0; Key::RANDOM_BYTES];
    getrandom::fill(&mut random).map_err(std::io::Error::other)?;
    let key = Key::from_random(&random);
    let record = KeyRecord::new(&key, Workspace::new(workspace));
    let value = serde_json::to_value(&record).map_err(std::io::Error::other)?;
    let id = key.id().to_string();
    operator::put(platform, KIND, &id, None, &value).await?;
    let version = add_to_contract(platform, workspace, &id).await?;
    Ok((key, version))
}

/// Adds the key to the list of keys in the contract. After a conflict it reads the contract again and retries, since
/// an added key is compatible with any other change.
async fn add_to_contract(
    platform: &PlatformClient,
    workspace: &str,
    id: &str,
) -> Result<u64, CliError> {
    let mut attempt = 1;
    loop {
        let base = contract::get(platform, workspace).await?;
        let mut value = base.value.clone();
        append_key(&mut value, id);
        match operator::put(platform, "contracts", workspace, Some(&base), &value).await {
            Err(CliError::Conflict { .. }) if attempt < CONTRACT_WRITE_ATTEMPTS => attempt += 1,
            result => return result,
        }
    }
}

fn append_key(contract: &mut Value, id: &str) {
    if let Some(fields) = contract.as_object_mut() {
        let keys = fields.entry("keys").or_insert_with(|| json!([]));
        if let Some(keys) = keys.as_array_mut() {
            keys.push(json!(id));
        }
    }
}

async fn list(args: &KeyList) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let listing = platform.list(KIND).await?;
    let entries: Vec<Value> = listing
        .items
        .iter()
        .map(|item| {
            json!({
                "id": item.name,
                "version": item.version,
                "workspace": item.value.get("workspace"),
                "withdrawn": item.value.get("withdrawn"),
            })
        })
        .collect();
    if args.json {
        return output::json(&json!(entries));
    }
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let columns = ["id", "workspace", "withdrawn", "version"];
    let rows: Vec<Vec<String>> =
        entries.iter().map(|key| columns.iter().map(|name| text(&key[*name])).collect()).collect();
    output::table(&["ID", "WORKSPACE", "WITHDRAWN", "VERSION"], &rows)
}

async fn withdraw(args: &KeyWithdraw) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let base = platform.get(KIND, &args.id).await?.ok_or_else(|| CliError::NotFound {
        object: format!("key with the id `{}`", args.id),
        remedy: "see `hibiscusladder key list`; the id is the part between `hlk_` and the next `_`"
            .to_owned(),
    })?;
    let mut value = base.value.clone();
    value["withdrawn"] = json!(true);
    let version = operator::put(&platform, KIND, &args.id, Some(&base), &value).await?;
    let change = format!("{KIND}/{} withdrawn", args.id);
    operator::wait_for_confirmation(&platform, &change, version, args.no_wait).await
}
