//! Fair queueing of requests for slots.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::Workspace,
    queue::{FairQueue, RejectReason, Ticket},
};
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

const NO_DEADLINE: Instant = Instant::new(Duration::from_secs(1_000_000));

/// Runs one slot for `ms` while every workspace always has a waiting request; returns the slot time of each workspace
/// in milliseconds. A flow is the name of a workspace, its weight and the cost of each of its requests in milliseconds.
fn serve(flows: &[(&str, u32, u64)], ms: u64) -> Vec<u64> {
    let mut queue = FairQueue::new(1).max_wait(Duration::from_secs(100_000));
    let mut used = vec![0; flows.len()];
    let push = |queue: &mut FairQueue<usize>, index: usize, now| {
        let (name, weight, _) = flows[index];
        queue.push(&Workspace::new(name), weight, index, NO_DEADLINE, now).expect("no deadline");
    };
    for index in 0..flows.len() {
        push(&mut queue, index, at(0));
        push(&mut queue, index, at(0));
    }
    let mut now = 0;
    while now < ms {
        let started = queue.pop(at(now)).expect("requests wait");
        push(&mut queue, started.item, at(now));
        now += flows[started.item].2;
        used[started.item] += flows[started.item].2;
        queue.finish(started.ticket, at(now));
    }
    used
}

/// Guards against shares by request count, where long statements take most of the slot, and against ignored weights.
#[test_case(&[("short", 1, 5), ("long", 1, 200)], &[0.5, 0.5]; "long statements")]
#[test_case(&[("one", 1, 20), ("three", 3, 20)], &[0.25, 0.75]; "weights")]
#[test_case(&[("a", 1, 5), ("b", 2, 90), ("c", 1, 30)], &[0.25, 0.5, 0.25]; "both")]
fn pop_divides_slot_time(flows: &[(&str, u32, u64)], shares: &[f64]) {
    let used = serve(flows, 60_000);
    let total: u64 = used.iter().sum();
    for (used, share) in used.iter().zip(shares) {
        let got = *used as f64 / total as f64;
        assert!((got - share).abs() < 0.01, "{got} in place of {share}");
    }
}

/// Guards against a workspace that accumulates credit while it is idle and then occupies the slot alone.
#[test]
fn pop_gives_no_credit_for_idle_time() {
    let mut queue = FairQueue::new(1).max_wait(Duration::from_secs(1_000));
    let (busy, idle) = (Workspace::new("busy"), Workspace::new("idle"));
    let mut now = 0;
    queue.push(&idle, 1, "idle", NO_DEADLINE, at(now)).expect("before the deadline");
    for _ in 0..200 {
        queue.push(&busy, 1, "busy", NO_DEADLINE, at(now)).expect("before the deadline");
        let started = queue.pop(at(now)).expect("a request waits");
        now += 20;
        queue.finish(started.ticket, at(now));
    }
    for _ in 0..20 {
        queue.push(&idle, 1, "idle", NO_DEADLINE, at(now)).expect("before the deadline");
        queue.push(&busy, 1, "busy", NO_DEADLINE, at(now)).expect("before the deadline");
    }
    let mut served = Vec::new();
    for _ in 0..10 {
        let started = queue.pop(at(now)).expect("a request waits");
        now += 20;
        queue.finish(started.ticket, at(now));
        served.push(started.item);
    }
    let idle_served = served.iter().filter(|item| **item == "idle").count();
    assert!((4..=6).contains(&idle_served), "{served:?}");
}

/// Guards against a second slot for a workspace whose statement already runs far longer than usual.
#[test]
fn pop_charges_running_statements() {
    let mut queue = FairQueue::new(2);
    let (long, other) = (Workspace::new("long"), Workspace::new("other"));
    queue.push(&long, 1, "long", NO_DEADLINE, at(0)).expect("before the deadline");
    queue.pop(at(0)).expect("a request waits");
    queue.push(&other, 1, "other", NO_DEADLINE, at(0)).expect("before the deadline");
    let short = queue.pop(at(0)).expect("a request waits");
    queue.push(&long, 1, "long again", NO_DEADLINE, at(100)).expect("before the deadline");
    queue.push(&other, 1, "other again", NO_DEADLINE, at(100)).expect("before the deadline");
    queue.finish(short.ticket, at(100));
    queue.push(&other, 1, "other once more", NO_DEADLINE, at(900)).expect("before the deadline");
    assert_eq!(queue.pop(at(900)).expect("a request waits").item, "other again");
}

/// Guards against queueing requests that cannot be served in time.
#[test]
fn push_rejects_early() {
    let mut queue = FairQueue::new(1).max_wait(Duration::from_millis(100));
    let w = Workspace::new("w");
    queue.push(&w, 1, 0, NO_DEADLINE, at(0)).expect("before the deadline");
    let started = queue.pop(at(0)).expect("a request waits");
    // The assumed cost of a first request is 5 ms.
    queue.push(&w, 1, 1, NO_DEADLINE, at(0)).expect("before the deadline");
    let near = queue.push(&w, 1, 98, at(4), at(0)).expect_err("the deadline is too near");
    assert_eq!(near.reason, RejectReason::DeadlineTooNear);
    let queued =
        (2..100).take_while(|item| queue.push(&w, 1, *item, NO_DEADLINE, at(0)).is_ok()).count();
    assert_eq!(queued, 20);
    let rejected = queue.push(&w, 1, 99, NO_DEADLINE, at(0)).expect_err("the queue is full");
    assert_eq!((rejected.item, rejected.reason), (99, RejectReason::QueueFull));
    assert_eq!(rejected.retry_after, Duration::from_millis(5));
    // A workspace without a backlog is not delayed by one that floods.
    queue.push(&Workspace::new("v"), 1, 97, at(50), at(0)).expect("before the deadline");
    queue.finish(started.ticket, at(5));
    assert_eq!(queue.pop(at(5)).expect("a request waits").item, 97);
}

/// Guards against running a request after its caller received a refusal that says "not run".
#[test]
fn take_expired_removes_for_good() {
    let mut queue = FairQueue::new(1).max_wait(Duration::from_millis(200));
    let w = Workspace::new("w");
    queue.push(&w, 1, "near", at(50), at(0)).expect("before the deadline");
    queue.push(&w, 1, "bounded", NO_DEADLINE, at(0)).expect("before the deadline");
    assert_eq!(queue.next_expiry(), Some(at(50)));
    assert_eq!(queue.take_expired(at(50)), ["near"]);
    assert!(queue.pop(at(200)).is_none());
    assert_eq!(queue.take_expired(at(200)), ["bounded"]);
    assert!(queue.is_empty());
}

/// Guards against a slot that is freed twice or more slots in use than there are.
#[test]
fn finish_frees_one_slot_once() {
    let mut queue = FairQueue::new(2);
    for item in 0..5 {
        queue.push(&Workspace::new("w"), 1, item, NO_DEADLINE, at(0)).expect("before the deadline");
    }
    let tickets: Vec<Ticket> =
        (0..2).map(|_| queue.pop(at(0)).expect("a request waits").ticket).collect();
    assert!(queue.pop(at(0)).is_none());
    queue.finish(tickets[0], at(1));
    queue.finish(tickets[0], at(1));
    assert!(queue.pop(at(1)).is_some());
    assert!(queue.pop(at(1)).is_none());
    assert_eq!(queue.in_service(), 2);
}

/// Guards against a slot for a workspace without a connection while one with a connection waits, and against a
/// workspace that waits forever behind those with connections.
#[test]
fn pop_preferring_is_bounded_by_its_slack() {
    const COST_MS: u64 = 10;
    let mut queue = FairQueue::new(1).max_wait(Duration::from_secs(1000));
    let (near, far) = (Workspace::new("near"), Workspace::new("far"));
    for _ in 0..40 {
        queue.push(&far, 1, "far", NO_DEADLINE, at(0)).expect("no deadline");
        queue.push(&near, 1, "near", NO_DEADLINE, at(0)).expect("no deadline");
    }
    let slack = Duration::from_millis(100);
    let order: Vec<&str> = (0..60)
        .map(|turn| {
            let now = at(turn * COST_MS);
            let started = queue.pop_preferring(now, slack, |workspace| *workspace == near);
            let started = started.expect("requests wait");
            queue.finish(started.ticket, at((turn + 1) * COST_MS));
            started.item
        })
        .collect();
    assert!(order[..8].iter().all(|item| *item == "near"), "{order:?}");
    let skipped = order.iter().position(|item| *item == "far").expect("it is served");
    assert!(skipped <= 12, "skipped for {skipped} slots of 10 ms");
}
