//! Probes: how many, of whom, how long a job waits for one, and what is made of their answers.
//!
//! It owns the probes' tests. It must never let a job wait longer than a worker with a free slot takes to answer.

use oakshed_core::interface::*;

use crate::common::*;

fn probing() -> Settings {
    Settings {
        may_probe: true,
        reports: Reports::Probe,
        ..settings()
    }
}

fn probed(actions: &[Action]) -> Vec<WorkerId> {
    let of = |a: &Action| {
        if let Action::Probe { worker } = a {
            Some(*worker)
        } else {
            None
        }
    };
    actions.iter().filter_map(of).collect()
}

fn report_of(backlog: f64) -> Option<Report> {
    Some(Report {
        backlog: Some(backlog),
        outstanding: Some(backlog + 5.0),
        ..Report::default()
    })
}

/// The worker that was probed, the only one.
fn probed_worker(actions: &[Action]) -> WorkerId {
    let workers = probed(actions);
    assert_eq!(workers.len(), 1, "one is probed");
    workers[0]
}

/// A worker's answer to a probe.
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

/// Has a job wait for its probe, which finds nothing queued, and serves it there.
fn serve_after_probe(harness: &mut Harness) {
    harness.now += 500 * MS;
    let (id, actions) = harness.request(0);
    assert_eq!(sent_to(&actions, id), None, "the job waits for the probe");
    let worker = probed_worker(&actions);
    harness.now += MS;
    let actions = harness.event(answer(worker, report_of(0.0)));
    assert_eq!(sent_to(&actions, id), Some(worker), "nothing waits there");
    harness.settled(id, 0, Ending::Delivered);
}

/// Guards against picks among workers of which nothing is known: hundreds of schedulers contact each seldom, and a
/// probe beside the way of another worker than the chosen one was of a worker that was not drawn again for seconds.
#[test]
fn chosen_worker_is_probed_and_avoided_if_it_has_a_queue() {
    let mut harness = Harness::new(probing(), 60);
    for _ in 0..20 {
        serve_after_probe(&mut harness);
    }
    // A few only: of a zone in which many wait that is believed of all.
    for _ in 0..3 {
        harness.now += 500 * MS;
        let (id, actions) = harness.request(0);
        let Some(&worker) = probed(&actions).first() else {
            panic!("known")
        };
        let actions = harness.event(answer(worker, report_of(30.0)));
        let to = sent_to(&actions, id).expect("sent, and not queued for a second probe");
        assert_ne!(to, worker, "thirty wait there");
        assert!(probed(&actions).is_empty(), "one probe a job");
        harness.settled(id, 0, Ending::Delivered);
    }
}

#[test]
fn failed_probe_sends_the_job_elsewhere() {
    let mut harness = Harness::new(probing(), 60);
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
    let mut harness = Harness::new(probing(), 60);
    let (id, actions) = harness.request(0);
    let worker = probed_worker(&actions);
    drain(&mut harness, worker);
    let actions = harness.event(answer(worker, report_of(0.0)));
    assert!(sent_to(&actions, id).is_some_and(|to| to != worker));
    harness.settled(id, 0, Ending::Delivered);
}

#[test]
fn worker_whose_load_is_known_is_not_probed() {
    let mut one = Harness::new(probing(), 1);
    let (id, actions) = one.request(0);
    let worker = probed_worker(&actions);
    one.event(answer(worker, report_of(0.0)));
    one.started(id, 0);
    let (id, actions) = one.request(0);
    assert!(
        probed(&actions).is_empty() && sent_to(&actions, id).is_some(),
        "its load is known"
    );
}

/// Guards against jobs that wait for a worker that stands still: each goes elsewhere after a moment, long before
/// it must leave; with so little time left that the moment would be missed, it probes nobody.
#[test]
fn unanswered_probe_delays_a_job_briefly() {
    let (mut harness, mut unresponsive) = (Harness::new(probing(), 60), 0);
    for _ in 0..40 {
        let (id, actions) = harness.request(0);
        let probed_workers = probed(&actions);
        let (mut at, begun) = (sent_to(&actions, id), harness.now);
        while at.is_none() {
            let actions = harness.wait(10 * MS);
            assert!(probed(&actions).is_empty() && !rejected(&actions, id));
            at = sent_to(&actions, id);
        }
        assert!(
            harness.now - begun <= 150 * MS,
            "{} ms of 800 until it is late",
            (harness.now - begun) / MS
        );
        unresponsive += u32::from(at == probed_workers.first().copied());
        harness.started(id, 0);
        harness.settled(id, 0, Ending::Delivered);
    }
    assert!(
        unresponsive <= 4,
        "{unresponsive} of 40 went to the unresponsive ones, which two draws among 60 find by chance"
    );
    let mut hasty = probing();
    (
        hasty.classes[0].latency_objective,
        hasty.classes[0].deadline,
        hasty.classes[0].stretch,
    ) = (Span::from_millis(60), Span::from_millis(60), 10.0);
    let (id, actions) = Harness::new(hasty, 60).request(0);
    assert!(
        sent_to(&actions, id).is_some() && probed(&actions).is_empty(),
        "it has no time for a probe"
    );
}

/// How many of 40 jobs go to the first of two workers, where it answers probes with one report and the other with
/// another. Each job probes at most once.
fn sends_to_first(reports_start: bool, first: Option<Report>, other: Option<Report>) -> u32 {
    let mut harness = Harness::new(
        Settings {
            reports_start,
            ..probing()
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
        "of 40 jobs {full} to the full one, {free} to the same free"
    );
}

/// Where each worker is seldom contacted, an answer counts until the next contact.
#[test]
fn answer_counts_until_a_worker_is_contacted_again() {
    let mut thin = Harness::new(
        Settings {
            schedulers: 100,
            may_probe: false,
            ..probing()
        },
        60,
    );
    for w in 0..20 {
        thin.event(answer(WorkerId(w), report_of(40.0)));
    }
    thin.now += 12_000 * MS;
    let mut to_full = 0;
    for _ in 0..60 {
        let (id, actions) = thin.request(1);
        to_full += u32::from(sent_to(&actions, id).is_some_and(|w| w.0 < 20));
        thin.now += 60 * MS; // as long as any job waits
        thin.started(id, 0);
        thin.settled(id, 0, Ending::Delivered);
        thin.now += 65 * MS;
    }
    assert!(
        to_full <= 9,
        "{to_full} of 60 jobs to the 20 of 60 workers that were full"
    );
}

#[test]
fn probed_free_slots_count_where_starts_are_not_reported() {
    let other = report_with_free_slots(3.0);
    let to_full = sends_to_first(false, report_with_free_slots(0.0), other);
    let to_free = sends_to_first(false, report_with_free_slots(6.0), other);
    assert!(to_full < to_free);
}

/// What a worker reports of its load while it drains does not allow a send.
#[test]
fn draining_worker_gets_no_jobs_whatever_it_reports() {
    let mut one = Harness::new(probing(), 1);
    drain(&mut one, WorkerId(0));
    one.event(answer(WorkerId(0), report_with_free_slots(6.0)));
    let (id, actions) = one.request(0);
    assert_eq!(sent_to(&actions, id), None);
}
