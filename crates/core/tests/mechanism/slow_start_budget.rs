//! Tests of the slow-start budget: how much work all schedulers together send to workers that have just started.

use std::collections::VecDeque;

use oakshed_core::interface::*;
use oakshed_core::Scheduler;

use crate::common::*;

#[test]
fn many_schedulers_together_honour_a_slow_start_budget() {
    // 60 schedulers send one job per second each. Worker 0 has just started.
    let schedulers = 60;
    let cold_settings = Settings {
        schedulers,
        cold_share: 0.2,
        ..settings()
    };
    let mut sent_cold = 0;
    for seed in 0..schedulers {
        let mut scheduler = Scheduler::new(cold_settings.clone(), u64::from(seed)).expect("usable");
        let mut rows: Vec<Row> = (0..10).map(row).collect();
        rows[0].online_since = START;
        scheduler.on_event(
            START,
            Event::List {
                kind: ListKind::Cached,
                rows: &rows,
            },
        );
        for n in 0..3u32 {
            let now = START + u64::from(n) * 1_000 * MS;
            let id = RequestId(u128::from(n));
            scheduler.on_event(now, arrival(id, job(1)));
            let mut actions = Vec::new();
            scheduler.dispatch(now, &mut actions);
            sent_cold += u32::from(sent_to(&actions, id) == Some(WorkerId(0)));
        }
    }
    // 180 jobs over 10 workers are 18 each. A cold worker, with a fifth of the capacity, may get `fall_multiple` times
    // a fifth of that.
    assert!(sent_cold < 12, "{sent_cold} jobs went to the cold worker");
}

/// A scheduler must divide the work that it has observed by the time since its start, not by a longer averaging span.
/// Otherwise schedulers that have all just started send almost nothing to cold workers for seconds.
#[test]
fn fresh_scheduler_soon_counts_the_work_done() {
    let jobs_to_cold = |jobs_before: u64| {
        let mut sent_cold = 0;
        for seed in 0..30 {
            let cold = Settings {
                schedulers: 30,
                cold_share: 0.2,
                ..settings()
            };
            let mut harness = Harness::with_seed(cold, 20, seed);
            let mut rows: Vec<Row> = (0..20).map(row).collect();
            for n in 0..jobs_before + 20 {
                if n == jobs_before {
                    rows[..10]
                        .iter_mut()
                        .for_each(|row| row.online_since = harness.now);
                    harness.list(ListKind::Delta, &rows[..10]);
                }
                let (id, actions) = harness.request(1);
                sent_cold +=
                    u32::from(n >= jobs_before && sent_to(&actions, id).is_some_and(|w| w.0 < 10));
                harness.started(id, 0);
                harness.now += 100 * MS;
                harness.settled(id, 0, Ending::Delivered);
            }
        }
        sent_cold
    };
    let (fresh, old) = (jobs_to_cold(10), jobs_to_cold(200));
    assert!(
        3 * fresh > old,
        "{fresh} jobs to cold workers from fresh schedulers, {old} from schedulers with more observations"
    );
}

/// A job in flight.
struct InFlight {
    id: RequestId,
    starts: Micros,
    ends: Micros,
}

/// Counts the jobs sent to `cold_workers` workers that restart after 8 of 10 s. Each job waits at its worker for `wait`
/// and then runs for 100 ms.
fn jobs_to_restarted(cold_workers: usize, wait: Micros, seed: u64) -> u32 {
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
            restart_workers(&mut harness, cold_workers);
        }
        let (id, actions) = harness.request(1);
        if let Some(worker) = sent_to(&actions, id) {
            to_cold += u32::from(n >= 800 && worker.0 < cold_workers as u64);
            let starts = harness.now + wait;
            let ends = starts + 100 * MS;
            jobs.push_back(InFlight { id, starts, ends });
        }
        start_and_end(&mut harness, &mut jobs);
    }
    to_cold
}

/// Restarts the first workers.
fn restart_workers(harness: &mut Harness, workers: usize) {
    let mut rows: Vec<Row> = (0..workers as u32).map(row).collect();
    for row in &mut rows {
        row.online_since = harness.now;
    }
    harness.list(ListKind::Delta, &rows);
}

/// Starts and ends the jobs that are due.
fn start_and_end(harness: &mut Harness, jobs: &mut VecDeque<InFlight>) {
    for job in jobs.iter() {
        if job.starts == harness.now {
            harness.started(job.id, 0);
        }
    }
    while jobs.front().is_some_and(|job| job.ends <= harness.now) {
        let job = jobs.pop_front().expect("not empty");
        harness.settled(job.id, 0, Ending::Delivered);
    }
}

/// Waiting jobs must not count as throughput, on which the budget depends. When they did, an overloaded fleet, in which
/// four out of five jobs were waiting, sent a cold worker several times its budget.
#[test]
fn queues_do_not_enlarge_a_slow_start_budget() {
    let jobs_to_cold = |cold_workers: usize, wait: Micros| {
        let by_seed = (0..30).map(|seed| jobs_to_restarted(cold_workers, wait, seed));
        by_seed.sum::<u32>()
    };
    let (without_wait, with_wait) = (jobs_to_cold(1, 0), jobs_to_cold(1, 300 * MS));
    assert!(
        with_wait <= 2 * without_wait,
        "{with_wait} jobs went to the cold worker where jobs wait, {without_wait} where none does"
    );
    // In the last two seconds, a warm worker gets 150 jobs, 0.6 of its capacity. The guaranteed capacity of a cold
    // worker is 0.28 of a warm one's, or 70 jobs. If a warm worker could do no more than 150 jobs, a cold one would be
    // overwhelmed by three times 42. The same bounds apply where 24 of 40 workers are cold and the others take over
    // their work.
    for (cold_workers, jobs) in [(1, without_wait), (24, jobs_to_cold(24, 0))] {
        let per_worker = f64::from(jobs) / cold_workers as f64;
        assert!(
            (70.0..=120.0).contains(&per_worker),
            "{per_worker} jobs to each of {cold_workers} cold workers"
        );
    }
}
