//! The way of a shutdown: from SIGTERM or SIGINT to the last answer.
//!
//! It owns the state and the times of a shutdown. It must never leave a request without an answer before SIGKILL, or
//! keep the process from ending by then.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::info;

use super::{Clock, Net};
use oakshed_core::facade::{Micros, Settings};

/// How long after SIGTERM the platform may still bring requests that must be answered, whatever else: its
/// front sends some for 0.4 s, and clients use their connections until these are closed.
const LINGER: Micros = 720_000;
/// SIGKILL follows SIGTERM after the longest deadline, or this where that is longer, and a bit.
const LONGEST_STOP: Micros = 3_000_000;
const STOP_MARGIN: Micros = 700_000;
/// The last answer is out this long before SIGKILL: the process may be paused for 0.15 s just then, and has to end.
const BEFORE_KILL: Micros = 250_000;
/// Closing takes so long, the last answers included; the platform's margin is longer.
const CLOSING: Micros = 330_000;
/// What is idle is closed so long before SIGKILL, or half of the time there is, where the next process serves: later,
/// what comes at the last moment could not be answered any more.
const IDLE_UNTIL: Micros = 1_000_000;

/// The times of a shutdown that has begun.
#[derive(Clone, Copy)]
struct ShutdownTimes {
    /// Requests that arrive later have `last_answer` as their deadline.
    bounds_arrivals_after: Micros,
    /// When the last answer has to be written.
    last_answer: Micros,
}

/// How far the shutdown of this process has come.
pub(crate) struct Shutdown {
    clock: Clock,
    /// Nothing new is taken, and what is open is finished.
    pub closing: watch::Sender<bool>,
    /// The successor has the listening socket: nothing more is accepted.
    pub handed_over: watch::Sender<bool>,
    /// Set at SIGTERM.
    times: Cell<Option<ShutdownTimes>>,
}

impl Shutdown {
    /// A process that goes on.
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

    /// A deadline, cut to what SIGKILL leaves of it. Prevents a request that was taken late in a shutdown
    /// from being cut off without an answer.
    pub(crate) fn bounded(&self, arrived: Micros, deadline: Micros) -> Micros {
        match self.times.get() {
            Some(times) if arrived > times.bounds_arrivals_after => deadline.min(times.last_answer),
            _ => deadline,
        }
    }

    /// When the last answer of a shutdown has to be written.
    pub(crate) fn last_answer(&self) -> Option<tokio::time::Instant> {
        self.times
            .get()
            .map(|times| self.clock.instant(times.last_answer))
    }

    /// When nothing may be left of this process in a shutdown: a quarter of what is left then until SIGKILL.
    pub(crate) fn exit_deadline(&self) -> Option<tokio::time::Instant> {
        self.times
            .get()
            .map(|times| self.clock.instant(times.last_answer + BEFORE_KILL / 4))
    }
}

/// Waits for a signal, serves on for a while, and closes then.
pub(super) async fn shut_down_on_signal(net: Rc<Net>, mut term: Signal, mut int: Signal) {
    tokio::select! { _ = term.recv() => {} _ = int.recv() => {} }
    let has_successor = net.hot_restart.has_ready_successor();
    let kill = time_to_kill(&net.config.settings);
    let linger = linger(kill, has_successor);
    let now = net.clock.now();
    net.shutdown.times.set(Some(ShutdownTimes {
        bounds_arrivals_after: now + LINGER / 2,
        last_answer: now + kill.saturating_sub(BEFORE_KILL),
    }));
    let ms = linger / 1_000;
    info!(ms, "shutdown requested: serving for {ms} ms");
    if has_successor {
        info!("hot restart: no longer accepting");
        net.shutdown.handed_over.send_replace(true);
    }
    tokio::time::sleep(Duration::from_micros(linger)).await;
    let owed = net.facade.borrow().unanswered_requests();
    info!(owed, "closing: {owed} requests in flight");
    net.shutdown.closing.send_replace(true);
    if net.durable.is_some() {
        return; // its jobs outlive the shutdown
    }
    // Answers what has a deadline beyond SIGKILL, at workers that hang through all of the shutdown.
    if let Some(last) = net.shutdown.last_answer() {
        tokio::time::sleep_until(last).await;
        net.facade.borrow_mut().answer_all(net.clock.now());
    }
}

/// From SIGTERM to SIGKILL, in microseconds.
fn time_to_kill(settings: &Settings) -> Micros {
    let deadlines = settings.classes.iter().map(|c| c.deadline.as_micros());
    deadlines.max().unwrap_or(0).min(LONGEST_STOP) + STOP_MARGIN
}

/// For how long open connections are served on, in microseconds: about half of the time there is, as the other
/// schedulers may be just as busy, or stopped themselves; what is left is for what was taken.
fn linger(kill: Micros, has_successor: bool) -> Micros {
    let half = (kill / 2).max(LINGER);
    let linger = if has_successor {
        half.max(kill.saturating_sub(IDLE_UNTIL))
    } else {
        half
    };
    // Prevents deadlines so short that SIGKILL comes first.
    linger.min(kill - CLOSING)
}
