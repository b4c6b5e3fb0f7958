//! A request of a class that must never run twice, whose id comes again.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use oakshed_standin::{send_raw, until, Message};

use crate::crowd::{fresh_id, head, Crowd, ALL};
use crate::scheduler::{Limits, Scheduler};
use crate::MEMORY_MB;

const ROUNDS: u64 = 60;
/// Processes that are killed.
const KILLS: usize = 5;
/// The longest time from a client's end until its id comes again, in milliseconds.
const LONGEST_ABSENCE_MS: u64 = 200;
/// The longest time that a client stays, in milliseconds: longer than a job runs.
const LONGEST_STAY_MS: u64 = 30;

fn start() -> Scheduler {
    Scheduler::start(Limits {
        memory_mb: MEMORY_MB,
        sockets: 512,
    })
}

fn transfer(id: &str) -> String {
    head("transfer", "k", id) + "Content-Length: 4\r\n\r\nbody"
}

/// Sends a request and leaves after a while, by a close or by a reset.
fn send_and_disconnect(address: SocketAddr, id: &str, stay_ms: u64, resets: bool) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(transfer(id).as_bytes()).expect("written");
    std::thread::sleep(Duration::from_millis(stay_ms));
    if resets {
        let linger = Some(Duration::ZERO);
        _ = socket2::SockRef::from(&stream).set_linger(linger);
    }
}

/// Has clients leave and sends their ids again; fails if one has run twice.
#[track_caller]
pub fn send_ids_again(scheduler: &Scheduler) {
    let address = scheduler.address();
    let rounds: Vec<_> = (0..ROUNDS)
        .map(|round| {
            std::thread::spawn(move || {
                let id = fresh_id("again");
                send_and_disconnect(address, &id, round * 7 % LONGEST_STAY_MS, round % 2 == 0);
                std::thread::sleep(Duration::from_millis(round * 37 % LONGEST_ABSENCE_MS));
                let status = send_raw(address, &transfer(&id)).map(|answer| answer.status());
                assert!(matches!(status, Some(200 | 409 | 503)), "{id}: {status:?}");
            })
        })
        .collect();
    for round in rounds {
        round.join().expect("answered");
    }
    let duplicates = scheduler.workers.duplicates("transfer");
    assert!(duplicates.is_empty(), "ran twice: {duplicates:?}");
}

#[test]
fn id_of_a_client_that_left_does_not_run_again() {
    if crate::is_known_red("duplicate_ids::id_of_a_client_that_left_does_not_run_again") {
        return;
    }
    let _exclusive = crate::exclusive_use();
    send_ids_again(&start());
}

#[test]
fn id_of_a_client_that_left_does_not_run_again_beside_a_crowd() {
    if crate::is_known_red(
        "duplicate_ids::id_of_a_client_that_left_does_not_run_again_beside_a_crowd",
    ) {
        return;
    }
    let _exclusive = crate::exclusive_use();
    let scheduler = start();
    let _crowd = Crowd::start(scheduler.address(), 100, &ALL);
    send_ids_again(&scheduler);
}

/// Both processes accept connections, so that an id may come to either.
#[test]
fn id_does_not_run_again_at_the_other_process() {
    if crate::is_known_red("duplicate_ids::id_does_not_run_again_at_the_other_process") {
        return;
    }
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    scheduler.start_process();
    send_ids_again(&scheduler);
}

#[test]
fn id_does_not_run_again_at_the_successor() {
    if crate::is_known_red("duplicate_ids::id_does_not_run_again_at_the_successor") {
        return;
    }
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    let ids = ids_of_clients_that_left(&scheduler);
    scheduler.hot_restart();
    for id in &ids {
        let status = send_raw(scheduler.address(), &transfer(id)).map(|answer| answer.status());
        assert_eq!(status, Some(409), "{id}");
    }
    let duplicates = scheduler.workers.duplicates("transfer");
    assert!(duplicates.is_empty(), "ran twice: {duplicates:?}");
}

/// Both processes accept connections, so that some of the pairs come to different ones at the same time.
#[test]
fn id_that_is_open_at_two_processes_runs_once() {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    scheduler.start_process();
    let address = scheduler.address();
    let pairs: Vec<_> = (0..ROUNDS)
        .map(|_| {
            std::thread::spawn(move || {
                let text = transfer(&fresh_id("pair"));
                let mut streams: Vec<TcpStream> = (0..2)
                    .map(|_| TcpStream::connect(address).expect("a connection"))
                    .collect();
                for stream in &mut streams {
                    stream.write_all(text.as_bytes()).expect("written");
                }
                streams.into_iter().map(status).collect::<Vec<u16>>()
            })
        })
        .collect();
    for pair in pairs {
        let statuses = pair.join().expect("answered");
        assert!(
            statuses.iter().all(|s| [200, 409].contains(s)),
            "{statuses:?}"
        );
    }
    assert_run_once(&scheduler, &[]);
}

/// The status of the answer on a connection.
fn status(stream: TcpStream) -> u16 {
    let answer = Message::read(&mut BufReader::new(stream));
    answer.expect("an answer").status()
}

/// Sends transfers, and kills the latest process while they run; returns the ids of those that were not answered.
fn ids_cut_off_by_a_kill(scheduler: &mut Scheduler) -> Vec<String> {
    let address = scheduler.address();
    let clients: Vec<_> = (0..ROUNDS)
        .map(|_| {
            std::thread::spawn(move || {
                let id = fresh_id("cut-off");
                send_raw(address, &transfer(&id)).is_none().then_some(id)
            })
        })
        .collect();
    until("a job", || scheduler.workers.count("cut-off") > 0);
    scheduler.kill_latest();
    let ids = clients
        .into_iter()
        .map(|client| client.join().expect("ended"));
    ids.flatten().collect()
}

/// Sends ids again that ran at most once before.
#[track_caller]
fn assert_run_once(scheduler: &Scheduler, ids: &[String]) {
    for id in ids {
        let status = send_raw(scheduler.address(), &transfer(id)).map(|answer| answer.status());
        assert!(matches!(status, Some(200 | 409)), "{id}: {status:?}");
    }
    let duplicates = scheduler.workers.duplicates("transfer");
    assert!(duplicates.is_empty(), "ran twice: {duplicates:?}");
}

#[test]
fn id_does_not_run_again_at_the_predecessor_of_a_killed_process() {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    for _ in 0..KILLS {
        scheduler.start_process();
        let ids = ids_cut_off_by_a_kill(&mut scheduler);
        println!("{} ids", ids.len());
        assert_run_once(&scheduler, &ids);
    }
}

#[test]
fn id_does_not_run_again_at_the_next_successor_of_a_killed_process() {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    for _ in 0..KILLS {
        scheduler.start_process();
        let ids = ids_cut_off_by_a_kill(&mut scheduler);
        println!("{} ids", ids.len());
        scheduler.hot_restart();
        assert_run_once(&scheduler, &ids);
    }
}

/// Has clients leave while their requests run; returns their ids.
fn ids_of_clients_that_left(scheduler: &Scheduler) -> Vec<String> {
    let ids: Vec<String> = (0..20).map(|_| fresh_id("before")).collect();
    for id in &ids {
        send_and_disconnect(scheduler.address(), id, LONGEST_STAY_MS, false);
    }
    until("the jobs", || {
        scheduler.workers.count("before") >= ids.len()
    });
    ids
}

#[test]
fn id_does_not_run_again_after_two_hot_restarts() {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    let ids = ids_of_clients_that_left(&scheduler);
    scheduler.hot_restart();
    scheduler.hot_restart();
    assert_run_once(&scheduler, &ids);
}

#[test]
fn id_does_not_run_again_after_two_kills() {
    let _exclusive = crate::exclusive_use();
    let mut scheduler = start();
    let ids = ids_of_clients_that_left(&scheduler);
    for _ in 0..2 {
        scheduler.kill_oldest();
        scheduler.start_process();
    }
    assert_run_once(&scheduler, &ids);
}

/// A client sends an id once more if the scheduler closed the connection without having read the request.
#[test]
fn id_that_never_ran_is_served() {
    let _exclusive = crate::exclusive_use();
    let scheduler = start();
    for _ in 0..20 {
        let id = fresh_id("unread");
        let mut stream = TcpStream::connect(scheduler.address()).expect("a connection");
        let text = transfer(&id);
        let incomplete = &text.as_bytes()[..text.len() - 1];
        stream.write_all(incomplete).expect("written");
        stream.shutdown(Shutdown::Both).expect("ended");
        let status = send_raw(scheduler.address(), &text).map(|answer| answer.status());
        assert_eq!(status, Some(200), "{id}");
    }
}
