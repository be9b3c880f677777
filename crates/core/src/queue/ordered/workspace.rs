//! Waiting requests and virtual time of one workspace.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use super::{
    backlog::{Backlog, Usage},
    urgency::{Level, Stream},
};
use crate::{clock::Instant, queue::flow::COST_WEIGHT};

/// A virtual time, in seconds of slot time per unit of weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Tag(pub(super) f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Place of a request in its line: the time that runs out first goes first, then the order of arrival in the queue.
pub(super) type Place = (Instant, u64);

/// Waiting requests of one workspace in one level.
#[derive(Debug, Default)]
pub(super) struct Line {
    pub(super) places: BTreeSet<Place>,
    /// Keys of the line in the index: of its next and of its last request.
    pub(super) indexed: Option<(Tag, Tag)>,
}

#[derive(Debug)]
pub(super) struct Flow {
    pub(super) lines: BTreeMap<Level, Line>,
    pub(super) backlog: Backlog,
    pub(super) usage: Usage,
    pub(super) weight: f64,
    /// Delay of the workspace against those of the highest priority, in virtual time.
    pub(super) offset: f64,
    /// Virtual time at which the next request starts.
    pub(super) tag: f64,
    /// Moving average of the cost of the requests without a kind of work, in seconds.
    pub(super) mean_cost: f64,
    /// Number of waiting requests without a kind of work.
    pub(super) plain: usize,
    /// Work of the other waiting requests, in seconds.
    pub(super) known_cost: f64,
    pub(super) running: u32,
}

impl Flow {
    pub(super) fn new(tag: f64, mean_cost: f64) -> Self {
        Self {
            lines: BTreeMap::new(),
            backlog: Backlog::default(),
            usage: Usage::default(),
            weight: 1.0,
            offset: 0.0,
            tag,
            mean_cost,
            plain: 0,
            known_cost: 0.0,
            running: 0,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.lines.is_empty()
    }

    pub(super) fn is_active(&self) -> bool {
        self.is_waiting() || self.running > 0
    }

    /// Weight of the workspace if it takes part in the division of the slots now.
    pub(super) fn active_weight(&self) -> f64 {
        if self.is_active() { self.weight } else { 0.0 }
    }

    /// Slot time that the waiting requests need, in seconds.
    pub(super) fn waiting_cost(&self) -> f64 {
        let plain = u32::try_from(self.plain).map_or(f64::MAX, f64::from);
        plain * self.mean_cost + self.known_cost
    }

    /// Virtual time that orders the workspace in the index.
    pub(super) fn key(&self) -> Tag {
        Tag(self.tag + self.offset)
    }

    /// Virtual time at which the last request of a level is expected to end.
    pub(super) fn end(&self, level: Level) -> Tag {
        Tag(self.key().0 + self.backlog.up_to(level) / self.weight)
    }

    pub(super) fn add(&mut self, stream: Stream, place: Place, cost_s: f64, is_plain: bool) {
        self.lines.entry(stream.level).or_default().places.insert(place);
        self.backlog.add(stream, cost_s);
        if is_plain {
            self.plain += 1;
        } else {
            self.known_cost += cost_s;
        }
    }

    pub(super) fn remove(&mut self, stream: Stream, place: Place, cost_s: f64, is_plain: bool) {
        if let Some(line) = self.lines.get_mut(&stream.level) {
            line.places.remove(&place);
            if line.places.is_empty() {
                self.lines.remove(&stream.level);
            }
        }
        self.backlog.remove(stream, cost_s);
        if is_plain {
            self.plain -= 1;
        } else {
            self.known_cost = (self.known_cost - cost_s).max(0.0);
        }
    }

    /// Charges the expected cost of a request that starts.
    pub(super) fn start(&mut self, cost_s: f64) {
        self.tag += cost_s / self.weight;
        self.running += 1;
    }

    /// Corrects the charge of a request that was charged `charged` seconds so far.
    pub(super) fn finish(&mut self, charged: f64, used_s: f64, is_plain: bool) {
        self.tag += (used_s - charged) / self.weight;
        if is_plain {
            self.mean_cost += COST_WEIGHT * (used_s - self.mean_cost);
        }
        self.running -= 1;
    }
}
