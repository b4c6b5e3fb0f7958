//! Compatibility of the serialized estimates and backoffs with the versions in service.

use oakshed_core::facade::{ClassEstimates, Estimates, HandoverState, WorkerBackoff};

use super::HandoverForm;

/// The text that the version of 2026-12-02 sent, before the fields were renamed.
const HANDOVER_TEXT: &str = r#"{"cap":12.5,"mean_run":400000.0,"classes":[[1000.0,2000.0,20.5]],"avoided":[["10.0.0.1:7000",1500000,2]]}"#;

fn state() -> HandoverState {
    HandoverState {
        estimates: Estimates {
            concurrency_limit: 12.5,
            mean_run: 400_000.0,
            classes: vec![ClassEstimates {
                run: 1_000.0,
                work: 2_000.0,
                served: 20.5,
            }],
        },
        backoffs: vec![WorkerBackoff {
            worker: "10.0.0.1:7000".into(),
            left: 1_500_000,
            trials: 2,
        }],
    }
}

#[test]
fn handover_state_keeps_its_serialized_form() {
    let form = HandoverForm::from(state());
    let text = serde_json::to_string(&form).expect("serializable");
    assert_eq!(text, HANDOVER_TEXT);
    let read: HandoverForm = serde_json::from_str(HANDOVER_TEXT).expect("valid JSON");
    assert_eq!(HandoverState::from(read), state());
}
