//! The world around the facade, which checks each step that the facade gives.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::{Poll, Waker};

use oakshed_core::facade::{
    self, Condition, Ending, Entry, Facade, Handle, Job, ListKind, Micros, Observation, Settings,
};
use oakshed_core::figures::{RequestCounts, RequestOutcome};
use oakshed_core::interface::{Class, Effect, Scope, Span};

use crate::request::{flag, Flag, Out, Waiting};
use crate::steps::{Step, ENDINGS};

pub const MS: Micros = 1_000;

/// One scheduler, and one among so many that its polls are jittered.
pub const SCHEDULERS: [u32; 2] = [1, 100];

/// Two classes, one of which must not be repeated.
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

/// The facade under test, and what the world around it knows.
pub struct World {
    pub facade: Facade,
    pub now: Micros,
    requests: HashMap<Handle, Waiting>,
    order: Vec<Handle>,
    ready: [bool; 4],
    excluded: [bool; 4],
    started: [Micros; 4],
    timer: Arc<Flag>,
    next: Option<Micros>,
    pub subscriptions: u32,
    pub request_counts: RequestCounts,
}

impl World {
    pub fn new(schedulers: u32) -> Self {
        let facade = Facade::new(settings(schedulers), 3).expect("usable");
        let (requests, order) = (HashMap::new(), Vec::new());
        let mut world = World {
            facade,
            now: 50_000 * MS,
            requests,
            order,
            ready: [true; 4],
            excluded: [false; 4],
            started: [0; 4],
            timer: flag(),
            next: None,
            subscriptions: 0,
            request_counts: RequestCounts::new(2),
        };
        let all: Vec<Entry> = (0..4).map(|b| world.entry(b)).collect();
        world
            .facade
            .report(world.now, Observation::List(ListKind::Cached, &all));
        world.settle();
        world
    }

    /// Whether each request has its answer, or its client has disconnected.
    pub fn all_answered(&self) -> bool {
        self.requests.values().all(|r| r.over)
    }

    fn entry(&self, worker: usize) -> Entry {
        let condition = if self.ready[worker] {
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

    /// Runs every handler that was woken, and the timer, until nothing more is to be done. A handler
    /// that was not woken must have nothing to do.
    fn settle(&mut self) {
        if self.timer.0.swap(false, Ordering::SeqCst) || self.next.is_some_and(|at| at <= self.now)
        {
            let due = self.facade.tick(self.now, &Waker::from(self.timer.clone()));
            assert!(
                due.next.is_none_or(|at| at > self.now),
                "a timer that is always due"
            );
            self.subscriptions += u32::from(due.subscribe);
            self.next = due.next;
        }
        for request in self.order.clone() {
            while !self.requests[&request].over {
                let woken = self.requests[&request].woken.clone();
                let was = woken.0.swap(false, Ordering::SeqCst);
                match self.facade.poll_step(request, &Waker::from(woken)) {
                    Poll::Pending => break,
                    Poll::Ready(step) => {
                        self.requests[&request]
                            .woken
                            .0
                            .store(true, Ordering::SeqCst);
                        assert!(was, "a handler was left asleep");
                        self.take_step(request, step);
                    }
                }
            }
        }
    }

    fn take_step(&mut self, request: Handle, step: facade::Step) {
        let end = match step {
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
                assert_eq!(ended, Some(Ending::Delivered), "only a result is served");
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
                panic!("attempt {attempt} is to be dropped before the answer")
            }
        };
        let r = self.requests.get_mut(&request).expect("known");
        r.owed.take().expect("one end").end(end);
        self.close(request);
    }

    fn begin_attempt(&mut self, request: Handle, attempt: usize, worker: &str, until: Micros) {
        let r = self.requests.get_mut(&request).expect("known");
        assert_eq!(attempt, r.attempts.len(), "attempts are numbered in order");
        assert!(r.counted_attempts() < 4 && until >= self.now);
        let number = worker[2..].parse::<usize>().expect("a number");
        assert!(self.ready[number], "an attempt to a draining worker");
        assert!(!self.excluded[number], "an attempt to an excluded worker");
        assert!(
            r.class != 0 || !r.may_have_run(),
            "a transfer was sent twice"
        );
        r.attempts.push(Out { until, ended: None });
    }

    fn close(&mut self, request: Handle) {
        let drops = self.facade.close(self.now, request);
        let r = self.requests.get_mut(&request).expect("known");
        assert!(!std::mem::replace(&mut r.over, true), "ended twice");
        r.owed = None; // where its client went away, nobody has said how it ended
        for attempt in drops {
            // What was decided on but never begun is not known here.
            if let Some(out) = r.attempts.get_mut(attempt) {
                assert_eq!(
                    out.ended.replace(Ending::Revoked),
                    None,
                    "dropped after its end"
                );
            }
        }
        assert!(
            r.attempts.iter().all(|f| f.ended.is_some()),
            "an attempt was left out"
        );
    }

    fn end(&mut self, request: Handle, attempt: usize, ending: Ending) {
        self.requests.get_mut(&request).expect("known").attempts[attempt].ended = Some(ending);
        self.facade
            .report(self.now, Observation::Ended(request, attempt, ending, None));
        // A second word on the same attempt, as when it ends while it is dropped, changes nothing.
        self.facade.report(
            self.now,
            Observation::Ended(request, attempt, Ending::Dropped, None),
        );
    }

    /// Time passes: the timer comes due, and attempts run out.
    pub fn wait_until(&mut self, until: Micros) {
        loop {
            let open = self.requests.iter().flat_map(|(request, r)| {
                let open = r
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, f)| f.ended.is_none());
                open.map(|(n, f)| (f.until, Some((*request, n))))
            });
            let timer = self.next.map(|at| (at, None));
            let first = open
                .chain(timer)
                .min_by_key(|(at, what)| (*at, what.is_some()));
            let Some((at, what)) = first.filter(|(at, _)| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            if let Some((request, attempt)) = what {
                self.end(request, attempt, Ending::Expired);
            }
            self.settle();
        }
        self.now = until;
    }

    /// Takes a step, and lets every handler run that has something to do.
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.wait_until(self.now + ms * MS),
            Step::Take(class, left) => self.take(class, left),
            Step::Start(pick) => self.start(pick),
            Step::End(pick, ending) => {
                if let Some((request, attempt)) = self.open_attempt(pick) {
                    self.end(request, attempt, ENDINGS[ending]);
                }
            }
            Step::EndAll(ending) => {
                // At one moment: no handler runs in between.
                while let Some((request, attempt)) = self.open_attempt(0) {
                    self.end(request, attempt, ENDINGS[ending]);
                }
            }
            Step::Close(pick) => self.disconnect(pick),
            Step::List(worker, ready) => self.list_one(worker, ready),
            Step::Snapshot(mask, anew) => self.list_all(mask, anew),
            Step::Exclude(worker, is_excluded) => self.exclude(worker, is_excluded),
            Step::Failed => {
                let failure = Observation::List(ListKind::Failed, &[]);
                self.facade.report(self.now, failure);
            }
        }
        self.settle();
    }

    /// One of the attempts that have not ended.
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

    fn take(&mut self, class: u32, left: u64) {
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
        let owed = Some(self.request_counts.begin(Some(class as usize)));
        let new = Waiting {
            class,
            woken: flag(),
            attempts: Vec::new(),
            over: false,
            owed,
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

    /// The client of a request that has no answer yet disconnects.
    fn disconnect(&mut self, pick: usize) {
        let order = self.order.iter().copied();
        let waiting: Vec<Handle> = order.filter(|r| !self.requests[r].over).collect();
        if !waiting.is_empty() {
            self.close(waiting[pick % waiting.len()]);
        }
    }

    fn list_one(&mut self, worker: usize, ready: bool) {
        self.ready[worker] = ready;
        let entry = self.entry(worker);
        self.facade
            .report(self.now, Observation::List(ListKind::Delta, &[entry]));
    }

    fn list_all(&mut self, mask: u8, anew: bool) {
        self.ready = std::array::from_fn(|b| mask & (1 << b) != 0);
        if anew {
            self.started = [self.now; 4];
        }
        let listed: Vec<Entry> = (0..4)
            .filter(|b| self.ready[*b])
            .map(|b| self.entry(b))
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
        assert!(known, "it was listed once");
        assert!(!self.facade.exclude(self.now, "s-9") && !self.facade.include(self.now, "s-9"));
        self.excluded[worker] = is_excluded;
        assert_eq!(self.facade.is_excluded(&name), is_excluded);
    }
}
