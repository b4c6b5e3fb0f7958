//! Invariants that clients and workers can observe.
//!
//! All clients of a job get the same final answer, and no job is unfinished at the end. Whether a job ran is known
//! from the simulated workers, independently of the state machine.

use std::collections::{HashMap, HashSet};

use oakshed_core::facade::Micros;
use oakshed_jobs::record::{Answer, JobId, Outcome, UNCONFIRMED_START, WITHOUT_FIELDS_START};

use super::workers::result_of;
use super::{World, MS, S};

/// Start times in leases of attempts that no worker can prove never to have run.
const UNPROVABLE_STARTS: [u64; 2] = [UNCONFIRMED_START, WITHOUT_FIELDS_START];

/// What clients and workers have observed of a job.
#[derive(Default)]
pub(super) struct GroundTruth {
    /// Number of times that a worker started the job.
    pub(super) starts: u32,
    /// The final answer that a client got first.
    pub(super) answer: Option<Answer>,
    /// Whether clients were told that it never ran, and none has submitted it since.
    pub(super) reported_never_run: bool,
    /// Whether a client's cancellation was confirmed.
    pub(super) withdrawn: bool,
    /// The outcome of the indeterminate attempts that a client or an operator was given last.
    pub(super) outcome: Option<Outcome>,
    /// Earliest send time of an attempt that ran.
    pub(super) first_executed_send: Option<Micros>,
    /// Send time of each attempt, by its token.
    pub(super) sends: HashMap<u64, Micros>,
}

impl World {
    /// Delivers an answer to a client. A final answer must be the same for all clients of the job.
    pub(super) fn on_answer(&mut self, n: usize, answer: Answer) {
        let id = self.clients[n].id;
        match &answer {
            Answer::Served(result) => {
                self.coverage.count("served");
                let starts = self.truth.entry(id).or_default().starts;
                if *result != result_of(id) || starts == 0 {
                    return self.report_violation(format!(
                        "{id}: served with a result that no worker returned"
                    ));
                }
            }
            Answer::Failed => self.coverage.count("failed"),
            Answer::Cancelled => {}
            Answer::Rejected(_) => return self.on_rejection(n),
        }
        let truth = self.truth.entry(id).or_default();
        if truth.withdrawn && answer != Answer::Cancelled {
            return self.report_violation(format!("{id}: withdrawn, then {answer:?}"));
        }
        match &truth.answer {
            Some(first) if *first != answer => {
                let violation = format!("{id}: first {first:?}, then {answer:?}");
                return self.report_violation(violation);
            }
            _ => truth.answer = Some(answer),
        }
        // Some clients submit the job again, and must get the same answer.
        if self.clients[n].tries < 3 && self.rng.u32(0..3) == 0 {
            let wait = self.rng.u64(MS..4 * S);
            return self.resubmit_later(n, wait);
        }
        self.clients[n].done = true;
    }

    /// Delivers a rejection to a client. A rejected `transfer` must not have run, and a rejected job must have no
    /// other final answer.
    fn on_rejection(&mut self, n: usize) {
        self.coverage.count("rejected");
        let id = self.clients[n].id;
        let truth = self.truth.entry(id).or_default();
        if self.clients[n].class == 0 && truth.starts > 0 {
            return self.report_violation(format!("{id}: rejected although it ran"));
        }
        if matches!(truth.answer, Some(Answer::Served(_) | Answer::Failed)) {
            return self.report_violation(format!("{id}: rejected after its final answer"));
        }
        self.clients[n].polls_answer = false;
        if self.clients[n].tries < 4 && self.rng.bool() {
            let wait = self.rng.u64(50 * MS..S);
            return self.resubmit_later(n, wait);
        }
        self.clients[n].done = true;
    }

    /// Checks that the scheduler has stored the result that a worker is notified to drop.
    pub(super) fn check_result_is_stored(&self, id: JobId) -> Result<(), String> {
        let status = self.scheduler.as_ref().and_then(|scheduler| {
            let status = scheduler.jobs.status(id)?;
            scheduler.jobs.confirm(status).ok()
        });
        // A job whose retention is over is not known any more.
        match status.map(|status| status.answer) {
            None | Some(Some(Answer::Served(_))) => Ok(()),
            Some(answer) => Err(format!(
                "{id}: a result is called stored, the answer is {answer:?}"
            )),
        }
    }

    /// Checks the invariants that hold once everything has recovered from the faults.
    pub(super) fn check_end(&mut self) -> Result<(), String> {
        if let Some(client) = self.clients.iter().find(|client| !client.done) {
            return Err(format!("a client of {} got no answer", client.id));
        }
        let Some(scheduler) = &mut self.scheduler else {
            return Err("no scheduler is running at the end".into());
        };
        let open = scheduler.jobs.sizes().open;
        let unanswered = scheduler.facade.unanswered_requests();
        if open > 0 || unanswered > 0 {
            return Err(format!(
                "{open} jobs are open, {unanswered} requests are unanswered"
            ));
        }
        if scheduler.jobs.counts().invariant_violations
            + scheduler.facade.tally().invariant_violations
            > 0
        {
            return Err("an invariant of the state machine was violated".into());
        }
        self.check_indeterminate_are_known()?;
        self.check_settlement()
    }

    /// Checks that the jobs that were indeterminate at the last kill are known some seconds after it, which is less than
    /// the time for which a settled one is retained. Those that are still indeterminate must be known at the end, too.
    pub(super) fn check_indeterminate_after_kill(&mut self) {
        if let Err(violation) = self.check_indeterminate_are_known() {
            return self.report_violation(violation);
        }
        if let Some(scheduler) = &self.scheduler {
            let indeterminate: HashSet<JobId> =
                scheduler.jobs.indeterminate().into_iter().collect();
            self.indeterminate_at_kill
                .retain(|id| indeterminate.contains(id));
        }
    }

    fn check_indeterminate_are_known(&self) -> Result<(), String> {
        let Some(scheduler) = &self.scheduler else {
            return Ok(());
        };
        let is_unknown = |id: &&JobId| scheduler.jobs.status(**id).is_none();
        match self.indeterminate_at_kill.iter().find(is_unknown) {
            Some(id) => Err(format!(
                "{id} was indeterminate at a restart, and is unknown after it"
            )),
            None => Ok(()),
        }
    }

    /// Checks that all indeterminate jobs are settled if workers keep their job history.
    fn check_settlement(&self) -> Result<(), String> {
        let Some(scheduler) = &self.scheduler else {
            return Ok(());
        };
        // Without a start time in the list, a fence reply is only conclusive if the time of sending is known. After
        // a reboot it is unknown.
        let is_inconclusive = self.setup.unspecified_starts && self.boot.id > 1;
        if is_inconclusive || !scheduler.leases || !self.setup.workers_keep_history {
            return Ok(());
        }
        // An attempt sent with a cached list may have reached a different worker, and one without the lease's fields is
        // unknown to its worker, so no reply is conclusive.
        let can_be_settled = |id: &JobId| {
            let status = scheduler.jobs.status(*id);
            let status = status.and_then(|status| scheduler.jobs.confirm(status).ok());
            let mut leases = status.into_iter().flat_map(|status| status.indeterminate);
            leases.any(|lease| !UNPROVABLE_STARTS.contains(&lease.start_ms))
        };
        let mut indeterminate = scheduler.jobs.indeterminate();
        indeterminate.retain(can_be_settled);
        if indeterminate.is_empty() {
            return Ok(());
        }
        Err(format!(
            "{} jobs are indeterminate although no worker lost its job history",
            indeterminate.len()
        ))
    }
}
