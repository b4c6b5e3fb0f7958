//! The fleet makes one proposal for a degraded worker, whichever members or links fail.

mod common;

use common::Fleet;
use oakshed_quarantine::{Effect, Reason, WorkerState};
use oakshed_timeline::Style;

/// A fleet in which worker 4 fails 20 times as often as the others, run until it is proposed.
fn proposed(members: usize) -> Fleet {
    let mut fleet = Fleet::new(members, 12);
    fleet.run(60);
    fleet.failures_per_thousand[4] = 200;
    while fleet.standing(0).is_empty() && fleet.second < 150 {
        fleet.run(1);
    }
    fleet.run(3);
    fleet
}

fn withdrawn(fleet: &Fleet, expected: Reason) -> usize {
    let is = |e: &Effect| matches!(e, Effect::Withdrawn { reason, .. } if *reason == expected);
    fleet.effects.iter().filter(|(_, _, e)| is(e)).count()
}

#[test]
fn every_member_has_the_same_proposal_number_and_figures() {
    let fleet = proposed(5);
    let first = fleet.standing(0);
    assert_eq!(first.len(), 1, "{first:?}");
    assert!(first[0].starts_with("proposal 1 worker=w4 "), "{first:?}");
    for n in 1..5 {
        assert_eq!(fleet.standing(n), first, "member {n}");
    }
    assert_eq!(
        fleet.made().len(),
        1,
        "not made by exactly one member: {:?}",
        fleet.made()
    );
}

#[test]
fn a_proposal_outlives_its_proposer_and_restarts() {
    let mut fleet = proposed(5);
    let first = fleet.standing(0);
    let (_, proposer, _) = fleet.made()[0].clone();
    fleet.kill(proposer);
    fleet.run(300);
    let other = (proposer + 1) % 5;
    assert_eq!(
        fleet.standing(other),
        first,
        "not published again by other members before the proposer's rows expired"
    );
    // The others restart one after the other, then this one.
    for n in (0..5).filter(|n| *n != other) {
        fleet.restart(n);
        fleet.run(3);
    }
    fleet.restart(other);
    fleet.run(5);
    for n in 0..5 {
        assert_eq!(fleet.standing(n), first, "member {n}");
    }
    assert_eq!(fleet.made().len(), 1, "made again: {:?}", fleet.made());
}

#[test]
fn another_member_proposes_if_the_responsible_one_is_dead() {
    let fleet = proposed(5);
    let (_, proposer, _) = fleet.made()[0].clone();
    let mut fleet = Fleet::new(5, 12);
    fleet.run(60);
    fleet.kill(proposer);
    fleet.failures_per_thousand[4] = 200;
    fleet.run(60);
    let made = fleet.made();
    assert!(
        made.len() == 1 && made[0].1 != proposer && made[0].2 == "w4",
        "{made:?}"
    );
}

#[test]
fn one_proposal_remains_after_a_partition() {
    let mut fleet = Fleet::new(6, 12);
    fleet.run(60);
    fleet.split(3, true);
    fleet.failures_per_thousand[4] = 300;
    fleet.run(60);
    let made = fleet.made();
    assert_eq!(made.len(), 2, "not one by each side: {made:?}");
    fleet.split(3, false);
    fleet.run(5);
    let first = fleet.standing(0);
    assert_eq!(first.len(), 1, "{first:?}");
    for n in 1..6 {
        assert_eq!(fleet.standing(n), first, "member {n}");
    }
    fleet.run(120);
    for n in 0..6 {
        assert_eq!(fleet.standing(n), first, "member {n}, later");
    }
    assert_eq!(
        withdrawn(&fleet, Reason::Superseded),
        3,
        "not superseded on the side that proposed later"
    );
}

#[test]
fn a_proposal_is_withdrawn_on_recovery_restart_or_removal() {
    let mut fleet = proposed(5);
    fleet.failures_per_thousand[4] = 10;
    fleet.run(150);
    assert_eq!(
        withdrawn(&fleet, Reason::Recovered),
        5,
        "{:?}",
        fleet.effects
    );
    assert!(fleet.standing(0).is_empty());

    let mut fleet = proposed(5);
    fleet.list[4].started = (common::BEGIN + fleet.second) * 1_000;
    fleet.send_list();
    fleet.run(15);
    assert_eq!(
        withdrawn(&fleet, Reason::Restarted),
        5,
        "{:?}",
        fleet.effects
    );

    let mut fleet = proposed(5);
    fleet.list.remove(4);
    fleet.failures_per_thousand.remove(4);
    fleet.send_list();
    fleet.run(15);
    assert_eq!(withdrawn(&fleet, Reason::Removed), 5, "{:?}", fleet.effects);
}

#[test]
fn proposals_and_exclusions_stay_within_the_share_of_a_zone() {
    // There are six workers in each zone, and the share of 0.2 allows one of them.
    let mut fleet = Fleet::new(5, 12);
    fleet.run(60);
    fleet.failures_per_thousand[2] = 100;
    fleet.failures_per_thousand[4] = 400;
    fleet.run(90);
    let made: Vec<String> = fleet.made().into_iter().map(|(_, _, w)| w).collect();
    assert_eq!(made, ["w4"]);
    let open = fleet.members[0].machine.telemetry_lines();
    assert!(
        open.iter()
            .any(|l| l.starts_with("open worker=w2 ") && l.contains("share")),
        "{open:?}"
    );

    let mut fleet = Fleet::new(5, 12);
    fleet.list[0].state = WorkerState::Excluded;
    fleet.send_list();
    fleet.run(60);
    fleet.failures_per_thousand[4] = 400;
    fleet.run(60);
    assert!(
        fleet.made().is_empty(),
        "proposed although the zone's share is used up: {:?}",
        fleet.made()
    );
}

#[test]
fn a_timeline_of_a_proposal_that_survives_its_maker() {
    let mut fleet = Fleet::new(4, 12);
    fleet.run(60);
    fleet.failures_per_thousand[4] = 300;
    fleet.run(40);
    let (_, proposer, _) = fleet.made()[0].clone();
    fleet.kill(proposer);
    fleet.run(20);
    fleet.restart(proposer);
    fleet.run(20);
    fleet.failures_per_thousand[4] = 10;
    fleet.run(120);
    let style = Style {
        width: 110,
        quiet: 2_000_000,
        step: 1_000_000,
    };
    insta::assert_snapshot!(fleet.line.draw(&style));
}
