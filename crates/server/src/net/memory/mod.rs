//! The memory budget of the process: what holds how much, and whether more may be held.
//!
//! The budget is for the live bytes of the heap, which the allocator counts, so that it covers all that the process
//! holds, whether or not it is attributed to a [`Holder`]. What admitted requests are expected to hold later is
//! reserved, and counts like live bytes. The processes of a hot restart share the limit.

mod metrics;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

/// The resident memory of the program itself, beside the heap: its code, the C library and the stack, in bytes.
const PROGRAM_BYTES: usize = 6 << 20;
/// The part of the memory beside the program that the allocator may lose to fragmentation, as a divisor.
const FRAGMENTATION_DIVISOR: usize = 5;
/// The part of a process's share that the heap gets, however small the share is, as a divisor.
const MIN_HEAP_DIVISOR: usize = 4;

/// What holds memory on behalf of a client or a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holder {
    /// Input of clients that is not passed on yet.
    ClientInput,
    /// Bodies of requests that are received or open.
    RequestBodies,
    /// Responses that are not written in full.
    Responses,
    /// Unfinished lines of workers' answers.
    WorkerLines,
}

impl Holder {
    /// All holders, in the order in which they are reported.
    const ALL: [Holder; 4] = [
        Holder::ClientInput,
        Holder::RequestBodies,
        Holder::Responses,
        Holder::WorkerLines,
    ];

    /// The name in the metrics and in the log.
    fn name(self) -> &'static str {
        match self {
            Holder::ClientInput => "client_input",
            Holder::RequestBodies => "request_bodies",
            Holder::Responses => "responses",
            Holder::WorkerLines => "worker_lines",
        }
    }
}

/// The memory budget of the process.
pub(crate) struct Memory {
    /// `limits.memory_mb` in bytes, which all processes of the scheduler share.
    limit: usize,
    processes: Cell<usize>,
    charged: [Cell<usize>; Holder::ALL.len()],
}

impl Memory {
    pub(super) fn new(limit: usize) -> Rc<Memory> {
        Rc::new(Memory {
            limit,
            processes: Cell::new(1),
            charged: Default::default(),
        })
    }

    /// Sets the number of processes that share the limit.
    pub(super) fn set_process_count(&self, processes: usize) {
        self.processes.set(processes.max(1));
    }

    /// This process's share of the limit, in bytes.
    pub(super) fn share(&self) -> usize {
        self.limit / self.processes.get()
    }

    /// The most bytes that may be live on the heap.
    pub(super) fn heap_limit(&self) -> usize {
        let share = self.share();
        let beside_program = share.saturating_sub(PROGRAM_BYTES);
        (beside_program - beside_program / FRAGMENTATION_DIVISOR).max(share / MIN_HEAP_DIVISOR)
    }

    /// Attributes bytes to a holder, until the returned value is dropped.
    pub(super) fn charge(self: &Rc<Self>, holder: Holder, bytes: usize) -> Charge {
        let mut charge = Charge {
            memory: self.clone(),
            holder,
            bytes: 0,
        };
        charge.resize(bytes);
        charge
    }

    /// The bytes that are attributed to a holder.
    pub(super) fn charged_to(&self, holder: Holder) -> usize {
        self.charged[holder as usize].get()
    }
}

/// Bytes that are attributed to a holder.
pub(crate) struct Charge {
    memory: Rc<Memory>,
    holder: Holder,
    bytes: usize,
}

impl Charge {
    /// Sets how many bytes are held.
    pub(super) fn resize(&mut self, bytes: usize) {
        let total = &self.memory.charged[self.holder as usize];
        total.set(total.get() - self.bytes + bytes);
        self.bytes = bytes;
    }

    /// How many bytes are held.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resize(0);
    }
}
