//! The price of a job: the processor time of a scheduler beside that of a bare forwarder, at one rate.
//!
//! It owns the order of the runs, the processes under test and what is printed. It must never be used
//! by what serves, call anything but loopback, or leave a process behind.
//!
//!     cargo build --release && target/release/oakshed-price

mod forward;
mod load;
mod processor;
mod worker;

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use oakshed_standin::{Director, Program};
use tokio::signal::unix::{signal, SignalKind};

use load::{Answers, Load};
use processor::Forwarder;

type Outcome<T> = Result<T, Box<dyn std::error::Error>>;

/// What of the settings' text tells the schedulers beside the one under test.
const ALONE: &str = r#""balancers":1"#;
/// Reports that come by probe, beside what the settings hold.
const LIMITS: &str = r#""limits":{"#;
const PROBING: &str = r#""load-info":{"how":"probe"},"limits":{"may-probe":true,"#;

/// Plays pairs of a bare forwarder and a scheduler on loopback, and tells the processor time a job of each.
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    if args.forward {
        return Ok(local.block_on(&runtime, forward::run(args.to))?);
    }
    local.block_on(&runtime, async {
        // Guards against processes that outlive this one: they end where they are dropped.
        let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        tokio::select! {
            played = play(&args) => played,
            _ = term.recv() => Err("ended early".into()),
            _ = int.recv() => Err("ended early".into()),
        }
    })
}

/// What is under test, in a process of its own that ends with this.
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

async fn play(args: &Args) -> Outcome<()> {
    let addresses = worker::start(args.workers, Duration::from_millis(args.service_ms))?;
    let names: Vec<String> = (0..args.workers).map(|n| format!("s-{n}")).collect();
    let listed: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(addresses.iter().copied()).collect();
    let director = Director::new(&listed);
    let balancers = if args.balancers.is_empty() { vec![1, 100] } else { args.balancers.clone() };
    let mut ratios = vec![Vec::new(); balancers.len()];
    for round in 1..=args.rounds {
        let forwarder = Tested::Forwarder(Forwarder::start(&addresses)?);
        let bare = measure(args, &forwarder).await?;
        tell(round, "bare forwarder", &bare, None);
        drop(forwarder);
        for (&many, ratios) in balancers.iter().zip(&mut ratios) {
            let named = format!(r#""balancers":{many}"#);
            let edits = [(ALONE, named.as_str()), (LIMITS, if args.probes { PROBING } else { LIMITS })];
            let scheduler = Tested::Scheduler(Program::start_with(&director, 1024, &edits));
            let priced = measure(args, &scheduler).await?;
            let ratio = priced.0 / bare.0;
            tell(round, &format!("oakshed, one of {many}"), &priced, Some(ratio));
            ratios.push(ratio);
        }
    }
    for (many, ratios) in balancers.iter().zip(&mut ratios) {
        ratios.sort_by(f64::total_cmp);
        let told: Vec<String> = ratios.iter().map(|r| format!("{r:.2}")).collect();
        let median = ratios.get(ratios.len() / 2).copied().unwrap_or_default();
        println!("one of {many}: median {median:.2} times the bare forwarder ({})", told.join(" "));
    }
    Ok(())
}

/// Microseconds of processor time a job, and the answers. What comes up at first is left out.
async fn measure(args: &Args, tested: &Tested) -> Outcome<(f64, Answers)> {
    let (pid, address) = tested.at();
    let load = Load::connect(address, args.clients).await?;
    load.play(args.rate / 2, args.rate).await;
    let before = processor::used(pid)?;
    let answers = load.play(args.rate * args.seconds, args.rate).await;
    let used = processor::used(pid)?.saturating_sub(before);
    Ok((used.as_secs_f64() * 1e6 / f64::from(answers.sent().max(1)), answers))
}

fn tell(round: usize, what: &str, (price, answers): &(f64, Answers), ratio: Option<f64>) {
    let ratio = ratio.map_or(String::new(), |r| format!(", ratio {r:.2}"));
    println!("round {round}, {what:<20} {price:6.1} us a job{ratio}; {answers}");
}
