//! Settlement of a job by an operator: the job's answer does not change, and stays available while the record of
//! the settlement is not durable yet.

mod common;

use oakshed_core::facade::Facade;
use oakshed_jobs::machine::{Jobs, Submitted};
use oakshed_jobs::record::{Answer, JobId, JobPayload, Key, Lease, Outcome, Record};

use common::{limits, restore_jobs, NOW, S};

fn payload() -> JobPayload {
    JobPayload {
        class: "transfer".into(),
        body: b"payload".to_vec(),
        ..JobPayload::default()
    }
}

/// Restores the state machine with one failed job whose answer is durable and whose only attempt is
/// indeterminate.
fn restore_indeterminate_job(id: JobId) -> (Jobs, Facade) {
    let lease = Lease {
        token: 1,
        worker: "w-1".into(),
        start_ms: 0,
        sent: NOW - S,
    };
    let finished = Record::Finished {
        at: NOW - S,
        id,
        fingerprint: payload().fingerprint(),
        answer: Answer::Failed,
        indeterminate: vec![lease],
        outcome: None,
    };
    restore_jobs(limits(false), vec![(2, finished)], 3)
}

/// Guards against a client that resubmits its job between the settlement and its sync, and then waits for an
/// answer that is never sent, because the answer was already sent before the settlement.
#[test]
fn a_settled_job_keeps_its_answer_while_the_settlement_is_not_durable() {
    let id = JobId::of(b"", Key::Idempotency(b"k-1"));
    let (mut jobs, mut facade) = restore_indeterminate_job(id);
    let submit = |jobs: &mut Jobs, facade: &mut Facade| {
        jobs.submit(NOW, id, payload(), 5 * S, false, facade)
    };
    assert_eq!(
        submit(&mut jobs, &mut facade),
        Submitted::Finished(Answer::Failed)
    );
    let settled = jobs.settle(NOW, id, Outcome::Ran);
    assert!(
        jobs.confirm(settled.clone()).is_err(),
        "the settlement's record is not synced yet"
    );
    assert_eq!(
        submit(&mut jobs, &mut facade),
        Submitted::Finished(Answer::Failed)
    );
    let (first, records) = jobs.records();
    jobs.on_synced(NOW, first + records.len() as u64 - 1, &mut facade);
    assert_eq!(jobs.confirm(settled), Ok(true));
}
