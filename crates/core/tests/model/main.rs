//! Compares the facade, over random sequences of steps, with a model of the states of requests and attempts.

mod request;
mod steps;
mod world;

use std::rc::Rc;
use std::task::Waker;

use oakshed_core::facade::{Ending, Facade, InFlightCounts, Micros, Observation, Report};
use oakshed_core::figures::RequestOutcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use request::wake_flag;
use steps::{step, Step};
use world::{settings, Model, MS, SCHEDULERS};

#[test]
fn every_request_gets_one_answer_and_every_attempt_one_end() {
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
        let mut model = Model::new(schedulers);
        for step in steps {
            model.step(step);
        }
        model.wait_until(model.now + 20_000 * MS);
        check_counts(&model);
        check_request_counts(&model);
        let counts = model.facade.in_flight_counts();
        assert_eq!(
            counts,
            InFlightCounts {
                workers: 4,
                ..InFlightCounts::default()
            },
            "requests or slots are still held"
        );
        assert!(model.subscriptions > 0, "the list was never requested");
        Ok(())
    });
    outcome.expect("the facade agrees with the model");
}

/// Asserts that every request got one answer and every attempt one end.
fn check_counts(model: &Model) {
    assert!(model.all_answered(), "a request got no answer");
    let tally = model.facade.tally();
    let answered = tally.served + tally.rejected + tally.failed + tally.cancelled;
    assert_eq!(tally.taken, answered);
    assert_eq!(
        tally.attempts,
        tally.ended.iter().sum::<u64>(),
        "attempts without an end or with two"
    );
    assert_eq!(
        (
            model.facade.unanswered_requests(),
            tally.invariant_violations
        ),
        (0, 0)
    );
}

/// Asserts that the request counts agree with those of the facade.
fn check_request_counts(model: &Model) {
    let tally = model.facade.tally();
    let counted = |end| {
        let by_class = (0..2).map(|class| model.request_counts.ended(Some(class), end));
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
        ends.iter().sum::<u64>() + model.request_counts.pending(),
        tally.taken
    );
    // A request answered at the moment when its client disconnected may count as either.
    assert!(ends[0] <= tally.served && ends[1] <= tally.rejected && ends[2] <= tally.failed);
    assert_eq!(model.request_counts.pending(), 0);
}

/// Without traffic, only the timer wakes a scheduler and its queued requests, so no timer may be lost.
#[test]
fn required_timer_is_always_set() {
    for schedulers in SCHEDULERS {
        let mut model = Model::new(schedulers);
        model.wait_until(model.now + 10_000 * MS);
        assert_eq!(
            model.subscriptions, 1,
            "polls within the longest jitter of a first poll"
        );
        // The poll is in flight and nothing else happens, so only the timer can lead to an answer.
        model.step(Step::Snapshot(0, false));
        model.step(Step::Request(0, 400));
        model.wait_until(model.now + 400 * MS);
        assert!(
            model.all_answered(),
            "the queued request was not answered by the timer"
        );
    }
}

/// Hundreds of schedulers may start at once without a list, while discovery answers polls in turn. They must not poll
/// faster than it can answer, and the last one must still get its list in time.
#[test]
fn first_polls_of_many_schedulers_are_jittered() {
    let first_poll = |seed| {
        let mut facade = Facade::new(settings(200), seed).expect("usable");
        let (start, waker) = (50_000 * MS, Waker::from(wake_flag()));
        let mut now = start;
        loop {
            let due = facade.tick(now, &waker);
            if due.subscribe {
                return now - start;
            }
            now = due.next.expect("a timer is set until the first poll");
        }
    };
    let mut polls: Vec<Micros> = (0..200).map(first_poll).collect();
    polls.sort_unstable();
    assert!(
        polls[199] <= 5_000 * MS,
        "the last of 200 polls 25 ms apart is late"
    );
    let max_per_second = (0..200)
        .map(|n| polls.partition_point(|at| *at < polls[n] + 1_000 * MS) - n)
        .max();
    assert!(
        max_per_second.is_some_and(|max| max <= 60),
        "{max_per_second:?} polls within a second"
    );
}

#[test]
fn second_end_of_an_attempt_is_ignored() {
    let mut model = Model::new(1);
    let name: Rc<str> = "s-0".into();
    model.facade.report(
        model.now,
        Observation::Probed(&name, true, Some(Report::default())),
    );
    model.step(Step::Request(0, 5_000));
    model.step(Step::End(0, 0));
    assert_eq!(model.facade.tally().served, 1);
    assert_eq!(model.facade.tally().ended[Ending::Delivered as usize], 1);
}
