//! A job that an operator settles: its answer stays as it was, and as durable.

mod common;

use oakshed_core::facade::Facade;
use oakshed_jobs::machine::{Jobs, Limits, Submitted};
use oakshed_jobs::record::{Answer, JobId, JobPayload, Key, Lease, Outcome, Record};

use common::{machine, NOW, S};

fn payload() -> JobPayload {
    JobPayload {
        class: "transfer".into(),
        body: b"payload".to_vec(),
        ..JobPayload::default()
    }
}

/// A machine with one job whose answer is durable, and of which nobody knows whether it ran.
fn machine_with_an_indeterminate_job(id: JobId) -> (Jobs, Facade) {
    let limits = Limits {
        leases: false,
        lease: S,
        retention: 3_600 * S,
        max_open: 100,
        max_jobs: 100,
        max_bytes: 1 << 20,
    };
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
    machine(limits, vec![(2, finished)], 3)
}

/// Prevents a client that comes back between the settling and its sync from waiting for an answer that was
/// given out long before, and is not given out again.
#[test]
fn a_settled_job_has_its_answer_while_the_settling_is_not_durable() {
    let id = JobId::of(b"", Key::Idempotency(b"k-1"));
    let (mut jobs, mut facade) = machine_with_an_indeterminate_job(id);
    let submit = |jobs: &mut Jobs, facade: &mut Facade| {
        jobs.submit(NOW, id, payload(), 5 * S, false, facade)
    };
    assert_eq!(
        submit(&mut jobs, &mut facade),
        Submitted::Finished(Answer::Failed)
    );
    assert!(jobs.settle(NOW, id, Outcome::Ran));
    assert!(!jobs.is_durable(id), "the settling has a record of its own");
    assert_eq!(
        submit(&mut jobs, &mut facade),
        Submitted::Finished(Answer::Failed)
    );
}
