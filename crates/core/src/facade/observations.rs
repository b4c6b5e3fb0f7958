//! Translates observations of workers and attempts into events of the scheduler.
//!
//! Also stores the names of listed workers, because the scheduler knows workers only by number. The end of an
//! attempt must reach the scheduler only once.

use super::{Entry, Facade, Handle, Observation, Step};
use crate::interface::{Ending, Event, ListKind, Micros, Report, Row};
use crate::names::worker_id;

/// Unused names are dropped only when there are more than twice this number of names.
const MIN_RETAINED_NAMES: usize = 4_096;

impl Facade {
    /// Passes an observation to the scheduler and carries out the resulting actions.
    pub fn report(&mut self, now: Micros, observation: Observation<'_>) {
        match observation {
            // Does not dispatch: the first poll of discovery must not be scheduled before the cached list is known.
            Observation::WallClock(wall) => self.scheduler.on_event(now, Event::WallClock { wall }),
            Observation::List(kind, entries) => self.on_list(now, kind, entries),
            Observation::Started(request, attempt) => {
                let (id, attempt) = (request.id(), attempt as u32);
                self.feed(now, Event::Started { id, attempt });
            }
            Observation::Progress(request, attempt) => {
                let (id, attempt) = (request.id(), attempt as u32);
                self.feed(now, Event::Progress { id, attempt });
            }
            Observation::Ended(request, attempt, ending, report) => {
                self.on_ended(now, request, attempt, ending, report);
            }
            Observation::Probed(worker, true, report) => {
                self.on_probed(now, worker, Ending::Delivered, report);
            }
            Observation::Probed(worker, false, report) => {
                self.on_probed(now, worker, Ending::DialFailed, report);
            }
            Observation::NotProbed(worker) => self.on_probed(now, worker, Ending::LocalFault, None),
        }
    }

    fn on_probed(&mut self, now: Micros, worker: &str, ending: Ending, report: Option<Report>) {
        let worker = worker_id(worker);
        let event = Event::Probed {
            worker,
            ending,
            report,
        };
        self.feed(now, event);
    }

    fn on_list(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        let mut rows: Vec<Row> = Vec::with_capacity(entries.len());
        for entry in entries {
            let row = entry.with_worker(worker_id(&entry.worker));
            let known = self.worker_names.entry(row.worker);
            let is_same = *known.or_insert_with(|| entry.worker.clone()) == entry.worker;
            self.check_invariant(is_same, "two worker names have the same id");
            rows.push(row);
        }
        self.feed(now, Event::List { kind, rows: &rows });
        self.prune_names();
    }

    /// Drops the names of workers that the scheduler has forgotten, once there are many. Otherwise the names of
    /// departed workers would accumulate.
    fn prune_names(&mut self) {
        let known = self.scheduler.known_workers();
        if self.worker_names.len() > 2 * known.max(MIN_RETAINED_NAMES) {
            let scheduler = &self.scheduler;
            self.worker_names
                .retain(|worker, _| scheduler.knows(*worker) || scheduler.is_excluded(*worker));
        }
    }

    /// Records the end of an attempt. Returns whether it was still in flight: an attempt may end by itself while
    /// it is being cancelled, and only the first report counts.
    pub(super) fn on_ended(
        &mut self,
        now: Micros,
        request: Handle,
        attempt: usize,
        ending: Ending,
        report: Option<Report>,
    ) -> bool {
        let Some(open) = self.requests.get_mut(&request) else {
            return false;
        };
        if !open.end_attempt(attempt) {
            return false;
        }
        self.tally.ended[ending as usize] += 1;
        if ending == Ending::Delivered && open.answer(Step::Serve { attempt }) {
            self.tally.served += 1;
        }
        let event = Event::Settled {
            id: request.id(),
            attempt: attempt as u32,
            ending,
            finished: open.is_answered(),
            report,
        };
        self.feed(now, event);
        self.forget_if_done(request);
        true
    }
}
