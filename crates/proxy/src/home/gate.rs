//! Release of answers while the term of the primary is confirmed.

use std::time::Duration;

use hibiscusladder_core::{
    clock::Instant,
    outcome::{Refusal, RefusalKind},
    position::Term,
};
use smol::{Timer, future::FutureExt};

use crate::node::{Group, Node};

/// Waits until `condition` holds, checked after each change of the group and when the time has passed.
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

/// Waits until an answer under `term` may be released.
///
/// # Errors
///
/// Returns "outcome unknown" when the gate stays closed for `wait`.
pub(super) async fn open(
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
