//! The parameters of a fleet.

use oakshed_fault_injection::Faults;
use oakshed_standin::fleet::FleetWorkerOptions;

use crate::settings::Deployment;

/// The parameters of a fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The number of schedulers.
    pub schedulers: usize,
    /// The number of schedulers in the settings.
    pub balancers: usize,
    /// The number of workers.
    pub workers: usize,
    /// The options of each worker.
    pub worker: FleetWorkerOptions,
    /// A relay between each scheduler and each worker; else schedulers connect to workers directly.
    pub relay_workers: bool,
    /// Durable jobs with leases.
    pub durable: bool,
    /// Draws the failing system calls of each scheduler's process, where there are to be some.
    pub call_faults: Option<fn(&mut fastrand::Rng) -> Faults>,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The settings.
    pub deployment: Deployment,
}

impl Setup {
    /// A fleet of so many schedulers and workers, with relays between all.
    #[must_use]
    pub fn new(schedulers: usize, workers: usize, seed: u64) -> Setup {
        Setup {
            schedulers,
            balancers: schedulers,
            workers,
            worker: FleetWorkerOptions::default(),
            relay_workers: true,
            durable: false,
            call_faults: None,
            seed,
            deployment: Deployment::default(),
        }
    }
}
