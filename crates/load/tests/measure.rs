//! Measures of a run, computed from hand-written records.

use std::time::Duration;

use hibiscusladder_load::{
    config::LoadConfig,
    measure::Measures,
    operation::{Kind, Outcome, Record},
};

fn config() -> LoadConfig {
    let workspace = |name: &str, database: &str| {
        format!(
            "[[workspace]]\nname = \"{name}\"\ndatabase = \"{database}\"\nkey = \"k\"\nsessions = 1\n\
             offered_rate = 1.0\ncontract_rate = 1.0\ncontract_burst = 1.0\n"
        )
    };
    let run = "[run]\nseconds = 10\ntargets = [\"127.0.0.1:1\"]\n";
    let text = format!("{run}{}{}", workspace("a", "first"), workspace("b", "second"));
    text.parse().expect("the configuration is valid")
}

fn record(workspace: usize, second: u64, outcome: Outcome, entitled: bool) -> Record {
    let answered = Duration::from_secs(second);
    Record { workspace, kind: Kind::Write, offered: answered, answered, outcome, entitled }
}

/// Guards against a write gap that is missed because another database continues to accept writes.
#[test]
fn write_gap_counts_each_database() {
    let mut records: Vec<Record> = (0..10).map(|s| record(1, s, Outcome::Done, true)).collect();
    records.extend([0, 1, 7, 8, 9].map(|s| record(0, s, Outcome::Done, true)));
    let measures = Measures::compute(&config(), &records);
    assert_eq!(measures.write_gap_ms, 6000.0);
    assert_eq!(measures.write_gap_from_ms, 1000.0);
}

/// Guards against refusals that count as wrongful although the workspace was served all that its contract covers.
#[test]
fn refusals_past_the_rate_are_rightful() {
    let results = [(Outcome::RefusedForRate, true), (Outcome::Done, false), (Outcome::Done, true)];
    let records: Vec<Record> =
        results.map(|(outcome, entitled)| record(0, 1, outcome, entitled)).into();
    let measures = Measures::compute(&config(), &records);
    assert_eq!(measures.workspaces[0].wrongly_refused, 0);
    assert_eq!(measures.workspaces[0].goodput, 1.0);
}

/// Guards against a wrongful refusal, of a request within the rate, that is not counted.
#[test]
fn refusals_inside_the_rate_are_counted() {
    let records = [record(0, 1, Outcome::RefusedForRate, true), record(0, 2, Outcome::Done, true)];
    let measures = Measures::compute(&config(), &records);
    assert_eq!(measures.workspaces[0].wrongly_refused, 1);
    assert_eq!(measures.wrongful_refusals, 0.5);
}
