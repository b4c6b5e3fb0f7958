//! Lists of a thousand: of schedulers, and of workers with the longest names.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oakshed_peers::endpoint_list::{EndpointListCache, ListUpdate, Worker, WorkerState};
use oakshed_peers::membership::{Identity, KnownMember, Membership, MembershipTiming};
use oakshed_peers::rows::{Key, Limits, Owner, Row, Rows};

use crate::list_helpers::worker;
use crate::world::{address, World, MS, S, START};

const MANY: usize = 1_024;

fn list(workers: impl Iterator<Item = usize>) -> Vec<Worker> {
    workers.map(|i| worker(format!("worker-{i:05}"))).collect()
}

/// Eight members of which one gets a list of a thousand from discovery, and all have it.
fn world_with_large_list() -> World {
    let mut world = World::new(8, 1, |config| config.discovery = "d1".into());
    world.run_until(30 * S, "membership converges", World::membership_converged);
    world.send_list(3, 40, &list(0..MANY));
    let took = world.run_until(60 * S, "all hold the list", |world| world.all_have_list(40));
    println!(
        "{MANY} workers reach seven who have none in {} ms",
        took / MS
    );
    for (_, node) in world.alive() {
        assert_eq!(
            node.endpoint_list()
                .list(world.now)
                .expect("a list")
                .workers
                .len(),
            MANY
        );
    }
    world
}

/// Guards against a list of which each answer brings the same first chunks, and nobody ever the last.
#[test]
fn a_list_of_a_thousand_workers_reaches_members_without_one() {
    world_with_large_list();
}

/// Guards against a bound on removed workers by which a peer takes a list for complete that lacks most of them.
#[test]
fn the_loss_of_a_zone_of_hundreds_is_notified_for_every_worker() {
    let mut world = world_with_large_list();
    world.run(10 * S);
    let since = world.now;
    world.send_list(5, 41, &list(0..MANY - 600));
    let took = world.run_until(60 * S, "all hold the new list", |world| {
        world.all_have_list(41)
    });
    println!("600 that left are known to all after {} ms", took / MS);
    for i in (0..8).filter(|i| *i != 5) {
        let removed: BTreeSet<&str> = world
            .withdrawn(i, since)
            .into_iter()
            .filter(|(_, state)| *state == WorkerState::Removed)
            .map(|(worker, _)| worker)
            .collect();
        assert_eq!(removed.len(), 600, "n{i}");
    }
}

/// Guards against the same where more were removed than are retained: who has an older list gets a snapshot.
#[test]
fn a_member_with_an_old_list_is_notified_of_purged_workers() {
    let (most, now) = (100, START);
    let (mut here, mut there) = (
        EndpointListCache::new("d1", most, 600 * S),
        EndpointListCache::new("d1", most, 600 * S),
    );
    here.on_discovery_list(now, 1, &list(0..most));
    there.on_discovery_list(now, 1, &list(0..most));
    for number in 2..5_usize {
        here.on_discovery_list(
            now,
            number as u64,
            &list(number * most..(number + 1) * most),
        );
    }
    let chunks = here.chunks(now, there.version());
    let updates: Vec<ListUpdate> = chunks
        .into_iter()
        .flat_map(|chunk| there.apply_chunk(now, chunk))
        .collect();
    let removed = updates.iter().filter(|n| {
        matches!(
            n,
            ListUpdate::Withdrawn {
                state: WorkerState::Removed,
                ..
            }
        )
    });
    assert_eq!((removed.count(), there.version().number), (most, 4));
    let workers = |cache: &EndpointListCache| cache.list(now).expect("a list").workers;
    assert_eq!(workers(&there), workers(&here));
}

fn member(i: usize) -> KnownMember {
    let address = SocketAddr::from(([127, 2, (i / 250) as u8, (i % 250) as u8 + 1], 7_000));
    let identity = Identity {
        owner: Owner::new(&format!("n{i}"), 1),
        generation: 0,
        address,
    };
    KnownMember {
        identity,
        swim_incarnation: 0,
    }
}

/// Guards against a fleet at its bound that admits no member at a new address, for as long as the dead are
/// retained.
#[test]
fn a_thousand_members_are_admitted_beside_as_many_dead() {
    let config =
        oakshed_peers::node::Config::new(Owner::new("me", 1), address(0), "here", Vec::new());
    let me = Identity {
        owner: config.me.clone(),
        generation: 0,
        address: config.address,
    };
    let mut membership = Membership::new(
        me,
        Vec::new(),
        config.max_members,
        MembershipTiming::default(),
        START,
        1,
    );
    for (all, alive) in [
        (0..MANY, true),
        (MANY..2 * MANY, false),
        (2 * MANY..3 * MANY, true),
    ] {
        for i in all {
            assert_eq!(
                membership.apply(START, vec![member(i)], alive),
                Ok(()),
                "{i}"
            );
        }
    }
    assert_eq!(membership.live_members().len(), 2 * MANY);
}

/// Guards against rows of living members that are rejected beside those of earlier incarnations.
#[test]
fn rows_of_a_thousand_members_fit_beside_those_of_earlier_incarnations() {
    let incarnation = START / 1_000 - 100_000;
    let mut rows = Rows::new(Owner::new("me", incarnation), Limits::default(), START);
    let window = rows.window(START);
    for (incarnation, i) in (0..3).flat_map(|n| (0..MANY).map(move |i| (incarnation + n, i))) {
        let key = Key {
            table: 1,
            window,
            subject: [1].into(),
        };
        let row = Row {
            version: 1,
            key,
            counts: vec![1],
        };
        assert_eq!(
            rows.merge(&Owner::new(&format!("n{i}"), incarnation), row),
            Ok(()),
            "n{i}, life {incarnation}"
        );
    }
    assert_eq!(rows.sizes().owners, 3 * MANY + 1);
}

/// Guards against an update that some miss for good, as their exchanges go through all owners in more time than a
/// death is passed on: so it is among a thousand, and sooner where exchanges are rarer.
#[test]
fn a_death_reaches_all_though_a_round_of_exchanges_outlasts_its_notice() {
    let mut world = World::new(250, 1, |config| config.exchange_interval = 2_500 * MS);
    let took = run_until_converged(&mut world, 60 * S);
    world.run(2 * S);
    world.kill(17);
    let missed = run_until_converged(&mut world, 40 * S);
    println!(
        "250 know all after {} ms, a death after {} ms",
        took / MS,
        missed / MS
    );
}

/// Checked seldom, as a check is long among hundreds.
fn run_until_converged(world: &mut World, most: u64) -> u64 {
    let start = world.now;
    while !world.membership_converged() {
        assert!(world.now - start < most, "not within {} ms", most / MS);
        world.run(500 * MS);
    }
    world.now - start
}
