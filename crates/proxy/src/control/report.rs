//! Status of an instance as JSON; it contains no client keys and no statements.

use hibiscusladder_core::{clock::Instant, config::ConfigValidity};
use serde_json::{Value, json};

use crate::{
    node::{GroupView, Node},
    platform::PlatformClient,
};

/// The answer to `GET /status` and to the status calls of other instances.
pub(super) fn status(node: &Node, platform: &PlatformClient) -> Value {
    let now = node.now();
    let calls = platform.calls();
    let mut databases: Vec<Value> =
        node.groups().values().map(|group| database(node, &group.view(), now)).collect();
    databases.sort_by_key(|value| value["name"].to_string());
    let peers = node.peers();
    let instances: Vec<Value> = peers
        .iter()
        .map(|info| {
            json!({
                "id": info.id,
                "data_centre": info.data_centre,
                "rpc": &*info.rpc,
                "state": info.state.to_string(),
            })
        })
        .collect();
    json!({
        "id": node.id(),
        "data_centre": node.data_centre(),
        "state": if node.is_draining() { "leaving" } else { "live" },
        "config": {
            "revision": node.config_revision(),
            "version": node.config_version(),
            "proof_age_ms": node.proof_age().map(|age| millis(age.as_millis())),
            "standing": validity_text(node.config_validity()),
            "silent_data_centres": node.unresponsive_data_centres(),
        },
        "databases": databases,
        "instances": instances,
        "platform_calls": {
            "reads": calls.reads,
            "writes": calls.writes,
            "watches": calls.watches,
        },
    })
}

fn database(node: &Node, view: &GroupView, now: Instant) -> Value {
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| {
            let report = view.report(&member.id);
            let lease = node.lease(&member.id);
            json!({
                "id": member.id,
                "data_centre": member.data_centre,
                "state": node.config().upstream(&member.id),
                "home": node.home_of(&view.database, &member.id).map(|home| home.id),
                "lease": lease.is_some_and(|lease| lease.usable(now)),
                "term": report.map(|report| report.term),
                "position": report.map(|report| report.position),
                "silent_ms": report.map(|report| millis(now.since(report.received).as_millis())),
            })
        })
        .collect();
    json!({
        "name": view.database,
        "term": view.term,
        "primary": view.primary,
        "gate_open": view.gate_open(view.term, now),
        "members": members,
    })
}

const fn validity_text(validity: ConfigValidity) -> &'static str {
    match validity {
        ConfigValidity::Fresh => "fresh",
        ConfigValidity::Outage => "outage",
        ConfigValidity::Unconfirmed => "doubt",
    }
}

fn millis(millis: u128) -> u64 {
    u64::try_from(millis).unwrap_or(u64::MAX)
}
