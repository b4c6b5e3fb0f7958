//! What a worker's reply to a fence proves about an attempt, by what the log says of its lease, and what the worker is
//! told of its result.
//!
//! A worker that never got the lease's fields answers truthfully that the job never started under that lease.

mod common;

use std::rc::Rc;
use std::task::Waker;

use oakshed_core::facade::Facade;
use oakshed_core::interface::Effect as ClassEffect;
use oakshed_jobs::machine::{Effect, FenceReply, FenceStatus, JobStatus, Jobs};
use oakshed_jobs::record::{
    Answer, JobId, JobPayload, Key, Lease, Outcome, Record, LEASE_FIELDS_RECORDED,
    UNCONFIRMED_START, WITHOUT_FIELDS_START,
};

use common::{limits, restore_jobs, restore_jobs_of_class, NOW, S};

/// Start time of the worker in the list, in Unix milliseconds. Its job history begins then.
const WORKER_START_MS: u64 = 1_600_000_000_000;
const WORKER: &str = "s-1";

fn id() -> JobId {
    JobId::of(b"", Key::Idempotency(b"k-1"))
}

fn opened() -> Record {
    Record::Opened {
        at: NOW - 2 * S,
        wall: NOW - 2 * S,
        boot: 1,
        uptime: 0,
    }
}

fn lease(token: u64, start_ms: u64) -> Lease {
    Lease {
        token,
        worker: WORKER.into(),
        start_ms,
        sent: NOW - S,
    }
}

fn accepted(leases: Vec<Lease>) -> Record {
    let payload = JobPayload {
        class: "transfer".into(),
        ..JobPayload::default()
    };
    Record::Accepted {
        at: NOW - S,
        id: id(),
        fingerprint: payload.fingerprint(),
        payload,
        deadline: NOW + 4 * S,
        wait: 5 * S,
        detached: true,
        leases,
    }
}

fn leased(token: u64, start_ms: u64) -> Record {
    let lease = lease(token, start_ms);
    Record::Leased { id: id(), lease }
}

fn failed_indeterminate(leases: Vec<Lease>) -> Record {
    Record::Finished {
        at: NOW - S,
        id: id(),
        fingerprint: 1,
        answer: Answer::Failed,
        indeterminate: leases,
        outcome: None,
    }
}

/// A process that has read a log, and the worker's list.
struct Process {
    jobs: Jobs,
    facade: Facade,
}

impl Process {
    fn start(leases: bool, records: Vec<Record>) -> Process {
        Process::start_with_class(ClassEffect::Unsafe, leases, records)
    }

    fn start_with_class(effect: ClassEffect, leases: bool, records: Vec<Record>) -> Process {
        let next = records.len() as u64 + 1;
        let (jobs, facade) =
            restore_jobs_of_class(effect, limits(leases), (1..).zip(records).collect(), next);
        let mut process = Process { jobs, facade };
        let worker: Rc<str> = WORKER.into();
        process.jobs.on_endpoint_list(
            NOW,
            std::iter::once((&worker, WORKER_START_MS)),
            true,
            &mut process.facade,
        );
        process.tick();
        process
    }

    fn tick(&mut self) {
        _ = self.jobs.tick(NOW, &mut self.facade, Waker::noop());
    }

    /// Answers all fences with `never`. Returns the tokens that were fenced.
    fn answer_fences_with_never(&mut self) -> Vec<u64> {
        self.answer_fences(&FenceStatus::Never)
    }

    /// Answers all fences with a status, from a worker that remembers everything since its start. Returns the tokens
    /// that were fenced.
    fn answer_fences(&mut self, status: &FenceStatus) -> Vec<u64> {
        let mut tokens = Vec::new();
        while let Some(effect) = self.jobs.effect() {
            let Effect::Fence { id, token, .. } = effect else {
                continue;
            };
            tokens.push(token);
            let reply = FenceReply {
                status: status.clone(),
                since_ms: WORKER_START_MS,
            };
            let facade = &mut self.facade;
            self.jobs
                .on_fence_reply(NOW, id, token, Some(reply), true, facade);
        }
        tokens
    }

    /// Returns the tokens of the attempts whose results are called stored.
    fn stored_results(&mut self) -> Vec<u64> {
        let effects = std::iter::from_fn(|| self.jobs.effect());
        let token = |effect| match effect {
            Effect::NotifyResultStored { token, .. } => Some(token),
            _ => None,
        };
        effects.filter_map(token).collect()
    }

    /// Makes all records durable and returns them.
    fn sync(&mut self) -> Vec<Record> {
        let (first, records) = self.jobs.records();
        let last = first + records.len() as u64 - 1;
        self.jobs.on_synced(NOW, last, &mut self.facade);
        records
    }

    fn status(&self) -> JobStatus {
        let status = self.jobs.status(id()).expect("a known job");
        self.jobs.confirm(status).expect("durable records")
    }

    /// Whether the worker's `never` counted as proof: the open job waits for a worker. Otherwise it is failed, in doubt.
    fn is_proven_never_run(&mut self) -> bool {
        self.answer_fences_with_never();
        self.sync();
        let status = self.status();
        assert!(matches!(status.answer, None | Some(Answer::Failed)));
        status.answer.is_none()
    }
}

#[test]
fn never_proves_only_what_the_log_says_was_sent_with_a_lease() {
    let carried = WORKER_START_MS;
    let marker = LEASE_FIELDS_RECORDED;
    let rows: [(&str, Vec<Record>, bool); 7] = [
        (
            "sent with a lease",
            vec![
                opened(),
                marker.clone(),
                accepted(vec![]),
                leased(4, carried),
            ],
            true,
        ),
        (
            "sent without one",
            vec![
                opened(),
                marker.clone(),
                accepted(vec![]),
                leased(4, WITHOUT_FIELDS_START),
            ],
            false,
        ),
        (
            "sent to a cached address",
            vec![
                opened(),
                marker.clone(),
                accepted(vec![]),
                leased(4, UNCONFIRMED_START),
            ],
            false,
        ),
        (
            "written by an older build",
            vec![opened(), accepted(vec![]), leased(3, carried)],
            false,
        ),
        (
            "written by an older build after this one",
            vec![
                opened(),
                marker.clone(),
                opened(),
                accepted(vec![lease(2, carried)]),
            ],
            false,
        ),
        (
            "written again by this build",
            vec![
                opened(),
                opened(),
                marker.clone(),
                accepted(vec![lease(2, carried)]),
            ],
            true,
        ),
        (
            "left in a log that was trimmed",
            vec![accepted(vec![]), leased(2, carried), opened(), marker],
            false,
        ),
    ];
    for (what, records, is_proven) in rows {
        let mut process = Process::start(true, records);
        assert_eq!(process.is_proven_never_run(), is_proven, "{what}");
    }
}

/// Guards against a job in doubt that is settled as never run because leases were switched on.
#[test]
fn indeterminate_job_stays_so_unless_its_attempt_carried_a_lease() {
    for (start_ms, outcome) in [
        (WORKER_START_MS, Some(Outcome::Never)),
        (WITHOUT_FIELDS_START, None),
        (UNCONFIRMED_START, None),
    ] {
        let doubt = failed_indeterminate(vec![lease(2, start_ms)]);
        let records = vec![opened(), LEASE_FIELDS_RECORDED, doubt];
        let mut process = Process::start(true, records);
        process.answer_fences_with_never();
        process.sync();
        assert_eq!(process.status().outcome, outcome, "{start_ms}");
    }
}

/// Guards against a worker that drops the only copy of a result: that of a job which was answered as failed is not
/// stored.
#[test]
fn only_a_stored_result_is_called_stored() {
    let lease = lease(2, WORKER_START_MS);
    let done = FenceStatus::Done(b"result".to_vec());
    for (record, stored) in [
        (failed_indeterminate(vec![lease.clone()]), vec![]),
        (accepted(vec![lease]), vec![2]),
    ] {
        let records = vec![opened(), LEASE_FIELDS_RECORDED, record];
        let mut process = Process::start(true, records);
        assert_eq!(process.answer_fences(&done), [2]);
        process.sync();
        assert_eq!(process.stored_results(), stored);
    }
}

/// Guards against a worker that is told of a result which another worker has returned.
#[test]
fn result_of_another_attempt_is_not_called_stored() {
    let leases = vec![lease(2, WORKER_START_MS), lease(3, WORKER_START_MS)];
    let records = vec![opened(), LEASE_FIELDS_RECORDED, accepted(leases)];
    let mut process = Process::start(true, records);
    let facade = &mut process.facade;
    for (token, status) in [
        (2, FenceStatus::Failed),
        (3, FenceStatus::Done(b"result".to_vec())),
    ] {
        let reply = FenceReply {
            status,
            since_ms: WORKER_START_MS,
        };
        process
            .jobs
            .on_fence_reply(NOW, id(), token, Some(reply), true, facade);
    }
    process.sync();
    assert_eq!(process.stored_results(), [3]);
}

/// Guards against a client that is told of a rejection after another one got the result: the result came while the
/// rejection was being written.
#[test]
fn result_replaces_a_rejection_that_is_being_written() {
    let records = vec![
        opened(),
        LEASE_FIELDS_RECORDED,
        accepted(vec![lease(2, WORKER_START_MS)]),
    ];
    let mut process = Process::start_with_class(ClassEffect::Keyed, true, records);
    process.sync();
    let facade = &mut process.facade;
    let waker = Waker::noop();
    let deadline = NOW + 6 * S;
    facade.tick(deadline, waker);
    _ = process.jobs.tick(deadline, facade, waker);
    let reply = FenceReply {
        status: FenceStatus::Done(b"result".to_vec()),
        since_ms: WORKER_START_MS,
    };
    process
        .jobs
        .on_fence_reply(deadline, id(), 2, Some(reply), true, facade);
    process.sync();
    let effects = std::iter::from_fn(|| process.jobs.effect());
    let answers: Vec<Effect> = effects
        .filter(|effect| matches!(effect, Effect::Answer(..)))
        .collect();
    let served = Effect::Answer(id(), Answer::Served(b"result".to_vec()));
    assert_eq!(answers, [served]);
}

/// Guards against an outcome that is given for a job although another attempt of it is still in doubt.
#[test]
fn outcome_of_one_attempt_is_not_that_of_the_job() {
    let doubt = failed_indeterminate(vec![
        lease(2, WITHOUT_FIELDS_START),
        lease(3, WORKER_START_MS),
    ]);
    let records = vec![opened(), LEASE_FIELDS_RECORDED, doubt];
    let mut process = Process::start(true, records);
    assert_eq!(process.answer_fences_with_never(), [3]);
    process.sync();
    let status = process.status();
    assert_eq!(status.outcome, None);
    assert_eq!(status.indeterminate.len(), 1);
}

/// The records that a process writes for an attempt, by its lease setting.
fn recorded_start(leases: bool) -> u64 {
    let mut process = Process::start(leases, vec![opened(), accepted(vec![])]);
    let entry = list_entry();
    let list = oakshed_core::facade::Observation::List(
        oakshed_core::facade::ListKind::Snapshot,
        std::slice::from_ref(&entry),
    );
    process.facade.report(NOW, list);
    process.tick();
    let records = process.sync();
    let lease = records.into_iter().find_map(|record| match record {
        Record::Leased { lease, .. } => Some(lease),
        _ => None,
    });
    lease.expect("an attempt").start_ms
}

fn list_entry() -> oakshed_core::facade::Entry {
    oakshed_core::facade::Entry {
        worker: WORKER.into(),
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        condition: oakshed_core::facade::Condition::Active,
        online_since: 0,
    }
}

#[test]
fn lease_says_whether_its_attempt_carried_the_fields() {
    assert_eq!(recorded_start(true), WORKER_START_MS);
    assert_eq!(recorded_start(false), WITHOUT_FIELDS_START);
}

/// Builds from before these constants believe a worker whose job history begins at the recorded start or earlier.
#[test]
fn older_builds_find_no_proof_in_the_reserved_start_times() {
    let earliest_history_ms = 1_000;
    for start_ms in [UNCONFIRMED_START, WITHOUT_FIELDS_START] {
        assert!(start_ms != 0 && start_ms < earliest_history_ms);
    }
}

/// Guards against a lease that proves nothing any more because the log was trimmed between it and the record that says
/// what it means.
#[test]
fn trimmed_log_keeps_what_its_leases_mean() {
    let doubt = failed_indeterminate(vec![lease(2, WORKER_START_MS)]);
    let mut log = vec![opened(), LEASE_FIELDS_RECORDED, doubt];
    let mut process = Process::start(true, log.clone());
    let mut trimmed_to = 0;
    // Jobs that are withdrawn at once fill the log, and the job in doubt is written again once an hour.
    for hour in 1..=3_u64 {
        let now = NOW + hour * 3_700 * S;
        for n in 0..400_u64 {
            let payload = JobPayload {
                class: "transfer".into(),
                ..JobPayload::default()
            };
            let key = [hour.to_le_bytes(), n.to_le_bytes()].concat();
            let id = JobId::of(b"", Key::Idempotency(&key));
            let facade = &mut process.facade;
            _ = process.jobs.submit(now, id, payload, S, false, facade);
            _ = process.jobs.cancel(now, id, facade);
        }
        for _ in 0..10 {
            _ = process.jobs.tick(now, &mut process.facade, Waker::noop());
            log.extend(process.sync());
            while let Some(effect) = process.jobs.effect() {
                if let Effect::Trim(low) = effect {
                    trimmed_to = low;
                }
            }
        }
    }
    assert!(trimmed_to > 400, "the log was trimmed to {trimmed_to}");
    let kept = (1..).zip(log).filter(|(number, _)| *number >= trimmed_to);
    let records: Vec<(u64, Record)> = kept.collect();
    let next = records.last().map_or(1, |(number, _)| number + 1);
    let (jobs, _) = restore_jobs(limits(true), records, next);
    let status = jobs.status(id()).expect("a known job");
    let status = jobs.confirm(status).expect("durable records");
    assert_eq!(status.indeterminate[0].start_ms, WORKER_START_MS);
}
