//! A fleet of schedulers in virtual time, and a simulated discovery service that serves one call at a time and can
//! reset, reject or ignore calls, go down, or move to another address.
//!
//! The timing under test is that of the real `Facade` and `Watch`, one of each per scheduler.

use std::cell::RefCell;
use std::future::pending;
use std::io::ErrorKind;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::{oneshot, watch, Mutex};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::super::super::workers::ConnectionError;
use super::super::error::CallError;
use super::super::watch::{Discovery, Failure, Watch};
use crate::list::Answer;
use oakshed_core::facade::{
    Condition, Entry, Facade, ListKind, Micros, Observation, Settings, Span,
};
use oakshed_core::interface::{Class, Effect, Scope};

fn connect_error(kind: ErrorKind) -> CallError {
    CallError::Connect(ConnectionError::Connect(kind.into()))
}

pub(super) const MS: Duration = Duration::from_millis(1);
/// The longest that a call may wait in the queue.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// The same for overloadable discovery.
const OVERLOADABLE_MAX_WAIT: Duration = Duration::from_secs(2);
/// At overloadable discovery, a call this soon after the scheduler's last answer continues a watch and is not queued.
const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);

/// The simulated discovery service. The counters tell the calls under way what has happened since they began.
#[derive(Clone, Copy, Default)]
pub(super) struct DiscoveryStatus {
    pub(super) generation: u64,
    pub(super) silences: u64,
    pub(super) resets: u64,
    pub(super) moves: u64,
    pub(super) is_down: bool,
}

/// How far a scheduler has come with its current call.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CallState {
    Calling,
    Answered,
    Failed,
}

pub(super) struct Fleet {
    settings: Settings,
    /// The time that discovery takes to serve one call.
    service_time: Duration,
    /// Whether discovery serves calls also after they have timed out, and those that continue a watch without queueing.
    is_overloadable: bool,
    /// Charge by the call that is being served.
    queue: Rc<Mutex<()>>,
    pub(super) discovery: watch::Sender<DiscoveryStatus>,
    started_at: Instant,
    pub(super) schedulers: RefCell<Vec<SchedulerState>>,
    /// All calls, and those for the whole list.
    pub(super) calls: RefCell<(usize, usize)>,
}

#[derive(Clone)]
pub(super) struct SchedulerState {
    pub(super) call_state: CallState,
    pub(super) calls_to_hang: u32,
    pub(super) calls_to_reject: u32,
    /// The generations received, and when.
    pub(super) received: Vec<(u64, Instant)>,
}

/// One scheduler of the fleet.
struct SimulatedScheduler {
    fleet: Rc<Fleet>,
    index: usize,
    facade: RefCell<Facade>,
}

impl Fleet {
    pub(super) fn new(
        schedulers: usize,
        poll_interval: Duration,
        service_time: Duration,
    ) -> Rc<Fleet> {
        Fleet::with_discovery(schedulers, poll_interval, service_time, false)
    }

    /// Creates a fleet whose discovery serves calls also after they have timed out.
    pub(super) fn with_overloadable_discovery(
        schedulers: usize,
        service_time: Duration,
    ) -> Rc<Fleet> {
        Fleet::with_discovery(schedulers, 10_000 * MS, service_time, true)
    }

    fn with_discovery(
        schedulers: usize,
        poll_interval: Duration,
        service_time: Duration,
        is_overloadable: bool,
    ) -> Rc<Fleet> {
        let class = Class {
            latency_objective: Span::from_millis(400),
            stretch: 1.0,
            deadline: Span::from_millis(2_000),
            priority_weight: 1.0,
            priority: 0,
            effect: Effect::Safe,
            scope: Scope::All,
            window: Span::ZERO,
            kind: None,
        };
        let settings = Settings {
            schedulers: schedulers as u32,
            poll_interval: Span::from_micros(poll_interval.as_micros() as u64),
            list_on_request: true,
            classes: vec![class],
            ..Settings::default()
        };
        let scheduler = SchedulerState {
            call_state: CallState::Answered,
            calls_to_hang: 0,
            calls_to_reject: 0,
            received: Vec::new(),
        };
        Rc::new(Fleet {
            settings,
            service_time,
            is_overloadable,
            queue: Rc::default(),
            discovery: watch::Sender::new(DiscoveryStatus {
                generation: 1,
                ..DiscoveryStatus::default()
            }),
            started_at: Instant::now(),
            schedulers: RefCell::new(vec![scheduler; schedulers]),
            calls: RefCell::default(),
        })
    }

    /// Starts all schedulers at once, with a cached list or without.
    pub(super) fn start(self: &Rc<Fleet>, has_cached_list: bool) {
        for index in 0..self.settings.schedulers as usize {
            let facade =
                RefCell::new(Facade::new(self.settings.clone(), index as u64).expect("usable"));
            let scheduler = SimulatedScheduler {
                fleet: self.clone(),
                index,
                facade,
            };
            tokio::task::spawn_local(async move {
                if has_cached_list {
                    scheduler.report_list(ListKind::Cached);
                }
                let (mut generation, mut at_once) = (has_cached_list.then_some(1), false);
                let mut discovery = scheduler.fleet.discovery.subscribe();
                let (settings, seed) = (&scheduler.fleet.settings, scheduler.index as u64);
                loop {
                    let moves = discovery.borrow_and_update().moves;
                    tokio::select! {
                        _ = discovery.wait_for(|s| s.moves != moves) => {}
                        () = Watch::new(&scheduler, settings, seed).run(&mut generation, at_once) => {}
                    }
                    (generation, at_once) = (None, true);
                }
            });
        }
    }

    /// Changes the state of discovery and wakes the calls that wait for a change.
    pub(super) fn update(&self, change: impl FnOnce(&mut DiscoveryStatus)) {
        self.discovery.send_modify(change);
    }

    /// Waits in discovery's queue, and then for the service time; rejects the call if it waits too long.
    async fn queue_call(self: Rc<Fleet>) -> Result<(), CallError> {
        let rejected = || CallError::Status(StatusCode::SERVICE_UNAVAILABLE);
        if !self.is_overloadable {
            let guard = timeout(MAX_WAIT, self.queue.lock()).await;
            let _guard = guard.map_err(|_| rejected())?;
            sleep(self.service_time).await;
            return Ok(());
        }
        // On a task of its own, so that the call is served also after it has timed out.
        let fleet = self.clone();
        let service = tokio::task::spawn_local(async move {
            let _guard = fleet.queue.lock().await;
            sleep(fleet.service_time).await;
        });
        let served = timeout(OVERLOADABLE_MAX_WAIT, service).await;
        served
            .map_err(|_| rejected())?
            .expect("the task does not panic");
        Ok(())
    }

    /// Serves one call at discovery. Runs on a task of its own: a call that its caller has cancelled is served all the
    /// same.
    async fn serve(
        self: Rc<Fleet>,
        index: usize,
        from: Option<u64>,
        hold: Duration,
    ) -> Result<Answer, CallError> {
        let mut discovery = self.discovery.subscribe();
        let before = *discovery.borrow_and_update();
        if before.is_down {
            return Err(connect_error(ErrorKind::ConnectionRefused));
        }
        let continues_watch = self.is_overloadable && {
            let schedulers = self.schedulers.borrow();
            let last = schedulers[index].received.last();
            last.is_some_and(|(_, at)| at.elapsed() <= WATCH_CONTINUES_WITHIN)
        };
        let (hangs, is_rejected) = {
            let scheduler = &mut self.schedulers.borrow_mut()[index];
            let flags = (
                scheduler.calls_to_hang > 0,
                scheduler.calls_to_hang == 0 && scheduler.calls_to_reject > 0,
            );
            (scheduler.calls_to_hang, scheduler.calls_to_reject) = (
                scheduler.calls_to_hang - u32::from(flags.0),
                scheduler.calls_to_reject - u32::from(flags.1),
            );
            flags
        };
        if is_rejected {
            return Err(CallError::Status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let mut faults = self.discovery.subscribe();
        let answer = async {
            if hangs {
                pending::<()>().await;
            }
            if !continues_watch {
                self.clone().queue_call().await?;
            }
            let silences = discovery.borrow_and_update().silences;
            if from == Some(discovery.borrow().generation) {
                let changed =
                    |s: &DiscoveryStatus| Some(s.generation) != from || s.silences != silences;
                _ = timeout(hold, discovery.wait_for(changed)).await;
                if discovery.borrow().silences != silences {
                    pending::<()>().await;
                }
            }
            let generation = discovery.borrow().generation;
            let entry = if from == Some(generation) { "" } else { ENTRY };
            let text = format!(
                r#"{{"generation":{generation},"reset":{},"instances":[{entry}]}}"#,
                from.is_none()
            );
            Answer::parse(text.as_bytes()).map_err(CallError::MalformedList)
        };
        tokio::select! {
            _ = faults.wait_for(|s| s.resets != before.resets || s.is_down) => {
                Err(connect_error(ErrorKind::ConnectionReset))
            }
            answer = answer => answer,
        }
    }
}

const ENTRY: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:9","lifecycle":"ready"}"#;

/// The clock reading of the schedulers when the fleet is created.
const START: Micros = 50_000_000;

impl SimulatedScheduler {
    fn now(&self) -> Micros {
        START + self.fleet.started_at.elapsed().as_micros() as Micros
    }

    /// Reports a list of one worker to the facade.
    fn report_list(&self, kind: ListKind) {
        // A cached list has to be confirmed before it is used.
        let is_cached = kind == ListKind::Cached;
        let (worker, condition) = (
            "s-1".into(),
            if is_cached {
                Condition::Leaving
            } else {
                Condition::Active
            },
        );
        let entry = Entry {
            worker,
            zone: 0,
            kind: 0,
            cell: 0,
            weight: 1.0,
            condition,
            online_since: 0,
        };
        self.facade
            .borrow_mut()
            .report(self.now(), Observation::List(kind, &[entry]));
    }

    fn set_call_state(&self, state: CallState) {
        self.fleet.schedulers.borrow_mut()[self.index].call_state = state;
    }
}

impl Discovery for SimulatedScheduler {
    type Connection = ();

    async fn call(
        &self,
        _: Option<()>,
        from: Option<u64>,
        hold: Duration,
    ) -> Result<(Answer, ()), CallError> {
        self.set_call_state(CallState::Calling);
        {
            let mut calls = self.fleet.calls.borrow_mut();
            *calls = (calls.0 + 1, calls.1 + usize::from(from.is_none()));
        }
        let (tx, rx) = oneshot::channel();
        let served = self.fleet.clone().serve(self.index, from, hold);
        tokio::task::spawn_local(async move { tx.send(served.await) });
        rx.await
            .expect("the call has a result")
            .map(|answer| (answer, ()))
    }

    async fn poll_requested(&self) {
        loop {
            let due = self.facade.borrow_mut().tick(self.now(), Waker::noop());
            if due.subscribe {
                return;
            }
            let next = due.next.expect("a timer is set") - START;
            sleep_until(self.fleet.started_at + Duration::from_micros(next)).await;
        }
    }

    fn poll_jitter(&self) -> Micros {
        self.facade.borrow().poll_jitter()
    }

    fn has_list(&self) -> bool {
        self.facade.borrow().members().listed > 0
    }

    fn on_answer(&self, answer: &Answer) {
        self.report_list(if answer.reset {
            ListKind::Snapshot
        } else {
            ListKind::Delta
        });
        self.set_call_state(CallState::Answered);
        self.fleet.schedulers.borrow_mut()[self.index]
            .received
            .push((answer.generation, Instant::now()));
    }

    fn on_overdue(&self) {}

    fn on_failure(&self, failure: &Failure) {
        self.set_call_state(CallState::Failed);
        let kind = if failure.is_overload() {
            ListKind::Overloaded
        } else {
            ListKind::Failed
        };
        self.facade
            .borrow_mut()
            .report(self.now(), Observation::List(kind, &[]));
    }
}
