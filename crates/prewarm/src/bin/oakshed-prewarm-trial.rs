//! Compares prewarming policies on generated scenarios, and prints their costs as a table.

use argh::FromArgs;
use oakshed_prewarm::config::Rule;
use oakshed_prewarm::trial::bytes::row_bytes_per_second;
use oakshed_prewarm::trial::contest::{fixed_with_equal_idle, run, Cost, Faults, Policy, Setup};
use oakshed_prewarm::trial::scenarios::{Scenario, SHAPES};
use oakshed_prewarm::{Config, SECOND};

/// The number of workers in each zone.
const WORKERS_PER_ZONE: usize = 12;
/// The number of zones.
const ZONES: usize = 4;

/// Compares prewarming policies on generated scenarios: cold starts against idle warm worker-seconds.
#[derive(FromArgs)]
struct Args {
    /// number of seeds; each seed is one scenario
    #[argh(option, default = "3")]
    seeds: u64,
    /// kinds of each of the five shapes
    #[argh(option, long = "each", default = "8")]
    kinds_per_shape: usize,
    /// length of a scenario in hours
    #[argh(option, default = "24.0")]
    hours: f64,
    /// numbers of schedulers, separated by commas
    #[argh(option, default = "String::from(\"3,30,300\")")]
    schedulers: String,
    /// costs of a cold start in idle warm worker-seconds, separated by commas
    #[argh(option, long = "worth", default = "String::from(\"30,100,300,1000\")")]
    cold_start_costs: String,
    /// number of machines that are simulated with shared rows
    #[argh(option, default = "1")]
    machines: usize,
    /// only kinds of this shape: steady, bursts, periodic, wave, rare
    #[argh(option)]
    shape: Option<String>,
    /// the shortest keep-alive of a call, in seconds
    #[argh(option, long = "hold")]
    min_keep_alive_s: Option<u64>,
    /// trouble: only cases whose names contain this text
    #[argh(option, long = "case", default = "String::new()")]
    case_filter: String,
    /// bytes: arrivals per second up to which each arrival of a kind is reported
    #[argh(option, long = "told", default = "1.0")]
    max_exact_rate: f64,
    /// the first seed
    #[argh(option, long = "first", default = "1")]
    first_seed: u64,
    /// keep warm from the 5th to this percentile of gaps instead of above the break-even rate
    #[argh(option, long = "percentile")]
    late_percentile: Option<f64>,
    /// memory of the histogram, in gaps
    #[argh(option, long = "memory")]
    gap_memory: Option<f64>,
    /// default keep-alive as a share of the cold-start cost
    #[argh(option, long = "plain")]
    default_keep_alive_ratio: Option<f64>,
    /// front (default): compare policies; trouble: partial failures; bytes: size of shared rows
    #[argh(positional, default = "String::from(\"front\")")]
    what: String,
}

fn numbers(text: &str) -> Vec<f64> {
    text.split(',')
        .filter_map(|number| number.trim().parse().ok())
        .collect()
}

/// A mean and its standard error.
struct Mean {
    value: f64,
    error: f64,
}

impl Mean {
    fn of(values: &[f64]) -> Mean {
        let n = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / n;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let variance = squares / (n - 1.0).max(1.0);
        Mean {
            value: mean,
            error: (variance / n).sqrt(),
        }
    }
}

/// Prints the costs of a policy, and the ratio of its cold starts to those of fixed keep-alives.
fn print_line(name: &str, costs: &[Cost], fixed: &[Cost]) {
    let mean = |figure: fn(&Cost) -> f64| Mean::of(&costs.iter().map(figure).collect::<Vec<_>>());
    let share = mean(|cost| 100.0 * cost.cold_share());
    let idle = mean(|cost| cost.idle_s / 1_000.0);
    let calls = mean(|cost| cost.calls as f64 / cost.jobs.max(1) as f64);
    print!(
        "{name:<34} cold {:6.2}% ±{:4.2}  idle {:8.1} ks ±{:5.1}  calls/job {:5.2}",
        share.value, share.error, idle.value, idle.error, calls.value
    );
    if !fixed.is_empty() {
        let ratios = costs.iter().zip(fixed);
        let ratios =
            ratios.map(|(cost, fixed)| cost.cold_starts as f64 / fixed.cold_starts.max(1) as f64);
        let ratio = Mean::of(&ratios.collect::<Vec<_>>());
        print!(
            "  cold vs fixed at equal idle {:5.3} ±{:5.3}",
            ratio.value, ratio.error
        );
    }
    println!();
}

/// The scenarios of all seeds, and the arguments.
struct Trial {
    args: Args,
    scenarios: Vec<Scenario>,
}

impl Trial {
    fn new(args: Args) -> Trial {
        let shape = SHAPES
            .into_iter()
            .find(|shape| args.shape == Some(format!("{shape:?}").to_lowercase()));
        let scenario = |seed| {
            let scenario = Scenario::new(seed, args.kinds_per_shape, ZONES, args.hours);
            match shape {
                Some(shape) => scenario.only_shape(shape),
                None => scenario,
            }
        };
        let seeds = args.first_seed..args.first_seed + args.seeds;
        Trial {
            scenarios: seeds.map(scenario).collect(),
            args,
        }
    }

    fn setup(&self, cold_start_cost: f64, schedulers: u32, faults: Faults) -> Setup {
        let args = &self.args;
        let defaults = Config::default();
        let percentiles = |late: f64| Rule::Percentiles(0.05, late / 100.0);
        let config = Config {
            cold_start_cost,
            rule: args.late_percentile.map_or(defaults.rule, percentiles),
            min_keep_alive: args
                .min_keep_alive_s
                .map_or(defaults.min_keep_alive, |seconds| seconds * SECOND),
            gap_memory: args.gap_memory.unwrap_or(defaults.gap_memory),
            default_keep_alive_ratio: args
                .default_keep_alive_ratio
                .unwrap_or(defaults.default_keep_alive_ratio),
            ..defaults
        };
        Setup {
            config,
            schedulers,
            workers_per_zone: WORKERS_PER_ZONE,
            zones: ZONES,
            faults,
            measure_after: 0,
        }
    }

    /// Runs a policy on all scenarios.
    fn costs(&self, policy: Policy, setup: &Setup) -> Vec<Cost> {
        self.scenarios
            .iter()
            .zip(1..)
            .map(|(scenario, seed)| run(scenario, policy, setup, seed))
            .collect()
    }

    /// Runs a policy, and prints its costs next to those of fixed keep-alives with equal idle time.
    fn compare(&self, name: &str, policy: Policy, setup: &Setup) {
        let costs = self.costs(policy, setup);
        let scenarios = self.scenarios.iter().zip(&costs);
        let fixed: Vec<Cost> = scenarios
            .map(|(scenario, cost)| fixed_with_equal_idle(scenario, setup, cost.idle_s).1)
            .collect();
        print_line(name, &costs, &fixed);
    }

    fn compare_policies(&self) {
        let baseline = self.setup(300.0, 1, Faults::default());
        print_line("none", &self.costs(Policy::None, &baseline), &[]);
        for keep in [10, 30, 100, 300, 1_000] {
            let costs = self.costs(Policy::Fixed(keep * SECOND), &baseline);
            print_line(&format!("fixed {keep} s"), &costs, &[]);
        }
        for cold_start_cost in numbers(&self.args.cold_start_costs) {
            let central = self.setup(cold_start_cost, 1, Faults::default());
            self.compare(
                &format!("central, worth {cold_start_cost}"),
                Policy::Central,
                &central,
            );
            for schedulers in numbers(&self.args.schedulers) {
                let setup = self.setup(cold_start_cost, schedulers as u32, Faults::default());
                let name = format!("alone {schedulers}, worth {cold_start_cost}");
                self.compare(&name, Policy::LocalOnly, &setup);
                let name = format!("shared {schedulers}, worth {cold_start_cost}");
                self.compare(&name, Policy::Shared(self.args.machines), &setup);
            }
        }
    }

    fn compare_faults(&self) {
        let machines = self.args.machines.max(3);
        for cold_start_cost in numbers(&self.args.cold_start_costs) {
            for (name, faults) in fault_cases(self.args.hours) {
                if name.contains(&self.args.case_filter) {
                    let setup = self.setup(cold_start_cost, machines as u32, faults);
                    let name = format!("{name}, worth {cold_start_cost}");
                    self.compare(&name, Policy::Shared(machines), &setup);
                }
            }
        }
    }
}

/// The cases with partial failures, by name.
fn fault_cases(hours: f64) -> [(&'static str, Faults); 10] {
    let none = Faults::default();
    let hour = 3_600 * SECOND;
    let midpoint = (hours / 2.0 * hour as f64) as u64;
    let delayed = |row_delay| Faults { row_delay, ..none };
    let lossy = |row_loss| Faults { row_loss, ..none };
    let partitioned = |partition_duration| Faults {
        partition_duration,
        ..none
    };
    let restart = |with_snapshot| Faults {
        restart: Some((midpoint, with_snapshot)),
        ..none
    };
    let stalling = Faults {
        stall_interval: hour / 6,
        ..none
    };
    [
        ("none", none),
        ("rows 5 s late", delayed(5 * SECOND)),
        ("rows 30 s late", delayed(30 * SECOND)),
        ("rows lost 20%", lossy(0.2)),
        ("rows lost 50%", lossy(0.5)),
        ("one of them down 60 s every 10 min", stalling),
        ("split 10 s each hour", partitioned(10 * SECOND)),
        ("split 60 s each hour", partitioned(60 * SECOND)),
        ("all restart, snapshots", restart(true)),
        ("all restart, none", restart(false)),
    ]
}

fn print_bytes(args: &Args) {
    for members in numbers(&args.schedulers) {
        let jobs = 320.0_f64.min(3.2 * members);
        let bytes = row_bytes_per_second(members as usize, jobs, 160, 9, args.max_exact_rate);
        let mean = bytes[3..].iter().sum::<f64>() / 6.0;
        println!(
            "{members} members, {jobs} jobs/s, exact up to {}/s: {mean:.1} B/s per member",
            args.max_exact_rate
        );
    }
}

fn main() {
    let args: Args = argh::from_env();
    if args.what == "bytes" {
        return print_bytes(&args);
    }
    let trial = Trial::new(args);
    let scenarios = trial.scenarios.iter();
    println!(
        "jobs {:?}",
        scenarios
            .map(|scenario| scenario.jobs.len())
            .collect::<Vec<_>>()
    );
    if trial.args.what == "trouble" {
        trial.compare_faults();
    } else {
        trial.compare_policies();
    }
}
