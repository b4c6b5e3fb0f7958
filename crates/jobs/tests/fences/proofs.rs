//! Replies that the job never started, and what they prove.

use oakshed_jobs::record::{
    Outcome, Record, LEASE_FIELDS_RECORDED, UNCONFIRMED_START, WITHOUT_FIELDS_START,
};

use crate::process::{
    accepted, failed_indeterminate, lease, leased, opened, Process, WORKER_START_MS,
};

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
