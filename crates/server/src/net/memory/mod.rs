//! The memory budget of the process: what holds how much, and whether more may be held.
//!
//! The budget is for the live bytes of the heap, which the allocator counts, so that it covers all that the process
//! holds, whether or not it is attributed to a [`Holder`]. What admitted requests are expected to hold later is
//! reserved, and counts like live bytes. The processes of a hot restart share the limit.

mod expected_results;
mod maintenance;
mod metrics;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(crate) use expected_results::ExpectedResult;
use expected_results::ResultSizes;
pub(super) use maintenance::maintain;

/// The resident memory of the program itself, beside the heap: its code, the C library and the stack, in bytes.
const PROGRAM_BYTES: usize = 6 << 20;
/// The most processes of a scheduler that run at a time: both of a hot restart.
const MAX_PROCESSES: usize = 2;
/// The part of the memory beside the program that the allocator may lose to fragmentation, as a divisor.
const FRAGMENTATION_DIVISOR: usize = 5;
/// For how long a process uses a part of its heap only after it has taken over from another, which still holds what it
/// held alone: longer than most deadlines and the time that a response is kept beyond them.
const HANDOVER_TIME: Duration = Duration::from_secs(6);
/// That part, as a divisor.
const HANDOVER_DIVISOR: usize = 4;
/// The part of a process's share that the heap gets, however small the share is, as a divisor.
const MIN_HEAP_DIVISOR: usize = 4;

/// What an open connection holds, in bytes: its read and write buffers, and its task.
const CONNECTION_BYTES: usize = 26 << 10;
/// The parts of the heap, in percent, that connections of clients and those to workers may hold.
const CLIENT_CONNECTIONS_PERCENT: usize = 35;
const WORKER_CONNECTIONS_PERCENT: usize = 20;
/// The part of the heap up to which small requests are admitted, in percent. The rest is for what admitted requests hold
/// in excess of what was expected.
const ADMISSION_PERCENT: usize = 90;
/// The part of the heap up to which other requests are admitted, in percent.
const LARGE_ADMISSION_PERCENT: usize = 80;
/// The most bytes, of body and expected result, of a small request.
const SMALL_REQUEST_BYTES: usize = 8 << 10;
/// The part of the heap from which on idle connections to workers are closed, in percent.
const IDLE_CONNECTIONS_PERCENT: usize = 65;
/// The part of the heap whose freed pages may be retained, as a divisor.
const TRIM_DIVISOR: usize = 16;
/// The part of the heap, as a divisor, that clients' input may hold before less of it is read ahead.
const READ_AHEAD_DIVISOR: usize = 16;
/// The part of the heap that an endpoint list may take in discovery's form, as a divisor, and its lower bound in bytes.
const LIST_DIVISOR: usize = 16;
const MIN_LIST_BYTES: usize = 1 << 20;

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
    /// Until when a predecessor may hold more than its share.
    handover_until: Cell<Option<Instant>>,
    /// What admitted requests are expected to hold later.
    reserved: Cell<usize>,
    result_sizes: ResultSizes,
    charged: [Cell<usize>; Holder::ALL.len()],
}

impl Memory {
    /// `limit` is `limits.memory_mb` in bytes, and `classes` the number of classes of requests.
    pub(super) fn new(limit: usize, classes: usize) -> Rc<Memory> {
        Rc::new(Memory {
            limit,
            processes: Cell::new(1),
            handover_until: Cell::new(None),
            reserved: Cell::new(0),
            result_sizes: ResultSizes::new(classes),
            charged: Default::default(),
        })
    }

    /// Sets the number of processes that share the limit.
    pub(super) fn set_process_count(&self, processes: usize) {
        self.processes.set(processes.max(1));
    }

    /// Notes that this process has taken over from one that still runs.
    pub(super) fn on_takeover(&self) {
        self.handover_until
            .set(Some(Instant::now() + HANDOVER_TIME));
    }

    /// Whether a predecessor may still hold more than its share.
    fn is_in_handover(&self) -> bool {
        let until = self.handover_until.get();
        self.processes.get() > 1 && until.is_some_and(|until| Instant::now() < until)
    }

    /// This process's share of the limit, in bytes.
    pub(super) fn share(&self) -> usize {
        self.limit / self.processes.get()
    }

    /// The most bytes that may be live on the heap. Leaves space for the program of a successor, which may start at any
    /// time.
    pub(super) fn heap_limit(&self) -> usize {
        let share = self.share();
        let programs = MAX_PROCESSES / self.processes.get().min(MAX_PROCESSES);
        let beside_program = share.saturating_sub(programs * PROGRAM_BYTES);
        let heap = beside_program - beside_program / FRAGMENTATION_DIVISOR;
        let heap = heap.max(share / MIN_HEAP_DIVISOR);
        if self.is_in_handover() {
            heap / HANDOVER_DIVISOR
        } else {
            heap
        }
    }

    /// A part of the heap limit, in bytes.
    fn heap_percent(&self, percent: usize) -> usize {
        self.heap_limit() / 100 * percent
    }

    /// The live and the reserved bytes.
    fn committed(&self) -> usize {
        oakshed_heap::live_bytes() + self.reserved.get()
    }

    /// The most client connections that the budget allows.
    pub(super) fn client_connection_limit(&self) -> usize {
        self.heap_percent(CLIENT_CONNECTIONS_PERCENT) / CONNECTION_BYTES
    }

    /// The most connections to workers that the budget allows.
    pub(super) fn worker_connection_limit(&self) -> usize {
        self.heap_percent(WORKER_CONNECTIONS_PERCENT) / CONNECTION_BYTES
    }

    /// The largest endpoint list that is read, in discovery's form.
    pub(super) fn list_limit(&self) -> usize {
        (self.heap_limit() / LIST_DIVISOR).max(MIN_LIST_BYTES)
    }

    /// By how much the live bytes fall until freed pages are returned to the system, which takes time for each of them.
    fn trim_threshold(&self) -> usize {
        self.heap_limit() / TRIM_DIVISOR
    }

    /// Whether a request may be admitted that will hold this many bytes.
    pub(super) fn can_admit(&self, bytes: usize) -> bool {
        let percent = if bytes <= SMALL_REQUEST_BYTES {
            ADMISSION_PERCENT
        } else {
            LARGE_ADMISSION_PERCENT
        };
        self.committed() + bytes <= self.heap_percent(percent)
    }

    /// Whether an admitted request may hold more than was expected, by this many bytes.
    pub(super) fn can_exceed(&self, bytes: usize) -> bool {
        oakshed_heap::live_bytes() + bytes <= self.heap_limit()
    }

    /// Whether input of clients may be read before it is needed.
    pub(super) fn can_read_ahead(&self) -> bool {
        self.charged_to(Holder::ClientInput) < self.heap_limit() / READ_AHEAD_DIVISOR
    }

    /// Whether idle connections to workers should be closed.
    pub(super) fn is_scarce(&self) -> bool {
        self.committed() > self.heap_percent(IDLE_CONNECTIONS_PERCENT)
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
