//! Results in replies to fences.

use std::task::Waker;

use oakshed_core::interface::Effect as ClassEffect;
use oakshed_jobs::machine::{Effect, FenceReply, FenceStatus};
use oakshed_jobs::record::{Answer, LEASE_FIELDS_RECORDED};

use crate::common::{NOW, S};
use crate::process::{accepted, failed_indeterminate, id, lease, opened, Process, WORKER_START_MS};

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

/// Guards against a worker that is notified of a result which another worker has returned.
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

/// Guards against a client that gets a rejection after another one got the result, which came while the rejection was
/// being written.
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
