//! Conditions under which a promotion may change the record of its database.

use hibiscusladder_core::{database::DatabaseRecord, position::Term};
use hibiscusladder_proxy::control::{may_claim, may_publish};
use test_case::test_case;

fn record(term: u64, primary: Option<&str>, claimant: Option<&str>) -> DatabaseRecord {
    DatabaseRecord {
        name: "d".into(),
        members: Vec::new(),
        term: Term(term),
        primary: primary.map(Into::into),
        claimant: claimant.map(Into::into),
        term_start: None,
        term_members: Vec::new(),
    }
}

/// Guards against a claim that replaces the claim of another instance: both would raise members for the same term.
#[test_case(1, Some("m1"), None, true; "lower term")]
#[test_case(2, None, Some("i1.7"), true; "own claim whose answer was lost")]
#[test_case(2, None, Some("i2.7"), false; "claim of another instance")]
#[test_case(2, None, Some("i1.6"), false; "claim of an earlier process of the instance")]
#[test_case(2, Some("m1"), Some("i1.7"), false; "term with a primary")]
#[test_case(3, None, Some("i1.7"), false; "higher term")]
fn claim_depends_on_term_and_claimant(
    term: u64,
    primary: Option<&str>,
    claimant: Option<&str>,
    allowed: bool,
) {
    let record = record(term, primary, claimant);
    assert_eq!(may_claim(&record, Term(2), &"i1.7".into()), allowed);
}

/// Guards against a published primary that replaces another one in the record: the term would have two primaries.
#[test_case(1, Some("m1"), true; "lower term")]
#[test_case(2, None, true; "claimed term")]
#[test_case(2, Some("m1"), false; "term with a primary")]
#[test_case(3, None, false; "higher term")]
fn publication_depends_on_term_and_primary(term: u64, primary: Option<&str>, allowed: bool) {
    assert_eq!(may_publish(&record(term, primary, Some("i2.7")), Term(2)), allowed);
}
