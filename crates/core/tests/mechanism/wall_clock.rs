//! Tests of slow start with a wall clock that is wrong or stepped.
//!
//! The wall clock serves only to convert the start times in the endpoint list. Its errors must neither make a cold
//! worker count as warm nor keep it cold for more than one ramp. Some tests simulate whole fleets. Others use one
//! scheduler, whose distribution of jobs shows how far it assumes a worker to be warmed up.

use oakshed_core::interface::*;

use crate::common::*;
use crate::slow_start_fleet::*;
use crate::slow_start_sum::*;

const SIZES: [u32; 2] = [1, 300];
const HOUR: i64 = 3_600_000_000;
const SECOND: i64 = 1_000_000;
const STEPS: [i64; 4] = [-HOUR, -5 * SECOND, 5 * SECOND, HOUR];
/// Offset of a correct wall clock from the monotonic clock, in microseconds.
const CORRECT_OFFSET: i64 = 10 * HOUR;

/// Returns a fleet in which a cold worker that is treated as warm always exceeds its budget.
fn sensitive_plan(schedulers: u32) -> Plan {
    plan(&variants()[1], schedulers)
}

/// Returns the same fleet with a wall clock that is wrong by `error` microseconds at the schedulers.
fn with_wall_clock(plan: &Plan, error: i64) -> Plan {
    Plan {
        wall_clock: Some(WallClock {
            list_offset: CORRECT_OFFSET,
            scheduler_offset: CORRECT_OFFSET + error,
        }),
        ..plan.clone()
    }
}

/// Workers restart while the wall clocks of all schedulers have been wrong from the beginning.
#[test]
fn budget_is_honoured_where_the_wall_clock_is_off_at_the_start() {
    for schedulers in SIZES {
        for error in STEPS {
            let plan = with_wall_clock(&sensitive_plan(schedulers), error);
            let used = run_scenario("wrong wall clock", plan, |fleet, at| {
                if at % 500 == 0 && at < 6_000 {
                    fleet.restart_worker(at as usize / 500);
                    fleet.send_list_to_all(ListKind::Delta);
                }
            });
            assert!(
                used > MIN_USED_SHARE,
                "error of {error} us, {schedulers} schedulers: cold workers got {used:.2} of their guaranteed capacity"
            );
        }
    }
}

/// A step of the wall clock between two lists must not change start times that were converted before it.
#[test]
fn budget_is_honoured_where_the_wall_clock_is_stepped_during_warm_up() {
    for schedulers in SIZES {
        for step in STEPS {
            let plan = with_wall_clock(&sensitive_plan(schedulers), 0);
            let used = run_scenario("stepped wall clock", plan, |fleet, at| {
                if at == 1_200 {
                    fleet.step_wall_clock(step);
                }
                if at % 500 == 0 && at < 6_000 {
                    fleet.restart_worker(at as usize / 500);
                    fleet.send_list_to_all(if at % 1_000 == 0 {
                        ListKind::Snapshot
                    } else {
                        ListKind::Delta
                    });
                }
            });
            assert!(
                used > MIN_USED_SHARE,
                "step of {step} us, {schedulers} schedulers: cold workers got {used:.2} of their guaranteed capacity"
            );
        }
    }
}

/// All schedulers restart while workers are cold and the wall clock is behind. The later of the possible start times of
/// a worker counts.
#[test]
fn budget_is_honoured_where_schedulers_restart_with_a_wall_clock_behind() {
    for schedulers in SIZES {
        for step in STEPS.into_iter().filter(|step| *step < 0) {
            let plan = with_wall_clock(&sensitive_plan(schedulers), 0);
            run_scenario("restart, clock behind", plan, |fleet, at| match at {
                0 => {
                    (0..12).for_each(|worker| fleet.restart_worker(worker));
                    fleet.send_list_to_all(ListKind::Delta);
                }
                1_500 => {
                    fleet.step_wall_clock(step);
                    (0..schedulers as usize).for_each(|s| fleet.restart_scheduler(s));
                }
                _ => {}
            });
        }
    }
}

/// All schedulers restart with a list that was cached before the workers started. The wall clock is stepped before the
/// first list from discovery.
#[test]
fn budget_is_honoured_where_the_wall_clock_is_stepped_before_the_first_list() {
    for schedulers in SIZES {
        for step in STEPS {
            let plan = with_wall_clock(&sensitive_plan(schedulers), 0);
            run_scenario(
                "stepped before the first list",
                plan,
                |fleet, at| match at {
                    0 => {
                        let cached = fleet.rows.clone();
                        (0..12).for_each(|worker| fleet.restart_worker(worker));
                        (0..schedulers as usize)
                            .for_each(|s| fleet.restart_scheduler_from_cache(s, &cached));
                        fleet.step_wall_clock(step);
                    }
                    200 => fleet.send_list_to_all(ListKind::Snapshot),
                    _ => {}
                },
            );
        }
    }
}

/// The clock with which the list stamps worker starts is stepped, while that of the schedulers is not.
#[test]
fn budget_is_honoured_where_the_clock_of_the_list_is_stepped() {
    for schedulers in SIZES {
        for step in STEPS {
            let plan = with_wall_clock(&sensitive_plan(schedulers), 0);
            let used = run_scenario("stepped clock of the list", plan, |fleet, at| {
                if at == 1_200 {
                    fleet.step_list_clock(step);
                }
                if at % 500 == 0 && at < 6_000 {
                    fleet.restart_worker(at as usize / 500);
                    fleet.send_list_to_all(ListKind::Delta);
                }
            });
            assert!(
                used > MIN_USED_SHARE,
                "step of {step} us, {schedulers} schedulers: cold workers got {used:.2} of their guaranteed capacity"
            );
        }
    }
}

/// One scheduler and four workers without queues. The jobs that the first worker gets, relative to a warm one, show how
/// far the scheduler assumes it to be warmed up.
struct Scenario {
    harness: Harness,
    rows: Vec<Row>,
    /// Offset of the scheduler's wall clock from its monotonic clock, in microseconds.
    wall_offset: i64,
    /// Offset of the clock with which the list stamps worker starts.
    list_offset: i64,
}

impl Scenario {
    /// Creates a scheduler whose wall clock is wrong by `error` microseconds when the process starts.
    fn new(error: i64, seed: u64) -> Scenario {
        let settings = Settings {
            schedulers: 1,
            cold_share: 0.1,
            ..settings()
        };
        let rows = (0..4).map(row).collect();
        let harness = Harness::without_list(settings, seed);
        let mut scenario = Scenario {
            harness,
            rows,
            wall_offset: CORRECT_OFFSET + error,
            list_offset: CORRECT_OFFSET,
        };
        scenario.read_wall_clock();
        scenario
    }

    fn read_wall_clock(&mut self) {
        let wall = self.harness.now.saturating_add_signed(self.wall_offset);
        self.harness.event(Event::WallClock { wall });
    }

    /// Sets the start of the first worker to `age` ago by the clock of the list.
    fn set_start(&mut self, age: Micros) {
        self.rows[0].online_since = self.harness.now.saturating_add_signed(self.list_offset) - age;
    }

    fn list(&mut self, kind: ListKind) {
        self.read_wall_clock();
        let rows = self.rows.clone();
        self.harness.event(Event::List { kind, rows: &rows });
    }

    /// Runs jobs for a time. Returns how many went to the first worker, and to a warm one.
    fn run_jobs(&mut self, span: Micros) -> [u32; 2] {
        let mut jobs = [0; 2];
        for _ in 0..span / (20 * MS) {
            let (id, actions) = self.harness.request(1);
            match sent_to(&actions, id) {
                Some(WorkerId(0)) => jobs[0] += 1,
                Some(WorkerId(1)) => jobs[1] += 1,
                _ => {}
            }
            self.harness.started(id, 0);
            self.harness.now += 20 * MS;
            self.harness.settled(id, 0, Ending::Delivered);
        }
        jobs
    }
}

/// Returns the jobs of the first worker relative to those of a warm one, in the second after `setup` and in a second
/// one ramp later.
fn relative_shares(error: i64, setup: impl Fn(&mut Scenario)) -> [f64; 2] {
    let mut jobs = [[0; 2]; 2];
    for seed in 0..20 {
        let mut scenario = Scenario::new(error, seed);
        setup(&mut scenario);
        for second in &mut jobs {
            let [first, warm] = scenario.run_jobs(1_000 * MS);
            *second = [second[0] + first, second[1] + warm];
            scenario.run_jobs(Settings::default().ramp.as_micros());
        }
    }
    jobs.map(|[first, warm]| f64::from(first) / f64::from(warm.max(1)))
}

fn assert_cold_for_one_ramp(case: &str, error: i64, setup: impl Fn(&mut Scenario)) {
    let [first, later] = relative_shares(error, setup);
    assert!(
        first < 0.65,
        "{case}, error of {error} us: {first:.2} of a warm worker's jobs at first"
    );
    assert!(
        (0.8..1.25).contains(&later),
        "{case}, error of {error} us: {later:.2} of a warm worker's jobs after a ramp"
    );
}

fn assert_warm(case: &str, setup: impl Fn(&mut Scenario)) {
    let [first, _] = relative_shares(0, setup);
    assert!(
        (0.8..1.25).contains(&first),
        "{case}: {first:.2} of a warm worker's jobs"
    );
}

/// The first worker restarts after the first list, while jobs are running.
fn restart_during_service(scenario: &mut Scenario) {
    scenario.list(ListKind::Snapshot);
    scenario.run_jobs(2_000 * MS);
    scenario.set_start(100 * MS);
    scenario.list(ListKind::Delta);
}

#[test]
fn worker_started_during_service_is_cold_whatever_the_wall_clock() {
    for error in STEPS.into_iter().chain([0]) {
        assert_cold_for_one_ramp("wrong from the beginning", error, restart_during_service);
        assert_cold_for_one_ramp("stepped before the worker starts", 0, |scenario| {
            scenario.list(ListKind::Snapshot);
            scenario.run_jobs(2_000 * MS);
            scenario.wall_offset += error;
            scenario.set_start(100 * MS);
            scenario.list(ListKind::Delta);
        });
        assert_cold_for_one_ramp("stepped after the worker starts", 0, |scenario| {
            restart_during_service(scenario);
            scenario.wall_offset += error;
            scenario.list(ListKind::Snapshot);
        });
        assert_cold_for_one_ramp("the list's clock is stepped", 0, |scenario| {
            scenario.list(ListKind::Snapshot);
            scenario.run_jobs(2_000 * MS);
            scenario.set_start(0);
            scenario.list(ListKind::Delta);
            scenario.run_jobs(12_000 * MS);
            scenario.harness.list(ListKind::Delta, &[]);
            scenario.run_jobs(200 * MS);
            scenario.list_offset += error;
            scenario.set_start(100 * MS);
            scenario.list(ListKind::Delta);
        });
    }
}

#[test]
fn worker_started_before_the_first_list_is_cold_for_one_ramp_at_most() {
    for error in [-HOUR, -60 * SECOND] {
        assert_cold_for_one_ramp("the wall clock is behind", error, |scenario| {
            scenario.set_start(10_000 * MS);
            scenario.list(ListKind::Snapshot);
        });
    }
    for step in [-HOUR, 60 * SECOND, HOUR] {
        assert_cold_for_one_ramp("stepped before the first list", 0, |scenario| {
            scenario.wall_offset += step;
            scenario.set_start(100 * MS);
            scenario.list(ListKind::Snapshot);
        });
    }
    assert_cold_for_one_ramp(
        "ahead, and corrected before the first list",
        HOUR,
        |scenario| {
            scenario.wall_offset = CORRECT_OFFSET;
            scenario.set_start(100 * MS);
            scenario.list(ListKind::Snapshot);
        },
    );
    assert_warm("started long ago", |scenario| {
        scenario.set_start(3_600_000 * MS);
        scenario.list(ListKind::Snapshot);
    });
}

/// If all clocks agree, a worker whose start discovery reports late counts as warm from its actual start.
#[test]
fn worker_started_during_a_discovery_outage_warms_up_from_its_start() {
    let ramp = Settings::default().ramp.as_micros();
    assert_warm("started one ramp ago, listed now", |scenario| {
        scenario.set_start(60_000 * MS);
        scenario.list(ListKind::Snapshot);
        scenario.run_jobs(2_000 * MS);
        // A worker that starts during service reveals the offset of the list's clock.
        scenario.rows[3].online_since = scenario
            .harness
            .now
            .saturating_add_signed(scenario.list_offset);
        scenario.list(ListKind::Delta);
        scenario.run_jobs(ramp + 2_000 * MS);
        scenario.set_start(ramp);
        scenario.list(ListKind::Delta);
    });
    // If the clocks differ by some seconds, the later start time counts.
    assert_cold_for_one_ramp("wall clock 5 s ahead", 5 * SECOND, |scenario| {
        scenario.list(ListKind::Snapshot);
        scenario.run_jobs(12_000 * MS);
        scenario.set_start(100 * MS);
        scenario.list(ListKind::Delta);
    });
    assert_cold_for_one_ramp("clock of another worker 5 s ahead", 0, |scenario| {
        scenario.rows[3].online_since = scenario
            .harness
            .now
            .saturating_add_signed(scenario.list_offset + 5 * SECOND);
        scenario.list(ListKind::Snapshot);
        scenario.run_jobs(12_000 * MS);
        scenario.set_start(100 * MS);
        scenario.list(ListKind::Delta);
    });
}
