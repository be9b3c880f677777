//! `upstream`: takes a member out of service and returns it.

use hibiscusladder_core::database::{DatabaseRecord, UpstreamState};
use hibiscusladder_proxy::platform::PlatformClient;
use serde_json::{Value, json};

use super::{
    args::{self, UpstreamAction, UpstreamList},
    error::CliError,
    operator, output,
};

const KIND: &str = "upstreams";

/// Runs the action.
pub(crate) async fn run(args: &args::Upstream) -> Result<(), CliError> {
    match &args.action {
        UpstreamAction::Leave(args) => {
            set(&args.platform, &args.member, UpstreamState::Leaving, args.no_wait).await
        }
        UpstreamAction::Return(args) => {
            set(&args.platform, &args.member, UpstreamState::Live, args.no_wait).await
        }
        UpstreamAction::List(args) => list(args).await,
    }
}

async fn set(
    platform: &str,
    member: &str,
    state: UpstreamState,
    no_wait: bool,
) -> Result<(), CliError> {
    let platform = operator::client(platform)?;
    let known = members(&platform).await?;
    if !known.iter().any(|(name, _)| name == member) {
        let names: Vec<&str> = known.iter().map(|(name, _)| name.as_str()).collect();
        return Err(CliError::NotFound {
            object: format!("member `{member}`"),
            remedy: format!("use one of: {}", names.join(", ")),
        });
    }
    let base = platform.get(KIND, member).await?;
    let value = json!({ "state": state });
    let version = operator::put(&platform, KIND, member, base.as_ref(), &value).await?;
    let what = format!("{KIND}/{member} {}", value["state"].as_str().unwrap_or_default());
    operator::accepted(&platform, &what, version, no_wait).await
}

async fn list(args: &UpstreamList) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let states = platform.list(KIND).await?;
    let mut shown = Vec::new();
    for (member, database) in members(&platform).await? {
        let record = states.items.iter().find(|item| item.name == member);
        let state = record.and_then(|item| item.value["state"].as_str()).unwrap_or("live");
        shown.push(json!({ "member": member, "database": database, "state": state }));
    }
    if args.json {
        return output::json(&json!(shown));
    }
    let columns = ["member", "database", "state"];
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let rows: Vec<Vec<String>> =
        shown.iter().map(|row| columns.iter().map(|name| text(&row[*name])).collect()).collect();
    output::table(&["MEMBER", "DATABASE", "STATE"], &rows)
}

/// All members with their databases.
async fn members(platform: &PlatformClient) -> Result<Vec<(String, String)>, CliError> {
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
