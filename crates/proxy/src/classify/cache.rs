//! Bounded cache of classified texts.

use std::{
    collections::HashMap,
    mem,
    sync::{Arc, Mutex, PoisonError},
};

use super::{Classification, classify};

/// Texts in each of the two generations of the cache.
const GENERATION_TEXTS: usize = 2048;
/// Longer texts are classified each time, so the cache holds at most 16 MiB of text.
const MAX_TEXT_BYTES: usize = 4096;

/// Classifies statements and remembers the results of recent texts.
#[derive(Debug, Default)]
pub struct Classifier {
    generations: Mutex<Generations>,
}

/// Two generations: when the new one is full it replaces the old one.
#[derive(Debug, Default)]
struct Generations {
    new: HashMap<Box<str>, Arc<Classification>>,
    old: HashMap<Box<str>, Arc<Classification>>,
}

impl Classifier {
    /// What `text` does.
    pub fn classify(&self, text: &str) -> Arc<Classification> {
        if let Some(cached) = self.lookup(text) {
            return cached;
        }
        let classified = Arc::new(classify(text));
        if text.len() <= MAX_TEXT_BYTES {
            self.insert(text, Arc::clone(&classified));
        }
        classified
    }

    /// Number of texts that are kept.
    pub fn size(&self) -> usize {
        let generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        generations.new.len() + generations.old.len()
    }

    fn lookup(&self, text: &str) -> Option<Arc<Classification>> {
        let mut generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = generations.new.get(text) {
            return Some(Arc::clone(cached));
        }
        let cached = generations.old.remove(text)?;
        generations.insert(text, Arc::clone(&cached));
        Some(cached)
    }

    fn insert(&self, text: &str, classified: Arc<Classification>) {
        let mut generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        generations.insert(text, classified);
    }
}

impl Generations {
    fn insert(&mut self, text: &str, classified: Arc<Classification>) {
        if self.new.len() >= GENERATION_TEXTS {
            self.old = mem::take(&mut self.new);
        }
        self.new.insert(text.into(), classified);
    }
}
