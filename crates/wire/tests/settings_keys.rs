//! Every key of the settings, by the name that customers write, read into its field.

use oakshed_core::interface::{Class, Effect, Reports, Scope, Settings, Span, Weights};
use oakshed_wire::settings;

/// Each key once, with a value that is not the default.
const EVERY_KEY: &str = r#"{
    "az": 1, "azs": ["north", "south"], "machine-types": ["small", "large"], "balancers": 7,
    "categories": [{
        "name": "transfer", "aim-ms": 250, "give-up-ms": 4000, "idempotency": "guarded", "importance": 3.5,
        "aim-stretch": 1.25, "dedup-scope": "zone", "memory-span-ms": 900
    }],
    "membership-mode": "on_request", "weight-kind": "live", "resolution-ms": 2,
    "family-info": {
        "class-kind": [1], "class-priority": [4], "class-stretch": [2.5], "queue-order": "fifo",
        "progress-ms": 30, "tells-start": true
    },
    "limits": {
        "cancelling": true, "connect-timeout-ms": 70, "idle-close-ms": 8000, "max-attempts": 5,
        "max-retry-after-ms": 1500, "may-probe": true, "retry-after": true
    },
    "load-info": {"how": "probe"},
    "obligations": {
        "ask-every-ms": 6000, "cold-share": 0.25, "fall-ms": 3000, "fall-multiple": 2.75, "ramp-time-ms": 8900
    },
    "prices": {"cross-zone": 0.125},
    "tenants": [{"name": "orchard", "quota-rps": 12.5}]
}"#;

#[test]
fn every_key_is_read_into_its_field() {
    let expected = Settings {
        schedulers: 7,
        zone: 1,
        classes: vec![Class {
            latency_objective: Span::from_micros(250_000),
            stretch: 2.5,
            deadline: Span::from_micros(4_000_000),
            priority_weight: 3.5,
            priority: 4,
            effect: Effect::Keyed,
            scope: Scope::Zone,
            window: Span::from_micros(900_000),
            kind: Some(1),
        }],
        tenants: vec![12.5],
        list_on_request: true,
        poll_interval: Span::from_micros(6_000_000),
        weights: Weights::Live,
        reports_start: true,
        fifo_workers: true,
        progress_every: Span::from_micros(30_000),
        reports: Reports::Probe,
        may_probe: true,
        may_cancel: true,
        retry_after: true,
        max_retry_after: Span::from_micros(1_500_000),
        max_attempts: 5,
        idle_close: Span::from_micros(8_000_000),
        connect_timeout: Span::from_micros(70_000),
        cross_zone_cost: 0.125,
        tick: Span::from_micros(2_000),
        cold_share: 0.25,
        ramp: Span::from_micros(8_900_000),
        fall_multiple: 2.75,
        fall_span: Span::from_micros(3_000_000),
    };
    let read = settings(EVERY_KEY).expect("usable settings");
    assert_eq!(
        read.fingerprint_form().to_string(),
        expected.fingerprint_form().to_string()
    );
}
