//! The command line of the trials.
//!
//! It owns the sub-commands, what is printed, and the exit status: 0 where all held, 1 where not, 130 after
//! Ctrl-C or SIGTERM, when all that was started has been ended.

use std::io::Write as _;
use std::process::ExitCode;

use argh::FromArgs;
use oakshed_trials::plays::{play, Options, ALL, INTERRUPTED};
use oakshed_trials::watchdog;

/// Trials of many oakshed processes with faults between them.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Play(PlayArgs),
    List(List),
    Watchdog(Watch),
}

/// play a trial and tell what came of it
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct PlayArgs {
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

/// tell the trials
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// end what a trial has started once standard input ends; trials start it themselves
#[derive(FromArgs)]
#[argh(subcommand, name = "watchdog")]
struct Watch {}

fn main() -> ExitCode {
    match argh::from_env::<Args>().command {
        Command::Watchdog(_) => {
            watchdog::run(std::io::stdin().lock());
            ExitCode::SUCCESS
        }
        Command::List(_) => {
            ALL.iter().for_each(|play| say(&format!("{:<16} {}", play.name, play.about)));
            ExitCode::SUCCESS
        }
        Command::Play(args) => match run(&args) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(why) => {
                say(&format!("oakshed-trials: {why}"));
                ExitCode::from(if why == INTERRUPTED { 130 } else { 1 })
            }
        },
    }
}

/// Prints a line; whoever reads may have gone.
fn say(line: &str) {
    _ = writeln!(std::io::stdout(), "{line}");
}

fn run(args: &PlayArgs) -> Result<bool, String> {
    if args.schedulers.is_some_and(|n| !(3..=300).contains(&n)) {
        return Err("--schedulers must be 3 to 300".into());
    }
    let names: Vec<&str> = match args.name.as_str() {
        "all" => ALL.iter().map(|play| play.name).collect(),
        name => vec![name],
    };
    let mut held = true;
    for seed in (0..args.rounds).map(|n| args.seed.wrapping_add(n)) {
        for name in &names {
            let report = play(name, Options { seed, schedulers: args.schedulers }, true)?;
            let good = report.broken.is_empty();
            say(&format!("{name} --seed {seed}: {}", if good { "held" } else { "BROKEN" }));
            report.figures.iter().for_each(|line| say(&format!("  {line}")));
            if !good || args.timeline {
                say(&report.timeline);
            }
            report.broken.iter().for_each(|line| say(&format!("  {line}")));
            held &= good;
        }
    }
    Ok(held)
}
