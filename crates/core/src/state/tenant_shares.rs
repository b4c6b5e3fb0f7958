//! Token buckets that decide whether a tenant's requests are within its share.
//!
//! A request beyond the share is not rejected here; `scheduler` gives it the least priority.

use rustc_hash::FxHashMap;

use crate::time::Instant;

/// Lower bound of the burst size, in requests. Where the rate is below one request per second, two close
/// together are no sign of excess.
const MIN_BURST: f64 = 4.0;

/// The token bucket of a tenant, with one token per request.
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// The token buckets of all tenants, by the tenant's index in the settings.
#[derive(Default)]
pub(crate) struct TenantShares {
    buckets: FxHashMap<usize, TokenBucket>,
}

impl TenantShares {
    /// Counts a request of a tenant whose share is `rate` requests per second. Bursts of up to one second's
    /// requests are within the share. Returns whether the request exceeds it.
    pub(crate) fn count_request(&mut self, tenant: usize, rate: f64, now: Instant) -> bool {
        let burst = rate.max(MIN_BURST);
        let bucket = self.buckets.entry(tenant).or_insert(TokenBucket {
            tokens: burst,
            refilled_at: now,
        });
        let elapsed = now.saturating_since(bucket.refilled_at).as_micros_f64();
        bucket.tokens = (bucket.tokens + rate * elapsed / 1e6).min(burst);
        bucket.refilled_at = now;
        let is_exceeded = bucket.tokens < 1.0;
        if !is_exceeded {
            bucket.tokens -= 1.0;
        }
        is_exceeded
    }
}
