//! Bounds the memory of responses that are buffered, for all requests of a host together.

use std::{
    cell::Cell,
    rc::Rc, //
};

/// Bytes of all buffered responses together.
const MAX_BUFFERED_BYTES: usize = 32 << 20;
/// Bytes that each response may take whatever the others do.
const GUARANTEED_BYTES: usize = 16 << 10;

/// Bytes in use by buffered responses.
#[derive(Clone, Debug, Default)]
pub struct BufferBudget {
    used: Rc<Cell<usize>>,
}

/// Bytes of one response, given back when dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Starts the share of one response.
    pub fn start_share(&self) -> BufferShare {
        BufferShare {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

impl BufferShare {
    /// Takes more bytes; returns whether the budget allows them.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get() + bytes;
        if self.bytes + bytes > GUARANTEED_BYTES && used > MAX_BUFFERED_BYTES {
            return false;
        }
        self.budget.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let used = self.budget.used.get();
        self.budget.used.set(used.saturating_sub(self.bytes));
    }
}
