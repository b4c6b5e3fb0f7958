//! Settings that change between two processes of a scheduler, or under a running one.
//!
//! Class names, numbers and workers that were valid under other settings must not be used. Extreme settings are tested
//! here as well.

use oakshed_standin::*;

/// A successor with other settings must not use the predecessor's list. Where the lists of both discovery services have
/// the same number, no update would ever replace it, and requests would go to another customer's workers.
#[test]
fn cached_state_of_other_settings_is_ignored() {
    let (others, own, place) = ([good(), good()], good(), Place::new());
    let [before, now] = [&others[0], &own].map(|peer| Discovery::new(&[("s-1", peer.address)]));
    let other = Discovery::new(&[("s-1", others[1].address)]);
    assert_eq!(before.number(), now.number());
    let other_class = [(r#""name":"transfer""#, r#""name":"booking""#)];
    let other_aim = [(r#""aim-ms":120"#, r#""aim-ms":121"#)];
    let mut old = Program::start_at(&place, &before, 512, &[]);
    // Another customer; another class name and number at the same discovery; the same settings at another discovery.
    let cases = [
        (&now, &own, "booking", &other_class),
        (&now, &own, "transfer", &other_aim),
        (&other, &others[1], "transfer", &other_aim),
    ];
    for (number, (discovery, worker, class, edits)) in cases.into_iter().enumerate() {
        let new = Program::start_at(&place, discovery, 512, edits);
        until("the inherited socket", || {
            new.log()
                .contains("took over the socket of the predecessor; it has another")
        });
        old.signal("-TERM");
        assert_eq!(old.wait().code(), Some(0), "{}", old.log());
        let count = worker.count();
        assert_eq!(
            send_raw(place.listen, &request(class, &format!("id-{number}"))).map(|m| m.status()),
            Some(200),
            "{class}"
        );
        assert_eq!(
            worker.count(),
            count + 1,
            "sent to another customer's worker"
        );
        old = new;
    }
}

/// A reload applies a new discovery address and nothing else. Whatever else differs, one log line says that it needs a
/// restart.
#[test]
fn reload_moves_discovery_and_reports_that_the_rest_needs_a_restart() {
    let (first, second) = (good(), good());
    let [old, new] = [&first, &second].map(|peer| Discovery::new(&[("s-1", peer.address)]));
    let program = Program::start_with(&old, 1024, &[ADMIN]);
    let restart_notices = || {
        program
            .log()
            .matches("other changes need a restart")
            .count()
    };
    let edits = [
        (r#""aim-ms":120"#, r#""aim-ms":121"#),
        (r#""name":"new-plate""#, r#""name":"new-plates""#),
        (r#""quota-rps":5000"#, r#""quota-rps":5"#),
        (r#""name":"n0""#, r#""name":"n1""#),
        (r#""admin":"127.0.0.1:0""#, r#""admin":"127.0.0.1:1""#),
    ];
    let mut reloads = 0;
    let mut reload = |from: &str, to: &str| {
        reloads += 1;
        program.reload(from, to);
        until(to, || {
            program.log().matches("reload: discovery").count() == reloads
        });
    };
    for (n, (from, to)) in edits.into_iter().enumerate() {
        reload(from, to);
        assert_eq!(restart_notices(), n + 1, "{to}: {}", program.log());
        reload(to, from);
        assert_eq!(restart_notices(), n + 1, "{from}: {}", program.log());
    }
    let class_name = r#""name":"new-plate""#;
    reload(class_name, r#""name":"booking""#);
    reload(&old.peer.address.to_string(), &new.peer.address.to_string());
    until("the new list", || {
        program.send(&request("new-plate", "id-1")).status() == 200 && second.count() == 1
    });
    assert_eq!(
        program.send(&request("booking", "id-2")).status(),
        404,
        "the new class name should not be known before a restart"
    );
}

/// Requests are served with every value that is accepted at start, however extreme, and without the settings that may
/// be left out.
#[test]
fn extreme_limits_are_served() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let edits = [
        (r#""connect-timeout-ms":200,"#, ""),
        (r#""idle-close-ms":5000,"#, ""),
        (r#""idle-close-ms":5000"#, r#""idle-close-ms":1"#),
        (r#""ask-every-ms":10000"#, r#""ask-every-ms":31536000000"#),
        (r#""ask-every-ms":10000"#, r#""ask-every-ms":1"#),
        (r#""resolution-ms":4"#, r#""resolution-ms":0"#),
        (r#""max-retry-after-ms":2000,"#, ""),
        (r#""max-attempts":4"#, r#""max-attempts":1"#),
        (r#""memory-span-ms":7500"#, r#""memory-span-ms":0"#),
        (r#""dedup-scope":"all""#, r#""dedup-scope":"cell""#),
        (r#""importance":10"#, r#""importance":0"#),
        (r#""give-up-ms":5000"#, r#""give-up-ms":31536000000"#),
        (r#""give-up-ms":5000"#, r#""give-up-ms":60"#),
        (r#""balancers":1"#, r#""balancers":4294967295"#),
        (r#","azs":["hofdi","selfoss"]"#, ""),
        (r#","machine-types":["fast-7"]"#, ""),
        (r#"{"name":"storholt-bilar","quota-rps":5000}"#, ""),
        (r#""quota-rps":5000"#, r#""quota-rps":0"#),
        (r#""ramp-time-ms":9000"#, r#""ramp-time-ms":0"#),
        (r#""fall-ms":2000"#, r#""fall-ms":0"#),
        (r#""cold-share":0.32"#, r#""cold-share":0"#),
        (r#""fall-multiple":3"#, r#""fall-multiple":0"#),
    ];
    for (from, to) in edits {
        let program = Program::start_with(&discovery, 1024, &[(from, to)]);
        for class in ["transfer", "new-plate"] {
            let answer = program.send(&request(class, &format!("id-{class}")));
            assert_eq!(
                answer.status(),
                200,
                "{class} with {to:?} for {from}: {}",
                program.log()
            );
        }
        let unknown_tenant = request("transfer", "id-2").replace("storholt-bilar", "nobody-known");
        assert_eq!(
            program.send(&unknown_tenant).status(),
            200,
            "unknown tenant with {to:?} for {from}"
        );
    }
}
