//! A model of the facade's environment, which takes random steps and checks each step that the facade returns.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{Poll, Waker};

use oakshed_core::facade::{
    self, Condition, Ending, Entry, Facade, Handle, Job, ListKind, Micros, Observation, Settings,
};
use oakshed_core::figures::{RequestCounts, RequestOutcome};
use oakshed_core::interface::{Class, Effect, Scope, Span};

use crate::request::{wake_flag, Attempt, Request, WakeFlag};
use crate::steps::{Step, ENDINGS};

pub const MS: Micros = 1_000;

/// Fleet sizes: a single scheduler, and enough schedulers for first polls to be jittered.
pub const SCHEDULERS: [u32; 2] = [1, 100];

/// Returns settings with two classes, the first of which is unsafe.
pub fn settings(schedulers: u32) -> Settings {
    let class = |priority_weight: f64, effect: Effect| Class {
        latency_objective: Span::from_millis(150),
        stretch: 2.0,
        deadline: Span::from_millis(5_000),
        priority_weight,
        priority: 0,
        effect,
        scope: Scope::All,
        window: Span::from_millis(7_500),
        kind: None,
    };
    let classes = vec![class(10.0, Effect::Unsafe), class(30.0, Effect::Keyed)];
    Settings {
        schedulers,
        classes,
        max_attempts: 4,
        list_on_request: true,
        ..Settings::default()
    }
}

/// The facade under test, and the state that is expected of it.
pub struct Model {
    pub facade: Facade,
    pub now: Micros,
    requests: HashMap<Handle, Request>,
    /// The requests in the order of arrival.
    order: Vec<Handle>,
    active: [bool; 4],
    excluded: [bool; 4],
    /// Start times of the workers.
    started: [Micros; 4],
    timer: Arc<WakeFlag>,
    /// When the timer is due.
    next: Option<Micros>,
    pub subscriptions: u32,
    pub request_counts: RequestCounts,
}

impl Model {
    pub fn new(schedulers: u32) -> Self {
        let facade = Facade::new(settings(schedulers), 3).expect("usable");
        let (requests, order) = (HashMap::new(), Vec::new());
        let mut model = Model {
            facade,
            now: 50_000 * MS,
            requests,
            order,
            active: [true; 4],
            excluded: [false; 4],
            started: [0; 4],
            timer: wake_flag(),
            next: None,
            subscriptions: 0,
            request_counts: RequestCounts::new(2),
        };
        let all: Vec<Entry> = (0..4).map(|w| model.entry(w)).collect();
        model
            .facade
            .report(model.now, Observation::List(ListKind::Cached, &all));
        model.run_handlers();
        model
    }

    /// Whether every request is answered or its client has disconnected.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|r| r.is_closed)
    }

    fn entry(&self, worker: usize) -> Entry {
        let condition = if self.active[worker] {
            Condition::Active
        } else {
            Condition::Leaving
        };
        Entry {
            worker: format!("s-{worker}").into(),
            zone: 0,
            kind: 0,
            cell: 0,
            weight: 1.0,
            condition,
            online_since: self.started[worker],
        }
    }

    /// Runs the timer and every request handler until none makes progress. A handler that was not woken must have no
    /// next step.
    fn run_handlers(&mut self) {
        if self.timer.0.swap(false, Ordering::SeqCst) || self.next.is_some_and(|at| at <= self.now)
        {
            let due = self.facade.tick(self.now, &Waker::from(self.timer.clone()));
            assert!(
                due.next.is_none_or(|at| at > self.now),
                "the timer is due immediately after it has run"
            );
            self.subscriptions += u32::from(due.subscribe);
            self.next = due.next;
        }
        for request in self.order.clone() {
            while !self.requests[&request].is_closed {
                let wake_flag = self.requests[&request].wake_flag.clone();
                let was_woken = wake_flag.0.swap(false, Ordering::SeqCst);
                match self.facade.poll_step(request, &Waker::from(wake_flag)) {
                    Poll::Pending => break,
                    Poll::Ready(step) => {
                        self.requests[&request]
                            .wake_flag
                            .0
                            .store(true, Ordering::SeqCst);
                        assert!(was_woken, "a handler with a next step was not woken");
                        self.handle_step(request, step);
                    }
                }
            }
        }
    }

    fn handle_step(&mut self, request: Handle, step: facade::Step) {
        let outcome = match step {
            facade::Step::Attempt {
                attempt,
                worker,
                until,
                write_deadline,
            } => {
                assert!(write_deadline <= until);
                return self.begin_attempt(request, attempt, &worker, until);
            }
            facade::Step::Serve { attempt } => {
                let ended = self.requests[&request].attempts[attempt].ended;
                assert_eq!(
                    ended,
                    Some(Ending::Delivered),
                    "an attempt without a result was served"
                );
                RequestOutcome::Completed
            }
            facade::Step::Reject { .. } => {
                let r = &self.requests[&request];
                assert!(
                    r.class != 0 || !r.may_have_run(),
                    "rejected though it may have run"
                );
                RequestOutcome::Rejected
            }
            facade::Step::Fail => RequestOutcome::Failed,
            facade::Step::Cancel { attempt } => {
                panic!("attempt {attempt} is cancelled before the answer")
            }
        };
        let r = self.requests.get_mut(&request).expect("known");
        r.pending
            .take()
            .expect("the request ends once")
            .end(outcome);
        self.close(request);
    }

    fn begin_attempt(&mut self, request: Handle, attempt: usize, worker: &str, until: Micros) {
        let r = self.requests.get_mut(&request).expect("known");
        assert_eq!(
            attempt,
            r.attempts.len(),
            "attempts are not numbered in order"
        );
        assert!(r.counted_attempts() < 4 && until >= self.now);
        let number = worker[2..].parse::<usize>().expect("a number");
        assert!(self.active[number], "an attempt to a draining worker");
        assert!(!self.excluded[number], "an attempt to an excluded worker");
        assert!(
            r.class != 0 || !r.may_have_run(),
            "an unsafe request was sent twice"
        );
        r.attempts.push(Attempt { until, ended: None });
    }

    fn close(&mut self, request: Handle) {
        let cancelled = self.facade.close(self.now, request);
        let r = self.requests.get_mut(&request).expect("known");
        assert!(!std::mem::replace(&mut r.is_closed, true), "ended twice");
        r.pending = None; // dropped if the client disconnected, which counts it as abandoned
        for attempt in cancelled {
            // An attempt whose step was not polled yet is not in the model.
            if let Some(attempt) = r.attempts.get_mut(attempt) {
                assert_eq!(
                    attempt.ended.replace(Ending::Revoked),
                    None,
                    "an attempt was cancelled after its end"
                );
            }
        }
        assert!(
            r.attempts.iter().all(|a| a.ended.is_some()),
            "an attempt in flight was not cancelled"
        );
    }

    fn end(&mut self, request: Handle, attempt: usize, ending: Ending) {
        self.requests.get_mut(&request).expect("known").attempts[attempt].ended = Some(ending);
        self.facade
            .report(self.now, Observation::Ended(request, attempt, ending, None));
        // A second end of the same attempt, as when it ends while it is being cancelled, must have no effect.
        self.facade.report(
            self.now,
            Observation::Ended(request, attempt, Ending::Dropped, None),
        );
    }

    /// Advances the clock, runs the timer when it is due, and lets attempts time out.
    pub fn wait_until(&mut self, until: Micros) {
        loop {
            let open = self.requests.iter().flat_map(|(request, r)| {
                let open = r
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, a)| a.ended.is_none());
                open.map(|(n, a)| (a.until, Some((*request, n))))
            });
            let timer = self.next.map(|at| (at, None));
            let first = open
                .chain(timer)
                .min_by_key(|(at, attempt)| (*at, attempt.is_some()));
            let Some((at, timed_out)) = first.filter(|(at, _)| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            if let Some((request, attempt)) = timed_out {
                self.end(request, attempt, Ending::Expired);
            }
            self.run_handlers();
        }
        self.now = until;
    }

    /// Takes a step and runs the handlers.
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.wait_until(self.now + ms * MS),
            Step::Request(class, left) => self.request(class, left),
            Step::Start(pick) => self.start(pick),
            Step::End(pick, ending) => {
                if let Some((request, attempt)) = self.open_attempt(pick) {
                    self.end(request, attempt, ENDINGS[ending]);
                }
            }
            Step::EndAll(ending) => {
                // No handler runs between these ends.
                while let Some((request, attempt)) = self.open_attempt(0) {
                    self.end(request, attempt, ENDINGS[ending]);
                }
            }
            Step::Disconnect(pick) => self.disconnect(pick),
            Step::List(worker, is_active) => self.list_one(worker, is_active),
            Step::Snapshot(mask, have_restarted) => self.list_all(mask, have_restarted),
            Step::Exclude(worker, is_excluded) => self.exclude(worker, is_excluded),
            Step::Failed => {
                let failure = Observation::List(ListKind::Failed, &[]);
                self.facade.report(self.now, failure);
            }
        }
        self.run_handlers();
    }

    /// Returns an attempt in flight, if there is one.
    fn open_attempt(&self, pick: usize) -> Option<(Handle, usize)> {
        let mut open = Vec::new();
        for request in &self.order {
            for (number, attempt) in self.requests[request].attempts.iter().enumerate() {
                if attempt.ended.is_none() {
                    open.push((*request, number));
                }
            }
        }
        (!open.is_empty()).then(|| open[pick % open.len()])
    }

    fn request(&mut self, class: u32, left: u64) {
        let job = Job {
            class,
            tenant: None,
            slots: Some(1.0 + (left % 2) as f64),
            memory: None,
            key: None,
            hint: None,
            remaining: left * MS,
        };
        let request = self.facade.take(self.now, &job);
        self.order.push(request);
        let pending = Some(self.request_counts.begin(Some(class as usize)));
        let new = Request {
            class,
            wake_flag: wake_flag(),
            attempts: Vec::new(),
            is_closed: false,
            pending,
        };
        self.requests.insert(request, new);
    }

    fn start(&mut self, pick: usize) {
        if let Some((request, attempt)) = self.open_attempt(pick) {
            let now = self.now;
            self.facade
                .report(now, Observation::Started(request, attempt));
            self.facade
                .report(now, Observation::Progress(request, attempt));
        }
    }

    /// Disconnects the client of an unanswered request, if there is one.
    fn disconnect(&mut self, pick: usize) {
        let order = self.order.iter().copied();
        let unanswered: Vec<Handle> = order.filter(|r| !self.requests[r].is_closed).collect();
        if !unanswered.is_empty() {
            self.close(unanswered[pick % unanswered.len()]);
        }
    }

    fn list_one(&mut self, worker: usize, is_active: bool) {
        self.active[worker] = is_active;
        let entry = self.entry(worker);
        self.facade
            .report(self.now, Observation::List(ListKind::Delta, &[entry]));
    }

    fn list_all(&mut self, mask: u8, have_restarted: bool) {
        self.active = std::array::from_fn(|w| mask & (1 << w) != 0);
        if have_restarted {
            self.started = [self.now; 4];
        }
        let listed: Vec<Entry> = (0..4)
            .filter(|w| self.active[*w])
            .map(|w| self.entry(w))
            .collect();
        self.facade
            .report(self.now, Observation::List(ListKind::Snapshot, &listed));
    }

    fn exclude(&mut self, worker: usize, is_excluded: bool) {
        let name = format!("s-{worker}");
        let known = if is_excluded {
            self.facade.exclude(self.now, &name)
        } else {
            self.facade.include(self.now, &name)
        };
        assert!(known, "a worker that was listed is unknown");
        assert!(!self.facade.exclude(self.now, "s-9") && !self.facade.include(self.now, "s-9"));
        self.excluded[worker] = is_excluded;
        assert_eq!(self.facade.is_excluded(&name), is_excluded);
    }
}
