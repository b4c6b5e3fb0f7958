//! Records of leases: what a process writes, and what a trimmed log still says of them.

use std::task::Waker;

use oakshed_core::facade::{Condition, Entry, ListKind, Observation};
use oakshed_jobs::machine::Effect;
use oakshed_jobs::record::{
    JobId, JobPayload, Key, Record, LEASE_FIELDS_RECORDED, UNCONFIRMED_START, WITHOUT_FIELDS_START,
};

use crate::common::{limits, restore_jobs, NOW, S};
use crate::process::{
    accepted, failed_indeterminate, id, lease, opened, Process, WORKER, WORKER_START_MS,
};

/// The records that a process writes for an attempt, by its lease setting.
fn recorded_start(leases: bool) -> u64 {
    let mut process = Process::start(leases, vec![opened(), accepted(vec![])]);
    let entry = list_entry();
    let list = Observation::List(ListKind::Snapshot, std::slice::from_ref(&entry));
    process.facade.report(NOW, list);
    process.tick();
    let records = process.sync();
    let lease = records.into_iter().find_map(|record| match record {
        Record::Leased { lease, .. } => Some(lease),
        _ => None,
    });
    lease.expect("an attempt").start_ms
}

fn list_entry() -> Entry {
    Entry {
        worker: WORKER.into(),
        zone: 0,
        kind: 0,
        cell: 0,
        weight: 1.0,
        condition: Condition::Active,
        online_since: 0,
    }
}

#[test]
fn lease_says_whether_its_attempt_carried_the_fields() {
    assert_eq!(recorded_start(true), WORKER_START_MS);
    assert_eq!(recorded_start(false), WITHOUT_FIELDS_START);
}

/// Older builds believe a worker whose job history begins at the recorded start or earlier.
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
