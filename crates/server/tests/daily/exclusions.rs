//! Manual exclusion of workers: an excluded worker is sent nothing until it is included again, in all processes of a
//! scheduler and regardless of the endpoint list.

use std::time::{Duration, Instant};

use oakshed_standin::*;

use crate::{metric, slow_worker, wait_for_readyz};

/// Changes of the endpoint list and reloads do not end an exclusion; one `include` does.
#[test]
fn excluded_worker_is_sent_nothing_until_included() {
    let workers = [slow_worker(), slow_worker()];
    let discovery = Discovery::new(&[("s-0", workers[0].address), ("s-1", workers[1].address)]);
    let program = Program::start_with(&discovery, 1024, &[ADMIN]);
    let (at, next) = (program.admin(), std::cell::Cell::new(0));
    let send_jobs = |jobs: usize| {
        let first = next.replace(next.get() + jobs);
        std::thread::scope(|s| {
            for n in first..first + jobs {
                let text =
                    request("new-plate", &format!("id-{n}")).replace("5c0f", &format!("key-{n}"));
                s.spawn(|| assert_eq!(program.send(&{ text }).status(), 200));
            }
        });
    };
    send_jobs(6);
    assert!(
        workers.iter().all(|worker| worker.count() > 0),
        "both workers are in use"
    );
    for command in ["exclude s-9", "include s-9", "exclude", "exclude S-1"] {
        assert!(call(at, command).starts_with("NO"), "{command}");
    }
    assert!(call(at, "exclude s-1").starts_with("YES"));
    assert!(
        call(at, "exclude s-1").starts_with("YES"),
        "a repeated exclusion"
    );
    let before = workers[1].count();
    let assert_unused = |after: &str| {
        send_jobs(6);
        assert_eq!(
            workers[1].count(),
            before,
            "sent to an excluded worker after {after}"
        );
        let telemetry = call(at, "telemetry");
        assert_eq!(
            metric(&telemetry, "members_unavailable"),
            metric(&telemetry, "members") - 1,
            "after {after}: {telemetry}"
        );
    };
    assert_unused("the exclusion");
    let until_list = |number: u64| {
        until("the list", || {
            program.log().contains(&format!("list {number} ("))
        });
    };
    discovery.started("s-1", 1_700_000_000_000);
    until_list(discovery.number());
    assert_unused("its restart");
    discovery.set("s-1", "draining");
    discovery.set("s-1", "gone");
    until_list(discovery.number());
    assert!(
        call(at, "exclude s-1").starts_with("YES"),
        "a worker that was listed before can be excluded"
    );
    discovery.set("s-1", "ready");
    until_list(discovery.number());
    assert_unused("its return to the list");
    program.reload("transfer", "transfer");
    until("the reload", || program.log().contains("reload: discovery"));
    assert_unused("a reload");
    // With all workers excluded the scheduler is not ready, and rejects requests as it does without a ready worker.
    assert!(call(at, "exclude s-0").starts_with("YES"));
    assert!(call(at, "readyz").starts_with("NO"));
    let late = request("transfer", "none").replace("Deadline-Ms: 5000", "Deadline-Ms: 300");
    assert_eq!(program.send(&late).status(), 503);
    assert!(call(at, "include s-0").starts_with("YES"));
    assert_unused("the inclusion of the other worker");
    assert!(
        call(at, "include s-1").starts_with("YES"),
        "one command ends the exclusion"
    );
    let start = Instant::now();
    while workers[1].count() == before {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "the included worker is not used again"
        );
        send_jobs(6);
    }
    assert_eq!(metric(&call(at, "telemetry"), "members_unavailable"), 0);
}

/// A command to either of the two processes applies in both, and a successor starts with the exclusions.
#[test]
fn exclusion_applies_in_both_processes_and_after_hot_restart() {
    let workers = [good(), good()];
    let discovery = Discovery::new(&[("s-0", workers[0].address), ("s-1", workers[1].address)]);
    let place = Place::new();
    let start = || {
        let program = Program::start_at(&place, &discovery, 512, &[ADMIN]);
        wait_for_readyz(&program);
        program
    };
    let excluded =
        |program: &Program| metric(&call(program.admin(), "telemetry"), "members_unavailable");
    let mut old = start();
    assert!(call(old.admin(), "exclude s-1").starts_with("YES"));
    let new = start();
    assert_eq!(
        (excluded(&old), excluded(&new)),
        (1, 1),
        "the successor has the exclusion"
    );
    let assert_applied_in_time = |what: &str, program: &Program, expected: u64| {
        let start = Instant::now();
        until(what, || excluded(program) == expected);
        assert!(
            start.elapsed() < Duration::from_millis(300),
            "{what} took {:?}",
            start.elapsed()
        );
    };
    assert!(call(new.admin(), "include s-1").starts_with("YES"));
    assert_applied_in_time("the inclusion", &old, 0);
    assert!(call(new.admin(), "exclude s-0").starts_with("YES"));
    assert_applied_in_time("the exclusion", &old, 1);
    let before = workers[0].count();
    for n in 0..20 {
        let answer = send_raw(place.listen, &request("transfer", &format!("id-{n}")));
        assert_eq!(answer.map(|m| m.status()), Some(200));
    }
    assert_eq!(workers[0].count(), before, "sent to an excluded worker");
    old.signal("-TERM");
    assert_eq!(old.wait().code(), Some(0));
    assert_eq!(excluded(&new), 1);
    // Other files in the directory are ignored, and an exclusion that cannot be stored applies all the same.
    let exclusions = place.shared().join("bans");
    std::fs::write(exclusions.join("not hexadecimal"), "x").expect("written");
    std::fs::remove_dir_all(&exclusions).expect("removed");
    assert!(call(new.admin(), "exclude s-1").starts_with("YES"));
    until("the warning", || {
        new.log().contains("a hot restart loses it")
    });
    assert_eq!(excluded(&new), 2);
    assert!(call(new.admin(), "include s-1").starts_with("YES"));
    assert_eq!(excluded(&new), 1);
}

/// Guards against a hot restart after which a worker that had left the list cannot be excluded, and is sent work when it
/// returns.
#[test]
fn departed_worker_can_be_excluded_after_hot_restarts() {
    let workers = [good(), good()];
    let discovery = Discovery::new(&[("s-0", workers[0].address), ("s-1", workers[1].address)]);
    let place = Place::new();
    let start = || {
        let program = Program::start_at(&place, &discovery, 512, &[ADMIN]);
        wait_for_readyz(&program);
        program
    };
    let members = |program: &Program| metric(&call(program.admin(), "telemetry"), "members");
    let mut running = start();
    assert_eq!(members(&running), 2);
    discovery.set("s-1", "draining");
    discovery.set("s-1", "gone");
    until("its removal", || members(&running) == 1);
    // The second successor has the name from a predecessor that never saw the worker listed.
    for _ in 0..2 {
        let new = start();
        running.signal("-TERM");
        assert_eq!(running.wait().code(), Some(0));
        running = new;
    }
    let admin = running.admin();
    assert!(call(admin, "exclude s-9").starts_with("NO"));
    let answer = call(admin, "exclude s-1");
    assert!(answer.starts_with("YES"), "{answer}");
    discovery.set("s-1", "ready");
    until("its return to the list", || members(&running) == 2);
    let send = |id: &str| send_raw(place.listen, &request("transfer", id)).map(|m| m.status());
    for n in 0..20 {
        assert_eq!(send(&format!("id-{n}")), Some(200));
    }
    assert_eq!(workers[1].count(), 0, "sent to an excluded worker");
    assert!(call(admin, "include s-1").starts_with("YES"));
    let mut ids = 0..;
    until("a job at the included worker", || {
        let id = ids.next().expect("a number");
        assert_eq!(send(&format!("later-{id}")), Some(200));
        workers[1].count() > 0
    });
}
