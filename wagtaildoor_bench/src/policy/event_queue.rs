//! Events of a run in the order of their times.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use super::workload::RunMicros;

/// Events by time; those of the same time in the order they came.
#[derive(Debug)]
pub struct EventQueue<E> {
    /// Times and places of events.
    order: BinaryHeap<Reverse<(RunMicros, usize)>>,
    /// Events by place.
    events: Vec<Option<E>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: Vec::new(),
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn push(&mut self, at: RunMicros, event: E) {
        self.order.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(RunMicros, E)> {
        let Reverse((at, place)) = self.order.pop()?;
        let event = self.events[place].take()?;
        Some((at, event))
    }
}
