//! Event queue of the simulation, ordered by time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use super::workload::SimMicros;

/// Priority queue of events; events with the same time are returned in insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    /// Time and index of each pending event.
    order: BinaryHeap<Reverse<(SimMicros, usize)>>,
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
    /// Schedules an event for `time`.
    pub fn push(&mut self, time: SimMicros, event: E) {
        self.order.push(Reverse((time, self.events.len())));
        self.events.push(Some(event));
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(SimMicros, E)> {
        let Reverse((time, index)) = self.order.pop()?;
        let event = self.events[index].take()?;
        Some((time, event))
    }
}
