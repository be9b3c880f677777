//! The history checker: each violation must be found, and a correct history must pass.

use std::time::Duration;

use hibiscusladder_core::position::{Lsn, Position, Term};
use hibiscusladder_testkit::history::{Facts, History, Operation, Outcome, Rule};
use proptest::prelude::*;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn position(term: u64, lsn: u64) -> Position {
    Position::new(Term(term), Lsn(lsn))
}

fn write(session: &str, value: &str, sent: u64) -> Operation {
    Operation::write(session, "andes", "goals", value, ms(sent))
}

fn read(session: &str, sent: u64, values: &[&str]) -> Operation {
    let read = Operation::read(session, "andes", "goals", ms(sent));
    read.answered(ms(sent + 2), Outcome::Done).values(values)
}

fn violated_rules(operations: Vec<Operation>, facts: &Facts) -> Vec<Rule> {
    let history = History::default();
    operations.into_iter().for_each(|operation| history.record(operation));
    history.check(facts).iter().map(|violation| violation.rule).collect()
}

fn facts() -> Facts {
    Facts::default().rate_limit("andes", 10.0, 5.0).term_change(2, ms(5_000))
}

/// Guards against violations that are reported for a correct history.
#[test]
fn correct_history_passes() {
    let lost = Outcome::WriteLost { term_start: position(2, 7) };
    let operations = vec![
        write("s1", "w1", 0)
            .answered(ms(3), Outcome::Done)
            .at_position(position(1, 1))
            .marks("m1", "m1"),
        read("s1", 5, &["w1"]),
        // Other sessions and stale reads need not return the write.
        read("s2", 5, &[]),
        read("s1", 6, &[]).stale(),
        write("s2", "w2", 10).answered(ms(20), Outcome::NotRun),
        write("s2", "w3", 30),
        write("s3", "w4", 4_900).answered(ms(5_010), Outcome::Done).at_position(position(1, 8)),
        Operation::read("s3", "andes", "goals", ms(5_500)).answered(ms(5_501), lost),
        read("s3", 5_600, &["w1"]),
        write("s3", "w5", 6_000).answered(ms(6_005), Outcome::Done).at_position(position(2, 9)),
    ];
    let facts = facts().final_values("goals", &["w1", "w3", "w5"]);
    assert_eq!(violated_rules(operations, &facts), []);
}

/// Guards against a checker that misses a violation.
#[test_case(
    vec![write("s", "w", 0).answered(ms(3), Outcome::Done), read("s", 5, &[])],
    Facts::default() => vec![Rule::ReadYourWrites]; "own write not read")]
#[test_case(
    vec![
        write("s", "w", 0).answered(ms(3), Outcome::Done).at_position(position(1, 4)),
        Operation::read("s", "andes", "goals", ms(5)).answered(
            ms(6), Outcome::WriteLost { term_start: position(2, 4) }),
        read("s", 7, &[]),
    ],
    Facts::default() => vec![Rule::ReadYourWrites]; "report of another loss does not cover the write")]
#[test_case(
    vec![write("s", "w", 0).answered(ms(3), Outcome::Done)],
    Facts::default().final_values("goals", &[]) => vec![Rule::NoLostWrite]; "lost write")]
#[test_case(
    vec![write("s", "w", 0)],
    Facts::default().final_values("goals", &["w", "w"]) => vec![Rule::NoDoubledWrite]; "doubled write")]
#[test_case(
    vec![write("s", "w", 0).answered(ms(3), Outcome::NotRun)],
    Facts::default().final_values("goals", &["w"]) => vec![Rule::NotRunIsTrue]; "ran in spite of not run")]
#[test_case(
    vec![write("s", "w", 5_001).answered(ms(5_004), Outcome::Done).at_position(position(1, 9))],
    facts() => vec![Rule::NoReplacedTerm]; "write sent to a replaced primary")]
#[test_case(
    vec![write("s", "w", 4_000).answered(ms(7_000), Outcome::Done).at_position(position(1, 9))],
    facts() => vec![Rule::NoReplacedTerm]; "answer of a primary that was suspended")]
#[test_case(
    (0..17).map(|index| read("s", 1_000 + index * 58, &[])).collect(),
    facts() => vec![Rule::RateAndBurst]; "17 requests in 930 ms where 14 are allowed")]
#[test_case(
    vec![read("s", 0, &[]).marks("m1", "m2")],
    Facts::default() => vec![Rule::NoCrossedAnswer]; "answer to another request")]
fn broken_history_is_found(operations: Vec<Operation>, facts: Facts) -> Vec<Rule> {
    violated_rules(operations, &facts)
}

/// Whether any interval has too many requests, found by trying every pair of a start and an end.
fn exceeds_limit(spans: &[(u64, u64)], rate: f64, burst: f64) -> bool {
    let count = |from: u64, to: u64| {
        spans.iter().filter(|(sent, latency)| *sent >= from && sent + latency <= to).count()
    };
    spans.iter().any(|(from, _)| {
        spans.iter().map(|(sent, latency)| sent + latency).filter(|to| to >= from).any(|to| {
            let allowed = rate * ms(to - from).as_secs_f64() + burst;
            count(*from, to) as f64 > allowed + 1e-6
        })
    })
}

proptest! {
    /// The search with a segment tree must agree with a check of all intervals.
    #[test]
    fn admission_agrees_with_all_intervals(
        spans in prop::collection::vec((0u64..2_000, 0u64..300), 0..40),
        rate in 1.0f64..20.0,
        burst in 1.0f64..10.0,
    ) {
        let operations: Vec<_> = spans.iter().map(|(sent, latency)| {
            let read = Operation::read("s", "andes", "goals", ms(*sent));
            read.answered(ms(sent + latency), Outcome::Done)
        }).collect();
        let facts = Facts::default().rate_limit("andes", rate, burst);
        prop_assert_eq!(!violated_rules(operations, &facts).is_empty(), exceeds_limit(&spans, rate, burst));
    }
}
