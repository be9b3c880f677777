//! `upstream`: takes members out of service, returns them and lists their states.

use hibiscusladder_core::database::{DatabaseRecord, UpstreamState};
use hibiscusladder_proxy::platform::PlatformClient;
use serde_json::{Value, json};

use super::{
    args::{self, UpstreamAction, UpstreamList},
    error::CliError,
    operator, output,
};

const KIND: &str = "upstreams";

pub(crate) async fn run(args: &args::Upstream) -> Result<(), CliError> {
    match &args.action {
        UpstreamAction::Leave(args) => {
            set_state(&args.platform, &args.member, UpstreamState::Leaving, args.no_wait).await
        }
        UpstreamAction::Return(args) => {
            set_state(&args.platform, &args.member, UpstreamState::Live, args.no_wait).await
        }
        UpstreamAction::List(args) => list(args).await,
    }
}

async fn set_state(
    platform: &str,
    member: &str,
    state: UpstreamState,
    no_wait: bool,
) -> Result<(), CliError> {
    let platform = operator::client(platform)?;
    let members = list_members(&platform).await?;
    if !members.iter().any(|(name, _)| name == member) {
        let names: Vec<&str> = members.iter().map(|(name, _)| name.as_str()).collect();
        return Err(CliError::NotFound {
            object: format!("member `{member}`"),
            remedy: format!("use one of: {}", names.join(", ")),
        });
    }
    let base = platform.get(KIND, member).await?;
    let value = json!({ "state": state });
    let version = operator::put(&platform, KIND, member, base.as_ref(), &value).await?;
    let change = format!("{KIND}/{member} {}", value["state"].as_str().unwrap_or_default());
    operator::wait_for_confirmation(&platform, &change, version, no_wait).await
}

async fn list(args: &UpstreamList) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let states = platform.list(KIND).await?;
    let mut entries = Vec::new();
    for (member, database) in list_members(&platform).await? {
        let record = states.items.iter().find(|item| item.name == member);
        let state = record.and_then(|item| item.value["state"].as_str()).unwrap_or("live");
        entries.push(json!({ "member": member, "database": database, "state": state }));
    }
    if args.json {
        return output::json(&json!(entries));
    }
    let columns = ["member", "database", "state"];
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let rows: Vec<Vec<String>> =
        entries.iter().map(|row| columns.iter().map(|name| text(&row[*name])).collect()).collect();
    output::table(&["MEMBER", "DATABASE", "STATE"], &rows)
}

/// Reads the ids of all members, each with the name of its database; skips records that cannot be parsed.
async fn list_members(platform: &PlatformClient) -> Result<Vec<(String, String)>, CliError> {
    let listing = platform.list("databases").await?;
    let mut members = Vec::new();
    for item in listing.items {
        let Ok(record) = serde_json::from_value::<DatabaseRecord>(item.value) else {
            continue;
        };
        let names = record.members.iter().map(|member| member.id.to_string());
        members.extend(names.map(|member| (member, record.name.to_string())));
    }
    Ok(members)
}
