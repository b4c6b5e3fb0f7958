//! Graceful shutdown on SIGTERM or SIGINT.
//!
//! The platform sends SIGKILL a fixed time after SIGTERM. The process first serves as before, as requests still arrive
//! (draining), and then closes its connections. Before SIGKILL each request must have its answer, and the process must
//! have exited.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::info;

use super::{Clock, Net};
use oakshed_core::facade::{Micros, Settings};

/// How long connections are served after SIGTERM at least, in microseconds, unless `CLOSE_TIME` leaves less. The
/// platform's front end sends requests for another 0.4 s, and clients use their connections until these are closed.
const MIN_DRAIN_TIME: Micros = 720_000;
/// SIGKILL follows SIGTERM after the longest deadline of a class or this time, whichever is shorter, plus
/// `KILL_MARGIN`; in microseconds.
const MAX_DEADLINE_AWAITED: Micros = 3_000_000;
/// The time that the platform adds to the longest deadline before it sends SIGKILL, in microseconds.
const KILL_MARGIN: Micros = 700_000;
/// How long before SIGKILL the last answer must be written, in microseconds: the process may be paused for 0.15 s just
/// then, and still has to exit.
const ANSWER_MARGIN: Micros = 250_000;
/// The time reserved for closing connections and writing the last answers, in microseconds; `KILL_MARGIN` is longer.
const CLOSE_TIME: Micros = 330_000;
/// How long before SIGKILL idle connections are closed if a successor serves, but not before half of the time has
/// passed; in microseconds. With less time left, a request that arrives last could not be answered.
const IDLE_CLOSE_MARGIN: Micros = 1_000_000;

/// The deadlines of a shutdown in progress.
#[derive(Clone, Copy)]
struct ShutdownTimes {
    /// Requests that arrive later have their deadline limited to `last_answer_at`.
    limits_deadlines_from: Micros,
    /// When the last answer must be written.
    last_answer_at: Micros,
}

/// The progress of this process's shutdown.
pub(crate) struct Shutdown {
    clock: Clock,
    /// Connections are being closed: no new ones are accepted, and requests in progress are finished.
    pub closing: watch::Sender<bool>,
    /// A successor accepts from the listening socket, so this process no longer does.
    pub handed_over: watch::Sender<bool>,
    /// Set when a shutdown is requested.
    times: Cell<Option<ShutdownTimes>>,
}

impl Shutdown {
    /// The state before a shutdown is requested.
    pub(super) fn new(clock: Clock) -> Shutdown {
        Shutdown {
            clock,
            closing: watch::Sender::new(false),
            handed_over: watch::Sender::new(false),
            times: Cell::new(None),
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    pub(crate) fn has_handed_over(&self) -> bool {
        *self.handed_over.borrow()
    }

    /// Limits the deadline of a request that arrived late in a shutdown, so that it is answered before SIGKILL.
    pub(crate) fn limit_deadline(&self, arrived: Micros, deadline: Micros) -> Micros {
        match self.times.get() {
            Some(times) if arrived > times.limits_deadlines_from => {
                deadline.min(times.last_answer_at)
            }
            _ => deadline,
        }
    }

    /// When the last answer must be written; `None` before a shutdown is requested.
    pub(crate) fn last_answer_at(&self) -> Option<tokio::time::Instant> {
        self.times
            .get()
            .map(|times| self.clock.instant(times.last_answer_at))
    }

    /// When the process must exit, which is a quarter of the way from `last_answer_at` to SIGKILL; `None` before a
    /// shutdown is requested.
    pub(crate) fn exit_deadline(&self) -> Option<tokio::time::Instant> {
        self.times
            .get()
            .map(|times| self.clock.instant(times.last_answer_at + ANSWER_MARGIN / 4))
    }
}

/// Waits for SIGTERM or SIGINT, drains, and then closes.
pub(super) async fn shut_down_on_signal(net: Rc<Net>, mut term: Signal, mut int: Signal) {
    tokio::select! { _ = term.recv() => {} _ = int.recv() => {} }
    let has_successor = net.hot_restart.has_ready_successor();
    let time_to_kill = time_to_kill(&net.config.settings);
    let drain_time = drain_time(time_to_kill, has_successor);
    let now = net.clock.now();
    net.shutdown.times.set(Some(ShutdownTimes {
        limits_deadlines_from: now + MIN_DRAIN_TIME / 2,
        last_answer_at: now + time_to_kill.saturating_sub(ANSWER_MARGIN),
    }));
    let ms = drain_time / 1_000;
    info!(ms, "shutdown requested: serving for {ms} ms");
    if has_successor {
        info!("hot restart: no longer accepting");
        net.shutdown.handed_over.send_replace(true);
    }
    tokio::time::sleep(Duration::from_micros(drain_time)).await;
    let owed = net.facade.borrow().unanswered_requests();
    info!(owed, "closing: {owed} requests in flight");
    net.shutdown.closing.send_replace(true);
    if net.durable.is_some() {
        return; // durable jobs outlive the shutdown
    }
    // Answers requests whose deadline is after SIGKILL and whose workers have not responded during the shutdown.
    if let Some(last) = net.shutdown.last_answer_at() {
        tokio::time::sleep_until(last).await;
        net.facade.borrow_mut().answer_all(net.clock.now());
    }
}

/// The time from SIGTERM to SIGKILL, in microseconds.
fn time_to_kill(settings: &Settings) -> Micros {
    let deadlines = settings.classes.iter().map(|c| c.deadline.as_micros());
    deadlines.max().unwrap_or(0).min(MAX_DEADLINE_AWAITED) + KILL_MARGIN
}

/// For how long open connections are still served, in microseconds. This is about half of the time until SIGKILL, as
/// other schedulers may be just as busy, or be shutting down too; the rest is for finishing the requests accepted.
fn drain_time(time_to_kill: Micros, has_successor: bool) -> Micros {
    let half = (time_to_kill / 2).max(MIN_DRAIN_TIME);
    let drain_time = if has_successor {
        half.max(time_to_kill.saturating_sub(IDLE_CLOSE_MARGIN))
    } else {
        half
    };
    // Leaves time to close before SIGKILL even where all deadlines are short.
    drain_time.min(time_to_kill - CLOSE_TIME)
}
