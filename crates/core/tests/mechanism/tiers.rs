//! What is queued, in which order it is dispatched, and when it is rejected.
//!
//! It owns the queues' tests. It must never look into the scheduler: only at its actions.

use oakshed_core::interface::*;

use crate::common::*;
use crate::fill_until_queued;

#[test]
fn queued_jobs_are_dispatched_top_tier_first() {
    let mut harness = Harness::new(settings(), 2);
    let out = fill_until_queued(&mut harness, 1);
    let (premium, actions) = harness.request(0);
    assert!(
        sent_to(&actions, premium).is_none(),
        "the limit holds premium jobs too"
    );
    let actions = harness.settled(out[0], 0, Ending::Delivered);
    assert!(
        sent_to(&actions, premium).is_some(),
        "the freed slot goes to the top tier"
    );
    let basics = actions
        .iter()
        .filter(|a| matches!(a, Action::Send { .. }))
        .count();
    assert_eq!(basics, 1, "and to nobody else");
    // Also where a worker would take the basic one at once, and it is the worker that holds the premium one up.
    let mut harness = Harness::new(settings(), 1);
    let out: Vec<_> = (0..)
        .map(|_| harness.request(0))
        .take_while(|(id, a)| sent_to(a, *id).is_some())
        .collect();
    let (premium, _) = harness.request(0);
    let (basic, actions) = harness.request(1);
    assert!(
        sent_to(&actions, basic).is_none(),
        "it waits behind the premium one"
    );
    let actions = harness.settled(out[0].0, 0, Ending::Delivered);
    assert!(
        sent_to(&actions, basic).is_none(),
        "and does not take its slot"
    );
    harness.event(Event::Cancelled { id: premium });
}

/// Guards against a class hardly served: what can't go anywhere for a reason of its own (a size that nobody has
/// room for, a repeat bound to a zone that is lost) blocked all that came in lower tiers, for as long as it lasted.
#[test]
fn jobs_without_a_fitting_worker_block_no_others() {
    let mut harness = Harness::new(settings(), 1);
    let (wide, actions) = harness.request_with_slots(0, 8.0);
    assert!(
        sent_to(&actions, wide).is_none(),
        "no worker is known to have eight slots"
    );
    let (basic, actions) = harness.request(1);
    assert!(
        sent_to(&actions, basic).is_some(),
        "one slot is free, and nobody above can use it"
    );

    let mut zoned = settings();
    (zoned.classes[0].effect, zoned.classes[0].scope) = (Effect::Keyed, Scope::Zone);
    let mut harness = Harness::new(zoned, 0);
    let list = |lost: Condition| -> Vec<Row> {
        (0..6)
            .map(|w| Row {
                zone: w % 2,
                condition: if w % 2 == 0 { lost } else { Condition::Active },
                ..row(w)
            })
            .collect()
    };
    harness.list(ListKind::Snapshot, &list(Condition::Active));
    // Tried in the zone that is then lost, it may not be repeated in another.
    let (keyed, first) = (0..20)
        .map(|_| harness.request(0))
        .find_map(|(id, actions)| {
            sent_to(&actions, id)
                .filter(|w| w.0 % 2 == 0)
                .map(|w| (id, w))
        })
        .expect("one of them goes to the zone");
    harness.list(ListKind::Snapshot, &list(Condition::Left));
    let actions = harness.settled(keyed, 0, Ending::Dropped);
    assert!(
        sent_to(&actions, keyed).is_none() && !rejected(&actions, keyed),
        "queued: {first:?}'s zone may come back"
    );
    let (basic, actions) = harness.request(1);
    assert!(sent_to(&actions, basic).is_some(), "three workers are free");
}

#[test]
fn basic_jobs_are_rejected_past_j_and_premium_jobs_are_not() {
    let mut harness = Harness::new(settings(), 2);
    fill_until_queued(&mut harness, 1);
    let mut refusals = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(1);
        refusals += u32::from(rejected(&actions, id));
        let with_wait = actions.iter().all(|a| {
            !matches!(
                a,
                Action::Reject {
                    retry_after: None,
                    ..
                }
            )
        });
        assert!(with_wait, "a refusal says when to come back");
    }
    assert!(refusals > 0, "j never tripped");
    let (id, actions) = harness.request(0);
    assert!(!rejected(&actions, id), "premium is queued, not rejected");
}

#[test]
fn unattainable_jobs_are_rejected_before_their_latency_objective() {
    let mut harness = Harness::new(settings(), 0);
    let (id, _) = harness.request(1);
    let deadline = harness.now + 1_200 * MS; // aim and stretch times the guessed work
    while harness.now < deadline {
        if rejected(&harness.wait(10 * MS), id) {
            return;
        }
    }
    panic!("queued past its latency objective");
}

#[test]
fn slow_fleet_does_not_extend_the_latency_objective() {
    // Guards against rejecting later when all is slow: the objective follows the job's work.
    let held_for = |slow: bool| {
        let mut harness = Harness::new(settings(), 4);
        harness.serve(1, 200, 300 * MS);
        if slow {
            harness.serve(1, 20, 900 * MS);
        }
        harness.list(ListKind::Snapshot, &[]);
        let (id, _) = harness.request(1);
        let start = harness.now;
        while !rejected(&harness.wait(10 * MS), id) {
            assert!(harness.now < start + 5_000 * MS, "never rejected");
        }
        harness.now - start
    };
    assert!(held_for(true) < held_for(false));
}

#[test]
fn hint_decides_how_long_a_job_may_be_queued() {
    let held_for = |hint: Micros| {
        let mut harness = Harness::new(settings(), 0);
        let id = RequestId(1);
        let hinted = Job {
            hint: Some(hint),
            ..job(1)
        };
        harness.event(arrival(id, hinted));
        let start = harness.now;
        while !rejected(&harness.wait(10 * MS), id) {
            assert!(harness.now < start + hinted.remaining, "never rejected");
        }
        harness.now - start
    };
    assert!(held_for(900 * MS) > held_for(100 * MS));
}

#[test]
fn requests_beyond_a_tenants_share_are_dispatched_last() {
    let mut shared = Settings {
        tenants: vec![2.0, 1_000.0],
        ..settings()
    };
    shared.classes[0].priority_weight = 1.0; // one tier within the shares, one beyond
    let mut harness = Harness::new(shared, 2);
    let mut order = fill_until_queued(&mut harness, 1); // tenant 0, and soon beyond its share
    let mut of_other = Vec::new();
    for n in 0..3u32 {
        let id = RequestId(9_000 + u128::from(n));
        let other = Job {
            tenant: Some(1),
            ..job(1)
        };
        harness.event(arrival(id, other));
        of_other.push(id);
    }
    let before = harness.actions.len();
    for id in order.drain(..4) {
        harness.settled(id, 0, Ending::Delivered);
    }
    let at = |wanted: &RequestId| {
        harness
            .actions
            .iter()
            .position(|a| matches!(a, Action::Send { id, .. } if id == wanted))
    };
    let last = of_other.iter().map(at).max().flatten();
    let last = last.expect("all of the other tenant's jobs were sent");
    let mut after = harness.actions.iter().skip(before);
    let beyond = after.position(|a| matches!(a, Action::Send { id, .. } if !of_other.contains(id)));
    assert!(
        beyond.is_none_or(|p| before + p > last),
        "the tenant within its share goes first"
    );
}

#[test]
fn fixed_cost_of_jobs_does_not_distort_the_running_time() {
    // Guards against learning the mean of ratios: small jobs that also pay for a fetch made all look
    // long, so that little could be queued and much was rejected.
    let held_for = |fetch: Micros| {
        let mut harness = Harness::new(settings(), 4);
        let request = |harness: &mut Harness, n: u128, hint: Micros| {
            let id = RequestId(n);
            let hinted = Job {
                hint: Some(hint),
                ..job(0)
            };
            (id, harness.event(arrival(id, hinted)))
        };
        for n in 0..400u128 {
            let work = if n % 2 == 0 { 10 * MS } else { 190 * MS };
            let (id, actions) = request(&mut harness, 1_000 + n, work);
            assert!(sent_to(&actions, id).is_some());
            harness.started(id, 0);
            harness.now += work + fetch;
            harness.settled(id, 0, Ending::Delivered);
        }
        for n in 0..200 {
            request(&mut harness, 5_000 + n, 100 * MS);
        }
        let start = harness.now;
        while !rejected(&harness.actions, RequestId(5_199)) {
            harness.wait(2 * MS);
        }
        harness.now - start
    };
    // A fetch of 50 ms shortens what may be queued by about that much, not by several times as much.
    assert!(held_for(0) > held_for(50 * MS) && held_for(0) - held_for(50 * MS) < 110 * MS);
}
