//! Order of requests by urgency, rule by rule.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    name::Workspace,
    queue::{FairQueue, NewRequest, OrderedQueue, RefusedReason, Ticket, Urgency, WorkKind},
};
use proptest::prelude::*;

const LIMIT_MS: u64 = 4000;

fn at(ms: u64) -> Instant {
    Instant::new(Duration::from_millis(ms))
}

/// A request of priority `priority` that arrived at `arrived` ms; `target_ms` 0 stands for no target.
fn urgency(priority: u32, target_ms: u64, arrived: u64) -> Urgency {
    Urgency {
        priority,
        kind: WorkKind(priority.into()),
        arrived: at(arrived),
        target: (target_ms > 0).then(|| Duration::from_millis(target_ms)),
        limit: at(arrived + LIMIT_MS),
    }
}

/// Pushes a request that has to start within its limit.
fn push<T>(queue: &mut OrderedQueue<T>, name: &str, urgency: Urgency, item: T, now: u64) {
    let name = Workspace::new(name);
    let new = NewRequest::new(&name, urgency.limit).urgency(urgency);
    assert!(queue.push(new, item, at(now)).is_ok(), "there is room");
}

/// Serves `count` requests of `cost` ms each, one after the other from `now` on; returns their items.
fn serve<T>(queue: &mut OrderedQueue<T>, count: usize, cost: u64, now: &mut u64) -> Vec<T> {
    let mut served = Vec::new();
    while served.len() < count {
        let Some(started) = queue.pop(at(*now)) else { return served };
        *now += cost;
        queue.finish(started.ticket, at(*now));
        served.push(started.item);
    }
    served
}

/// Guards against urgent requests that wait for those before them, and against late ones that make others late.
#[test]
fn pop_serves_by_level_and_time_left() {
    let mut queue = OrderedQueue::new(1);
    push(&mut queue, "w", urgency(1, 2000, 0), "long target", 0);
    push(&mut queue, "w", urgency(1, 800, 0), "short target", 0);
    push(&mut queue, "w", urgency(0, 300, 0), "urgent, late soon", 0);
    push(&mut queue, "v", urgency(2, 2000, 0), "least urgent", 0);
    push(&mut queue, "v", urgency(0, 2000, 0), "urgent", 0);
    let mut now = 400;
    let served = serve(&mut queue, 9, 5, &mut now);
    let expected = ["urgent", "short target", "long target", "least urgent", "urgent, late soon"];
    assert_eq!(served, expected);
}

/// Guards against widely spaced priorities that count as equal.
#[test]
fn pop_tells_widely_spaced_priorities_apart() {
    let mut queue = OrderedQueue::new(1);
    for priority in [u32::MAX, 50, 0, 10, 5, 1] {
        push(&mut queue, "w", urgency(priority, 0, 0), priority, 0);
    }
    let mut now = 0;
    // With 1 ms each, the guaranteed part does not pay for a request.
    assert_eq!(serve(&mut queue, 6, 1, &mut now), [0, 1, 5, 10, 50, u32::MAX]);
}

/// Guards against a caller that was sent away and is served before one that waited: it counts from its new arrival, and one that
/// was sent to another holder from its first.
#[test]
fn pop_serves_by_arrival_at_the_instance_of_the_caller() {
    let mut queue = OrderedQueue::new(1);
    push(&mut queue, "w", urgency(1, 2000, 500), "waited", 500);
    push(&mut queue, "w", urgency(1, 2000, 900), "returned", 900);
    push(&mut queue, "w", urgency(1, 2000, 100), "sent on by a lost holder", 950);
    let mut now = 1000;
    let served = serve(&mut queue, 3, 5, &mut now);
    assert_eq!(served, ["sent on by a lost holder", "waited", "returned"]);
    // Late requests too, also when one of them has less time for this attempt.
    push(&mut queue, "w", urgency(1, 100, 1000), "waited", 1000);
    let name = Workspace::new("w");
    let short = NewRequest::new(&name, at(1540)).urgency(urgency(1, 100, 1300));
    assert!(queue.push(short, "short attempt", at(1500)).is_ok());
    let mut now = 1500;
    assert_eq!(serve(&mut queue, 2, 5, &mut now), ["waited", "short attempt"]);
}

/// Guards against a workspace that takes all slots with urgent requests: beyond its head start it gets its share.
#[test]
fn pop_bounds_the_head_start_of_a_workspace() {
    let mut queue = OrderedQueue::new(1);
    for _ in 0..200 {
        push(&mut queue, "flood", urgency(0, 0, 0), "flood", 0);
    }
    for _ in 0..60 {
        push(&mut queue, "calm", urgency(1, 0, 0), "calm", 0);
    }
    let mut now = 0;
    let served = serve(&mut queue, 145, 10, &mut now);
    let calm = |range: std::ops::Range<usize>| {
        served[range].iter().filter(|item| **item == "calm").count()
    };
    // At first the lower priority gets its guaranteed part only, then the workspace its share.
    assert!((4..=8).contains(&calm(0..30)), "{} of 30", calm(0..30));
    assert!((48..=52).contains(&calm(45..145)), "{} of 100", calm(45..145));
}

/// Guards against a lower priority that starves while higher ones exceed the capacity.
#[test]
fn pop_guarantees_a_part_to_each_priority() {
    let mut queue = OrderedQueue::new(1);
    let mut now = 0;
    let mut used = [0.0; 3];
    while now < 60_000 {
        for priority in 0..3 {
            for name in ["a", "b", "a", "b", "a", "b"] {
                let name = Workspace::new(name);
                let urgency = urgency(priority, 0, now);
                // Some are refused, because there are more than can be served.
                let new = NewRequest::new(&name, urgency.limit).urgency(urgency);
                let _ = queue.push(new, priority, at(now));
            }
        }
        let cost = [4, 15, 40];
        for _ in 0..4 {
            let started = queue.pop(at(now)).expect("requests wait");
            let priority = started.item as usize;
            now += cost[priority];
            used[priority] += cost[priority] as f64;
            queue.finish(started.ticket, at(now));
        }
        queue.take_refused(at(now));
    }
    let parts = used.map(|part| part / now as f64);
    assert!(parts[0] > 0.77 && parts[1] > 0.09 && parts[2] > 0.09, "{parts:?}");
}

/// Guards against a request that waits until its limit although it is known that it will not be served, and against the
/// refusal of urgent ones, or of other workspaces, in its place.
#[test]
fn push_refuses_the_least_urgent_of_the_workspace_with_most_work() {
    let mut queue = OrderedQueue::new(1);
    push(&mut queue, "calm", urgency(1, 0, 0), "calm", 0);
    let mut pushed = 0;
    let name = Workspace::new("flood");
    let refused = loop {
        let new = NewRequest::new(&name, at(LIMIT_MS)).urgency(urgency(1, 0, 0));
        match queue.push(new, "flood", at(0)) {
            Ok(_) => pushed += 1,
            Err(refused) => break refused,
        }
        assert!(pushed < 2000, "none is refused");
    };
    // 4 s of waiting at 5 ms each, in the share of the workspace or before the other one has its turn.
    assert!((780..=820).contains(&pushed), "{pushed}");
    assert_eq!(refused.reason, RefusedReason::TooLate);
    for _ in 0..40 {
        push(&mut queue, "flood", urgency(0, 0, 0), "urgent", 0);
    }
    let displaced = queue.take_refused(at(0));
    assert!((30..=42).contains(&displaced.len()), "{}", displaced.len());
    let is_least_urgent = |item: &str| item == "flood";
    assert!(displaced.iter().all(|refused| is_least_urgent(refused.item)), "{displaced:?}");
    assert!(displaced.iter().all(|refused| refused.reason == RefusedReason::Displaced));
}

/// Guards against late requests that wait until their limit while those on time use the whole capacity.
#[test]
fn late_requests_are_refused_while_others_use_the_capacity() {
    let mut queue = OrderedQueue::new(1);
    let mut refused_after = Vec::new();
    // 10 ms of work arrive each 5 ms.
    for now in (0..20_000).step_by(5) {
        let name = Workspace::new("w");
        let urgency = urgency(1, 500, now);
        let _ = queue.push(NewRequest::new(&name, urgency.limit).urgency(urgency), now, at(now));
        if now % 10 == 0 {
            let started = queue.pop(at(now)).expect("requests wait");
            queue.finish(started.ticket, at(now + 10));
        }
        let refused = queue.take_refused(at(now)).into_iter();
        refused_after.extend(refused.map(|refused| now - refused.item));
    }
    let last = &refused_after[refused_after.len() - 500..];
    let early = last.iter().filter(|after| **after < 600).count();
    assert!(early > 450, "{early} of 500 were refused soon after their target");
}

/// Guards against refusals of all requests after a member stood still once, and against a kind of request whose target cannot
/// be met and which is therefore always the last.
#[test]
fn service_times_of_one_request_change_little() {
    let mut queue = OrderedQueue::new(1);
    push(&mut queue, "w", urgency(1, 100, 0), "hangs", 0);
    let hanging = queue.pop(at(0)).expect("it waits");
    queue.finish(hanging.ticket, at(30_000));
    assert!(queue.service_time(WorkKind(1)) < Duration::from_millis(LIMIT_MS / 4));
    // Its target is shorter than its service time, so it counts as one without target.
    push(&mut queue, "w", urgency(1, 10, 30_000), "short target", 30_000);
    push(&mut queue, "w", urgency(2, 3000, 30_000), "lower priority", 30_000);
    let mut now = 30_200;
    assert_eq!(serve(&mut queue, 2, 5, &mut now), ["short target", "lower priority"]);
}

/// Guards against callers that have left and still count as waiting work.
#[test]
fn cancel_removes_a_request() {
    let mut queue = OrderedQueue::new(1);
    let name = Workspace::new("w");
    let new = NewRequest::new(&name, at(3000)).urgency(urgency(0, 500, 0));
    let first = queue.push(new, "first", at(0)).expect("there is room");
    push(&mut queue, "w", urgency(0, 500, 0), "second", 0);
    let before = queue.clearing_time(0, at(0));
    queue.cancel(first);
    queue.cancel(first);
    assert_eq!(queue.clearing_time(0, at(0)) * 2, before);
    let mut now = 0;
    assert_eq!(serve(&mut queue, 2, 5, &mut now), ["second"]);
    assert!(queue.is_empty() && queue.next_expiry().is_none());
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Push { workspace: usize, weight: u32, left_ms: u64 },
    Pop { preferred: usize },
    Finish { index: usize },
    Advance { ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let push = (0..4_usize, 1..3_u32, 0..3000_u64)
        .prop_map(|(workspace, weight, left_ms)| Step::Push { workspace, weight, left_ms });
    let pop = (0..4_usize).prop_map(|preferred| Step::Pop { preferred });
    let finish = (0..4_usize).prop_map(|index| Step::Finish { index });
    let advance = (1..60_u64).prop_map(|ms| Step::Advance { ms });
    prop::collection::vec(prop_oneof![4 => push, 3 => pop, 3 => finish, 3 => advance], 1..200)
}

proptest! {
    /// Guards against a change for requests without priority and target: order, refusals and expiry are those of
    /// `FairQueue`.
    #[test]
    fn plain_requests_keep_the_order_of_the_fair_queue(steps in steps(), slots in 1..4_u32) {
        const SLACK: Duration = Duration::from_millis(120);
        let names = ["a", "b", "c", "d"].map(Workspace::new);
        let mut fair = FairQueue::new(slots);
        let mut ordered = OrderedQueue::new(slots);
        let mut running: Vec<(Ticket, Ticket)> = Vec::new();
        let mut now = 0;
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { workspace, weight, left_ms } => {
                    let name = &names[workspace];
                    // The longest wait of the fair queue is 2 s.
                    let start_by = at(now + left_ms.min(2000));
                    let new = NewRequest::new(name, start_by).contract(weight.into(), 0);
                    let expected = fair.push(name, weight, number, at(now + left_ms), at(now));
                    let pushed = ordered.push(new, number, at(now));
                    prop_assert_eq!(pushed.is_ok(), expected.is_ok());
                }
                Step::Pop { preferred } => {
                    let is_preferred = |name: &Workspace| *name == names[preferred];
                    let first = fair.pop_preferring(at(now), SLACK, is_preferred);
                    let second = ordered.pop_preferring(at(now), SLACK, is_preferred);
                    let items = (first.as_ref().map(|s| s.item), second.as_ref().map(|s| s.item));
                    prop_assert_eq!(items.0, items.1);
                    running.extend(first.zip(second).map(|(a, b)| (a.ticket, b.ticket)));
                }
                Step::Finish { index } if index < running.len() => {
                    let (first, second) = running.swap_remove(index);
                    fair.finish(first, at(now));
                    ordered.finish(second, at(now));
                }
                Step::Finish { .. } => {}
                Step::Advance { ms } => now += ms,
            }
            let mut expired = fair.take_expired(at(now));
            let mut refused: Vec<usize> =
                ordered.take_refused(at(now)).into_iter().map(|refused| refused.item).collect();
            expired.sort_unstable();
            refused.sort_unstable();
            prop_assert_eq!(expired, refused);
            prop_assert_eq!((fair.len(), fair.in_service()), (ordered.len(), ordered.in_service()));
        }
    }
}
