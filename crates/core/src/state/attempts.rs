//! The life cycle of attempts: opened, started, observed, lost and closed.
//!
//! An attempt counts towards its worker's load while it is open and not lost. Sending an attempt and
//! answering its request are left to `scheduler`.

use super::request::{EndedAttempt, StartedAttempt};
use super::{Attempt, AttemptId, Scheduler, WorkerIndex};
use crate::interface::{Condition, Earlier, Ending, RequestId, Row, WorkerId, UNKNOWN};
use crate::time::{Instant, Span};

/// What an attempt contributes to the counts of its worker.
struct Occupancy {
    slots: f64,
    is_started: bool,
}

impl Scheduler {
    /// Records the attempts made by a predecessor as closed ones that may have run.
    pub(crate) fn inherit(&mut self, earlier: &[Earlier]) -> Vec<Attempt> {
        let mut inherited = Vec::with_capacity(earlier.len());
        for attempt in earlier {
            let worker = self.find_or_add_unlisted(attempt.worker);
            let sent = self.now.saturating_sub(Span::from_micros(attempt.ago));
            inherited.push(Attempt::inherited(worker, sent));
        }
        inherited
    }

    /// The index of a worker. An unknown one is added as having left, with an unknown zone and cell, so that
    /// it belongs to no zone or cell group.
    fn find_or_add_unlisted(&mut self, worker: WorkerId) -> WorkerIndex {
        if let Some(index) = self.workers.find(worker) {
            return index;
        }
        let unlisted = Row {
            worker,
            zone: UNKNOWN,
            kind: UNKNOWN,
            cell: UNKNOWN,
            weight: 1.0,
            condition: Condition::Left,
            online_since: 0,
        };
        self.apply_row(&unlisted).worker
    }

    /// Records an attempt that is sent now. `cost` is what it takes from its worker's slow-start budget.
    pub(crate) fn open_attempt(
        &mut self,
        id: RequestId,
        w: WorkerIndex,
        cost: f64,
        is_trial: bool,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts.len();
        request.attempts.push(Attempt {
            cost,
            is_trial,
            ..Attempt::open(w, now)
        });
        request.open += 1;
        let slots = request.slots;
        let reports_start = self.settings.reports_start;
        let worker = &mut self.workers[w];
        let at_worker = &mut worker.in_flight;
        if at_worker.open == 0 || reports_start && at_worker.unstarted == 0 {
            worker.health.unobserved_since = now;
        }
        at_worker.attempts.push(AttemptId {
            request: id,
            number,
        });
        at_worker.open += 1;
        at_worker.unstarted += u32::from(reports_start);
        at_worker.last_sent = now;
        self.watch(w);
        self.add_slots_in_flight(w, slots);
        self.rates.count_departure(now, self.mean_run);
    }

    /// Records that an attempt started. Returns `None` if it is unknown, closed or had started before.
    pub(crate) fn start_attempt(&mut self, attempt: AttemptId) -> Option<StartedAttempt> {
        self.observe_attempt(attempt);
        let now = self.now;
        let request = self.requests.get_mut(&attempt.request)?;
        let record = request.attempts.get_mut(attempt.number)?;
        if !record.is_open || record.started.is_some() {
            return None;
        }
        record.started = Some(now);
        let sent = record.sent;
        let started = StartedAttempt {
            worker: record.worker,
            class: request.class,
            slots: request.slots,
            waited: (now - sent).as_micros_f64(),
        };
        let at_worker = &mut self.workers[started.worker].in_flight;
        at_worker.unstarted = at_worker.unstarted.saturating_sub(1);
        self.mark_overtaken_as_lost(started.worker, sent);
        Some(started)
    }

    /// Records that an attempt ended. Returns `None` if it is unknown or had ended before.
    pub(crate) fn close_attempt(
        &mut self,
        attempt: AttemptId,
        how: Ending,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&attempt.request)?;
        let record = request.attempts.get_mut(attempt.number)?;
        if !record.is_open {
            return None;
        }
        record.is_open = false;
        record.may_have_run = !matches!(
            how,
            Ending::Declined | Ending::DialFailed | Ending::Unused | Ending::LocalFault
        );
        record.is_local_fault = how == Ending::LocalFault;
        request.open -= 1;
        let ended = EndedAttempt {
            worker: record.worker,
            class: request.class,
            slots: request.slots,
            size: request.size,
            sent: record.sent,
            started: record.started,
        };
        let is_counted = !record.is_lost;
        let at_worker = &mut self.workers[ended.worker].in_flight;
        at_worker.attempts.retain(|known| *known != attempt);
        if is_counted {
            let occupancy = Occupancy {
                slots: ended.slots,
                is_started: ended.started.is_some(),
            };
            self.stop_counting(ended.worker, &occupancy);
        }
        Some(ended)
    }

    /// Adds an attempt to the counts of its worker.
    fn start_counting(&mut self, w: WorkerIndex, occupancy: &Occupancy) {
        let unstarted = self.counts_as_unstarted(occupancy);
        let at_worker = &mut self.workers[w].in_flight;
        at_worker.open += 1;
        at_worker.unstarted += unstarted;
        self.add_slots_in_flight(w, occupancy.slots);
    }

    /// Removes an attempt from the counts of its worker.
    fn stop_counting(&mut self, w: WorkerIndex, occupancy: &Occupancy) {
        let unstarted = self.counts_as_unstarted(occupancy);
        let at_worker = &mut self.workers[w].in_flight;
        at_worker.open = at_worker.open.saturating_sub(1);
        at_worker.unstarted = at_worker.unstarted.saturating_sub(unstarted);
        self.add_slots_in_flight(w, -occupancy.slots);
    }

    fn counts_as_unstarted(&self, occupancy: &Occupancy) -> u32 {
        u32::from(!occupancy.is_started && self.settings.reports_start)
    }

    /// Records that an attempt was observed; one that was lost counts again. Returns its worker, or `None` if
    /// the attempt is unknown or closed.
    pub(crate) fn observe_attempt(&mut self, attempt: AttemptId) -> Option<WorkerIndex> {
        let request = self.requests.get_mut(&attempt.request)?;
        let record = request.attempts.get_mut(attempt.number)?;
        if !record.is_open {
            return None;
        }
        record.observed_at = self.now;
        let worker = record.worker;
        if std::mem::take(&mut record.is_lost) {
            let occupancy = Occupancy {
                slots: request.slots,
                is_started: record.started.is_some(),
            };
            self.start_counting(worker, &occupancy);
        }
        Some(worker)
    }

    /// Marks those attempts at a worker as lost for which `is_lost` holds: they stay open but no longer
    /// count.
    ///
    /// An attempt whose connection hangs while its worker is healthy would otherwise occupy slots until its
    /// deadline, make the worker look full or unresponsive and so keep all other requests away from it.
    fn mark_lost(&mut self, w: WorkerIndex, is_lost: impl Fn(&Attempt) -> bool) {
        for attempt in self.workers[w].in_flight.attempts.clone() {
            let Some(request) = self.requests.get_mut(&attempt.request) else {
                continue;
            };
            let Some(record) = request.attempts.get_mut(attempt.number) else {
                continue;
            };
            if record.is_lost || !is_lost(record) {
                continue;
            }
            record.is_lost = true;
            let occupancy = Occupancy {
                slots: request.slots,
                is_started: record.started.is_some(),
            };
            self.stop_counting(w, &occupancy);
        }
    }

    /// Marks attempts as lost that an attempt sent at `sent` has overtaken by starting. Where workers start
    /// jobs in order, one that was sent well before it and has not started never will. The margin is the
    /// connect timeout, as an attempt on a new connection reaches the worker up to that much later than it
    /// was sent.
    fn mark_overtaken_as_lost(&mut self, w: WorkerIndex, sent: Instant) {
        if self.settings.fifo_workers {
            let before = sent.saturating_sub(self.settings.connect_timeout);
            self.mark_lost(w, |attempt| {
                attempt.started.is_none() && attempt.sent < before
            });
        }
    }

    /// Marks attempts as lost whose jobs have missed two progress reports: such a job has stopped running, or
    /// its connection no longer delivers anything.
    pub(crate) fn mark_stalled_as_lost(&mut self, w: WorkerIndex) {
        if self.settings.progress_every == Span::ZERO {
            return;
        }
        let now = self.now;
        let span = self.settings.progress_every * 2 + self.settings.connect_timeout;
        self.mark_lost(w, |attempt| {
            attempt.started.is_some() && attempt.observed_at + span < now
        });
    }

    /// Marks an open attempt as one that starts too late, either when it starts or while it still waits.
    /// Returns whether it was not marked before.
    pub(crate) fn mark_late(&mut self, attempt: AttemptId) -> bool {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return false;
        };
        let Some(record) = request.attempts.get_mut(attempt.number) else {
            return false;
        };
        record.is_open && !std::mem::replace(&mut record.is_late, true)
    }
}
