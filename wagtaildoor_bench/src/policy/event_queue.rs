//! Event queue of the simulation, ordered by time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use super::workload::RunMicros;

/// Priority queue of events; events with the same time are returned in insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    /// Time and index of each pending event.
    order: BinaryHeap<Reverse<(RunMicros, usize)>>,
    /// Events by index; `None` once returned.
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
    /// Schedules an event for `at`.
    pub fn push(&mut self, at: RunMicros, event: E) {
        self.order.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(RunMicros, E)> {
        let Reverse((at, place)) = self.order.pop()?;
        let event = self.events[place].take()?;
        Some((at, event))
    }
}
