//! Compatibility of the messages and of the fingerprint's text with the versions in service.

use oakshed_core::facade::{HandoverState, Settings, Span};
use oakshed_core::interface::{Class, Effect, Reports, Scope, Weights};

use super::message::{Message, HELLO, READY};

/// Recorded from version 0a2a3d3; see `tests/fixtures/0a2a3d3/README.md`.
const RECORDED_MESSAGE: &str =
    include_str!("../../../tests/fixtures/0a2a3d3/hot-restart/predecessor-message");
const RECORDED_HELLO: &str =
    include_str!("../../../tests/fixtures/0a2a3d3/hot-restart/successor-hello");
const RECORDED_READY: &str =
    include_str!("../../../tests/fixtures/0a2a3d3/hot-restart/successor-ready");

#[test]
fn recorded_message_round_trips_with_the_added_fields() {
    assert_eq!((HELLO, READY), (RECORDED_HELLO, RECORDED_READY));
    let (_, body) = RECORDED_MESSAGE.split_once('\n').expect("a length line");
    let message: Message = serde_json::from_str(body).expect("valid JSON");
    let written = serde_json::to_string(&message).expect("serializable");
    let state = HandoverState::from(message.state);
    let backoff = &state.backoffs[0];
    assert_eq!(
        (&*backoff.worker, backoff.left, backoff.trials),
        ("s-3", 70_899, 9)
    );
    assert_eq!(state.backoffs.len(), 1);
    assert!(message.warming.is_empty());
    assert!(message.departed.is_empty());
    // Later versions have added these two fields only.
    let end = body.strip_suffix('}').expect("an object");
    assert_eq!(written, format!(r#"{end},"warming":[],"departed":[]}}"#));
}

/// The expected text is the derived `Debug` output of version 0a2a3d3.
#[test]
fn fingerprint_text_keeps_the_recorded_field_names() {
    let class = |effect, scope, kind| Class {
        latency_objective: Span::from_micros(1),
        stretch: 0.5,
        deadline: Span::from_micros(2),
        priority_weight: 3.0,
        priority: -4,
        effect,
        scope,
        window: Span::from_micros(5),
        kind,
    };
    let settings = Settings {
        classes: vec![
            class(Effect::Safe, Scope::All, None),
            class(Effect::Keyed, Scope::Zone, Some(6)),
            class(Effect::Unsafe, Scope::Cell, None),
        ],
        tenants: vec![7.5],
        weights: Weights::Live,
        reports: Reports::Probe,
        ..Settings::default()
    };
    let expected = "Settings { dispatchers: 1, zone: 0, classes: [\
        Class { aim: 1, stretch: 0.5, deadline: 2, worth: 3.0, priority: -4, effect: Safe, scope: All, window: 5, kind: None }, \
        Class { aim: 1, stretch: 0.5, deadline: 2, worth: 3.0, priority: -4, effect: Keyed, scope: Zone, window: 5, kind: Some(6) }, \
        Class { aim: 1, stretch: 0.5, deadline: 2, worth: 3.0, priority: -4, effect: Unsafe, scope: Cell, window: 5, kind: None }], \
        tenants: [7.5], list_on_request: false, ask_every: 10000000, weights: Live, tells_start: true, in_order: false, \
        progress_every: 0, reports: Probe, may_probe: false, may_cancel: true, retry_after: true, max_retry_after: 2000000, \
        max_attempts: 6, idle_close: 60000000, connect_timeout: 120000, cross_price: 0.0, tick: 2000, cold_share: 0.3, \
        ramp: 10000000, fall_multiple: 3.0, fall_span: 3000000 }";
    assert_eq!(settings.fingerprint_form().to_string(), expected);
}
