//! The invariants, as seen from outside: one answer for all who ask, and no unfinished job at the end.
//!
//! What ran is known from the workers, never from the state machine.

use std::collections::HashMap;

use oakshed_core::facade::Micros;
use oakshed_jobs::record::{Answer, JobId, UNCONFIRMED_START};

use super::workers::result_of;
use super::{World, MS, S};

/// What is known of a job from outside.
#[derive(Default)]
pub(super) struct Truth {
    pub(super) starts: u32,
    pub(super) answer: Option<Answer>,
    /// Clients were notified that it never ran, and none has submitted it since.
    pub(super) reported_unrun: bool,
    pub(super) first_run_send: Option<Micros>,
    pub(super) sends: HashMap<u64, Micros>,
}

impl World {
    /// A client gets an answer: it must be the one that all others get.
    pub(super) fn on_answer(&mut self, n: usize, answer: Answer) {
        let id = self.clients[n].id;
        match &answer {
            Answer::Served(result) => {
                self.coverage.note("served");
                let starts = self.truth.entry(id).or_default().starts;
                if *result != result_of(id) || starts == 0 {
                    return self.violation(format!("{id}: served with what no worker made"));
                }
            }
            Answer::Failed => self.coverage.note("failed"),
            Answer::Cancelled => {}
            Answer::Rejected(_) => return self.on_rejection(n),
        }
        let truth = self.truth.entry(id).or_default();
        match &truth.answer {
            Some(first) if *first != answer => {
                let why = format!("{id}: first {first:?}, then {answer:?}");
                return self.violation(why);
            }
            _ => truth.answer = Some(answer),
        }
        // Some come again to see whether the answer is still the same.
        if self.clients[n].tries < 3 && self.rng.u32(0..3) == 0 {
            let wait = self.rng.u64(MS..4 * S);
            return self.come_again(n, wait);
        }
        self.clients[n].done = true;
    }

    /// A client's job is rejected: it must not have run, and must have no final answer.
    fn on_rejection(&mut self, n: usize) {
        self.coverage.note("rejected");
        let id = self.clients[n].id;
        let truth = self.truth.entry(id).or_default();
        if self.clients[n].class == 0 && truth.starts > 0 {
            return self.violation(format!("{id}: rejected, though it ran"));
        }
        if matches!(truth.answer, Some(Answer::Served(_) | Answer::Failed)) {
            return self.violation(format!("{id}: rejected after its final answer"));
        }
        self.clients[n].awaits_answer = false;
        if self.clients[n].tries < 4 && self.rng.bool() {
            let wait = self.rng.u64(50 * MS..S);
            return self.come_again(n, wait);
        }
        self.clients[n].done = true;
    }

    /// Checks what must hold once faults have stopped and all has come to rest.
    pub(super) fn check_end(&mut self) -> Result<(), String> {
        if let Some(client) = self.clients.iter().find(|client| !client.done) {
            return Err(format!("a client of {} never had its answer", client.id));
        }
        let Some(scheduler) = &mut self.scheduler else {
            return Err("no scheduler at the end".into());
        };
        let open = scheduler.jobs.sizes().open;
        let owed = scheduler.facade.unanswered_requests();
        if open > 0 || owed > 0 {
            return Err(format!("{open} jobs are open, {owed} requests owed"));
        }
        if scheduler.jobs.counts().invariant_violations
            + scheduler.facade.tally().invariant_violations
            > 0
        {
            return Err("an invariant of the state machine was violated".into());
        }
        let is_unknown = |id: &&JobId| scheduler.jobs.status(**id).is_none();
        if let Some(id) = self.were_indeterminate.iter().find(is_unknown) {
            return Err(format!("{id} was indeterminate, and is not known any more"));
        }
        self.check_settled()
    }

    /// A worker that kept its memory settles all indeterminate jobs once it is back.
    fn check_settled(&self) -> Result<(), String> {
        let Some(scheduler) = &self.scheduler else {
            return Ok(());
        };
        // But where the list does not say when it started, and a reboot has made the time sent unknown.
        let unprovable = self.setup.starts_unknown && self.boot.id > 1;
        if unprovable || !self.setup.leases || !self.setup.workers_keep_memory {
            return Ok(());
        }
        // And where it was sent by a cached list: to whom that was, nobody knows.
        let is_provable = |id: &JobId| {
            let view = scheduler.jobs.status(*id);
            let mut leases = view.into_iter().flat_map(|view| view.indeterminate);
            leases.any(|lease| lease.start_ms != UNCONFIRMED_START)
        };
        let mut indeterminate = scheduler.jobs.indeterminate();
        indeterminate.retain(is_provable);
        if indeterminate.is_empty() {
            return Ok(());
        }
        Err(format!(
            "{} jobs are indeterminate though no worker lost its memory",
            indeterminate.len()
        ))
    }
}
