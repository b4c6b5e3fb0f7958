//! A scheduler process whose wall clock is wrong, or is stepped while it runs.
//!
//! How requests are split between two workers shows which of them the scheduler treats as being in slow start.

#[path = "common/settings.rs"]
mod settings;

use std::io::Write;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oakshed_fault_injection::Faults;
use oakshed_standin::*;
use settings::edit;

const HOUR_MS: i64 = 3_600_000;
/// The number of requests that are sent to measure the split.
const REQUESTS: usize = 48;
/// The duration of slow start; equals `ramp-time-ms` in [`EDITS`].
const RAMP: Duration = Duration::from_millis(6_000);
/// Lets a worker in slow start begin with next to no requests, and gives queued requests enough time.
const EDITS: [(&str, &str); 4] = [
    (r#""cold-share":0.32"#, r#""cold-share":0.03"#),
    (r#""ramp-time-ms":9000"#, r#""ramp-time-ms":6000"#),
    (r#""fall-multiple":3"#, r#""fall-multiple":1"#),
    (r#""aim-ms":120"#, r#""aim-ms":4000"#),
];

/// A worker with this service time, which writes each answer at once.
fn worker(service: Duration) -> Peer {
    Peer::new(move |message, stream| {
        std::thread::sleep(service);
        let id = message.field("req-id").expect("an id");
        let body =
            format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"made\"}}\n");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).is_ok()
    })
}

/// A scheduler whose wall clock can be stepped, with discovery and two workers.
struct Setup {
    workers: [Peer; 2],
    discovery: Discovery,
    faults: Faults,
    program: Program,
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64
}

/// Starts a scheduler whose wall clock has this offset. The start time of the first worker lies that far in the past.
fn start(offset_ms: i64, first_worker_age: Option<Duration>) -> Setup {
    start_with(offset_ms, first_worker_age, Duration::from_millis(2))
}

fn start_with(offset_ms: i64, first_worker_age: Option<Duration>, service: Duration) -> Setup {
    let workers = [worker(service), worker(service)];
    let discovery = Discovery::new(&[("s-1", workers[0].address), ("s-2", workers[1].address)]);
    if let Some(age) = first_worker_age {
        discovery.started("s-1", now_ms() - age.as_millis() as u64);
    }
    let faults = Faults::new("");
    faults.set_clock_offset(offset_ms);
    let program = run_scheduler(&discovery, &faults, None, &EDITS);
    Setup {
        workers,
        discovery,
        faults,
        program,
    }
}

/// Starts a scheduler and waits until it is ready. At a given place it takes over from the process that serves there,
/// if there is one.
fn run_scheduler(
    discovery: &Discovery,
    faults: &Faults,
    place: Option<&Place>,
    edits: &[(&str, &str)],
) -> Program {
    let path = config(discovery.peer.address, "null", 1_024);
    edit(&path, edits);
    let mut command = Command::new(Program::binary());
    command
        .arg("serve")
        .env_remove("TMPDIR")
        .env_remove("ROUTER_ADMIN")
        .env("ROUTER_CONFIG", &path);
    if let Some(place) = place {
        command
            .env("TMPDIR", &place.folder)
            .env("ROUTER_LISTEN", place.listen.to_string());
    }
    let program = Program::run(faults.apply(&mut command), path);
    program.wait_until_ready();
    program
}

impl Setup {
    /// Sends requests sequentially, all of which must be served; returns how many each worker received.
    fn send_requests(&self, name: &str) -> [usize; 2] {
        let before = self.counts();
        let mut client = self.program.connect();
        for number in 0..REQUESTS {
            let answer = send_on(
                &mut client,
                &request("transfer", &format!("{name}-{number}")),
            );
            assert_eq!(answer.status(), 200, "{name}-{number}");
        }
        let after = self.counts();
        [after[0] - before[0], after[1] - before[1]]
    }

    fn counts(&self) -> [usize; 2] {
        [self.workers[0].count(), self.workers[1].count()]
    }

    /// Changes the start time of the first worker to the current time, and waits until the scheduler has the new list.
    fn restart_first_worker(&self) {
        self.discovery.started("s-1", now_ms());
        let list = format!("list {} ", self.discovery.number());
        until("the new list", || self.program.log().contains(&list));
    }
}

fn assert_cold([first, second]: [usize; 2], what: &str) {
    assert!(
        3 * first < second,
        "{what}: {first} to the cold worker, {second} to the other"
    );
}

fn assert_warm([first, second]: [usize; 2], what: &str) {
    assert!(
        2 * first > second,
        "{what}: {first} to the warm worker, {second} to the other"
    );
}

/// Guards against workers without slow start, and against slow start that never ends.
#[test]
fn starting_worker_has_slow_start_at_any_wall_clock() {
    std::thread::scope(|scope| {
        for offset in [0, HOUR_MS, -HOUR_MS, 5_000, -5_000] {
            scope.spawn(move || {
                let setup = start(offset, None);
                assert_warm(setup.send_requests("before"), "before");
                setup.restart_first_worker();
                assert_cold(
                    setup.send_requests("cold"),
                    &format!("clock off by {offset} ms"),
                );
                std::thread::sleep(RAMP);
                let warm = setup.send_requests("warm");
                assert_warm(warm, &format!("after slow start, clock off by {offset} ms"));
            });
        }
    });
}

/// The wall clock is stepped while the process runs, both before and after the worker starts.
#[test]
fn wall_clock_step_does_not_change_slow_start() {
    std::thread::scope(|scope| {
        for step in [HOUR_MS, -HOUR_MS, 5_000, -5_000] {
            scope.spawn(move || {
                let setup = start(0, None);
                assert_warm(setup.send_requests("before"), "before");
                setup.faults.set_clock_offset(step);
                assert_warm(setup.send_requests("stepped"), "after the step");
                setup.restart_first_worker();
                assert_cold(
                    setup.send_requests("cold"),
                    &format!("clock stepped by {step} ms"),
                );
                setup.faults.set_clock_offset(0);
                assert_cold(
                    setup.send_requests("back"),
                    &format!("clock stepped back by {step} ms"),
                );
                std::thread::sleep(RAMP);
                let warm = setup.send_requests("warm");
                assert_warm(
                    warm,
                    &format!("after slow start, clock stepped by {step} ms"),
                );
            });
        }
    });
}

/// A process whose wall clock is behind at its start receives a start time in the future with its first list.
#[test]
fn slow_start_ends_with_a_wall_clock_that_is_behind() {
    let setup = start(-HOUR_MS, Some(Duration::from_secs(60)));
    assert_cold(setup.send_requests("first"), "start time in the future");
    std::thread::sleep(RAMP);
    assert_warm(setup.send_requests("later"), "after slow start");
    let correct = start(0, Some(Duration::from_secs(60)));
    assert_warm(correct.send_requests("first"), "with the correct time");
}

/// A successor knows for how long each worker has been in slow start, although by its wall clock all of them started
/// long ago.
#[test]
fn successor_retains_slow_start_of_its_predecessor() {
    let edits = [
        EDITS[0],
        (EDITS[1].0, r#""ramp-time-ms":30000"#),
        EDITS[2],
        EDITS[3],
    ];
    let place = Place::new();
    let mut setup = start(HOUR_MS, None);
    setup.program = run_scheduler(&setup.discovery, &setup.faults, Some(&place), &edits);
    assert_warm(setup.send_requests("before"), "before");
    setup.restart_first_worker();
    let successor = run_scheduler(&setup.discovery, &setup.faults, Some(&place), &edits);
    let log = "hot restart: took over the socket";
    assert!(successor.log().contains(log), "{}", successor.log());
    let mut predecessor = std::mem::replace(&mut setup.program, successor);
    predecessor.signal("-TERM");
    until("the exit of the predecessor", || {
        predecessor.child.try_wait().expect("a process").is_some()
    });
    assert_cold(setup.send_requests("after"), "after the hot restart");
}

/// Deadlines are durations: a step of the wall clock does not affect the requests in flight.
#[test]
fn requests_in_flight_survive_a_wall_clock_step() {
    let mut setup = start_with(0, None, Duration::from_millis(400));
    for step in [HOUR_MS, -HOUR_MS, 0] {
        std::thread::scope(|scope| {
            let in_flight: Vec<_> = (0..3)
                .map(|n| {
                    let (text, address) = (
                        request("transfer", &format!("r{step}-{n}")),
                        setup.program.address,
                    );
                    scope.spawn(move || send_raw(address, &text).map(|answer| answer.status()))
                })
                .collect();
            std::thread::sleep(Duration::from_millis(150));
            setup.faults.set_clock_offset(step);
            for in_flight in in_flight {
                assert_eq!(
                    in_flight.join().expect("no panic"),
                    Some(200),
                    "stepped to {step} ms"
                );
            }
        });
    }
    assert_eq!(
        setup.program.child.try_wait().expect("a process"),
        None,
        "the scheduler has exited"
    );
}
