//! Replication of the shared rows under partial failure.

use std::collections::BTreeMap;

use oakshed_peers::rows::Owner;

use crate::membership::converged_fleet;
use crate::world::{World, MS, S};

type StoredRows = BTreeMap<(Owner, u32, Vec<u8>), Vec<u32>>;

/// The merged rows of all nodes.
fn union(world: &World) -> StoredRows {
    let mut all = StoredRows::new();
    for (key, counts) in world.alive().flat_map(|(_, node)| World::stored_rows(node)) {
        let joined = all.entry(key).or_default();
        joined.resize(joined.len().max(counts.len()), 0);
        for (joined, new) in joined.iter_mut().zip(counts) {
            *joined = (*joined).max(new);
        }
    }
    all
}

fn contains(stored: &StoredRows, wanted: &StoredRows) -> bool {
    wanted.iter().all(|(key, counts)| {
        stored.get(key).is_some_and(|own| {
            counts
                .iter()
                .enumerate()
                .all(|(i, n)| own.get(i).copied().unwrap_or(0) >= *n)
        })
    })
}

#[test]
fn two_halves_converge_within_5_s_of_a_partition_of_10_s() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(100, seed);
        world.load = 1;
        world.run(10 * S);
        world.split(|i| i % 2 == 0);
        world.run(10 * S);
        let wanted = union(&world);
        world.heal();
        // Increments continue. The rows that have to converge are those that existed when the
        // partition healed.
        let took = world.run_until(5 * S, "rows converge on both sides", |world| {
            world
                .alive()
                .all(|(_, node)| contains(&World::stored_rows(node), &wanted))
        });
        let members = world.run_until(30 * S, "membership converges", World::membership_converged);
        println!(
            "seed {seed}: rows converge {} ms after the partition, membership {} ms later",
            took / MS,
            members / MS
        );
    }
}

#[test]
fn rows_survive_datagram_loss_and_the_death_of_their_owner() {
    let (mut world, _) = converged_fleet(30, 5);
    world.loss = 200;
    world.load = 2;
    world.run(5 * S);
    world.load = 0;
    let took = world.run_until(10 * S, "rows converge", World::rows_converged);
    println!("30 members agree {} ms after the last increment", took / MS);
    let before = union(&world);
    let dead = world.owner(7);
    world.kill(7);
    world.run(10 * S);
    world.start(7);
    world.run_until(
        20 * S,
        "the new incarnation has the rows of the previous one",
        |world| {
            let node = world.slots[7].node.as_ref();
            node.is_some_and(|node| contains(&World::stored_rows(node), &before))
        },
    );
    assert!(before.keys().any(|(owner, ..)| *owner == dead));
    assert!(world
        .alive()
        .all(|(_, node)| contains(&World::stored_rows(node), &before)));
}

#[test]
fn correct_members_drop_no_datagrams_and_reject_no_rows() {
    let (mut world, _) = converged_fleet(30, 6);
    world.load = 3;
    world.run(20 * S);
    for (i, node) in world.alive() {
        assert_eq!(node.dropped().total(), 0, "n{i}: {:?}", node.dropped());
        assert_eq!(node.rows().rejected(), Default::default(), "n{i}");
    }
}
