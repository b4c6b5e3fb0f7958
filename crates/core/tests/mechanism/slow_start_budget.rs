//! Workers that have just started: what all schedulers together may send them.
//!
//! It owns the tests of the slow-start budget. It must never let a worker warm by anything but time.

use std::collections::VecDeque;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn many_schedulers_together_honour_a_slow_start_budget() {
    // 60 schedulers, each seeing a job or so a second; worker 0 has just started.
    let schedulers = 60;
    let cold_settings = Settings {
        schedulers,
        cold_share: 0.2,
        ..settings()
    };
    let mut sent_cold = 0;
    for seed in 0..schedulers {
        let mut d = Scheduler::new(cold_settings.clone(), u64::from(seed)).expect("usable");
        let mut rows: Vec<Row> = (0..10).map(row).collect();
        rows[0].online_since = START;
        d.on_event(
            START,
            Event::List {
                kind: ListKind::Cached,
                rows: &rows,
            },
        );
        for n in 0..3u32 {
            let now = START + u64::from(n) * 1_000 * MS;
            let id = RequestId(u128::from(n));
            d.on_event(now, arrival(id, job(1)));
            let mut actions = Vec::new();
            d.dispatch(now, &mut actions);
            sent_cold += u32::from(sent_to(&actions, id) == Some(WorkerId(0)));
        }
    }
    // 180 jobs over 10 workers are 18 each; a cold one may have the multiple of its fifth.
    assert!(sent_cold < 12, "{sent_cold} jobs went to the cold worker");
}

/// Guards against schedulers that have all just started, and send successors next to nothing for seconds: the
/// work that they have seen done is that of the time since, not of a span of which they saw the end.
#[test]
fn fresh_scheduler_soon_counts_the_work_done() {
    let to_cold = |busy: u64| {
        let mut sent_cold = 0;
        for seed in 0..30 {
            let cold = Settings {
                schedulers: 30,
                cold_share: 0.2,
                ..settings()
            };
            let mut harness = Harness::with_seed(cold, 20, seed);
            let mut rows: Vec<Row> = (0..20).map(row).collect();
            for n in 0..busy + 20 {
                if n == busy {
                    rows[..10]
                        .iter_mut()
                        .for_each(|row| row.online_since = harness.now);
                    harness.list(ListKind::Delta, &rows[..10]);
                }
                let (id, actions) = harness.request(1);
                sent_cold +=
                    u32::from(n >= busy && sent_to(&actions, id).is_some_and(|w| w.0 < 10));
                harness.started(id, 0);
                harness.now += 100 * MS;
                harness.settled(id, 0, Ending::Delivered);
            }
        }
        sent_cold
    };
    let (fresh, old) = (to_cold(10), to_cold(200));
    assert!(
        3 * fresh > old,
        "{fresh} jobs to cold workers, {old} by schedulers that have seen a lot"
    );
}

/// A job in flight.
struct InFlight {
    id: RequestId,
    starts: Micros,
    ends: Micros,
}

/// How many jobs go to so many workers that start anew after 8 of 10 s, where a job waits for so long before it
/// runs for 100 ms.
fn jobs_to_cold(cold_workers: usize, waits: Micros, seed: u64) -> u32 {
    let settings = Settings {
        schedulers: 30,
        cold_share: 0.2,
        ..settings()
    };
    let mut harness = Harness::with_seed(settings, 40, seed);
    let mut jobs = VecDeque::new();
    let mut to_cold = 0;
    for n in 0..1_000u64 {
        harness.now += 10 * MS;
        if n == 800 {
            restart_first(&mut harness, cold_workers);
        }
        let (id, actions) = harness.request(1);
        if let Some(worker) = sent_to(&actions, id) {
            to_cold += u32::from(n >= 800 && worker.0 < cold_workers as u64);
            let starts = harness.now + waits;
            let ends = starts + 100 * MS;
            jobs.push_back(InFlight { id, starts, ends });
        }
        start_and_end(&mut harness, &mut jobs);
    }
    to_cold
}

fn restart_first(harness: &mut Harness, workers: usize) {
    let mut rows: Vec<Row> = (0..workers as u32).map(row).collect();
    for row in &mut rows {
        row.online_since = harness.now;
    }
    harness.list(ListKind::Delta, &rows);
}

fn start_and_end(harness: &mut Harness, jobs: &mut VecDeque<InFlight>) {
    for job in jobs.iter() {
        if job.starts == harness.now {
            harness.started(job.id, 0);
        }
    }
    while jobs.front().is_some_and(|job| job.ends <= harness.now) {
        let job = jobs.pop_front().expect("just seen");
        harness.settled(job.id, 0, Ending::Delivered);
    }
}

/// Guards against a cold worker pushed over by a fleet that is too full: jobs that waited counted as work that
/// a worker can do, and with four of five waiting a cold one was sent several times its part.
#[test]
fn queues_do_not_enlarge_a_slow_start_budget() {
    let to_cold = |cold_workers: usize, waits: Micros| {
        let of_seeds = (0..30).map(|seed| jobs_to_cold(cold_workers, waits, seed));
        of_seeds.sum::<u32>()
    };
    let (prompt, late) = (to_cold(1, 0), to_cold(1, 300 * MS));
    assert!(
        late <= 2 * prompt,
        "{late} jobs went to the cold worker, {prompt} where none waits"
    );
    // A warm worker has 150 jobs in these two seconds, at six tenths of what it can do: a cold one surely does
    // 0.28 of that, 70, and falls over, where a warm one is full with 150, at three times as much as 42. Also
    // where six in ten are cold at once, which leaves the others to do the work of all.
    for (cold_workers, jobs) in [(1, prompt), (24, to_cold(24, 0))] {
        let each = f64::from(jobs) / cold_workers as f64;
        assert!(
            (70.0..=120.0).contains(&each),
            "{each} jobs to each of {cold_workers} cold workers"
        );
    }
}
