//! Manual exclusions that cannot be written to disk: they apply at once, the operator is told, and the write is retried
//! until it succeeds.

use std::process::Command;

use oakshed_fault_injection::{Faults, Switch};
use oakshed_standin::*;

use crate::requests::assert_all_served;
use crate::settings::edit;
use crate::{metric, wait_for_readyz};

fn start(place: &Place, discovery: &Discovery, faults: &Faults) -> Program {
    let path = config(discovery.peer.address, &discovery.known(), 512);
    edit(&path, &[ADMIN]);
    let mut command = Command::new(Program::binary());
    command
        .arg("serve")
        .env("ROUTER_CONFIG", &path)
        .env_remove("ROUTER_ADMIN");
    command
        .env("TMPDIR", &place.folder)
        .env("ROUTER_LISTEN", place.listen.to_string());
    let program = Program::run(faults.apply(&mut command), path);
    wait_for_readyz(&program);
    program
}

#[test]
fn unwritable_exclusion_applies_is_reported_and_is_written_later() {
    let workers = [good(), good(), good()];
    let listed: Vec<_> = ["s-0", "s-1", "s-2"]
        .into_iter()
        .zip(workers.iter().map(|worker| worker.address))
        .collect();
    let discovery = Discovery::new(&listed);
    let place = Place::new();
    let faults = Faults::new("open ENOSPC 1/1 0 0 on=/bans/");
    let program = start(&place, &discovery, &faults);
    let excluded =
        |program: &Program| metric(&call(program.admin(), "telemetry"), "members_unavailable");
    let files = || {
        std::fs::read_dir(place.shared().join("bans"))
            .expect("a readable directory")
            .count()
    };
    faults.switch(0, Switch::On);
    for id in ["s-0", "s-1"] {
        let answer = call(program.admin(), &format!("exclude {id}"));
        assert!(
            answer.starts_with("YES") && answer.contains("not on disk yet"),
            "{answer}"
        );
    }
    let strikes = faults.strikes(0);
    until("further attempts to write", || {
        faults.strikes(0) >= strikes + 6
    });
    assert_eq!(
        (excluded(&program), files()),
        (2, 0),
        "the exclusions apply without their files"
    );
    assert_all_served(&program, "id", 0..20);
    assert_eq!(
        (workers[0].count(), workers[1].count()),
        (0, 0),
        "sent to an excluded worker"
    );
    // The first worker is included again before its exclusion could be written, which must not be written afterwards.
    assert!(call(program.admin(), "include s-0").starts_with("YES"));
    faults.switch(0, Switch::Off);
    until("the file", || files() == 1);
    assert!(
        call(program.admin(), "exclude s-1").ends_with("gets nothing new\n"),
        "the exclusion has been written"
    );
    assert_eq!((excluded(&program), files()), (1, 1));
    let failures = |program: &Program| program.log().matches("not recorded").count();
    assert_eq!(failures(&program), 2, "{}", program.log());
    // The next process has the exclusion even if this one is killed.
    drop(program);
    let next = start(&place, &discovery, &faults);
    assert_eq!(excluded(&next), 1);
    assert_eq!(failures(&next), 0, "{}", next.log());
}
