//! Tests of the token buckets for tenants' shares.

use crate::state::TenantShares;
use crate::time::Instant;

const SECOND_US: u64 = 1_000_000;

/// How many of a number of simultaneous requests are within the share.
fn count_within_share(
    shares: &mut TenantShares,
    tenant: usize,
    rate: f64,
    now: u64,
    requests: usize,
) -> usize {
    let now = Instant::from_micros(now);
    let counted = (0..requests).filter(|_| !shares.count_request(tenant, rate, now));
    counted.count()
}

#[test]
fn burst_of_one_second_is_within_the_share() {
    let mut shares = TenantShares::default();
    assert_eq!(count_within_share(&mut shares, 0, 10.0, SECOND_US, 50), 10);
}

#[test]
fn burst_of_four_is_within_a_small_share() {
    let mut shares = TenantShares::default();
    assert_eq!(count_within_share(&mut shares, 0, 0.5, SECOND_US, 50), 4);
}

#[test]
fn bucket_refills_at_the_rate_up_to_one_second() {
    let mut shares = TenantShares::default();
    count_within_share(&mut shares, 0, 10.0, SECOND_US, 50);
    assert_eq!(
        count_within_share(&mut shares, 0, 10.0, SECOND_US * 3 / 2, 50),
        5
    );
    assert_eq!(
        count_within_share(&mut shares, 0, 10.0, SECOND_US * 60, 50),
        10
    );
}

#[test]
fn shares_of_tenants_are_independent() {
    let mut shares = TenantShares::default();
    count_within_share(&mut shares, 0, 10.0, SECOND_US, 50);
    assert_eq!(count_within_share(&mut shares, 1, 10.0, SECOND_US, 50), 10);
}
