//! A stand-in worker as a process of its own, so that tests can kill it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use oakshed_standin::{Worker, WorkerOptions};

/// A stand-in worker on loopback; it serves until it is killed.
#[derive(FromArgs)]
struct Args {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// the file that outlives it
    #[argh(option)]
    ledger: Option<PathBuf>,
    /// jobs that run at once
    #[argh(option, default = "4")]
    slots: usize,
    /// how long a job runs, in milliseconds
    #[argh(option, default = "20")]
    service_ms: u64,
    /// speak no leases
    #[argh(switch)]
    plain: bool,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let worker = Worker::start(WorkerOptions {
        listen: args.listen,
        ledger: args.ledger,
        slots: args.slots,
        service: Duration::from_millis(args.service_ms),
        leases: !args.plain,
        ..WorkerOptions::default()
    })?;
    println!("worker at {} since {}", worker.address, worker.since_ms);
    loop {
        std::thread::park();
    }
}
