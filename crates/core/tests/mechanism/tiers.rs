//! Tests of the tier queues: which jobs are queued, in which order they are dispatched, and when they are rejected.

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
        "the limit applies to premium jobs as well"
    );
    let actions = harness.settled(out[0], 0, Ending::Delivered);
    assert!(
        sent_to(&actions, premium).is_some(),
        "the free slot goes to the top tier"
    );
    let sends = actions
        .iter()
        .filter(|a| matches!(a, Action::Send { .. }))
        .count();
    assert_eq!(sends, 1, "only the premium job is sent");
    // The same holds where the premium job waits for a free slot at the worker, not for the limit.
    let mut harness = Harness::new(settings(), 1);
    let out: Vec<_> = (0..)
        .map(|_| harness.request(0))
        .take_while(|(id, a)| sent_to(a, *id).is_some())
        .collect();
    let (premium, _) = harness.request(0);
    let (basic, actions) = harness.request(1);
    assert!(
        sent_to(&actions, basic).is_none(),
        "the basic job waits behind the premium one"
    );
    let actions = harness.settled(out[0].0, 0, Ending::Delivered);
    assert!(
        sent_to(&actions, basic).is_none(),
        "the basic job does not take the free slot"
    );
    harness.event(Event::Cancelled { id: premium });
}

/// A job may have no fitting worker because of its own requirements, such as its size, or a retry that is bound to a
/// lost zone. Such jobs once blocked all lower tiers while they were queued.
#[test]
fn jobs_without_a_fitting_worker_block_no_others() {
    let mut harness = Harness::new(settings(), 1);
    let (wide, actions) = harness.request_with_slots(0, 8.0);
    assert!(
        sent_to(&actions, wide).is_none(),
        "no worker is known to have 8 slots"
    );
    let (basic, actions) = harness.request(1);
    assert!(
        sent_to(&actions, basic).is_some(),
        "a slot is free that the wide job cannot use"
    );

    let mut zoned = settings();
    (zoned.classes[0].effect, zoned.classes[0].scope) = (Effect::Keyed, Scope::Zone);
    let mut harness = Harness::new(zoned, 0);
    let list = |zone0: Condition| -> Vec<Row> {
        (0..6)
            .map(|w| Row {
                zone: w % 2,
                condition: if w % 2 == 0 { zone0 } else { Condition::Active },
                ..row(w)
            })
            .collect()
    };
    harness.list(ListKind::Snapshot, &list(Condition::Active));
    // A keyed job that was tried in zone 0 may not be retried in another zone when zone 0 is lost.
    let (keyed, first) = (0..20)
        .map(|_| harness.request(0))
        .find_map(|(id, actions)| {
            sent_to(&actions, id)
                .filter(|w| w.0 % 2 == 0)
                .map(|w| (id, w))
        })
        .expect("a job goes to zone 0");
    harness.list(ListKind::Snapshot, &list(Condition::Left));
    let actions = harness.settled(keyed, 0, Ending::Dropped);
    assert!(
        sent_to(&actions, keyed).is_none() && !rejected(&actions, keyed),
        "not queued until the zone of {first:?} returns"
    );
    let (basic, actions) = harness.request(1);
    assert!(sent_to(&actions, basic).is_some(), "three workers are free");
}

#[test]
fn basic_jobs_are_rejected_at_queue_threshold_j_and_premium_jobs_are_not() {
    let mut harness = Harness::new(settings(), 2);
    fill_until_queued(&mut harness, 1);
    let mut rejections = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(1);
        rejections += u32::from(rejected(&actions, id));
        let has_retry_after = actions.iter().all(|a| {
            !matches!(
                a,
                Action::Reject {
                    retry_after: None,
                    ..
                }
            )
        });
        assert!(has_retry_after, "a rejection without retry-after");
    }
    assert!(rejections > 0, "threshold j was never reached");
    let (id, actions) = harness.request(0);
    assert!(!rejected(&actions, id), "a premium job was rejected");
}

#[test]
fn unattainable_jobs_are_rejected_before_their_latency_objective() {
    let mut harness = Harness::new(settings(), 0);
    let (id, _) = harness.request(1);
    let deadline = harness.now + 1_200 * MS; // latency objective plus stretch times the estimated work
    while harness.now < deadline {
        if rejected(&harness.wait(10 * MS), id) {
            return;
        }
    }
    panic!("still queued after its latency objective");
}

#[test]
fn slow_fleet_does_not_extend_the_latency_objective() {
    // The objective depends on the job's own work. If it depended on current running times, a slow fleet would reject
    // later.
    let queued_for = |is_slow: bool| {
        let mut harness = Harness::new(settings(), 4);
        harness.serve(1, 200, 300 * MS);
        if is_slow {
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
    assert!(queued_for(true) < queued_for(false));
}

#[test]
fn hint_decides_how_long_a_job_may_be_queued() {
    let queued_for = |hint: Micros| {
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
    assert!(queued_for(900 * MS) > queued_for(100 * MS));
}

#[test]
fn requests_beyond_a_tenants_share_are_dispatched_last() {
    let mut shared = Settings {
        tenants: vec![2.0, 1_000.0],
        ..settings()
    };
    shared.classes[0].priority_weight = 1.0; // one tier for requests within the share, one for those beyond
    let mut harness = Harness::new(shared, 2);
    let mut in_flight = fill_until_queued(&mut harness, 1); // tenant 0 soon exceeds its share
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
    for id in in_flight.drain(..4) {
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
        "a request beyond its tenant's share was sent first"
    );
}

#[test]
fn fixed_cost_of_jobs_does_not_distort_the_running_time() {
    // The ratio of running time to hint must not be learned as a mean over jobs. With that mean, small jobs with the
    // fixed cost of a fetch made all jobs appear long, so that few could be queued and many were rejected.
    let queued_for = |fetch: Micros| {
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
    // A fetch of 50 ms shortens the time in the queue by about 50 ms, not by a multiple of it.
    assert!(queued_for(0) > queued_for(50 * MS) && queued_for(0) - queued_for(50 * MS) < 110 * MS);
}
