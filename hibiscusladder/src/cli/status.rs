//! `status`: shows instances and databases.

use std::time::Duration;

use hibiscusladder_proxy::platform::{Registration, http_get};
use serde_json::{Value, json};

use super::{args::Status, error::CliError, operator, output};

/// Longest wait for the status of one instance.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Prints the status of all registered instances.
pub(crate) async fn run(args: &Status) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let registered = platform.instances().await?;
    let statuses = futures::future::join_all(registered.iter().map(status)).await;
    if args.json {
        return output::json(&json!({ "instances": statuses }));
    }
    print_instances(&statuses)?;
    print_databases(&statuses)
}

async fn status(registered: &Registration) -> Value {
    let answer = http_get(&registered.health, "/status", STATUS_TIMEOUT).await;
    let parsed = answer.ok().and_then(|body| serde_json::from_slice::<Value>(&body).ok());
    parsed.unwrap_or_else(|| {
        json!({
            "id": registered.id,
            "data_centre": registered.data_centre,
            "state": "no answer",
        })
    })
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn print_instances(statuses: &[Value]) -> Result<(), CliError> {
    let rows: Vec<Vec<String>> = statuses
        .iter()
        .map(|status| {
            let config = &status["config"];
            vec![
                text(&status["id"]),
                text(&status["data_centre"]),
                text(&status["state"]),
                text(&config["version"]),
                text(&config["proof_age_ms"]),
                text(&config["standing"]),
            ]
        })
        .collect();
    let head = ["INSTANCE", "DATA CENTRE", "STATE", "VERSION", "PROOF MS", "CONFIG"];
    output::table(&head, &rows)
}

/// Prints the members as their homes see them.
fn print_databases(statuses: &[Value]) -> Result<(), CliError> {
    let mut rows: Vec<Vec<String>> = Vec::new();
    for status in statuses {
        let databases = status["databases"].as_array().into_iter().flatten();
        for database in databases {
            for member in database["members"].as_array().into_iter().flatten() {
                if member["home"] == status["id"] {
                    rows.push(member_row(database, member));
                }
            }
        }
    }
    rows.sort();
    output::line("")?;
    let head = ["DATABASE", "MEMBER", "ROLE", "TERM", "POSITION", "STATE", "HOME", "LEASE"];
    output::table(&head, &rows)
}

fn member_row(database: &Value, member: &Value) -> Vec<String> {
    let role = if database["primary"] == member["id"] { "primary" } else { "replica" };
    vec![
        text(&database["name"]),
        text(&member["id"]),
        role.to_owned(),
        text(&member["term"]),
        text(&member["position"]),
        text(&member["state"]),
        text(&member["home"]),
        text(&member["lease"]),
    ]
}
