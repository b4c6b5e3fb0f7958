//! Evaluates quarantine proposals on a simulated fleet: prints how long they take, and how many are false.

use argh::FromArgs;
use oakshed_quarantine::trial::{run, Detections, Fault, RunResult, Scenario};

/// Selects the reports of one detector from a result.
type Detector = fn(&RunResult) -> &Detections;

/// Evaluate quarantine proposals on a simulated fleet of 60 workers in 3 zones.
#[derive(FromArgs)]
struct Args {
    /// number of schedulers (default 30)
    #[argh(option, default = "30")]
    schedulers: usize,
    /// jobs per second over the fleet (default 320)
    #[argh(option, default = "320.0")]
    rate: f64,
    /// degrade one worker by this factor and measure the time to its proposal; without it, count false proposals
    #[argh(option)]
    worse: Option<f64>,
    /// fault: none class member path cold drain partition lone link poison all (default none)
    #[argh(option, default = "String::from(\"none\")")]
    trouble: String,
    /// number of runs, with consecutive seeds (default 20)
    #[argh(option, default = "20")]
    runs: u64,
    /// length of each run in worker-hours when false proposals are counted (default 50)
    #[argh(option, default = "50.0")]
    hours: f64,
    /// bound on false proposals: at most one in this many worker-hours (default 1000)
    #[argh(option, default = "1_000.0")]
    bound: f64,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> Result<(), String> {
    let args: Args = argh::from_env();
    let found = Fault::ALL.iter().find(|(name, _)| *name == args.trouble);
    let (_, fault) =
        *found.ok_or_else(|| format!("unknown value of --trouble: {}", args.trouble))?;
    let seeds = args.seed..args.seed + args.runs;
    let runs: Vec<(Scenario, RunResult)> = seeds
        .map(|seed| {
            let scenario = scenario(&args, fault, seed);
            let result = run(&scenario);
            (scenario, result)
        })
        .collect();
    print_bytes(&args, &runs);
    let detectors: [(&str, Detector); 4] = [
        ("shared", |result| &result.shared),
        ("alone", |result| &result.single_member),
        ("in a row", |result| &result.consecutive_failures),
        ("deviations", |result| &result.success_rate_outliers),
    ];
    for (name, detector) in detectors {
        match args.worse {
            Some(times) => print_delays(name, times, detector, &runs),
            None => print_false(name, detector, &args, &runs),
        }
    }
    Ok(())
}

fn scenario(args: &Args, fault: Fault, seed: u64) -> Scenario {
    let seconds = if args.worse.is_some() {
        900
    } else {
        (args.hours * 60.0) as u64
    };
    Scenario {
        schedulers: args.schedulers,
        rate: args.rate,
        fault,
        degraded: args.worse.map(|times| (times, 300 + seed % 5)),
        seconds,
        until_found: args.worse.is_some(),
        worker_hours_per_false_proposal: args.bound,
        seed,
    }
}

fn print_bytes(args: &Args, runs: &[(Scenario, RunResult)]) {
    let max = |figure: fn(&RunResult) -> f64| {
        let figures = runs.iter().map(|(_, result)| figure(result));
        figures.fold(0.0, f64::max)
    };
    let most = max(|result| result.max_bytes_per_second);
    let mean = max(|result| result.mean_bytes_per_second);
    let dropped: u64 = runs.iter().map(|(_, result)| result.dropped_failures).sum();
    println!(
        "schedulers {} trouble {} worse {:?} runs {} seeds {}..: bytes/s a member: {most:.1} in the worst \
         minute, {mean:.1} mean; failures left out {dropped}",
        args.schedulers, args.trouble, args.worse, args.runs, args.seed
    );
}

/// Prints how often a detector reported a worker although none was degraded.
fn print_false(name: &str, detector: Detector, args: &Args, runs: &[(Scenario, RunResult)]) {
    let count: usize = runs.iter().map(|(_, result)| detector(result).len()).sum();
    let hours = args.hours * args.runs as f64;
    let rate = count as f64 * 1_000.0 / hours;
    println!("  {name:<10} {count} false in {hours} worker-hours: {rate:.2} in 1,000");
}

/// Prints how long a detector took to report the degraded worker, and how many other reports it made.
fn print_delays(name: &str, times: f64, detector: Detector, runs: &[(Scenario, RunResult)]) {
    let mut delays: Vec<f64> = Vec::new();
    let mut others = 0;
    for (scenario, result) in runs {
        let from = scenario.degraded.map_or(0, |(_, from)| from);
        let detections = detector(result);
        let found = detections
            .iter()
            .find(|(at, worker)| *worker == result.bad_worker && *at >= from);
        delays.push(found.map_or(f64::INFINITY, |(at, _)| (at - from) as f64));
        others += detections
            .iter()
            .filter(|(_, worker)| *worker != result.bad_worker)
            .count();
    }
    delays.sort_by(f64::total_cmp);
    let at = |quantile: f64| delays[((delays.len() - 1) as f64 * quantile).round() as usize];
    let within = delays.iter().filter(|delay| **delay <= 30.0).count();
    println!(
        "  {name:<10} {times} times worse: median {} s, 10% {} s, 90% {} s, within 30 s {within}/{}, others blamed {others}",
        at(0.5),
        at(0.1),
        at(0.9),
        delays.len()
    );
}
