//! Random interleavings of the share protocol against the bound `admitted <= rate * t + burst` in every interval.
//!
//! The cases come from a fixed seed, which is printed, so the verdict is the same in every run.

#[path = "share_simulation/bound.rs"]
mod bound;
#[path = "share_simulation/world.rs"]
mod world;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use world::{Fault, Op, Rules, World};

const SEED: [u8; 32] = *b"hibiscusladder share simulation.";

fn event() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0_usize..5, 100_u64..6_000).prop_map(|(member, ms)| Op::Pause { member, ms }),
        2 => (0_usize..5, 100_u64..6_000, any::<bool>())
            .prop_map(|(member, ms, all)| Op::Isolate { member, ms, all }),
        2 => (0_usize..5).prop_map(|member| Op::TakeOver { member }),
        2 => (0_usize..5).prop_map(|member| Op::HandOver { member }),
        2 => (0_usize..2, 1_u8..8).prop_map(|(database, members)| Op::Promote { database, members }),
        1 => (0_u32..4, 0_u32..4).prop_map(|(rate, burst)| Op::Limits { rate, burst }),
        1 => (0_usize..3).prop_map(|database_set| Op::DivideAmong { database_set }),
    ]
}

fn demand() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0_u32..3).prop_map(|level| Op::DemandAll { level }),
        (0_usize..5, 0_u32..3).prop_map(|(member, level)| Op::Demand { member, level }),
    ]
}

/// Idle homes refill, one of them may borrow, then events occur and all homes are flooded. Since no part of the
/// contract stays unused then, the check detects even a few requests too many.
fn surge() -> impl Strategy<Value = Vec<(u64, Op)>> {
    let borrower = (0_usize..5, prop_oneof![Just(0_u32), Just(2)]);
    let events = prop::collection::vec((0_u64..1_200, event()), 1..3);
    (borrower, events, 0_u64..200, 500_u64..3_000).prop_map(|(borrower, events, pause, flood)| {
        let (member, level) = borrower;
        let mut ops = vec![(0, Op::DemandAll { level: 0 }), (3_000, Op::Demand { member, level })];
        ops.extend(events);
        ops.push((pause, Op::DemandAll { level: 2 }));
        ops.push((flood, Op::DemandAll { level: 2 }));
        ops
    })
}

fn ops() -> impl Strategy<Value = Vec<(u64, Op)>> {
    let op = prop_oneof![event(), demand()];
    let single = (0_u64..1_500, op).prop_map(|op| vec![op]);
    let parts = prop::collection::vec(prop_oneof![2 => single, 1 => surge()], 1..30);
    parts.prop_map(|parts| parts.concat())
}

/// Runs all cases and returns the totals, or the shortest failing case.
fn run(cases: u32, rules: Rules) -> Result<world::Totals, String> {
    println!("seed: {}", String::from_utf8_lossy(&SEED));
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 20, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let totals = std::cell::RefCell::new(world::Totals::default());
    let outcome = runner.run(&(any::<u64>(), ops()), |(seed, ops)| {
        let mut world = World::new(seed, rules);
        let checked = world.run(&ops);
        totals.borrow_mut().add(&world.totals);
        checked.map_err(TestCaseError::fail)
    });
    outcome.map_err(|error| error.to_string()).map(|()| totals.into_inner())
}

/// Guards against any interleaving of message loss, pauses, restarts, promotions and contract changes in which more
/// requests of a workspace are admitted than its contract allows (I7).
#[test]
fn share_protocol_stays_within_the_contract() {
    let totals = run(192, Rules::default()).unwrap_or_else(|error| panic!("{error}"));
    println!("{totals:?}");
    // With fewer of these events the cases would not exercise the protocol.
    assert!(totals.admitted > 100_000.0, "{totals:?}");
    assert!(totals.loans > 5_000 && totals.promotions > 100, "{totals:?}");
    assert!(totals.take_overs > 100 && totals.hand_overs > 100, "{totals:?}");
}

/// Guards against a simulation that detects no violation: without one of the rules, the same cases have to fail.
#[test_case::test_case(Fault::NoPromotionWait; "promotion does not wait for the gates")]
#[test_case::test_case(Fault::NoLeaseWait; "successor does not wait for the old lease")]
#[test_case::test_case(Fault::LateAccept; "borrower counts a loan from its arrival")]
#[test_case::test_case(Fault::DoubleAccept; "borrower takes an answer twice")]
#[test_case::test_case(Fault::NoDivisionGrace; "a new division counts at once")]
#[test_case::test_case(Fault::StaleConfig; "a home serves with a configuration of any age")]
fn share_protocol_fails_without(fault: Fault) {
    let outcome = run(192, Rules { fault: Some(fault) });
    let error = outcome.expect_err("the bound held without the rule");
    assert!(error.contains("past the contract"), "{error}");
}
