//! Membership under partial failure.

use crate::world::{NodeEvent, World, MS, S, START};

/// A fleet whose membership has converged, and how long that took.
pub fn converged_fleet(n: usize, seed: u64) -> (World, u64) {
    let mut world = World::new(n, seed, |_| ());
    let took = world.run_until(30 * S, "membership converges", World::membership_converged);
    world.run(2 * S);
    (world, took)
}

#[test]
fn a_death_among_three_hundred_members_is_known_within_5_s() {
    for seed in [1, 2, 3] {
        let (mut world, took) = converged_fleet(300, seed);
        let start = world.now;
        let dead = world.owner(17);
        world.kill(17);
        let known = world.run_until(
            5 * S,
            "the others learn of the death",
            World::membership_converged,
        );
        println!(
            "seed {seed}: 300 members converge after {} ms, and after a death within {} ms",
            took / MS,
            known / MS
        );
        assert!(world
            .deaths(start)
            .iter()
            .all(|(_, _, owner)| *owner == dead));
    }
}

#[test]
fn datagram_loss_of_20_percent_causes_no_false_death() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(60, seed);
        let start = world.now;
        world.loss = 200;
        world.run(60 * S);
        let suspected = world
            .log
            .iter()
            .filter(|entry| matches!(entry.event, NodeEvent::Suspected(_)));
        println!(
            "seed {seed}: {} suspicions, {} dead",
            suspected.count(),
            world.deaths(start).len()
        );
        assert_eq!(world.deaths(start).len(), 0, "{}", world.log_text(start));
    }
}

#[test]
fn a_member_stalled_for_3_s_suspects_nobody_and_recovers() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(60, seed);
        let start = world.now;
        world.stall(9, 3 * S);
        world.run(3 * S);
        let rejoined = world.run_until(5 * S, "membership converges", World::membership_converged);
        world.run(10 * S);
        assert!(world.membership_converged(), "membership remains stable");
        let name = &world.slots[9].name;
        println!("seed {seed}: rejoined after {} ms", rejoined / MS);
        assert!(
            world
                .deaths(start)
                .iter()
                .all(|(_, _, owner)| *owner.name == **name),
            "other members were declared dead"
        );
    }
}

#[test]
fn a_blocked_path_between_two_members_causes_no_death() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(30, seed);
        let start = world.now;
        world.blocked.insert((3, 4));
        world.run(20 * S);
        world.blocked.insert((4, 3));
        world.run(20 * S);
        assert_eq!(world.deaths(start), [], "seed {seed}");
    }
}

#[test]
fn the_simultaneous_death_of_a_third_is_detected() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(99, seed);
        let start = world.now;
        for i in (0..99).step_by(3) {
            world.kill(i);
        }
        let known = world.run_until(
            15 * S,
            "the others learn of the deaths",
            World::membership_converged,
        );
        println!(
            "seed {seed}: the others have converged after {} ms",
            known / MS
        );
        let alive: Vec<_> = world
            .alive()
            .map(|(_, node)| node.rows().me().clone())
            .collect();
        assert!(world
            .deaths(start)
            .iter()
            .all(|(_, _, owner)| !alive.contains(owner)));
    }
}

#[test]
fn a_restarted_member_is_known_by_its_new_incarnation() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(30, seed);
        // Restarted at once, before its death is detected, and after it was declared dead.
        for pause in [100 * MS, 10 * S] {
            world.kill(5);
            world.run(pause);
            world.start(5);
            let took = world.run_until(
                5 * S,
                "all learn of the new incarnation",
                World::membership_converged,
            );
            println!("seed {seed}: known again after {} ms", took / MS);
            world.run(5 * S);
            assert!(world.membership_converged());
        }
    }
}

#[test]
fn five_hundred_members_discover_each_other() {
    let (world, took) = converged_fleet(500, 1);
    println!("500 members converge after {} ms", took / MS);
    assert_eq!(world.deaths(START), []);
}
