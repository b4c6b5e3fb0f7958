//! A model of the scheduler's environment, which takes random steps and checks each action of the scheduler.

use std::collections::HashMap;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::{row, MS, START};
use crate::steps::Step;

const ENDINGS: [Ending; 8] = [
    Ending::Delivered,
    Ending::Error,
    Ending::Declined,
    Ending::DialFailed,
    Ending::Dropped,
    Ending::Revoked,
    Ending::Unused,
    Ending::LocalFault,
];
const CONDITIONS: [Condition; 3] = [Condition::Active, Condition::Leaving, Condition::Left];

/// An attempt.
struct Attempt {
    worker: u32,
    sent_at: Micros,
    is_open: bool,
    may_have_run: bool,
    is_local_fault: bool,
    is_started: bool,
}

/// A request and its attempts.
struct Request {
    class: u32,
    deadline: Micros,
    answers: u32,
    is_cancelled: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.may_have_run)
    }

    /// Asserts that a request that may have run is retried only at the workers and for the time that its class allows.
    fn check_retry(&self, class: &Class, worker: u32, write_deadline: Option<Micros>, now: Micros) {
        match (class.effect, self.first_that_may_have_run()) {
            (Effect::Unsafe, Some(_)) => panic!("an unsafe request was sent twice"),
            (Effect::Keyed, Some(first)) => {
                assert_eq!(
                    first.worker / 3,
                    worker / 3,
                    "a keyed request was retried in another cell"
                );
                let retry_deadline = write_deadline.expect("a retry has a write deadline");
                assert!(
                    now < retry_deadline
                        && retry_deadline + MAX_PROCESS_PAUSE.as_micros()
                            <= first.sent_at + class.window.as_micros(),
                    "a retry after the deduplication window"
                );
            }
            _ => assert_eq!(
                write_deadline, None,
                "a write deadline without a keyed retry"
            ),
        }
    }
}

/// The scheduler under test, and the state that its actions are checked against.
pub struct Model {
    pub scheduler: Scheduler,
    settings: Settings,
    pub now: Micros,
    requests: HashMap<u128, Request>,
    /// The requests in the order of arrival.
    order: Vec<u128>,
    /// Workers that may get no jobs, and since when.
    inactive: HashMap<u32, Micros>,
    timers: Vec<Micros>,
}

impl Model {
    pub fn new(settings: Settings) -> Self {
        let scheduler = Scheduler::new(settings.clone(), 5).expect("usable");
        let (requests, inactive) = (HashMap::new(), HashMap::new());
        let mut model = Model {
            scheduler,
            settings,
            now: START,
            requests,
            order: Vec::new(),
            inactive,
            timers: Vec::new(),
        };
        let rows: Vec<Row> = (0..8).map(row).collect();
        model.event(Event::List {
            kind: ListKind::Cached,
            rows: &rows,
        });
        model
    }

    fn event(&mut self, event: Event<'_>) {
        self.scheduler.on_event(self.now, event);
        let mut actions = Vec::new();
        self.scheduler.dispatch(self.now, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                worker,
                write_deadline,
            } => self.check_send(id, worker, write_deadline),
            Action::Reject { id, .. } => {
                let request = &self.requests[&id.0];
                let class = &self.settings.classes[request.class as usize];
                assert!(
                    class.effect == Effect::Safe || request.first_that_may_have_run().is_none(),
                    "a request that may have run was rejected"
                );
                self.answer(id);
            }
            Action::Fail { id } => self.answer(id),
            Action::Cancel { id, attempt } => {
                assert!(
                    (attempt as usize) < self.requests[&id.0].attempts.len(),
                    "an attempt that does not exist was cancelled"
                );
            }
            Action::Wake { after } => self.timers.push(self.now + after),
            Action::Probe { .. } | Action::Subscribe => {}
        }
    }

    fn check_send(&mut self, id: RequestId, worker: WorkerId, write_deadline: Option<Micros>) {
        let worker = worker.0 as u32;
        assert!(
            !self.inactive.contains_key(&worker),
            "an attempt to a draining worker"
        );
        let request = self.requests.get_mut(&id.0).expect("a known request");
        assert!(
            request.answers == 0 && !request.is_cancelled,
            "an attempt after the end of its request"
        );
        let counted = request.attempts.iter().filter(|a| !a.is_local_fault);
        assert!(counted.count() < self.settings.max_attempts as usize);
        let open = request.attempts.iter().filter(|a| a.is_open).count();
        assert_eq!(open, 0, "two attempts in flight");
        let class = &self.settings.classes[request.class as usize];
        request.check_retry(class, worker, write_deadline, self.now);
        request.attempts.push(Attempt {
            worker,
            sent_at: self.now,
            is_open: true,
            may_have_run: true,
            is_local_fault: false,
            is_started: false,
        });
    }

    fn answer(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id.0).expect("a known request");
        request.answers += 1;
        assert!(
            request.answers == 1 && !request.is_cancelled,
            "a second answer"
        );
    }

    fn settle(&mut self, id: u128, n: usize, ending: Ending) {
        let r = self.requests.get_mut(&id).expect("known");
        let never_ran = matches!(
            ending,
            Ending::Declined | Ending::DialFailed | Ending::Unused | Ending::LocalFault
        );
        r.attempts[n].is_open = false;
        r.attempts[n].may_have_run = !never_ran;
        r.attempts[n].is_local_fault = ending == Ending::LocalFault;
        if ending == Ending::Delivered && r.answers == 0 && !r.is_cancelled {
            r.answers = 1;
        }
        let finished = r.answers > 0 || r.is_cancelled;
        let id = RequestId(id);
        self.event(Event::Settled {
            id,
            attempt: n as u32,
            ending,
            finished,
            report: None,
        });
    }

    /// Advances the clock, triggers timers when they are due, and lets attempts time out at their request's deadline.
    pub fn wait_until(&mut self, until: Micros) {
        loop {
            let timer = self.timers.iter().copied().min();
            let has_open = |r: &Request| r.attempts.iter().any(|a| a.is_open);
            let end = self
                .requests
                .values()
                .filter(|r| has_open(r))
                .map(|r| r.deadline)
                .min();
            let Some(at) = timer.into_iter().chain(end).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            if timer == Some(at) {
                self.timers.retain(|t| *t != at);
                self.event(Event::Timer);
                continue;
            }
            let is_due = |r: &Request| r.deadline == at && r.attempts.iter().any(|a| a.is_open);
            let id = *self
                .order
                .iter()
                .find(|id| is_due(&self.requests[*id]))
                .expect("a request is due");
            let n = self.requests[&id]
                .attempts
                .iter()
                .position(|a| a.is_open)
                .expect("an attempt is in flight");
            self.settle(id, n, Ending::Expired);
        }
        self.now = until;
        let tolerance = 8 * MS;
        let is_overdue =
            |r: &Request| r.answers == 0 && !r.is_cancelled && r.deadline + tolerance < until;
        assert!(
            !self.requests.values().any(is_overdue),
            "a request got no answer before its deadline"
        );
    }

    /// Returns an attempt in flight, if there is one.
    fn open_attempt(&self, pick: usize) -> Option<(u128, usize)> {
        let open: Vec<(u128, usize)> = self
            .order
            .iter()
            .flat_map(|id| {
                self.requests[id]
                    .attempts
                    .iter()
                    .enumerate()
                    .map(move |(n, a)| (*id, n, a.is_open))
            })
            .filter(|(_, _, open)| *open)
            .map(|(id, n, _)| (id, n))
            .collect();
        (!open.is_empty()).then(|| open[pick % open.len()])
    }

    /// Takes a step.
    pub fn step(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => self.wait_until(self.now + ms * MS),
            Step::Request(class, left) => self.request(class, left * MS),
            Step::Settle(pick, ending) => {
                if let Some((id, n)) = self.open_attempt(pick) {
                    self.settle(id, n, ENDINGS[ending as usize]);
                }
            }
            Step::Start(pick) => {
                if let Some((id, n)) = self.open_attempt(pick) {
                    self.start(id, n);
                }
            }
            Step::Cancel(pick) => self.cancel(pick),
            Step::List(worker, condition) => self.list(worker, CONDITIONS[condition as usize]),
            Step::Failed => self.event(Event::List {
                kind: ListKind::Failed,
                rows: &[],
            }),
        }
    }

    fn request(&mut self, class: u32, remaining: Micros) {
        let id = self.order.len() as u128 + 1;
        let request = Request {
            class,
            deadline: self.now + remaining,
            answers: 0,
            is_cancelled: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        self.order.push(id);
        self.event(Event::Request {
            id: RequestId(id),
            job: Job {
                class,
                tenant: Some(0),
                slots: Some(1.0 + (id % 4) as f64),
                memory: Some(0.5),
                key: None,
                hint: None,
                remaining,
            },
            earlier: &[],
        });
    }

    fn start(&mut self, id: u128, n: usize) {
        let attempt = &mut self.requests.get_mut(&id).expect("known").attempts[n];
        let is_first = !std::mem::replace(&mut attempt.is_started, true);
        if is_first {
            self.event(Event::Started {
                id: RequestId(id),
                attempt: n as u32,
            });
        }
    }

    /// Disconnects the client of an unanswered request, if there is one.
    fn cancel(&mut self, pick: usize) {
        let order = self.order.iter().copied();
        let unanswered: Vec<u128> = order.filter(|id| self.requests[id].answers == 0).collect();
        if !unanswered.is_empty() {
            let id = unanswered[pick % unanswered.len()];
            self.requests.get_mut(&id).expect("known").is_cancelled = true;
            self.event(Event::Cancelled { id: RequestId(id) });
        }
    }

    fn list(&mut self, worker: u32, condition: Condition) {
        if condition == Condition::Active {
            self.inactive.remove(&worker);
        } else {
            self.inactive.insert(worker, self.now);
        }
        let changed = Row {
            condition,
            ..row(worker)
        };
        self.event(Event::List {
            kind: ListKind::Delta,
            rows: &[changed],
        });
    }
}
