//! Probes: how many, of whom, and what is believed of what they tell.
//!
//! It owns the probes' tests. It must never let a job wait for one.

use oakshed_core::interface::*;

use crate::common::*;

/// Probes cost no request time, and are few: one for each, none of who was met lately.
#[test]
fn a_worker_seldom_met_is_probed_beside_the_way_and_left_while_much_waits_there() {
    let probing = Settings { may_probe: true, reports: Reports::Probe, ..settings() };
    let probes = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
    let mut bench = Bench::new(probing.clone(), 60);
    for _ in 0..10 {
        let (id, actions) = bench.request(0);
        assert!(sent(&actions, id).is_some(), "no job waits for a probe");
        assert_eq!(probes(&actions), 1);
        bench.settled(id, 0, Ending::Delivered);
    }
    let unanswered: usize = (0..100).map(|_| probes(&bench.request(0).1)).sum();
    assert!(unanswered <= 6, "{unanswered} more with ten out");
    let mut one = Bench::new(probing.clone(), 1);
    let (id, _) = one.request(0);
    one.started(id, 0);
    assert_eq!(probes(&one.request(0).1), 0, "its load is known");

    let sends = |tells_start: bool, told: Report| {
        let mut bench = Bench::new(Settings { tells_start, ..probing.clone() }, 2);
        let (worker, ending) = (WorkerId(0), Ending::Delivered);
        bench.event(Event::Probed { worker, ending, report: Some(told) });
        bench.now += 500 * MS;
        let to = |bench: &mut Bench| {
            let (id, actions) = bench.request(0);
            bench.event(Event::Lapsed { id });
            bench.settled(id, 0, Ending::Revoked);
            u32::from(sent(&actions, id) == Some(worker))
        };
        (0..40).map(|_| to(&mut bench)).sum::<u32>()
    };
    let told = |backlog: f64| Report {
        backlog: Some(backlog),
        outstanding: Some(backlog + 5.0),
        ..Report::default()
    };
    let (full, free) = (sends(true, told(40.0)), sends(true, told(0.0)));
    assert!(full < 5 && free > 10, "of 40 jobs {full} to the full one, {free} to the same free");
    // Where each worker is seldom met, that is known until it is met again.
    let mut thin = Bench::new(Settings { dispatchers: 100, ..probing.clone() }, 60);
    for w in 0..20 {
        let (worker, ending, report) = (WorkerId(w), Ending::Delivered, Some(told(40.0)));
        thin.event(Event::Probed { worker, ending, report });
    }
    thin.now += 12_000 * MS;
    let mut met = 0;
    for _ in 0..60 {
        let (id, actions) = thin.request(1);
        met += u32::from(sent(&actions, id).is_some_and(|w| w.0 < 20));
        thin.now += 60 * MS; // as long as any job waits
        thin.started(id, 0);
        thin.settled(id, 0, Ending::Delivered);
        thin.now += 65 * MS;
    }
    assert!(met <= 9, "{met} of 60 jobs to the 20 of 60 workers that were full");
    // Where no start is told, the free slots count, too.
    let slots = |free: f64| Report { free_slots: Some(free), ..told(0.0) };
    assert!(sends(false, slots(0.0)) < sends(false, slots(6.0)));
    // What it says of its load when it is told to drain is no leave to send.
    let leaving = Row { condition: Condition::Leaving, ..row(0) };
    one.event(Event::List { kind: ListKind::Changes, rows: &[leaving] });
    one.event(Event::Probed { worker: WorkerId(0), ending: Ending::Delivered, report: Some(slots(6.0)) });
    let (id, actions) = one.request(0);
    assert_eq!(sent(&actions, id), None);
}
