//! Probes the queue length of a selected worker before a job is sent there.
//!
//! A probe is sent at most once per request, and its answer is awaited for a limited time.

use super::failure_detection::RESPONSE_TIMEOUT_RUNS;
use super::load_estimate::QUEUED_START_SHARE;
use crate::interface::{Action, Ending, Report, RequestId, WorkerId};
use crate::scheduler::Scheduler;
use crate::state::{RequestProbe, WorkerIndex};

impl Scheduler {
    /// Probes a selected worker that has no recent observation, as is common where many schedulers
    /// each contact a worker rarely. If nothing is queued there, the job goes to that worker,
    /// otherwise to the better of it and another one ("Adaptive load sharing", Eager, Lazowska,
    /// Zahorjan, 1986; one probe per job). Returns whether a probe is sent.
    pub(super) fn probe_if_needed(&mut self, id: RequestId, w: WorkerIndex) -> bool {
        if !self.needs_probe(id, w) {
            return false;
        }
        let worker = self.workers[w].id;
        self.actions.push(Action::Probe { worker });
        if let Some(request) = self.requests.get_mut(&id) {
            request.probe = Some(RequestProbe {
                worker: w,
                sent: self.now,
            });
        }
        true
    }

    fn needs_probe(&self, id: RequestId, w: WorkerIndex) -> bool {
        let request = &self.requests[&id];
        let latest_answer =
            self.now.as_micros() as f64 + QUEUED_START_SHARE * self.slack(request.class);
        let is_late = latest_answer >= request.dispatch_deadline.as_micros() as f64;
        let is_known = self.micros_since(self.workers[w].wait.observed_at) <= self.mean_run;
        self.settings.may_probe && request.probe.is_none() && !is_late && !is_known
    }

    /// Whether a request's probe is in flight and its answer is not overdue. A worker that takes
    /// longer to answer has a queue or hangs.
    pub(super) fn awaits_probe(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let Some(probe) = request.probe else {
            return false;
        };
        let is_answered = self.workers[probe.worker].health.probed_at >= probe.sent;
        !is_answered
            && self.micros_since(probe.sent) < QUEUED_START_SHARE * self.slack(request.class)
    }

    /// Handles the answer to a probe, or its failure.
    pub(super) fn on_probed(&mut self, worker: WorkerId, ending: Ending, report: Option<Report>) {
        let Some(w) = self.workers.find(worker) else {
            return;
        };
        self.workers[w].health.probed_at = self.now;
        if ending == Ending::LocalFault {
            return; // the probe was not sent
        }
        let is_answered = ending == Ending::Delivered;
        let report = report.filter(|_| is_answered).unwrap_or_default();
        let default_backlog = if is_answered {
            0.0
        } else {
            RESPONSE_TIMEOUT_RUNS
        };
        let waiting = report.backlog.unwrap_or(default_backlog);
        let running = report
            .outstanding
            .map_or(1.0, |all| (all - waiting).max(1.0));
        self.observe_wait(w, self.mean_run * waiting / running);
        if self.settings.uses_load_reports() {
            self.on_report(w, report);
        }
    }
}
