//! The command line of oakshed.
//!
//! It owns the sub-commands and the exit status: 0 after a stop in order, 1 where the program
//! cannot start or go on. It must never hold anything that serving needs.

use std::process::ExitCode;

use argh::FromArgs;
use oakshed::config::Config;

/// A scheduler that hands registration jobs to workers in tiers.
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
    Version(Version),
}

/// serve until SIGTERM, as the ROUTER_* variables say
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

/// read the ROUTER_* variables and the file, say what they hold, and end
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let outcome = match argh::from_env::<Args>().command {
        Command::Version(_) => {
            println!("oakshed {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(_) => config().map(|c| {
            println!(
                "{}: listens on {}, director {}, {} classes, {} tenants, {} sockets",
                c.name,
                c.listen,
                c.director,
                c.names.classes.len(),
                c.names.tenants.len(),
                c.sockets
            );
        }),
        Command::Serve(_) => config().and_then(|c| serve(c).map_err(|e| e.to_string())),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("oakshed: {why}");
            ExitCode::FAILURE
        }
    }
}

fn config() -> Result<Config, String> {
    Config::read(|name| std::env::var(name).ok())
}

fn serve(config: Config) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, oakshed::net::serve(config))
}
