//! Startup of the scheduler, and its operation until it exits.
//!
//! Settings, addresses and stores that cannot be used fail the startup before a predecessor is affected. Connections
//! are accepted only once all other tasks are running.

use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::{info, warn};

use super::clock::{wall_clock, Clock};
use super::counters::{log_counters, Summary};
use super::error::ServeError;
use super::executed_ids::{remove_obsolete_journals, ExecutedIds};
use super::hot_restart::{self, SharedDirectory};
use super::reload::reload_on_signal;
use super::shutdown::shut_down_on_signal;
use super::timer::run_timer;
use super::transient::retry_at_start;
use super::{admin, discovery, durable, exclusions, front, memory, peers, workers, Net};
use crate::config::Config;
use oakshed_core::facade::{Facade, Observation};

/// Runs the scheduler until SIGTERM or SIGINT, and then until all accepted requests are answered.
///
/// # Errors
///
/// Returns an error if the settings are invalid, or if a socket, signal handler or store cannot be opened at startup.
pub async fn serve(mut config: Config) -> Result<(), ServeError> {
    // Installed first, as a signal without a handler would kill the process.
    let signals = Signals::install()?;
    let mut facade = Facade::new(config.settings.clone(), config.seed)?;
    let admin = config.admin.map(admin::listen).transpose()?;
    let clock = Clock::new();
    // Opened before the hot restart begins: only one process can use a store, and if it is in use the predecessor must
    // not be disturbed.
    let (durable, store_events) = durable::open(&config, clock.now())?;
    let peers = peers::open(&config, clock.now())?;
    let directory = SharedDirectory::open(config.tmp.as_deref(), config.listen).map(Rc::new);
    let executed_ids = ExecutedIds::new(config.memory);
    if let Some(directory) = &directory {
        executed_ids.share(directory.root());
    }
    let resources =
        StartupResources::open(directory, &mut config, &mut facade, clock, &executed_ids)?;
    if let Some(notice) = durable::missing_lease_notice(&config) {
        info!("store: {notice}");
    }
    let mut net = Net::new(config, clock, facade, executed_ids, durable);
    net.peers = peers;
    let net = Rc::new(net);
    log_start(&net, &resources.listener)?;
    tokio::task::spawn_local(durable::run(net.clone(), store_events));
    if let Some(directory) = &resources.directory {
        exclusions::start(&net, directory);
    }
    net.report(Observation::WallClock(wall_clock()));
    discovery::load_cached_list(&net, resources.inherited_list);
    if net.peers.is_some() {
        tokio::task::spawn_local(peers::run(net.clone()));
    }
    net.started.set(true);
    spawn_tasks(&net, signals);
    if let Some(admin) = admin {
        let at = retry_at_start(|| admin.local_addr())?;
        info!(%at, "operators' address: listening on {at}");
        tokio::task::spawn_local(admin::run(net.clone(), admin));
    }
    let listener = resources.join_hot_restart(&net);
    front::run(&net, listener).await;
    info!("stopped: {}", Summary::of(&net));
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> io::Result<Signals> {
        let handler = |kind| retry_at_start(|| signal(kind));
        Ok(Signals {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            hangup: handler(SignalKind::hangup())?,
        })
    }
}

/// The resources opened at startup, or inherited from the predecessor.
struct StartupResources {
    directory: Option<Rc<SharedDirectory>>,
    listener: TcpListener,
    /// A duplicate of the listener, to be passed to a successor.
    listener_duplicate: io::Result<OwnedFd>,
    /// The connection to the predecessor.
    predecessor: Option<UnixStream>,
    /// The endpoint list was inherited from a predecessor that acts on it.
    inherited_list: bool,
}

impl StartupResources {
    /// Takes over the listener of a predecessor, or binds a new one if there is no predecessor.
    fn open(
        directory: Option<Rc<SharedDirectory>>,
        config: &mut Config,
        facade: &mut Facade,
        clock: Clock,
        executed_ids: &ExecutedIds,
    ) -> Result<StartupResources, ServeError> {
        let inherited = directory.as_ref().and_then(|directory| {
            hot_restart::take_over(directory, config, || executed_ids.is_other_running())
        });
        let mut inherited_list = false;
        let mut predecessor = None;
        let listener = match inherited {
            Some(inherited) => {
                inherited_list = inherited.is_list_in_use;
                config.cached_list = inherited.list.or(config.cached_list.take());
                facade.resume_handover_state(clock.now(), &inherited.state);
                facade.resume_warming(clock.now(), &inherited.warming);
                facade.resume_departed(inherited.departed);
                predecessor = Some(inherited.link);
                TcpListener::from_std(inherited.listener)?
            }
            None => front::listen(config.listen, directory.is_some())?,
        };
        let listener_duplicate = retry_at_start(|| Ok(rustix::io::dup(&listener)?));
        Ok(StartupResources {
            directory,
            listener,
            listener_duplicate,
            predecessor,
            inherited_list,
        })
    }

    /// Replaces the predecessor and awaits a successor, if the processes have a shared directory; returns the listener.
    fn join_hot_restart(self, net: &Rc<Net>) -> TcpListener {
        if let Some(directory) = self.directory {
            match self.listener_duplicate {
                Ok(duplicate) => hot_restart::start(net, directory, duplicate, self.predecessor),
                Err(e) => {
                    warn!(error = %e, "hot restart: {e}; no successor can take over from this process");
                }
            }
        }
        self.listener
    }
}

fn log_start(net: &Net, listener: &TcpListener) -> io::Result<()> {
    let listen = retry_at_start(|| listener.local_addr())?;
    let Config {
        name,
        discovery,
        sockets,
        ..
    } = &net.config;
    info!(%listen, %discovery, sockets, "{name} listens on {listen}, discovery {discovery}, {sockets} sockets");
    Ok(())
}

/// Spawns the tasks that run until the process exits.
fn spawn_tasks(net: &Rc<Net>, signals: Signals) {
    let Signals {
        terminate,
        interrupt,
        hangup,
    } = signals;
    tokio::task::spawn_local(run_timer(net.clone()));
    tokio::task::spawn_local(discovery::run(net.clone()));
    tokio::task::spawn_local(workers::close_expired_connections(net.clone()));
    tokio::task::spawn_local(log_counters(net.clone()));
    tokio::task::spawn_local(memory::maintain(net.clone()));
    tokio::task::spawn_local(remove_obsolete_journals(net.clone()));
    tokio::task::spawn_local(reload_on_signal(net.clone(), hangup));
    tokio::task::spawn_local(shut_down_on_signal(net.clone(), terminate, interrupt));
}
