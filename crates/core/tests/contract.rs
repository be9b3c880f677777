//! Validation of contracts, and their routes.

use std::time::Duration;

use hibiscusladder_core::prelude::*;
use test_case::test_case;

fn route(tables: &[&str], rule: RouteRule) -> Route {
    Route { tables: tables.iter().map(|table| (*table).into()).collect(), rule }
}

fn contract(routes: Vec<Route>) -> Contract {
    Contract {
        workspace: "w".into(),
        databases: vec!["a".into()],
        rate: 10.0,
        burst: 20.0,
        weight: 1,
        keys: vec![],
        routes,
    }
}

const STALE: RouteRule = RouteRule::StaleRead { max_age_ms: 500 };
const OPEN: RouteRule = RouteRule::OpenRead { max_age_ms: 900 };

/// Guards against a check that stops at the first error, so that an operator has to try again for each.
#[test]
fn check_reports_every_error() {
    let mut invalid = contract(vec![
        route(&["t", "T", "t"], STALE),
        route(&[], RouteRule::Unrepeatable),
        route(&["t"], RouteRule::StaleRead { max_age_ms: 0 }),
    ]);
    invalid.workspace = "Club Andino".into();
    invalid.databases = vec!["a".into(), "a".into()];
    invalid.rate = f64::NAN;
    invalid.burst = 0.0;
    invalid.weight = 0;
    invalid.keys = vec!["k".into(), "k".into()];
    let text = invalid.check().expect_err("an invalid contract").to_string();
    for part in [
        "workspace name `Club Andino`",
        "databases: remove the second `a`",
        "rate NaN: set",
        "burst 0: set",
        "weight 0: set",
        "keys: remove the second `k`",
        "routes[0]: remove the second `t`",
        "routes[0]: write the table `T` in lower case",
        "routes[1]: name at least one table",
        "routes[2]: set max_age_ms",
        "routes[2]: never matches because of routes[0]",
    ] {
        assert!(text.contains(part), "`{part}` is missing in: {text}");
    }
    assert_eq!(invalid.check().expect_err("an invalid contract").errors().len(), 11);
    assert!(contract(vec![route(&["t"], STALE), route(&["t"], OPEN)]).check().is_ok());
}

/// Guards against a burst that leaves every member less than one token, so that nothing is admitted.
#[test_case(20, true)]
#[test_case(21, false)]
fn check_for_members(members: usize, accepted: bool) {
    assert_eq!(contract(vec![]).check_for(members).is_ok(), accepted);
}

/// Guards against stale answers where they are not allowed, and against writes that are repeated.
#[test_case(&["t"], false, StatementClass::StaleRead { max_age: Duration::from_millis(500) }; "covered read")]
#[test_case(&["t", "u"], false, StatementClass::Read; "read of two routes")]
#[test_case(&["v"], false, StatementClass::Read; "other table")]
#[test_case(&[], false, StatementClass::Read; "no table")]
#[test_case(&["p"], false, StatementClass::StaleRead { max_age: Duration::from_millis(900) }; "open read with a key")]
#[test_case(&["t"], true, StatementClass::Write; "write")]
#[test_case(&["t", "n"], true, StatementClass::UnrepeatableWrite; "write that touches an unrepeatable table")]
#[test_case(&["n"], false, StatementClass::Read; "read of an unrepeatable table")]
fn classify_statement(tables: &[&str], is_write: bool, expected: StatementClass) {
    let unrepeatable = route(&["n"], RouteRule::Unrepeatable);
    let contract = contract(vec![
        unrepeatable,
        route(&["t"], STALE),
        route(&["u"], STALE),
        route(&["p"], OPEN),
    ]);
    assert_eq!(contract.classify(tables, is_write), expected);
}

/// Guards against reads without a key of tables that are not open.
#[test_case(&["p"], Some(900); "open")]
#[test_case(&["t"], None; "stale is not open")]
#[test_case(&["p", "t"], None; "joined with another table")]
#[test_case(&[], None; "no table")]
fn open_read_of(tables: &[&str], max_age_ms: Option<u64>) {
    let contract = contract(vec![route(&["t", "p"], STALE), route(&["p"], OPEN)]);
    assert_eq!(contract.open_read(tables), max_age_ms.map(Duration::from_millis));
}
