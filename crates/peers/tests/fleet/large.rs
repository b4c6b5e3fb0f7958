//! Scaling tests with a thousand schedulers, or a thousand workers with long names.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use oakshed_peers::endpoint_list::{EndpointListCache, ListUpdate, Worker, WorkerState};
use oakshed_peers::membership::{Identity, KnownMember, Membership, MembershipTiming};
use oakshed_peers::rows::{Key, Limits, Owner, Row, Rows};

use crate::list_helpers::worker;
use crate::world::{address, World, MS, S, START};

const SIZE: usize = 1_024;

fn list(workers: impl Iterator<Item = usize>) -> Vec<Worker> {
    workers.map(|i| worker(format!("worker-{i:05}"))).collect()
}

/// A fleet of eight members with a list of a thousand workers, which one member received from
/// discovery and the others from their peers.
fn world_with_large_list() -> World {
    let mut world = World::new(8, 1, |config| config.discovery = "d1".into());
    world.run_until(30 * S, "membership converges", World::membership_converged);
    world.send_list(3, 40, &list(0..SIZE));
    let took = world.run_until(60 * S, "all members have the list", |world| {
        world.all_have_list(40)
    });
    println!(
        "{SIZE} workers reach seven members without a list in {} ms",
        took / MS
    );
    for (_, node) in world.alive() {
        assert_eq!(
            node.endpoint_list()
                .list(world.now)
                .expect("a list")
                .workers
                .len(),
            SIZE
        );
    }
    world
}

/// Guards against answers that always start with the same chunks, so that the last chunks of a long
/// list never arrive.
#[test]
fn a_list_of_a_thousand_workers_reaches_members_without_one() {
    world_with_large_list();
}

/// Guards against a limit on retained removed workers that leaves most removals out of the delta,
/// which the peer would then take for complete.
#[test]
fn removals_of_hundreds_of_workers_reach_all_members() {
    let mut world = world_with_large_list();
    world.run(10 * S);
    let since = world.now;
    world.send_list(5, 41, &list(0..SIZE - 600));
    let took = world.run_until(60 * S, "all members have the new list", |world| {
        world.all_have_list(41)
    });
    println!(
        "600 removals are known to all members after {} ms",
        took / MS
    );
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

/// The same with more removals than are retained: a peer with an older list has to get a snapshot.
#[test]
fn a_member_with_an_old_list_learns_of_purged_removals() {
    let (max_workers, now) = (100, START);
    let (mut local, mut peer) = (
        EndpointListCache::new("d1", max_workers, 600 * S),
        EndpointListCache::new("d1", max_workers, 600 * S),
    );
    local.on_discovery_list(now, 1, &list(0..max_workers));
    peer.on_discovery_list(now, 1, &list(0..max_workers));
    for number in 2..5_usize {
        local.on_discovery_list(
            now,
            number as u64,
            &list(number * max_workers..(number + 1) * max_workers),
        );
    }
    let chunks = local.chunks(now, peer.version());
    let updates: Vec<ListUpdate> = chunks
        .into_iter()
        .flat_map(|chunk| peer.apply_chunk(now, chunk))
        .collect();
    let removed = updates.iter().filter(|update| {
        matches!(
            update,
            ListUpdate::Withdrawn {
                state: WorkerState::Removed,
                ..
            }
        )
    });
    assert_eq!((removed.count(), peer.version().number), (max_workers, 4));
    let workers = |cache: &EndpointListCache| cache.list(now).expect("a list").workers;
    assert_eq!(workers(&peer), workers(&local));
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

/// Guards against a fleet at its member limit that admits no members at new addresses for as long
/// as dead ones are retained.
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
        (0..SIZE, true),
        (SIZE..2 * SIZE, false),
        (2 * SIZE..3 * SIZE, true),
    ] {
        for i in all {
            assert_eq!(
                membership.apply(START, vec![member(i)], alive),
                Ok(()),
                "{i}"
            );
        }
    }
    assert_eq!(membership.live_members().len(), 2 * SIZE);
}

/// Guards against rejecting rows of live members because rows of earlier incarnations take up the
/// limit.
#[test]
fn rows_of_a_thousand_members_fit_beside_those_of_earlier_incarnations() {
    let incarnation = START / 1_000 - 100_000;
    let mut rows = Rows::new(Owner::new("me", incarnation), Limits::default(), START);
    let window = rows.window(START);
    for (incarnation, i) in (0..3).flat_map(|n| (0..SIZE).map(move |i| (incarnation + n, i))) {
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
            "n{i}, incarnation {incarnation}"
        );
    }
    assert_eq!(rows.sizes().owners, 3 * SIZE + 1);
}

/// Guards against a death that some members never learn of: with many owners, a cycle of exchanges
/// takes longer than the period for which a death is reported. That happens with a thousand
/// members, or with fewer if exchanges are less frequent, as here.
#[test]
fn a_death_reaches_all_when_exchange_cycles_outlast_the_notice_period() {
    let mut world = World::new(250, 1, |config| config.exchange_interval = 2_500 * MS);
    let took = run_until_converged(&mut world, 60 * S);
    world.run(2 * S);
    world.kill(17);
    let detected = run_until_converged(&mut world, 40 * S);
    println!(
        "250 members converge after {} ms, and after a death within {} ms",
        took / MS,
        detected / MS
    );
}

/// Runs until membership has converged, and returns how long that took. Checks only every 500 ms,
/// because a check is slow with hundreds of members.
fn run_until_converged(world: &mut World, timeout: u64) -> u64 {
    let start = world.now;
    while !world.membership_converged() {
        assert!(
            world.now - start < timeout,
            "no convergence within {} ms",
            timeout / MS
        );
        world.run(500 * MS);
    }
    world.now - start
}
