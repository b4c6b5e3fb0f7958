//! Slow start beside a wall clock that is wrong or stepped: what counts is the clock that is passed in, and
//! the wall clock only for a start that was there before the process.
//!
//! It owns these scenarios: over whole fleets, and with one scheduler, where it shows directly for how warm a
//! worker is taken.

use oakshed_core::interface::*;

use crate::common::*;
use crate::slow_start_fleet::*;
use crate::slow_start_sum::*;

const SIZES: [u32; 2] = [1, 300];
const HOUR: i64 = 3_600_000_000;
const SECOND: i64 = 1_000_000;
const STEPS: [i64; 4] = [-HOUR, -5 * SECOND, 5 * SECOND, HOUR];
/// How far the wall clock of a machine with the right time is ahead of the process's clock.
const RIGHT: i64 = 10 * HOUR;

/// Settings under which a cold worker that is taken for a warm one surely gets too much.
fn sensitive(schedulers: u32) -> Plan {
    plan(&kinds()[1], schedulers)
}

/// A fleet whose schedulers read a wall clock that is wrong by `error`.
fn with_wall_clock(plan: &Plan, error: i64) -> Plan {
    Plan {
        wall_clock: Some(WallClock {
            stamps: RIGHT,
            reading: RIGHT + error,
        }),
        ..plan.clone()
    }
}

/// Workers start anew while the schedulers run and their wall clocks are wrong from the start by as much.
#[test]
fn budget_is_honoured_where_the_wall_clock_is_off_at_the_start() {
    for schedulers in SIZES {
        for error in STEPS {
            let plan = with_wall_clock(&sensitive(schedulers), error);
            let used = run_scenario("wrong wall clock", plan, |fleet, at| {
                if at % 500 == 0 && at < 6_000 {
                    fleet.replace(at as usize / 500);
                    fleet.send_list_to_all(ListKind::Delta);
                }
            });
            assert!(
                used > LEAST_USED,
                "{error} us, {schedulers}: {used:.2} of what they surely could"
            );
        }
    }
}

/// The wall clock is stepped between the lists; what was translated before the step stays as it is.
#[test]
fn budget_is_honoured_where_the_wall_clock_is_stepped_during_warm_up() {
    for schedulers in SIZES {
        for step in STEPS {
            let plan = with_wall_clock(&sensitive(schedulers), 0);
            let used = run_scenario("stepped wall clock", plan, |fleet, at| {
                if at == 1_200 {
                    fleet.step_wall_clock(step);
                }
                if at % 500 == 0 && at < 6_000 {
                    fleet.replace(at as usize / 500);
                    fleet.send_list_to_all(if at % 1_000 == 0 {
                        ListKind::Snapshot
                    } else {
                        ListKind::Delta
                    });
                }
            });
            assert!(
                used > LEAST_USED,
                "{step} us, {schedulers}: {used:.2} of what they surely could"
            );
        }
    }
}

/// All schedulers restart among cold workers while the wall clock is behind, or has been stepped since they
/// began: whichever reading makes the workers colder counts.
#[test]
fn budget_is_honoured_where_schedulers_restart_with_a_wall_clock_behind() {
    for schedulers in SIZES {
        for step in STEPS.into_iter().filter(|step| *step < 0) {
            let plan = with_wall_clock(&sensitive(schedulers), 0);
            run_scenario("restart, clock behind", plan, |fleet, at| match at {
                0 => {
                    (0..12).for_each(|worker| fleet.replace(worker));
                    fleet.send_list_to_all(ListKind::Delta);
                }
                1_500 => {
                    fleet.step_wall_clock(step);
                    (0..schedulers as usize).for_each(|s| fleet.restart(s));
                }
                _ => {}
            });
        }
    }
}

/// All schedulers restart with a list that was cached before the workers started, and the wall clock is stepped
/// between their start and the first list.
#[test]
fn budget_is_honoured_where_the_wall_clock_is_stepped_before_the_first_list() {
    for schedulers in SIZES {
        for step in STEPS {
            let plan = with_wall_clock(&sensitive(schedulers), 0);
            run_scenario(
                "stepped before the first list",
                plan,
                |fleet, at| match at {
                    0 => {
                        let cached = fleet.rows.clone();
                        (0..12).for_each(|worker| fleet.replace(worker));
                        (0..schedulers as usize).for_each(|s| fleet.restart_from_cache(s, &cached));
                        fleet.step_wall_clock(step);
                    }
                    200 => fleet.send_list_to_all(ListKind::Snapshot),
                    _ => {}
                },
            );
        }
    }
}

/// The clock by which the list stamps starts is stepped, and that of the schedulers is not.
#[test]
fn budget_is_honoured_where_the_clock_of_the_list_is_stepped() {
    for schedulers in SIZES {
        for step in STEPS {
            let plan = with_wall_clock(&sensitive(schedulers), 0);
            let used = run_scenario("stepped stamps", plan, |fleet, at| {
                if at == 1_200 {
                    fleet.step_stamps(step);
                }
                if at % 500 == 0 && at < 6_000 {
                    fleet.replace(at as usize / 500);
                    fleet.send_list_to_all(ListKind::Delta);
                }
            });
            assert!(
                used > LEAST_USED,
                "{step} us, {schedulers}: {used:.2} of what they surely could"
            );
        }
    }
}

/// One scheduler whose jobs all run at once: how much of the work the first worker gets against a warm one shows
/// for how warm it is taken.
struct Scene {
    harness: Harness,
    rows: Vec<Row>,
    /// The scheduler's wall clock and that of the list, less the clock of the scheduler's process.
    wall: i64,
    stamps: i64,
}

impl Scene {
    /// The wall clock is wrong by `error` as the process begins.
    fn new(error: i64, seed: u64) -> Scene {
        let settings = Settings {
            schedulers: 1,
            cold_share: 0.1,
            ..settings()
        };
        let rows = (0..4).map(row).collect();
        let harness = Harness::without_list(settings, seed);
        let mut scene = Scene {
            harness,
            rows,
            wall: RIGHT + error,
            stamps: RIGHT,
        };
        scene.read_wall_clock();
        scene
    }

    fn read_wall_clock(&mut self) {
        let wall = self.harness.now.saturating_add_signed(self.wall);
        self.harness.event(Event::WallClock { wall });
    }

    /// The first worker has started so long ago by the list's clock; at 0 of that clock, long ago.
    fn start(&mut self, age: Micros) {
        self.rows[0].online_since = self.harness.now.saturating_add_signed(self.stamps) - age;
    }

    fn list(&mut self, kind: ListKind) {
        self.read_wall_clock();
        let rows = self.rows.clone();
        self.harness.event(Event::List { kind, rows: &rows });
    }

    /// Jobs in that time that went to the first worker, and to a warm one.
    fn work(&mut self, span: Micros) -> [u32; 2] {
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

/// What the first worker gets of a warm one's work in the second after `run`, and in one a ramp later.
fn shares(error: i64, run: impl Fn(&mut Scene)) -> [f64; 2] {
    let mut jobs = [[0; 2]; 2];
    for seed in 0..20 {
        let mut scene = Scene::new(error, seed);
        run(&mut scene);
        for second in &mut jobs {
            let [first, warm] = scene.work(1_000 * MS);
            *second = [second[0] + first, second[1] + warm];
            scene.work(Settings::default().ramp.as_micros());
        }
    }
    jobs.map(|[first, warm]| f64::from(first) / f64::from(warm.max(1)))
}

fn assert_cold_for_one_ramp(what: &str, error: i64, run: impl Fn(&mut Scene)) {
    let [first, later] = shares(error, run);
    assert!(
        first < 0.65,
        "{what}, {error} us: {first:.2} of a warm worker's share at first"
    );
    assert!(
        (0.8..1.25).contains(&later),
        "{what}, {error} us: {later:.2} of it after a ramp"
    );
}

fn assert_warm(what: &str, run: impl Fn(&mut Scene)) {
    let [first, _] = shares(0, run);
    assert!(
        (0.8..1.25).contains(&first),
        "{what}: {first:.2} of a warm worker's share"
    );
}

/// A list has come, some work is done, and the worker starts.
fn start_while_running(scene: &mut Scene) {
    scene.list(ListKind::Snapshot);
    scene.work(2_000 * MS);
    scene.start(100 * MS);
    scene.list(ListKind::Delta);
}

#[test]
fn start_during_service_is_cold_whatever_the_wall_clock() {
    for error in STEPS.into_iter().chain([0]) {
        assert_cold_for_one_ramp("wrong from the start", error, start_while_running);
        assert_cold_for_one_ramp("stepped before it", 0, |scene| {
            scene.list(ListKind::Snapshot);
            scene.work(2_000 * MS);
            scene.wall += error;
            scene.start(100 * MS);
            scene.list(ListKind::Delta);
        });
        assert_cold_for_one_ramp("stepped after it", 0, |scene| {
            start_while_running(scene);
            scene.wall += error;
            scene.list(ListKind::Snapshot);
        });
        assert_cold_for_one_ramp("the list's clock is stepped", 0, |scene| {
            scene.list(ListKind::Snapshot);
            scene.work(2_000 * MS);
            scene.start(0);
            scene.list(ListKind::Delta);
            scene.work(12_000 * MS);
            scene.harness.list(ListKind::Delta, &[]);
            scene.work(200 * MS);
            scene.stamps += error;
            scene.start(100 * MS);
            scene.list(ListKind::Delta);
        });
    }
}

#[test]
fn start_in_the_first_list_is_cold_for_one_ramp_at_most() {
    for error in [-HOUR, -60 * SECOND] {
        assert_cold_for_one_ramp("the wall clock is behind", error, |scene| {
            scene.start(10_000 * MS);
            scene.list(ListKind::Snapshot);
        });
    }
    for step in [-HOUR, 60 * SECOND, HOUR] {
        assert_cold_for_one_ramp("stepped between the start and the first list", 0, |scene| {
            scene.wall += step;
            scene.start(100 * MS);
            scene.list(ListKind::Snapshot);
        });
    }
    assert_cold_for_one_ramp(
        "ahead, and right again before the first list",
        HOUR,
        |scene| {
            scene.wall = RIGHT;
            scene.start(100 * MS);
            scene.list(ListKind::Snapshot);
        },
    );
    assert_warm("long up", |scene| {
        scene.start(3_600_000 * MS);
        scene.list(ListKind::Snapshot);
    });
}

/// What discovery could not report for a while is as warm as it is, where all clocks agree.
#[test]
fn start_during_a_discovery_outage_counts_from_then() {
    let ramp = Settings::default().ramp.as_micros();
    assert_warm("started a ramp ago, listed now", |scene| {
        scene.start(60_000 * MS);
        scene.list(ListKind::Snapshot);
        scene.work(2_000 * MS);
        // One that starts in sight shows how far the list's clock is ahead.
        scene.rows[3].online_since = scene.harness.now.saturating_add_signed(scene.stamps);
        scene.list(ListKind::Delta);
        scene.work(ramp + 2_000 * MS);
        scene.start(ramp);
        scene.list(ListKind::Delta);
    });
    // Where two clocks are some seconds apart, the one counts by which the worker is younger.
    assert_cold_for_one_ramp("a wall clock some seconds ahead", 5 * SECOND, |scene| {
        scene.list(ListKind::Snapshot);
        scene.work(12_000 * MS);
        scene.start(100 * MS);
        scene.list(ListKind::Delta);
    });
    assert_cold_for_one_ramp("one worker's clock some seconds ahead", 0, |scene| {
        scene.rows[3].online_since = scene
            .harness
            .now
            .saturating_add_signed(scene.stamps + 5 * SECOND);
        scene.list(ListKind::Snapshot);
        scene.work(12_000 * MS);
        scene.start(100 * MS);
        scene.list(ListKind::Delta);
    });
}
