//! The settings that a trial's schedulers are told, in the platform's form.
//!
//! It owns their figures; what they mean is docs/settings.md.

use serde_json::{json, Value};

/// The time within which a class's requests are to be answered, in milliseconds.
pub const DEADLINE_MS: u64 = 5_000;
/// What a fresh worker is allowed, as in the platform's settings.
pub const COLD_SHARE: f64 = 0.32;
/// How long a fresh worker warms, in milliseconds.
pub const RAMP_MS: u64 = 9_000;
/// The multiple of its present capacity at which a cold worker falls over, and in what time.
pub const FALL_MULTIPLE: f64 = 3.0;
/// The time of the above, in milliseconds.
pub const FALL_MS: u64 = 2_000;

/// Classes: their names, and whether a request may run at most once.
pub const CLASSES: [(&str, bool); 2] = [("transfer", true), ("lookup", false)];

/// The settings of a fleet of so many schedulers.
pub fn settings(balancers: usize) -> Value {
    let class = |name: &str, idempotency: &str, importance: u32| json!({ "name": name, "aim-ms": 150, "give-up-ms": DEADLINE_MS, "idempotency": idempotency, "importance": importance });
    json!({
        "az": 0, "azs": ["hofdi", "selfoss"], "balancers": balancers, "machine-types": ["fast-7"],
        "categories": [class("transfer", "single_shot", 10), class("lookup", "free", 20)],
        "family-info": { "class-stretch": [2.0, 2.0], "tells-start": true, "progress-ms": 1000 },
        "membership-mode": "on_request",
        "limits": { "cancelling": true, "connect-timeout-ms": 200, "idle-close-ms": 5000, "max-attempts": 4,
                    "max-retry-after-ms": 2000, "retry-after": true },
        "resolution-ms": 4,
        "obligations": { "ask-every-ms": 10000, "cold-share": COLD_SHARE, "fall-ms": FALL_MS,
                         "fall-multiple": FALL_MULTIPLE, "ramp-time-ms": RAMP_MS },
        "tenants": [{ "name": "storholt-bilar", "quota-rps": 100000 }],
    })
}
