//! Bounded cache of statement classifications.

use std::{
    collections::HashMap,
    mem,
    sync::{Arc, Mutex, PoisonError},
};

use super::{Classification, classify};

/// Largest number of texts in each of the two generations of the cache.
const GENERATION_TEXTS: usize = 2048;
/// Longest text that is cached, in bytes, which limits the cache to 16 MiB of text. Longer ones are classified each
/// time.
const MAX_TEXT_BYTES: usize = 4096;

/// Classifies statement texts and caches the results of recent ones.
#[derive(Debug, Default)]
pub struct Classifier {
    generations: Mutex<Generations>,
}

/// Two generations of cached results: when the new one is full, it replaces the old one.
///
/// A result of the old generation that is used again moves to the new one.
#[derive(Debug, Default)]
struct Generations {
    new: HashMap<Box<str>, Arc<Classification>>,
    old: HashMap<Box<str>, Arc<Classification>>,
}

impl Classifier {
    /// Returns the classification of `text`, from the cache if possible.
    pub fn classify(&self, text: &str) -> Arc<Classification> {
        if let Some(cached) = self.lookup(text) {
            return cached;
        }
        let classification = Arc::new(classify(text));
        if text.len() <= MAX_TEXT_BYTES {
            self.insert(text, Arc::clone(&classification));
        }
        classification
    }

    /// Number of cached texts.
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

    fn insert(&self, text: &str, classification: Arc<Classification>) {
        let mut generations = self.generations.lock().unwrap_or_else(PoisonError::into_inner);
        generations.insert(text, classification);
    }
}

impl Generations {
    fn insert(&mut self, text: &str, classification: Arc<Classification>) {
        if self.new.len() >= GENERATION_TEXTS {
            self.old = mem::take(&mut self.new);
        }
        self.new.insert(text.into(), classification);
    }
}
