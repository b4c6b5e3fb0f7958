//! Harness that drives one scheduler with events in virtual time and records its actions.
#![allow(dead_code)]

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

pub const MS: Micros = 1_000;
pub const START: Micros = 50_000_000;

/// Returns a class with a latency objective of 400 ms and a deadline of 5 s.
pub fn class(priority_weight: f64, effect: Effect) -> Class {
    Class {
        latency_objective: Span::from_millis(400),
        stretch: 2.0,
        deadline: Span::from_millis(5_000),
        priority_weight,
        priority: 0,
        effect,
        scope: Scope::Cell,
        window: Span::from_millis(4_000),
        kind: None,
    }
}

/// Returns settings with three classes: 0 is premium and safe, 1 is basic and unsafe, 2 is basic and keyed by cell.
pub fn settings() -> Settings {
    let classes = vec![
        class(12.0, Effect::Safe),
        class(1.0, Effect::Unsafe),
        class(1.0, Effect::Keyed),
    ];
    Settings {
        classes,
        ..Settings::default()
    }
}

/// Returns the row of an active worker in zone 0. Each cell has three consecutive workers.
pub fn row(worker: u32) -> Row {
    Row {
        worker: WorkerId(u64::from(worker)),
        zone: 0,
        kind: 0,
        cell: worker / 3,
        weight: 1.0,
        condition: Condition::Active,
        online_since: 0,
    }
}

/// Returns a job that occupies one slot and has 5 s left.
pub fn job(class: u32) -> Job {
    Job {
        class,
        tenant: Some(0),
        slots: Some(1.0),
        memory: Some(0.0),
        key: None,
        hint: None,
        remaining: 5_000 * MS,
    }
}

/// Returns the arrival of a request without earlier attempts.
pub fn arrival(id: RequestId, job: Job) -> Event<'static> {
    Event::Request {
        id,
        job,
        earlier: &[],
    }
}

/// A scheduler under test and its virtual clock.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Micros,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// Id of the last request.
    pub last_id: u128,
}

impl Harness {
    /// Creates a scheduler that knows workers `0..workers` from a cached list.
    pub fn new(settings: Settings, workers: u32) -> Self {
        Harness::with_seed(settings, workers, 11)
    }

    /// Like `new`, with the given seed of the random numbers.
    pub fn with_seed(settings: Settings, workers: u32, seed: u64) -> Self {
        let scheduler = Scheduler::new(settings, seed).expect("usable settings");
        let mut harness = Harness {
            scheduler,
            now: START,
            actions: Vec::new(),
            last_id: 0,
        };
        let rows: Vec<Row> = (0..workers).map(row).collect();
        harness.list(ListKind::Cached, &rows);
        harness
    }

    /// Creates a scheduler that has not received an endpoint list.
    pub fn without_list(settings: Settings, seed: u64) -> Self {
        let scheduler = Scheduler::new(settings, seed).expect("usable settings");
        Harness {
            scheduler,
            now: START,
            actions: Vec::new(),
            last_id: 0,
        }
    }

    /// Passes an event to the scheduler and returns the resulting actions.
    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        self.scheduler.on_event(self.now, event);
        let mut actions = Vec::new();
        self.scheduler.dispatch(self.now, &mut actions);
        self.actions.extend(actions.iter().copied());
        actions
    }

    /// Delivers an endpoint list or a change to it.
    pub fn list(&mut self, kind: ListKind, rows: &[Row]) -> Vec<Action> {
        self.event(Event::List { kind, rows })
    }

    /// Advances the clock and triggers the timer.
    pub fn wait(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.event(Event::Timer)
    }

    pub fn request_with_slots(&mut self, class: u32, slots: f64) -> (RequestId, Vec<Action>) {
        self.request_after_attempts(class, slots, &[])
    }

    /// Sends a request for which a predecessor has made attempts.
    pub fn request_after_attempts(
        &mut self,
        class: u32,
        slots: f64,
        earlier: &[Earlier],
    ) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let job = Job {
            slots: Some(slots),
            ..job(class)
        };
        let actions = self.event(Event::Request { id, job, earlier });
        (id, actions)
    }

    pub fn request(&mut self, class: u32) -> (RequestId, Vec<Action>) {
        self.request_with_slots(class, 1.0)
    }

    pub fn started(&mut self, id: RequestId, attempt: u32) -> Vec<Action> {
        self.event(Event::Started { id, attempt })
    }

    pub fn settled(&mut self, id: RequestId, attempt: u32, ending: Ending) -> Vec<Action> {
        let finished = ending == Ending::Delivered;
        self.event(Event::Settled {
            id,
            attempt,
            ending,
            finished,
            report: None,
        })
    }

    /// Reports that the first attempt of a request was served, with the worker's load report.
    pub fn served_with_report(&mut self, id: RequestId, report: Report) -> Vec<Action> {
        self.event(Event::Settled {
            id,
            attempt: 0,
            ending: Ending::Delivered,
            finished: true,
            report: Some(report),
        })
    }

    /// Runs jobs of a class one at a time, each for `run`.
    pub fn serve(&mut self, class: u32, jobs: u32, run: Micros) {
        for _ in 0..jobs {
            let (id, actions) = self.request(class);
            if sent_to(&actions, id).is_some() {
                self.now += MS;
                self.started(id, 0);
                self.now += run;
                self.settled(id, 0, Ending::Delivered);
            } else {
                self.now += run;
            }
        }
    }
}

/// Returns the worker to which the actions send a request, if they do.
pub fn sent_to(actions: &[Action], wanted: RequestId) -> Option<WorkerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { id, worker, .. } if *id == wanted => Some(*worker),
        _ => None,
    })
}

pub fn rejected(actions: &[Action], wanted: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id, .. } if *id == wanted))
}

pub fn failed(actions: &[Action], wanted: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Fail { id } if *id == wanted))
}
