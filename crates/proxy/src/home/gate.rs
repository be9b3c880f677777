//! Waiting for the gate of a term, which is open while a majority of the members confirms the term.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    outcome::{Refusal, RefusalKind},
    position::Term,
};
use smol::{Timer, future::FutureExt};

use crate::node::{Group, Node};

/// Waits until `condition` holds, which is checked after each change of the group and at `until`; false when it does
/// not hold at `until`.
pub(super) async fn wait_for<F>(node: &Node, group: &Group, until: Instant, condition: F) -> bool
where
    F: Fn() -> bool,
{
    loop {
        let changed = group.changed();
        if condition() {
            return true;
        }
        let left = until.since(node.now());
        if left.is_zero() {
            return false;
        }
        let timer = async {
            Timer::after(left).await;
        };
        changed.or(timer).await;
    }
}

/// Waits until the gate of `term` is open, so that an answer under the term may be released.
///
/// # Errors
///
/// Returns "outcome unknown" when the gate stays closed for `wait`.
pub(super) async fn wait_open(
    node: &Node,
    group: &Group,
    term: Term,
    wait: Duration,
) -> Result<(), Refusal> {
    let until = node.now().plus(wait);
    if wait_for(node, group, until, || group.gate_open(term, node.now())).await {
        return Ok(());
    }
    node.metrics().count("home.gate_closed");
    Err(Refusal::unknown(RefusalKind::TermUnconfirmed).detail(format!("term {term}")))
}
