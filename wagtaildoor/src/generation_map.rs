//! A map of bounded size that forgets what was not used of late.

use std::{
    collections::HashMap,
    hash::Hash,
    mem, //
};

/// A map in two generations: what is used moves to the young one, and when that is full, the
/// old one goes as a whole.
#[derive(Debug)]
pub struct GenerationMap<K, V> {
    /// Entries written since the last change of generations.
    young: HashMap<K, V>,
    /// Entries of the generation before.
    old: HashMap<K, V>,
    /// Most entries of one generation.
    generation_limit: usize,
}

impl<K: Copy + Eq + Hash, V: Default> GenerationMap<K, V> {
    /// A map of at most `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            young: HashMap::new(),
            old: HashMap::new(),
            generation_limit: (limit / 2).max(1),
        }
    }

    /// An entry, without counting as use.
    pub fn get(&self, key: K) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// An entry to change, without counting as use.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        match self.young.get_mut(&key) {
            Some(value) => Some(value),
            None => self.old.get_mut(&key),
        }
    }

    /// An entry to change, made when missing; this counts as use.
    pub fn touch(&mut self, key: K) -> &mut V {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key).unwrap_or_default();
            self.rotate_if_full();
            self.young.insert(key, value);
        }
        self.young.entry(key).or_default()
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Starts a new generation when the young one is full.
    fn rotate_if_full(&mut self) {
        if self.young.len() >= self.generation_limit {
            self.old = mem::take(&mut self.young);
        }
    }
}
