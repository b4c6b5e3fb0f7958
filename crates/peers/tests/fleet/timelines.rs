//! Snapshots of the timelines of small fleets.

use oakshed_timeline::{Style, Timeline};

use crate::world::{World, MS, S, START};

/// Draws one column per member, with time running downwards.
fn draw(world: &World, from: u64) -> String {
    let mut timeline = Timeline::new(world.slots.iter().map(|slot| slot.name.clone()));
    for entry in world.log.iter().filter(|entry| entry.at >= from) {
        let label = World::label(&entry.event);
        timeline.event(entry.at - START, entry.node, label);
    }
    timeline.draw(&Style::default())
}

#[test]
fn a_member_is_killed_and_restarts_without_rows() {
    let mut world = World::new(4, 1, |_| ());
    world.run(3 * S);
    world.kill(2);
    world.run(8 * S);
    world.start(2);
    world.run(3 * S);
    insta::assert_snapshot!(draw(&world, START));
}

#[test]
fn a_member_is_stalled_for_3_s() {
    let mut world = World::new(4, 1, |_| ());
    world.run(3 * S);
    let from = world.now;
    world.stall(1, 3 * S);
    world.run(8 * S);
    insta::assert_snapshot!(draw(&world, from));
}

#[test]
fn two_halves_are_partitioned_and_heal() {
    let mut world = World::new(4, 1, |_| ());
    world.run(3 * S);
    let from = world.now;
    world.split(|i| i < 2);
    world.run(6 * S);
    world.heal();
    world.run(3 * S);
    assert!(world.membership_converged());
    insta::assert_snapshot!(draw(&world, from));
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut world = World::new(20, seed, |_| ());
        world.loss = 100;
        world.load = 2;
        world.run(4 * S + 7 * MS);
        (
            world.log_text(START),
            world
                .slots
                .iter()
                .map(|slot| slot.sent_bytes.clone())
                .collect::<Vec<_>>(),
        )
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}
