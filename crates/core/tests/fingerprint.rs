//! The text of settings that goes into fingerprints stays as versions in service have it.

use oakshed_core::interface::{Class, Effect, Reports, Scope, Settings, Span, Weights};

/// As the version of 2026-12-02 wrote it, before the fields were renamed.
const FINGERPRINT_TEXT: &str = "Settings { dispatchers: 3, zone: 2, classes: [\
    Class { aim: 400000, stretch: 2.5, deadline: 6000000, worth: 12.0, priority: -1, effect: Keyed, \
    scope: Zone, window: 4000000, kind: Some(1) }, \
    Class { aim: 250000, stretch: 0.0, deadline: 1000000, worth: 0.1, priority: 7, effect: Unsafe, \
    scope: Cell, window: 0, kind: None }], tenants: [0.5, 20.0], list_on_request: true, \
    ask_every: 500000, weights: Live, tells_start: false, in_order: true, progress_every: 100000, \
    reports: Probe, may_probe: true, may_cancel: false, retry_after: false, max_retry_after: 1500000, \
    max_attempts: 4, idle_close: 30000000, connect_timeout: 110000, cross_price: 0.02, tick: 3000, \
    cold_share: 0.25, ramp: 8900000, fall_multiple: 2.75, fall_span: 2500000 }";

fn classes() -> Vec<Class> {
    let keyed = Class {
        latency_objective: Span::from_micros(400_000),
        stretch: 2.5,
        deadline: Span::from_micros(6_000_000),
        priority_weight: 12.0,
        priority: -1,
        effect: Effect::Keyed,
        scope: Scope::Zone,
        window: Span::from_micros(4_000_000),
        kind: Some(1),
    };
    let unrepeatable = Class {
        latency_objective: Span::from_micros(250_000),
        stretch: 0.0,
        deadline: Span::from_micros(1_000_000),
        priority_weight: 0.1,
        priority: 7,
        effect: Effect::Unsafe,
        scope: Scope::Cell,
        window: Span::from_micros(0),
        kind: None,
    };
    vec![keyed, unrepeatable]
}

fn settings() -> Settings {
    Settings {
        schedulers: 3,
        zone: 2,
        classes: classes(),
        tenants: vec![0.5, 20.0],
        list_on_request: true,
        poll_interval: Span::from_micros(500_000),
        weights: Weights::Live,
        reports_start: false,
        fifo_workers: true,
        progress_every: Span::from_micros(100_000),
        reports: Reports::Probe,
        may_probe: true,
        may_cancel: false,
        retry_after: false,
        max_retry_after: Span::from_micros(1_500_000),
        max_attempts: 4,
        idle_close: Span::from_micros(30_000_000),
        connect_timeout: Span::from_micros(110_000),
        cross_zone_cost: 0.02,
        tick: Span::from_micros(3_000),
        cold_share: 0.25,
        ramp: Span::from_micros(8_900_000),
        fall_multiple: 2.75,
        fall_span: Span::from_micros(2_500_000),
    }
}

/// Prevents a successor of another version from taking its predecessor for one of other settings.
#[test]
fn fingerprint_text_is_the_same_in_all_versions() {
    assert_eq!(settings().fingerprint_form().to_string(), FINGERPRINT_TEXT);
}

/// The rest of the words of that text: those of the enumerations.
#[test]
fn fingerprint_names_of_enumerations_are_the_same_in_all_versions() {
    let names = format!(
        "{:?} {:?} {:?} {:?}",
        [Effect::Safe, Effect::Keyed, Effect::Unsafe],
        [Scope::All, Scope::Zone, Scope::Cell],
        [Weights::None, Weights::Size, Weights::Live],
        [Reports::Answers, Reports::Probe, Reports::None],
    );
    assert_eq!(
        names,
        "[Safe, Keyed, Unsafe] [All, Zone, Cell] [None, Size, Live] [Answers, Probe, None]"
    );
}
