//! Tests of load probes: which workers are probed, how long a job waits for the answer, and how the answer affects
//! worker selection.

use oakshed_core::interface::*;

use crate::common::*;

fn probing_settings() -> Settings {
    Settings {
        may_probe: true,
        reports: Reports::Probe,
        ..settings()
    }
}

/// Returns the probed workers.
fn probed(actions: &[Action]) -> Vec<WorkerId> {
    let worker = |a: &Action| {
        if let Action::Probe { worker } = a {
            Some(*worker)
        } else {
            None
        }
    };
    actions.iter().filter_map(worker).collect()
}

fn report_of(backlog: f64) -> Option<Report> {
    Some(Report {
        backlog: Some(backlog),
        outstanding: Some(backlog + 5.0),
        ..Report::default()
    })
}

/// Returns the worker that was probed, which must be the only one.
fn probed_worker(actions: &[Action]) -> WorkerId {
    let workers = probed(actions);
    assert_eq!(workers.len(), 1, "one worker is probed");
    workers[0]
}

/// Returns the event of a worker's answer to a probe.
fn answer(worker: WorkerId, report: Option<Report>) -> Event<'static> {
    Event::Probed {
        worker,
        ending: Ending::Delivered,
        report,
    }
}

fn drain(harness: &mut Harness, worker: WorkerId) {
    let draining = Row {
        condition: Condition::Leaving,
        ..row(worker.0 as u32)
    };
    harness.list(ListKind::Delta, &[draining]);
}

/// Serves a job at the worker that was probed for it, which reports an empty queue.
fn serve_after_probe(harness: &mut Harness) {
    harness.now += 500 * MS;
    let (id, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, id), None, "the job waits for the probe");
    let worker = probed_worker(&actions);
    harness.now += MS;
    let actions = harness.event(answer(worker, report_of(0.0)));
    assert_eq!(
        sent_to(&actions, id),
        Some(worker),
        "the job goes to the worker with an empty queue"
    );
    harness.settled(id, 0, Ending::Delivered);
}

/// Where hundreds of schedulers each contact a worker rarely, they know nothing of its queue. A probe of another
/// worker than the selected one is of no use, as that worker may not be drawn again for seconds.
#[test]
fn chosen_worker_is_probed_and_avoided_if_it_has_a_queue() {
    let mut harness = Harness::new(probing_settings(), 60);
    for _ in 0..20 {
        serve_after_probe(&mut harness);
    }
    // Only a few workers report queues. If many did, the scheduler would assume them throughout the zone.
    for _ in 0..3 {
        harness.now += 500 * MS;
        let (id, actions) = harness.request(0);
        let Some(&worker) = probed(&actions).first() else {
            panic!("no worker is probed")
        };
        let actions = harness.event(answer(worker, report_of(30.0)));
        let to = sent_to(&actions, id).expect("sent without a second probe");
        assert_ne!(to, worker, "thirty jobs are queued there");
        assert!(probed(&actions).is_empty(), "a second probe for one job");
        harness.settled(id, 0, Ending::Delivered);
    }
}

#[test]
fn failed_probe_sends_the_job_elsewhere() {
    let mut harness = Harness::new(probing_settings(), 60);
    let (id, actions) = harness.request(0);
    let worker = probed_worker(&actions);
    let actions = harness.event(Event::Probed {
        worker,
        ending: Ending::DialFailed,
        report: None,
    });
    assert!(sent_to(&actions, id).is_some_and(|to| to != worker));
    harness.settled(id, 0, Ending::Delivered);
}

#[test]
fn worker_that_drains_while_it_is_probed_does_not_get_the_job() {
    let mut harness = Harness::new(probing_settings(), 60);
    let (id, actions) = harness.request(0);
    let worker = probed_worker(&actions);
    drain(&mut harness, worker);
    let actions = harness.event(answer(worker, report_of(0.0)));
    assert!(sent_to(&actions, id).is_some_and(|to| to != worker));
    harness.settled(id, 0, Ending::Delivered);
}

#[test]
fn worker_whose_load_is_known_is_not_probed() {
    let mut harness = Harness::new(probing_settings(), 1);
    let (id, actions) = harness.request(0);
    let worker = probed_worker(&actions);
    harness.event(answer(worker, report_of(0.0)));
    harness.started(id, 0);
    let (id, actions) = harness.request(0);
    assert!(
        probed(&actions).is_empty() && sent_to(&actions, id).is_some(),
        "a worker of known load is probed"
    );
}

/// A job whose probe gets no answer must go elsewhere well before its dispatch deadline. If too little time is left
/// even for that, no probe is sent.
#[test]
fn unanswered_probe_delays_a_job_briefly() {
    let (mut harness, mut to_unresponsive) = (Harness::new(probing_settings(), 60), 0);
    for _ in 0..40 {
        let (id, actions) = harness.request(0);
        let probed_workers = probed(&actions);
        let (mut worker, start) = (sent_to(&actions, id), harness.now);
        while worker.is_none() {
            let actions = harness.wait(10 * MS);
            assert!(probed(&actions).is_empty() && !rejected(&actions, id));
            worker = sent_to(&actions, id);
        }
        assert!(
            harness.now - start <= 150 * MS,
            "sent after {} ms of 800 until it is late",
            (harness.now - start) / MS
        );
        to_unresponsive += u32::from(worker == probed_workers.first().copied());
        harness.started(id, 0);
        harness.settled(id, 0, Ending::Delivered);
    }
    assert!(
        to_unresponsive <= 4,
        "{to_unresponsive} of 40 jobs went to the worker that had not answered, more than random draws explain"
    );
    let mut short_deadline = probing_settings();
    (
        short_deadline.classes[0].latency_objective,
        short_deadline.classes[0].deadline,
        short_deadline.classes[0].stretch,
    ) = (Span::from_millis(60), Span::from_millis(60), 10.0);
    let (id, actions) = Harness::new(short_deadline, 60).request(0);
    assert!(
        sent_to(&actions, id).is_some() && probed(&actions).is_empty(),
        "a job without time for a probe is sent immediately"
    );
}

/// Counts the jobs out of 40 that go to the first of two workers. The two answer probes with the given reports.
fn sends_to_first(reports_start: bool, first: Option<Report>, other: Option<Report>) -> u32 {
    let mut harness = Harness::new(
        Settings {
            reports_start,
            ..probing_settings()
        },
        2,
    );
    let mut sends = 0;
    for _ in 0..40 {
        harness.now += 500 * MS;
        let (id, mut actions) = harness.request(0);
        if let Some(&worker) = probed(&actions).first() {
            let report = if worker.0 == 0 { first } else { other };
            actions = harness.event(answer(worker, report));
        }
        harness.event(Event::Cancelled { id });
        harness.settled(id, 0, Ending::Revoked);
        sends += u32::from(sent_to(&actions, id) == Some(WorkerId(0)));
    }
    sends
}

fn report_with_free_slots(free: f64) -> Option<Report> {
    report_of(0.0).map(|report| Report {
        free_slots: Some(free),
        ..report
    })
}

#[test]
fn worker_with_a_backlog_is_avoided() {
    let full = sends_to_first(true, report_of(40.0), report_of(0.0));
    let free = sends_to_first(true, report_of(0.0), report_of(0.0));
    assert!(
        full < 5 && free > 10,
        "of 40 jobs, {full} go to the worker while it has a backlog, and {free} while it has none"
    );
}

/// Where a worker is contacted rarely, the answer to a probe remains valid until the next contact.
#[test]
fn answer_counts_until_a_worker_is_contacted_again() {
    let mut harness = Harness::new(
        Settings {
            schedulers: 100,
            may_probe: false,
            ..probing_settings()
        },
        60,
    );
    for w in 0..20 {
        harness.event(answer(WorkerId(w), report_of(40.0)));
    }
    harness.now += 12_000 * MS;
    let mut to_full = 0;
    for _ in 0..60 {
        let (id, actions) = harness.request(1);
        to_full += u32::from(sent_to(&actions, id).is_some_and(|w| w.0 < 20));
        harness.now += 60 * MS; // the wait of every job
        harness.started(id, 0);
        harness.settled(id, 0, Ending::Delivered);
        harness.now += 65 * MS;
    }
    assert!(
        to_full <= 9,
        "{to_full} of 60 jobs went to the 20 of 60 workers that were full"
    );
}

#[test]
fn probed_free_slots_count_where_starts_are_not_reported() {
    let other = report_with_free_slots(3.0);
    let to_full = sends_to_first(false, report_with_free_slots(0.0), other);
    let to_free = sends_to_first(false, report_with_free_slots(6.0), other);
    assert!(
        to_full < to_free,
        "{to_full} jobs without free slots, {to_free} with six"
    );
}

#[test]
fn draining_worker_gets_no_jobs_whatever_it_reports() {
    let mut harness = Harness::new(probing_settings(), 1);
    drain(&mut harness, WorkerId(0));
    harness.event(answer(WorkerId(0), report_with_free_slots(6.0)));
    let (id, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, id), None);
}
