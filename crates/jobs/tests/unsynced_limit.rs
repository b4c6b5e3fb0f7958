//! Limit on accepted jobs whose records are not durable yet. It bounds the memory that a scheduler uses while its
//! disk is slow or failing.

mod common;

use oakshed_core::facade::Facade;
use oakshed_jobs::machine::{Jobs, Provisional, Submitted};
use oakshed_jobs::record::{JobId, JobPayload, Key};

use common::{limits, restore_jobs, NOW, S};

/// Length of each request body in bytes.
const BODY_LENGTH: usize = 60 << 10;

/// Submits the job with the key `n`.
fn submit(jobs: &mut Jobs, facade: &mut Facade, n: u32) -> Submitted {
    let payload = JobPayload {
        class: "transfer".into(),
        body: vec![7; BODY_LENGTH],
        ..JobPayload::default()
    };
    jobs.submit(
        NOW,
        JobId::of(b"", Key::Idempotency(&n.to_le_bytes())),
        payload,
        5 * S,
        false,
        facade,
    )
}

#[test]
fn jobs_beyond_the_limit_are_rejected_until_earlier_ones_are_durable() {
    let (mut jobs, mut facade) = restore_jobs(limits(true), Vec::new(), 1);
    let mut accepted: Vec<Provisional<()>> = Vec::new();
    while let Submitted::Open(reply) = submit(&mut jobs, &mut facade, accepted.len() as u32) {
        accepted.push(reply);
        assert!(
            accepted.len() < 1_000,
            "the number of jobs that are not durable is not limited"
        );
    }
    let accepted_count = accepted.len() as u32;
    assert!(
        accepted_count as usize * BODY_LENGTH > 4 << 20,
        "only {accepted_count} jobs were accepted; the limit is too low for a disk that is slow but works"
    );
    assert_eq!(
        submit(&mut jobs, &mut facade, accepted_count),
        Submitted::Busy
    );
    // A resubmission of an accepted job is not rejected. No effect is returned before the sync.
    let again = submit(&mut jobs, &mut facade, 0);
    assert!(matches!(again, Submitted::Open(_)), "{again:?}");
    assert_eq!(jobs.effect(), None);
    let is_confirmed = |jobs: &Jobs, reply: &Provisional<()>| jobs.confirm(reply.clone()).is_ok();
    assert!(!accepted.iter().any(|reply| is_confirmed(&jobs, reply)));
    let (first, records) = jobs.records();
    jobs.on_synced(NOW, first + records.len() as u64 - 1, &mut facade);
    assert!(accepted.iter().all(|reply| is_confirmed(&jobs, reply)));
    let next = submit(&mut jobs, &mut facade, accepted_count);
    assert!(matches!(next, Submitted::Open(_)), "{next:?}");
}
