//! Bounded map that evicts entries that were not used recently.

use std::{
    collections::HashMap,
    hash::Hash,
    mem, //
};

/// Map of two generations. Used entries move to the young generation; when that is full, the old
/// one is dropped as a whole and the young one takes its place.
#[derive(Debug)]
pub struct GenerationMap<K, V> {
    /// Entries used since the last rotation.
    young: HashMap<K, V>,
    /// Entries used in the generation before, but not since.
    old: HashMap<K, V>,
    /// Maximum number of entries in one generation.
    generation_limit: usize,
}

impl<K: Copy + Eq + Hash, V: Default> GenerationMap<K, V> {
    /// Creates a map of at most `limit` entries, but at least one per generation.
    pub fn new(limit: usize) -> Self {
        Self {
            young: HashMap::new(),
            old: HashMap::new(),
            generation_limit: (limit / 2).max(1),
        }
    }

    /// Returns an entry without marking it as used.
    pub fn get(&self, key: K) -> Option<&V> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    /// Returns a mutable entry without marking it as used.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        match self.young.get_mut(&key) {
            Some(value) => Some(value),
            None => self.old.get_mut(&key),
        }
    }

    /// Returns a mutable entry, marks it as used, and inserts a default value if it is missing.
    pub fn touch(&mut self, key: K) -> &mut V {
        if !self.young.contains_key(&key) {
            let value = self.old.remove(&key).unwrap_or_default();
            self.rotate_if_full();
            self.young.insert(key, value);
        }
        self.young.entry(key).or_default()
    }

    /// Returns the number of entries in both generations.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Starts a new generation if the young one is full.
    fn rotate_if_full(&mut self) {
        if self.young.len() >= self.generation_limit {
            self.old = mem::take(&mut self.young);
        }
    }
}
