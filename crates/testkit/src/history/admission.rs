//! Check of rate and burst: in no interval may more requests of a workspace be admitted than its rate limit allows.
//!
//! A request was admitted at some time between its sending and its answer. It is counted only in intervals that
//! contain both times, so every reported violation is certain.

use std::{collections::HashMap, time::Duration};

use hibiscusladder_core::name::Workspace;

use super::{
    facts::RateLimit,
    operation::Operation,
    violation::{Rule, Violation},
};

/// Excess that is ignored as a rounding error, in requests.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Checks each workspace that has a rate limit.
pub(super) fn check(
    operations: &[Operation],
    rate_limits: &HashMap<Workspace, RateLimit>,
) -> Vec<Violation> {
    let violations = rate_limits.iter().filter_map(|(workspace, rate_limit)| {
        let spans = operations
            .iter()
            .filter(|operation| operation.workspace == *workspace && operation.is_admitted())
            .filter_map(|operation| {
                Some(Span { sent: operation.sent, answered: operation.answered? })
            });
        let excess = worst_interval(spans.collect(), *rate_limit)?;
        let evidence = format!(
            "workspace {workspace} had {} requests admitted between {:?} and {:?}, where {:.1} are allowed",
            excess.count, excess.from, excess.to, excess.allowed
        );
        Some(Violation::new(Rule::RateAndBurst, evidence))
    });
    violations.collect()
}

/// Interval from the sending of an admitted request to its answer.
struct Span {
    sent: Duration,
    answered: Duration,
}

/// An interval in which too many requests were admitted.
struct Excess {
    from: Duration,
    to: Duration,
    count: usize,
    allowed: f64,
}

/// Returns the interval that exceeds the rate limit most, if any.
fn worst_interval(mut spans: Vec<Span>, rate_limit: RateLimit) -> Option<Excess> {
    spans.sort_by_key(|span| span.answered);
    let ends: Vec<Duration> = spans.iter().map(|span| span.answered).collect();
    // The value at each index of the tree belongs to the interval from `from` below to the answer with that index: the
    // number of requests in the interval less the requests that the rate admits from time 0 to the interval's end.
    let values: Vec<f64> = ends.iter().map(|end| -rate_limit.rate * end.as_secs_f64()).collect();
    let mut tree = MaxTree::new(&values);
    let mut latest_sent_first: Vec<usize> = (0..spans.len()).collect();
    latest_sent_first.sort_by_key(|index| std::cmp::Reverse(spans[*index].sent));
    let mut worst: Option<(f64, Duration, Duration)> = None;
    for index in latest_sent_first {
        let from = spans[index].sent;
        // The request is in every interval that begins at `from` or earlier and ends with its answer or later.
        tree.add_from(index);
        let first_end = ends.partition_point(|end| *end < from);
        let Some((value, at)) = tree.max_from(first_end) else { continue };
        let excess = value + rate_limit.rate * from.as_secs_f64() - rate_limit.burst;
        if excess > ROUNDING_TOLERANCE && worst.is_none_or(|(largest, ..)| excess > largest) {
            worst = Some((excess, from, ends[at]));
        }
    }
    let (_, from, to) = worst?;
    let count = spans.iter().filter(|span| span.sent >= from && span.answered <= to).count();
    let allowed = rate_limit.burst + rate_limit.rate * to.saturating_sub(from).as_secs_f64();
    Some(Excess { from, to, count, allowed })
}

/// A segment tree that adds 1 to all values from an index on, and finds the largest value from an index on.
struct MaxTree {
    len: usize,
    /// Largest value below each node, without the additions to its ancestors, and the index of that value.
    largest: Vec<(f64, usize)>,
    /// Sum of the additions that were made at each node for all values below it.
    added: Vec<f64>,
}

impl MaxTree {
    fn new(values: &[f64]) -> Self {
        let len = values.len().next_power_of_two();
        let mut largest = vec![(f64::NEG_INFINITY, 0); 2 * len];
        for (index, value) in values.iter().enumerate() {
            largest[len + index] = (*value, index);
        }
        let mut tree = Self { len, largest, added: vec![0.0; 2 * len] };
        (1..len).rev().for_each(|node| tree.recompute(node));
        tree
    }

    /// Computes the entry of an inner node from its two children.
    fn recompute(&mut self, node: usize) {
        let (left, right) = (self.largest[2 * node], self.largest[2 * node + 1]);
        let larger = if left.0 >= right.0 { left } else { right };
        self.largest[node] = (larger.0 + self.added[node], larger.1);
    }

    fn add_to_node(&mut self, node: usize) {
        self.largest[node].0 += 1.0;
        self.added[node] += 1.0;
    }

    /// Adds 1 to the values from `index` on.
    fn add_from(&mut self, index: usize) {
        let mut node = self.len + index;
        self.add_to_node(node);
        while node > 1 {
            if node.is_multiple_of(2) {
                self.add_to_node(node + 1);
            }
            node /= 2;
            self.recompute(node);
        }
    }

    /// Returns the largest value from `index` on, and its index; `None` when there is none.
    fn max_from(&self, index: usize) -> Option<(f64, usize)> {
        if index >= self.len {
            return None;
        }
        let mut node = self.len + index;
        let mut best = self.largest[node];
        while node > 1 {
            if node.is_multiple_of(2) && self.largest[node + 1].0 > best.0 {
                best = self.largest[node + 1];
            }
            node /= 2;
            best.0 += self.added[node];
        }
        best.0.is_finite().then_some(best)
    }
}
