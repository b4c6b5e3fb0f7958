//! `oakshed-prewarm-trial`: the contest of prewarming policies on generated scenarios, and its figures as a table.

use argh::FromArgs;
use oakshed_prewarm::config::Rule;
use oakshed_prewarm::trial::bytes::per_second;
use oakshed_prewarm::trial::contest::{fixed_at, run, Cost, Faults, Policy, Setup};
use oakshed_prewarm::trial::scenarios::{Scenario, SHAPES};
use oakshed_prewarm::{Config, SECOND};

/// Workers in each zone.
const WORKERS_PER_ZONE: usize = 12;
/// The zones.
const ZONES: usize = 4;

/// Runs generated scenarios and prints cold starts against idle warm worker-seconds.
#[derive(FromArgs)]
struct Args {
    /// how many seeds
    #[argh(option, default = "3")]
    seeds: u64,
    /// kinds of each of the five shapes
    #[argh(option, default = "8")]
    each: usize,
    /// hours of a scenario
    #[argh(option, default = "24.0")]
    hours: f64,
    /// schedulers, several with commas
    #[argh(option, default = "String::from(\"3,30,300\")")]
    schedulers: String,
    /// seconds of an idle warm worker that a cold start is worth, several with commas
    #[argh(option, default = "String::from(\"30,100,300,1000\")")]
    worth: String,
    /// machines that are run of the shared ones
    #[argh(option, default = "1")]
    machines: usize,
    /// only this shape: steady, bursts, periodic, wave, rare
    #[argh(option)]
    shape: Option<String>,
    /// the shortest keep-alive of a call, in seconds
    #[argh(option, long = "hold")]
    min_keep_alive_s: Option<u64>,
    /// trouble: only cases whose names have this
    #[argh(option, default = "String::new()")]
    case: String,
    /// bytes: arrivals of a kind in a second that are reported one by one
    #[argh(option, long = "told", default = "1.0")]
    max_exact_rate: f64,
    /// the first seed
    #[argh(option, default = "1")]
    first: u64,
    /// one with all: the window from the 5th to this percentile instead of the price
    #[argh(option)]
    percentile: Option<f64>,
    /// gaps that count
    #[argh(option)]
    memory: Option<f64>,
    /// strength of the plain keep-alive
    #[argh(option)]
    plain: Option<f64>,
    /// front (the default); trouble: the partial failures; bytes: the bytes of rows
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

/// Prints the costs of a policy, and how they compare with those of fixed keep-alives.
fn print_line(name: &str, costs: &[Cost], fixed: &[Cost]) {
    let mean = |figure: fn(&Cost) -> f64| Mean::of(&costs.iter().map(figure).collect::<Vec<_>>());
    let share = mean(|cost| 100.0 * cost.share());
    let idle = mean(|cost| cost.idle / 1_000.0);
    let calls = mean(|cost| cost.calls as f64 / cost.jobs.max(1) as f64);
    print!(
        "{name:<34} cold {:6.2}% ±{:4.2}  idle {:8.1} ks ±{:5.1}  calls/job {:5.2}",
        share.value, share.error, idle.value, idle.error, calls.value
    );
    if !fixed.is_empty() {
        let ratios = costs.iter().zip(fixed);
        let ratios = ratios.map(|(cost, fixed)| cost.cold as f64 / fixed.cold.max(1) as f64);
        let ratio = Mean::of(&ratios.collect::<Vec<_>>());
        print!(
            "  of fixed at equal idle {:5.3} ±{:5.3}",
            ratio.value, ratio.error
        );
    }
    println!();
}

/// The scenarios of all seeds, and the settings that the arguments give.
struct Contest {
    args: Args,
    scenarios: Vec<Scenario>,
}

impl Contest {
    fn new(args: Args) -> Contest {
        let shape = SHAPES
            .into_iter()
            .find(|shape| args.shape == Some(format!("{shape:?}").to_lowercase()));
        let scenario = |seed| {
            let scenario = Scenario::new(seed, args.each, ZONES, args.hours);
            match shape {
                Some(shape) => scenario.only(shape),
                None => scenario,
            }
        };
        let seeds = args.first..args.first + args.seeds;
        Contest {
            scenarios: seeds.map(scenario).collect(),
            args,
        }
    }

    fn setup(&self, cold_start_cost: f64, schedulers: u32, faults: Faults) -> Setup {
        let args = &self.args;
        let defaults = Config::default();
        let window = |late: f64| Rule::Percentiles(0.05, late / 100.0);
        let config = Config {
            cold_start_cost,
            rule: args.percentile.map_or(defaults.rule, window),
            min_keep_alive: args
                .min_keep_alive_s
                .map_or(defaults.min_keep_alive, |seconds| seconds * SECOND),
            gap_memory: args.memory.unwrap_or(defaults.gap_memory),
            default_keep_alive_ratio: args.plain.unwrap_or(defaults.default_keep_alive_ratio),
            ..defaults
        };
        Setup {
            config,
            schedulers,
            workers_per_zone: WORKERS_PER_ZONE,
            zones: ZONES,
            faults,
            after: 0,
        }
    }

    /// The costs of a policy in all scenarios.
    fn costs(&self, policy: Policy, setup: &Setup) -> Vec<Cost> {
        self.scenarios
            .iter()
            .zip(1..)
            .map(|(scenario, seed)| run(scenario, policy, setup, seed))
            .collect()
    }

    /// Runs a policy, and prints its costs beside those of fixed keep-alives with as many idle warm seconds.
    fn compare(&self, name: &str, policy: Policy, setup: &Setup) {
        let costs = self.costs(policy, setup);
        let scenarios = self.scenarios.iter().zip(&costs);
        let fixed: Vec<Cost> = scenarios
            .map(|(scenario, cost)| fixed_at(scenario, setup, cost.idle).1)
            .collect();
        print_line(name, &costs, &fixed);
    }

    fn run_front(&self) {
        let plain = self.setup(300.0, 1, Faults::default());
        print_line("none", &self.costs(Policy::None, &plain), &[]);
        for keep in [10, 30, 100, 300, 1_000] {
            let costs = self.costs(Policy::Fixed(keep * SECOND), &plain);
            print_line(&format!("fixed {keep} s"), &costs, &[]);
        }
        for worth in numbers(&self.args.worth) {
            let one = self.setup(worth, 1, Faults::default());
            self.compare(
                &format!("one with all, worth {worth}"),
                Policy::Central,
                &one,
            );
            for schedulers in numbers(&self.args.schedulers) {
                let many = self.setup(worth, schedulers as u32, Faults::default());
                let name = format!("alone {schedulers}, worth {worth}");
                self.compare(&name, Policy::Alone, &many);
                let name = format!("shared {schedulers}, worth {worth}");
                self.compare(&name, Policy::Shared(self.args.machines), &many);
            }
        }
    }

    fn run_faults(&self) {
        let machines = self.args.machines.max(3);
        for worth in numbers(&self.args.worth) {
            for (name, faults) in fault_cases(self.args.hours) {
                if name.contains(&self.args.case) {
                    let many = self.setup(worth, machines as u32, faults);
                    let name = format!("{name}, worth {worth}");
                    self.compare(&name, Policy::Shared(machines), &many);
                }
            }
        }
    }
}

/// The partial failures, by name.
fn fault_cases(hours: f64) -> [(&'static str, Faults); 10] {
    let none = Faults::default();
    let hour = 3_600 * SECOND;
    let noon = (hours / 2.0 * hour as f64) as u64;
    let late = |late| Faults { late, ..none };
    let lost = |lost| Faults { lost, ..none };
    let split = |split| Faults { split, ..none };
    let restart = |with_snapshot| Faults {
        restart: Some((noon, with_snapshot)),
        ..none
    };
    let stalls = Faults {
        stall_every: hour / 6,
        ..none
    };
    [
        ("none", none),
        ("rows 5 s late", late(5 * SECOND)),
        ("rows 30 s late", late(30 * SECOND)),
        ("rows lost 20%", lost(0.2)),
        ("rows lost 50%", lost(0.5)),
        ("one of them down 60 s every 10 min", stalls),
        ("split 10 s each hour", split(10 * SECOND)),
        ("split 60 s each hour", split(60 * SECOND)),
        ("all restart, snapshots", restart(true)),
        ("all restart, none", restart(false)),
    ]
}

fn print_bytes(args: &Args) {
    for members in numbers(&args.schedulers) {
        let jobs = 320.0_f64.min(3.2 * members);
        let bytes = per_second(members as usize, jobs, 160, 9, args.max_exact_rate);
        let mean = bytes[3..].iter().sum::<f64>() / 6.0;
        println!(
            "{members} members, {jobs} jobs/s, told {}: {mean:.1} B/s of each",
            args.max_exact_rate
        );
    }
}

fn main() {
    let args: Args = argh::from_env();
    if args.what == "bytes" {
        return print_bytes(&args);
    }
    let contest = Contest::new(args);
    let scenarios = contest.scenarios.iter();
    println!(
        "jobs {:?}",
        scenarios
            .map(|scenario| scenario.jobs.len())
            .collect::<Vec<_>>()
    );
    if contest.args.what == "trouble" {
        contest.run_faults();
    } else {
        contest.run_front();
    }
}
