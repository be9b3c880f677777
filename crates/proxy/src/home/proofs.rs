//! Proofs of the age of a member's data.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use hibiscusladder_core::{clock::Instant, position::Position, witness::PositionProof};

use crate::node::{Group, Node, lock};

/// Proofs that are kept; 256 cover 64 s of polls.
const MAX_PROOFS: usize = 256;

/// Positions that the primary had at known times, oldest first.
///
/// Data that includes such a position is at least as fresh as the time.
#[derive(Debug, Default)]
pub(super) struct Proofs {
    proofs: Mutex<VecDeque<PositionProof>>,
}

impl Proofs {
    /// Collects proofs from the reports of `group` for as long as the result is used.
    pub(super) fn track(node: &Arc<Node>, group: &Arc<Group>) -> Arc<Self> {
        let proofs = Arc::new(Self::default());
        let (kept, node, group) = (Arc::downgrade(&proofs), Arc::clone(node), Arc::clone(group));
        smol::spawn(async move {
            loop {
                let changed = group.changed();
                let Some(proofs) = kept.upgrade() else { return };
                proofs.collect(&node, &group);
                drop(proofs);
                changed.await;
            }
        })
        .detach();
        proofs
    }

    /// Age that data at `position` certainly does not exceed at `now`.
    pub(super) fn age(&self, position: Position, now: Instant) -> Option<Duration> {
        let proofs = lock(&self.proofs);
        let proof = proofs.iter().rev().find(|proof| proof.position <= position)?;
        Some(now.since(proof.sent))
    }

    fn collect(&self, node: &Node, group: &Group) {
        let view = group.view();
        let Some(primary) = &view.primary else { return };
        let Some(report) = view.reports.get(primary) else { return };
        let confirmed = report.promoted_term == Some(view.term)
            && report.term == view.term
            && view.gate_open(view.term, node.now());
        if !confirmed {
            return;
        }
        let mut proofs = lock(&self.proofs);
        if proofs.back().is_some_and(|last| last.sent >= report.sent) {
            return;
        }
        if proofs.len() == MAX_PROOFS {
            proofs.pop_front();
        }
        proofs.push_back(PositionProof { sent: report.sent, position: report.position });
    }
}
