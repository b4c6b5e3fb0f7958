//! A model of a request's and its attempts' states, against which random steps of the facade are checked.

mod request;
mod steps;
mod world;

use std::rc::Rc;
use std::task::Waker;

use oakshed_core::facade::{Ending, Facade, InFlightCounts, Micros, Observation, Report};
use oakshed_core::figures::RequestOutcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use request::flag;
use steps::{step, Step};
use world::{settings, World, MS, SCHEDULERS};

#[test]
fn every_request_gets_one_answer_and_every_attempt_is_accounted_for() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (
        prop::sample::select(&SCHEDULERS[..]),
        prop::collection::vec(step(), 1..150),
    );
    let outcome = runner.run(&steps, |(schedulers, steps)| {
        let mut world = World::new(schedulers);
        for step in steps {
            world.step(step);
        }
        world.wait_until(world.now + 20_000 * MS);
        check_counts(&world);
        check_request_counts(&world);
        let counts = world.facade.in_flight_counts();
        assert_eq!(
            counts,
            InFlightCounts {
                workers: 4,
                ..InFlightCounts::default()
            },
            "something was not given back"
        );
        assert!(world.subscriptions > 0, "the list is polled");
        Ok(())
    });
    outcome.expect("the model holds");
}

/// Every request has one answer, and every attempt one end.
fn check_counts(world: &World) {
    assert!(world.all_answered(), "a request was left without an answer");
    let tally = world.facade.tally();
    let answered = tally.served + tally.rejected + tally.failed + tally.cancelled;
    assert_eq!(tally.taken, answered);
    assert_eq!(
        tally.attempts,
        tally.ended.iter().sum::<u64>(),
        "an attempt without an end, or with two"
    );
    assert_eq!(
        (
            world.facade.unanswered_requests(),
            tally.invariant_violations
        ),
        (0, 0)
    );
}

/// The request counts agree with the facade.
fn check_request_counts(world: &World) {
    let tally = world.facade.tally();
    let counted = |end| {
        let by_class = (0..2).map(|class| world.request_counts.ended(Some(class), end));
        by_class.sum::<u64>()
    };
    let ends = [
        RequestOutcome::Completed,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::Abandoned,
    ]
    .map(counted);
    assert_eq!(
        ends.iter().sum::<u64>() + world.request_counts.pending(),
        tally.taken
    );
    // One that was answered in the moment in which its client disconnected counts as either.
    assert!(ends[0] <= tally.served && ends[1] <= tally.rejected && ends[2] <= tally.failed);
    assert_eq!(world.request_counts.pending(), 0);
}

/// Guards against a timer that is lost: nobody else wakes a scheduler without traffic, nor what is queued at one
/// whose start was quiet.
#[test]
fn a_wanted_timer_is_always_set() {
    for schedulers in SCHEDULERS {
        let mut world = World::new(schedulers);
        world.wait_until(world.now + 10_000 * MS);
        assert_eq!(
            world.subscriptions, 1,
            "one call, within the time in which it must poll"
        );
        // The call is under way, and nothing else happens: what is queued is answered by the timer alone.
        world.step(Step::Snapshot(0, false));
        world.step(Step::Take(0, 400));
        world.wait_until(world.now + 400 * MS);
        assert!(world.all_answered(), "it is queued and nobody looks at it");
    }
}

/// Guards against hundreds that start without a list, at one moment, and all poll discovery that serves in
/// turn: as many lists are requested a second as it can be taken to give, and the last still has its list
/// in time.
#[test]
fn first_polls_of_many_schedulers_are_jittered() {
    let first_call = |seed| {
        let mut facade = Facade::new(settings(200), seed).expect("usable");
        let (start, waker) = (50_000 * MS, Waker::from(flag()));
        let mut now = start;
        loop {
            let due = facade.tick(now, &waker);
            if due.subscribe {
                return now - start;
            }
            now = due.next.expect("it waits for its moment");
        }
    };
    let mut calls: Vec<Micros> = (0..200).map(first_call).collect();
    calls.sort_unstable();
    assert!(calls[199] <= 5_000 * MS, "25 ms for each of 200");
    let most = (0..200)
        .map(|n| calls.partition_point(|at| *at < calls[n] + 1_000 * MS) - n)
        .max();
    assert!(
        most.is_some_and(|most| most <= 60),
        "{most:?} calls within a second"
    );
}

#[test]
fn second_end_of_an_attempt_is_ignored() {
    let mut world = World::new(1);
    let name: Rc<str> = "s-0".into();
    world.facade.report(
        world.now,
        Observation::Probed(&name, true, Some(Report::default())),
    );
    world.step(Step::Take(0, 5_000));
    world.step(Step::End(0, 0));
    assert_eq!(world.facade.tally().served, 1);
    assert_eq!(world.facade.tally().ended[Ending::Delivered as usize], 1);
}
