//! `status`: shows the state of all instances and databases.

use std::time::Duration;

use hibiscusladder_proxy::platform::{Registration, http_get};
use serde_json::{Value, json};

use super::{args::Status, error::CliError, operator, output};

/// Time limit of a request for the status of one instance.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Prints the status of all registered instances.
pub(crate) async fn run(args: &Status) -> Result<(), CliError> {
    let platform = operator::client(&args.platform)?;
    let registrations = platform.instances().await?;
    let statuses = futures::future::join_all(registrations.iter().map(fetch_status)).await;
    if args.json {
        return output::json(&json!({ "instances": statuses }));
    }
    print_instances(&statuses)?;
    print_databases(&statuses)
}

/// Reads the status of an instance; one that does not answer gets the state `no answer`.
async fn fetch_status(registration: &Registration) -> Value {
    let answer = http_get(&registration.health, "/status", STATUS_TIMEOUT).await;
    let parsed = answer.ok().and_then(|body| serde_json::from_slice::<Value>(&body).ok());
    parsed.unwrap_or_else(|| {
        json!({
            "id": registration.id,
            "data_centre": registration.data_centre,
            "state": "no answer",
        })
    })
}

fn cell_text(value: &Value) -> String {
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
                cell_text(&status["id"]),
                cell_text(&status["data_centre"]),
                cell_text(&status["state"]),
                cell_text(&config["version"]),
                cell_text(&config["proof_age_ms"]),
                cell_text(&config["standing"]),
            ]
        })
        .collect();
    let headings = ["INSTANCE", "DATA CENTRE", "STATE", "VERSION", "PROOF MS", "CONFIG"];
    output::table(&headings, &rows)
}

/// Prints each member with the values that its home reports.
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
    let headings = ["DATABASE", "MEMBER", "ROLE", "TERM", "POSITION", "STATE", "HOME", "LEASE"];
    output::table(&headings, &rows)
}

fn member_row(database: &Value, member: &Value) -> Vec<String> {
    let role = if database["primary"] == member["id"] { "primary" } else { "replica" };
    vec![
        cell_text(&database["name"]),
        cell_text(&member["id"]),
        role.to_owned(),
        cell_text(&member["term"]),
        cell_text(&member["position"]),
        cell_text(&member["state"]),
        cell_text(&member["home"]),
        cell_text(&member["lease"]),
    ]
}
