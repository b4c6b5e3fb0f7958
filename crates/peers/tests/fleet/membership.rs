//! Membership under partial failure.

use crate::world::{NodeEvent, World, MS, S, START};

/// A fleet in which everybody knows everybody, and how long that took.
pub fn converged_fleet(n: usize, seed: u64) -> (World, u64) {
    let mut world = World::new(n, seed, |_| ());
    let took = world.run_until(30 * S, "membership converges", World::membership_converged);
    world.run(2 * S);
    (world, took)
}

#[test]
fn a_kill_among_three_hundred_is_known_within_5_s() {
    for seed in [1, 2, 3] {
        let (mut world, took) = converged_fleet(300, seed);
        let start = world.now;
        let dead = world.owner(17);
        world.kill(17);
        let known = world.run_until(5 * S, "the others know", World::membership_converged);
        println!(
            "seed {seed}: 300 know all after {} ms; a kill after {} ms",
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
fn a_fifth_of_the_datagrams_lost_causes_no_false_death() {
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
        let back = world.run_until(5 * S, "membership converges", World::membership_converged);
        world.run(10 * S);
        assert!(world.membership_converged(), "it stays");
        let name = &world.slots[9].name;
        println!("seed {seed}: back after {} ms", back / MS);
        assert!(
            world
                .deaths(start)
                .iter()
                .all(|(_, _, owner)| *owner.name == **name),
            "others were declared dead"
        );
    }
}

#[test]
fn a_pair_cut_one_way_or_both_is_not_declared_dead() {
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
fn a_third_killed_at_once_is_detected() {
    for seed in [1, 2, 3] {
        let (mut world, _) = converged_fleet(99, seed);
        let start = world.now;
        for i in (0..99).step_by(3) {
            world.kill(i);
        }
        let known = world.run_until(15 * S, "the rest know", World::membership_converged);
        println!("seed {seed}: the rest know after {} ms", known / MS);
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
        // At once, so that nobody has missed it yet; and after it was declared dead.
        for pause in [100 * MS, 10 * S] {
            world.kill(5);
            world.run(pause);
            world.start(5);
            let took = world.run_until(5 * S, "all know the new life", World::membership_converged);
            println!("seed {seed}: known again after {} ms", took / MS);
            world.run(5 * S);
            assert!(world.membership_converged());
        }
    }
}

#[test]
fn five_hundred_members_discover_each_other() {
    let (world, took) = converged_fleet(500, 1);
    println!("500 know all after {} ms", took / MS);
    assert_eq!(world.deaths(START), []);
}
