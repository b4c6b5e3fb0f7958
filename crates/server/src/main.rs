//! The command line of `oakshed`: subcommands and exit status.
//!
//! The exit status is 0 after a command has succeeded or the server has shut down in order, and 1 after an error. The
//! server itself is in the library crate.

use std::io::{self, Write as _};
use std::process::ExitCode;

use argh::FromArgs;
use oakshed::config::{Config, ConfigError};
use oakshed::logging::{self, Format};
use oakshed::net::ServeError;
use oakshed::operator::{self, OperatorConfig, OperatorFileError};
use thiserror::Error;

mod demo;
mod jobs_cli;

/// Scheduler for registration jobs on tiers of workers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Schema(Schema),
    Demo(Demo),
    Jobs(jobs_cli::Args),
    Version(Version),
}

/// serve until SIGTERM, configured by the ROUTER_* variables
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the operator's file, which enables optional features; without it, all of them are off
    #[argh(option)]
    operator: Option<String>,
    /// log format: text or json
    #[argh(option, default = "Format::Text")]
    log_format: Format,
}

/// validate the ROUTER_* variables and the configuration file, and print a summary
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// also validate this operator's file; only this file if ROUTER_CONFIG is not set
    #[argh(option)]
    operator: Option<String>,
}

/// print the JSON schema of the operator's file
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {}

/// start simulated workers and a scheduler on loopback, send jobs, and keep running until Ctrl-C
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {
    /// number of jobs to send
    #[argh(option, default = "400")]
    jobs: usize,
    /// jobs per second
    #[argh(option, default = "200")]
    rate: u32,
    /// exit after sending the jobs
    #[argh(switch)]
    once: bool,
    /// a new directory for durable jobs; removed on exit
    #[argh(option)]
    store: Option<String>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Why a command failed. The text is a single line.
#[derive(Debug, Error)]
enum CommandError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Jobs(#[from] jobs_cli::JobsCommandError),
    #[error(transparent)]
    Demo(#[from] demo::DemoError),
    /// The async runtime could not be created.
    #[error(transparent)]
    Runtime(#[from] io::Error),
}

fn main() -> ExitCode {
    let outcome = match argh::from_env::<Args>().command {
        Command::Version(_) => {
            println!("oakshed {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(check) => self::check(check.operator.as_deref()),
        Command::Schema(_) => {
            print!("{}", operator::schema());
            Ok(())
        }
        Command::Jobs(args) => jobs_cli::run(args).map_err(CommandError::from),
        Command::Demo(Demo {
            jobs,
            rate,
            once,
            store,
        }) => demo::run(jobs, rate, once, store.as_deref()).map_err(CommandError::from),
        Command::Serve(Serve {
            operator,
            log_format,
        }) => {
            logging::init(log_format);
            read_config(operator.as_deref()).and_then(serve)
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Not an event, as logging has not been initialized in every command.
            _ = writeln!(std::io::stderr(), "oakshed: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_config(operator: Option<&str>) -> Result<Config, CommandError> {
    let config = Config::read(|name| std::env::var(name).ok(), operator)?;
    Ok(config)
}

fn check(operator: Option<&str>) -> Result<(), CommandError> {
    if let Some(path) = operator {
        let settings = OperatorConfig::read(path)?;
        println!(
            "operator file {path}: durable jobs {}",
            if settings.jobs.is_some() { "on" } else { "off" }
        );
        if std::env::var_os("ROUTER_CONFIG").is_none() {
            return Ok(());
        }
    }
    let config = read_config(operator)?;
    println!(
        "{}: listens on {}, discovery {}, {} classes, {} tenants, {} sockets",
        config.name,
        config.listen,
        config.discovery,
        config.names.classes.len(),
        config.names.tenants.len(),
        config.sockets
    );
    Ok(())
}

fn serve(config: Config) -> Result<(), CommandError> {
    let build = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
    };
    let runtime = oakshed::net::retry_at_start(build)?;
    tokio::task::LocalSet::new().block_on(&runtime, oakshed::net::serve(config))?;
    Ok(())
}
