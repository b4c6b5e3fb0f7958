//! Tests of requests with attempts by a predecessor: a job that may have run is repeated only if its class allows it.

mod common;

use common::*;
use oakshed_core::interface::*;

#[test]
fn retry_after_a_possible_run_needs_the_class_to_allow_it() {
    for (effect, window, ago, is_retried) in [
        (Effect::Safe, 0, 10_000_000, true),
        (Effect::Unsafe, 0, 10, false),
        (Effect::Keyed, 7_500_000, 10, true),
        (Effect::Keyed, 7_500_000, 7_400_000, false),
        (Effect::Keyed, 7_500_000, 100_000_000, false),
    ] {
        let mut settings = settings();
        settings.classes[0].effect = effect;
        settings.classes[0].window = Span::from_micros(window);
        settings.classes[0].scope = Scope::All;
        let mut harness = Harness::new(settings, 6);
        harness.now += 200_000_000;
        let (_, actions) = harness.request_after_attempts(
            0,
            1.0,
            &[Earlier {
                worker: WorkerId(77),
                ago,
            }],
        );
        let is_sent = actions.iter().any(|a| matches!(a, Action::Send { .. }));
        assert_eq!(
            is_sent, is_retried,
            "{effect:?} after {ago} us: {actions:?}"
        );
        let is_failed = actions.iter().any(|a| matches!(a, Action::Fail { .. }));
        assert_eq!(is_failed, effect == Effect::Unsafe, "{actions:?}");
    }
}
