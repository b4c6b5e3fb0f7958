//! The policies that are compared, the injected faults, and the measured costs.

use crate::{Config, Micros};

/// Which workers are kept warm, and by whom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// No keep-alive: a worker drops a class when its job ends.
    None,
    /// A fixed keep-alive after each job, in microseconds.
    Fixed(Micros),
    /// Each scheduler plans from its own arrivals only.
    LocalOnly,
    /// All schedulers plan from shared rows. Only the given number of machines are simulated; if there are more
    /// schedulers than machines, the machines learn of all arrivals, including their own, from rows.
    Shared(usize),
    /// One scheduler receives all jobs.
    Central,
}

/// Injected faults. The default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// An additional delay of all rows, in microseconds.
    pub row_delay: Micros,
    /// The share of rows that are lost.
    pub row_loss: f64,
    /// The interval, in microseconds, at which the machines stall in turn for 60 s; 0 for no stalls. The other
    /// machines detect a stall after 5 s.
    pub stall_interval: Micros,
    /// The duration, in microseconds, of a partition into two halves every hour; 0 for no partitions. It is
    /// detected after 5 s.
    pub partition_duration: Micros,
    /// When all machines restart, in microseconds after the start of the scenario, and whether they restore a
    /// snapshot that was taken one minute earlier.
    pub restart: Option<(Micros, bool)>,
}

/// The environment of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The settings of the state machines.
    pub config: Config,
    /// The number of schedulers that receive jobs.
    pub schedulers: u32,
    /// The number of workers in each zone.
    pub workers_per_zone: usize,
    /// The number of zones.
    pub zones: usize,
    /// The injected faults.
    pub faults: Faults,
    /// Costs are measured after this time, in microseconds since the start of the scenario.
    pub measure_after: Micros,
}

/// The cost of a policy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// The number of jobs.
    pub jobs: u64,
    /// The jobs that found no warm worker.
    pub cold_starts: u64,
    /// The time that workers were warm and idle, in worker-seconds.
    pub idle_s: f64,
    /// The calls to load a class or keep it warm.
    pub calls: u64,
    /// The jobs that found all workers of their zone busy.
    pub all_busy: u64,
}

impl Cost {
    /// The share of jobs that found no warm worker.
    #[must_use]
    pub fn cold_share(&self) -> f64 {
        self.cold_starts as f64 / self.jobs.max(1) as f64
    }
}
