//! The price of a job: the processor time of a scheduler beside that of a bare forwarder, at one rate.
//!
//! It is a measurement on loopback; its processes end with it.
//!
//!     cargo build --release && target/release/oakshed-price

mod forward;
mod load;
mod processor;
mod worker;

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use oakshed_standin::{Discovery, Program};
use tokio::signal::unix::{signal, SignalKind};

use load::{Answers, Load};
use processor::Forwarder;

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

/// The setting for the number of schedulers.
const ALONE: &str = r#""balancers":1"#;
/// How many slices a second is divided into; the processes of a round run in turn, a slice each.
const SLICES: u32 = 4;
/// The limits of the settings, and the same with load reports by probe.
const LIMITS: &str = r#""limits":{"#;
const PROBING: &str = r#""load-info":{"how":"probe"},"limits":{"may-probe":true,"#;

/// Runs a bare forwarder and schedulers on loopback, and prints the processor time a job of each.
#[derive(FromArgs)]
struct Args {
    /// jobs a second
    #[argh(option, default = "2000")]
    rate: u32,
    /// seconds of each run that are measured
    #[argh(option, default = "4")]
    seconds: u32,
    /// rounds: in each, the forwarder and then a scheduler for each number of balancers
    #[argh(option, default = "3")]
    rounds: usize,
    /// schedulers that the settings name, as often as wanted; 1 and 100 where none is given
    #[argh(option)]
    balancers: Vec<u32>,
    /// workers
    #[argh(option, default = "12")]
    workers: usize,
    /// how long a job runs, in milliseconds
    #[argh(option, default = "5")]
    service_ms: u64,
    /// connections of clients
    #[argh(option, default = "64")]
    clients: usize,
    /// let the scheduler probe
    #[argh(switch)]
    probes: bool,
    /// be the bare forwarder, until standard input ends; workers follow
    #[argh(switch)]
    forward: bool,
    /// workers' addresses, for the forwarder
    #[argh(positional)]
    to: Vec<SocketAddr>,
}

fn main() -> Outcome<()> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    if args.forward {
        return Ok(local.block_on(&runtime, forward::run(args.to))?);
    }
    local.block_on(&runtime, async {
        // Guards against processes that outlive this one: they end where they are dropped.
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            outcome = measure(&args) => outcome,
            _ = term.recv() => Err("ended early".into()),
            _ = int.recv() => Err("ended early".into()),
        }
    })
}

/// A process under test, which ends when this is dropped.
enum Tested {
    Forwarder(Forwarder),
    Scheduler(Program),
}

impl Tested {
    fn at(&self) -> (u32, SocketAddr) {
        match self {
            Tested::Forwarder(f) => (f.child.id(), f.address),
            Tested::Scheduler(p) => (p.child.id(), p.address),
        }
    }
}

async fn measure(args: &Args) -> Outcome<()> {
    let addresses = worker::start(args.workers, Duration::from_millis(args.service_ms))?;
    let names: Vec<String> = (0..args.workers).map(|n| format!("s-{n}")).collect();
    let listed: Vec<(&str, SocketAddr)> = names
        .iter()
        .map(String::as_str)
        .zip(addresses.iter().copied())
        .collect();
    let discovery = Discovery::new(&listed);
    let balancers = if args.balancers.is_empty() {
        vec![1, 100]
    } else {
        args.balancers.clone()
    };
    let mut ratios = vec![Vec::new(); balancers.len()];
    for round in 1..=args.rounds {
        let mut runs = start_runs(args, &addresses, &discovery, &balancers).await?;
        for _ in 0..args.seconds * SLICES {
            for run in &mut runs {
                run.slice(args.rate).await?;
            }
        }
        let bare = runs[0].price();
        for (run, ratios) in runs.iter().skip(1).zip(&mut ratios) {
            ratios.push(run.price() / bare);
        }
        for run in &runs {
            let what = &run.what;
            let price = run.price();
            let ratio = price / bare;
            println!(
                "round {round}, {what:<20} {price:6.1} us a job, ratio {ratio:.2}; {}",
                run.answers
            );
        }
    }
    print_medians(&balancers, &mut ratios);
    Ok(())
}

/// Starts the processes of a round: the bare forwarder, and a scheduler for each number of balancers.
async fn start_runs(
    args: &Args,
    workers: &[SocketAddr],
    discovery: &Discovery,
    balancers: &[u32],
) -> Outcome<Vec<Run>> {
    let forwarder = Tested::Forwarder(Forwarder::start(workers)?);
    let mut runs = vec![Run::new("bare forwarder", forwarder, args).await?];
    for &many in balancers {
        let balancers_setting = format!(r#""balancers":{many}"#);
        let edits = [
            (ALONE, balancers_setting.as_str()),
            (LIMITS, if args.probes { PROBING } else { LIMITS }),
        ];
        let scheduler = Tested::Scheduler(Program::start_with(discovery, 1024, &edits));
        runs.push(Run::new(&format!("oakshed, one of {many}"), scheduler, args).await?);
    }
    Ok(runs)
}

fn print_medians(balancers: &[u32], ratios: &mut [Vec<f64>]) {
    for (many, ratios) in balancers.iter().zip(ratios) {
        ratios.sort_by(f64::total_cmp);
        let listed: Vec<String> = ratios.iter().map(|ratio| format!("{ratio:.2}")).collect();
        let median = ratios.get(ratios.len() / 2).copied().unwrap_or_default();
        println!(
            "one of {many}: median {median:.2} times the bare forwarder ({})",
            listed.join(" ")
        );
    }
}

/// A process under test in a round. All of a round run at once and get load in turn, a slice each: guards against a processor that is faster in one second than in the next.
struct Run {
    what: String,
    tested: Tested,
    load: Load,
    used: Duration,
    answers: Answers,
}

impl Run {
    /// Starts after a warm-up that is not measured.
    async fn new(what: &str, tested: Tested, args: &Args) -> Outcome<Run> {
        let load = Load::connect(tested.at().1, args.clients).await?;
        load.run(args.rate / 2, args.rate).await;
        Ok(Run {
            what: what.to_owned(),
            tested,
            load,
            used: Duration::ZERO,
            answers: Answers::default(),
        })
    }

    async fn slice(&mut self, rate: u32) -> Outcome<()> {
        let pid = self.tested.at().0;
        let before = processor::used(pid)?;
        self.answers.add(self.load.run(rate / SLICES, rate).await);
        self.used += processor::used(pid)?.saturating_sub(before);
        Ok(())
    }

    /// Microseconds of processor time a job.
    fn price(&self) -> f64 {
        self.used.as_secs_f64() * 1e6 / f64::from(self.answers.sent().max(1))
    }
}
