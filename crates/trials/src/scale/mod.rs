//! The resources that one scheduler needs with few and with many workers: the same workload, the same capacity in
//! all.
//!
//! This module runs one workload with one real process and measures it. `bounds` has the growth that is allowed,
//! `workload` the changes of the list, `usage` reads what the process has used.

mod bounds;
mod usage;
mod workload;

use std::future::Future;
use std::time::Duration;

use tokio::time::sleep;

pub use bounds::{Allowance, Comparison, Row};
use usage::Usage;
pub use workload::Workload;

use crate::history::End;
use crate::load::Load;
use crate::scenarios::run_to_end;
use crate::scheduler::CachedList;
use crate::settings::Deployment;
use crate::world::{Setup, World};
use crate::TrialError;

/// The number of schedulers in the settings. One of them runs, with its share of the traffic.
const SCHEDULERS: usize = 300;
/// Slots of each worker in the baseline fleet. In a larger one each has less, so that the sum stays the same.
const SLOTS: usize = 16;
/// How long a job runs on a warm worker.
const SERVICE: Duration = Duration::from_millis(20);
/// Different keys in the paths of requests.
const KEYS: u64 = 1_000;
/// How often the open descriptors are counted.
const SAMPLE: Duration = Duration::from_millis(50);
/// How long the scheduler may take to get the list: a machine may be busy.
const PATIENCE: Duration = Duration::from_secs(30);

/// One run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// The changes of the list.
    pub workload: Workload,
    /// The workers that are listed.
    pub workers: usize,
    /// The workers of the baseline fleet.
    pub few: usize,
    /// Requests a second.
    pub per_second: f64,
    /// How long the load lasts.
    pub length: Duration,
    /// The interval between two changes of the list, in workloads with such.
    pub step: Duration,
    /// The seed of the load.
    pub seed: u64,
}

/// The resources that one scheduler needed for a workload.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// Processor time in seconds.
    pub cpu: f64,
    /// Peak resident memory in megabytes.
    pub memory: f64,
    /// The most descriptors seen open.
    pub descriptors: u64,
    /// Connections that workers have accepted.
    pub connections: u64,
    /// Bytes of the lists that discovery has answered with.
    pub list_bytes: u64,
    /// The share of all requests that was served.
    pub served: f64,
    /// Calls for the list.
    pub calls: usize,
}

/// Runs a workload and measures what the scheduler needed. Where `interruptible`, Ctrl-C and SIGTERM end it.
///
/// # Errors
/// Where the fleet could not be set up, the scheduler has ended, or the run was interrupted.
pub fn measure(size: Size, interruptible: bool) -> Result<Needs, TrialError> {
    run_to_end(run(size), interruptible)
}

/// A fleet of the size, with the workers that join during the workload.
fn setup(size: &Size) -> Setup {
    let deployment = Deployment {
        cell_size: 8,
        ..Deployment::default()
    };
    let slots = (SLOTS * size.few).div_ceil(size.workers);
    let worker = deployment.worker(slots, SERVICE);
    let workers = size.workers + size.workload.joining(size.workers);
    Setup {
        balancers: SCHEDULERS,
        worker,
        deployment,
        relay_workers: false,
        ..Setup::new(1, workers, size.seed)
    }
}

async fn run(size: Size) -> Result<Needs, TrialError> {
    let mut world = World::new(setup(&size)).await?;
    workload::hide_joining(&world, size.workers);
    world.start_all(CachedList::None)?;
    let number = world.discovery.number();
    world
        .until("the list", PATIENCE, |w| w.schedulers[0].has_list(number))
        .await?;
    let pid = world.process_id(0).ok_or(TrialError::NotRunning)?;

    let load = Load::keyed(&world, size.per_second, size.seed, KEYS);
    let descriptors = most_descriptors(pid, async {
        let changes = size.workload.run(&world, &size);
        tokio::join!(sleep(size.length), changes);
    })
    .await;
    load.end().await;
    if world.ended(0) {
        return Err(TrialError::SchedulerEnded);
    }
    Ok(needs(&world, usage::of(pid)?, descriptors))
}

/// The most descriptors that the process had open until `run` ended.
async fn most_descriptors(pid: u32, run: impl Future<Output = ()>) -> u64 {
    let mut most = 0;
    let sample = async {
        loop {
            if let Ok(open) = usage::descriptors(pid) {
                most = open.max(most);
            }
            sleep(SAMPLE).await;
        }
    };
    tokio::select! {
        () = run => {}
        () = sample => {}
    }
    most
}

fn needs(world: &World, usage: Usage, descriptors: u64) -> Needs {
    let requests = world.history.record().requests;
    let served = requests.iter().filter(|r| r.end == End::Answer(200));
    let opened = world
        .workers
        .iter()
        .map(|(_, worker)| worker.opened().len());
    Needs {
        cpu: usage.cpu,
        memory: usage.memory,
        descriptors,
        connections: opened.sum::<usize>() as u64,
        list_bytes: world.discovery.bytes(),
        served: served.count() as f64 / requests.len().max(1) as f64,
        calls: world.discovery.calls().len(),
    }
}
