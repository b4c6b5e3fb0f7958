//! How large the results of admitted requests are expected to be, by class.

use std::cell::Cell;
use std::rc::Rc;

use super::Memory;

/// The size expected before a result was seen, in bytes.
const INITIAL_SIZE: usize = 2 << 10;
/// How fast the size expected falls towards smaller results, as a divisor of the difference.
const DECAY_DIVISOR: usize = 64;

/// The size expected of a result of each class: the largest recent one.
pub(super) struct ResultSizes(Vec<Cell<usize>>);

impl ResultSizes {
    pub(super) fn new(classes: usize) -> ResultSizes {
        ResultSizes(vec![Cell::new(INITIAL_SIZE); classes])
    }

    fn expected(&self, class: usize) -> usize {
        self.0.get(class).map_or(INITIAL_SIZE, Cell::get)
    }

    fn record(&self, class: usize, size: usize) {
        if let Some(expected) = self.0.get(class) {
            let decayed = expected.get() - expected.get().saturating_sub(size) / DECAY_DIVISOR;
            expected.set(decayed.max(size));
        }
    }
}

/// The memory that is reserved for the result of a request, until the value is dropped.
pub(crate) struct ExpectedResult {
    memory: Rc<Memory>,
    class: usize,
    size: usize,
    /// How much of it has not arrived.
    reserved: Cell<usize>,
}

impl ExpectedResult {
    /// Admits a request whose body has `body_bytes`, if the budget allows it.
    pub(in super::super) fn admit(
        memory: &Rc<Memory>,
        class: usize,
        body_bytes: usize,
    ) -> Option<ExpectedResult> {
        let size = memory.result_sizes.expected(class);
        if !memory.can_admit(size + body_bytes) {
            return None;
        }
        memory.reserved.set(memory.reserved.get() + size);
        Some(ExpectedResult {
            memory: memory.clone(),
            class,
            size,
            reserved: Cell::new(size),
        })
    }

    /// Notes that this much of the answer has arrived, which the heap's live bytes have from now on.
    pub(in super::super) fn on_received(&self, bytes: usize) {
        let left = self.size.saturating_sub(bytes);
        let total = &self.memory.reserved;
        total.set(total.get() - self.reserved.replace(left) + left);
    }

    /// Notes the size of the result.
    pub(in super::super) fn on_result(&self, bytes: usize) {
        self.on_received(self.size);
        self.memory.result_sizes.record(self.class, bytes);
    }
}

impl Drop for ExpectedResult {
    fn drop(&mut self) {
        self.on_received(self.size);
    }
}
