//! The command line of the trials. The exit status is 0 where all invariants held, 1 where not, 130 after Ctrl-C or
//! SIGTERM, when every process that was started has ended.

use std::io::Write as _;
use std::ops::RangeInclusive;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use oakshed_trials::scale::{self, Comparison, Size, Workload};
use oakshed_trials::scenarios::{self, Options, ALL};
use oakshed_trials::{watchdog, TrialError};

/// The range of `--schedulers`.
const SCHEDULERS: RangeInclusive<usize> = 3..=300;
/// The range of `--few` and `--many`.
const WORKERS: RangeInclusive<usize> = 1..=3_200;
/// The range of `--rate`.
const PER_SECOND: RangeInclusive<f64> = 1.0..=1_000.0;
/// The range of `--seconds`.
const SECONDS: RangeInclusive<u64> = 1..=600;

/// Trials of many oakshed processes with faults between them.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(RunArgs),
    List(ListArgs),
    Scale(ScaleArgs),
    Watchdog(WatchdogArgs),
}

/// play a trial and tell what came of it
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct RunArgs {
    /// its name, or `all`
    #[argh(positional)]
    name: String,
    /// the seed of its faults and loads
    #[argh(option, default = "1")]
    seed: u64,
    /// schedulers, 3 to 300
    #[argh(option)]
    schedulers: Option<usize>,
    /// play it so often, each time with the next seed
    #[argh(option, default = "1")]
    rounds: u64,
    /// print the timeline also where all held
    #[argh(switch)]
    timeline: bool,
}

/// play each day with few and with many workers, and compare what one scheduler needs
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
struct ScaleArgs {
    /// the day, or `all`: quiet, rolling, drain, outage
    #[argh(positional, arg_name = "day", default = "\"all\".into()")]
    workload: String,
    /// the seed of its load
    #[argh(option, default = "1")]
    seed: u64,
    /// requests a second
    #[argh(option, default = "30.0")]
    rate: f64,
    /// how long a day lasts
    #[argh(option, default = "20")]
    seconds: u64,
    /// milliseconds between two changes of the list, on days with such
    #[argh(option, default = "250")]
    step_ms: u64,
    /// the usual number of workers
    #[argh(option, default = "200")]
    few: usize,
    /// the number of workers that is compared with it
    #[argh(option, default = "3200")]
    many: usize,
}

/// tell the trials
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// end what a trial has started once standard input ends; trials start it themselves
#[derive(FromArgs)]
#[argh(subcommand, name = "watchdog")]
struct WatchdogArgs {}

fn main() -> ExitCode {
    match argh::from_env::<Args>().command {
        Command::Watchdog(_) => {
            watchdog::run(std::io::stdin().lock());
            ExitCode::SUCCESS
        }
        Command::List(_) => {
            for scenario in &ALL {
                print_line(&format!("{:<16} {}", scenario.name, scenario.about));
            }
            ExitCode::SUCCESS
        }
        Command::Run(args) => exit_code(run(&args)),
        Command::Scale(args) => exit_code(compare(&args)),
    }
}

fn exit_code(outcome: Result<bool, TrialError>) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            print_line(&format!("oakshed-trials: {error}"));
            match error {
                TrialError::Interrupted => ExitCode::from(130),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

/// Runs each workload with few and with many workers; whether all needs are within their bounds.
fn compare(args: &ScaleArgs) -> Result<bool, TrialError> {
    check_ranges(args)?;
    let workloads: Vec<Workload> = match args.workload.as_str() {
        "all" => Workload::ALL.to_vec(),
        name => {
            let workload = Workload::named(name);
            vec![workload.ok_or_else(|| TrialError::UnknownWorkload(name.to_owned()))?]
        }
    };
    let mut within = true;
    for workload in workloads {
        let size = |workers| Size {
            workload,
            workers,
            few: args.few,
            per_second: args.rate,
            length: Duration::from_secs(args.seconds),
            step: Duration::from_millis(args.step_ms.max(1)),
            seed: args.seed,
        };
        let baseline = scale::measure(size(args.few), true)?;
        let large = scale::measure(size(args.many), true)?;
        let comparison = Comparison::new(baseline, large, args.many);
        print_line(&format!(
            "{}: {} and {} workers, {} a second",
            workload.name(),
            args.few,
            args.many,
            args.rate
        ));
        print_line(&comparison.table());
        within &= comparison.exceeded().is_empty();
    }
    Ok(within)
}

fn check_ranges(args: &ScaleArgs) -> Result<(), TrialError> {
    if !WORKERS.contains(&args.few) || !WORKERS.contains(&args.many) {
        let text = format!("--few and --many must be 1 to {}", WORKERS.end());
        return Err(TrialError::OptionRange(text));
    }
    if !PER_SECOND.contains(&args.rate) || !SECONDS.contains(&args.seconds) {
        let (rate, seconds) = (PER_SECOND.end(), SECONDS.end());
        let text = format!("--rate must be 1 to {rate}, --seconds 1 to {seconds}");
        return Err(TrialError::OptionRange(text));
    }
    Ok(())
}

/// Prints a line. The reader may have closed its end.
fn print_line(line: &str) {
    _ = writeln!(std::io::stdout(), "{line}");
}

/// Runs the scenarios for each seed; whether all invariants held.
fn run(args: &RunArgs) -> Result<bool, TrialError> {
    if args.schedulers.is_some_and(|n| !SCHEDULERS.contains(&n)) {
        let text = "--schedulers must be 3 to 300".to_owned();
        return Err(TrialError::OptionRange(text));
    }
    let names: Vec<&str> = match args.name.as_str() {
        "all" => ALL.iter().map(|scenario| scenario.name).collect(),
        name => vec![name],
    };
    let mut all_held = true;
    for round in 0..args.rounds {
        let options = Options {
            seed: args.seed.wrapping_add(round),
            schedulers: args.schedulers,
        };
        for name in &names {
            all_held &= run_scenario(name, options, args.timeline)?;
        }
    }
    Ok(all_held)
}

/// Runs a scenario and prints its report; whether all invariants held.
fn run_scenario(name: &str, options: Options, timeline: bool) -> Result<bool, TrialError> {
    let report = scenarios::run(name, options, true)?;
    let held = report.violations.is_empty();
    let verdict = if held { "held" } else { "BROKEN" };
    print_line(&format!("{name} --seed {}: {verdict}", options.seed));
    for line in &report.figures {
        print_line(&format!("  {line}"));
    }
    if !held || timeline {
        print_line(&report.timeline);
    }
    for line in &report.violations {
        print_line(&format!("  {line}"));
    }
    Ok(held)
}
