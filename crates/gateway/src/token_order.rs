//! Operations of one workspace that wait for tokens, in the order in which they take them.

use std::{collections::BTreeMap, rc::Rc};

use event_listener::Event as Notify;
use hibiscusladder_core::clock::Instant;

/// Place of an operation: by priority, by the time at which its target passes, and by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenPlace {
    priority: u32,
    target: Instant,
    number: u64,
}

/// Operations that wait for tokens of one workspace.
#[derive(Debug, Default)]
pub struct TokenOrder {
    places: BTreeMap<TokenPlace, Rc<Notify>>,
    last_number: u64,
}

impl TokenOrder {
    /// Gives an operation a place. The returned value is notified when it becomes the first.
    pub fn enter(&mut self, priority: u32, target: Instant) -> (TokenPlace, Rc<Notify>) {
        self.last_number += 1;
        let place = TokenPlace { priority, target, number: self.last_number };
        let first = self.places.entry(place).or_default().clone();
        (place, first)
    }

    /// Frees a place, and notifies the operation that is the first now.
    pub fn leave(&mut self, place: &TokenPlace) {
        self.places.remove(place);
        if let Some((_, first)) = self.places.first_key_value() {
            first.notify(usize::MAX);
        }
    }

    /// Whether a waiting operation may take one of `tokens` now.
    pub fn is_in_turn(&self, place: &TokenPlace, tokens: f64) -> bool {
        self.is_first(place) || self.suffices_for_all(tokens)
    }

    /// Whether an operation that has just arrived may take one of `tokens`: nobody waits that is as urgent, or there are enough
    /// for all.
    pub fn may_pass(&self, priority: u32, target: Instant, tokens: f64) -> bool {
        let place = TokenPlace { priority, target, number: u64::MAX };
        self.places.first_key_value().is_none_or(|(first, _)| place < *first)
            || self.suffices_for_all(tokens)
    }

    fn is_first(&self, place: &TokenPlace) -> bool {
        self.places.first_key_value().is_none_or(|(first, _)| first == place)
    }

    fn suffices_for_all(&self, tokens: f64) -> bool {
        tokens >= self.places.len() as f64 + 1.0
    }
}
