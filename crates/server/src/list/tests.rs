//! Parsing and serialization of workers' weights.

use oakshed_core::facade::Entry;
use oakshed_wire::Names;

use super::{Answer, EndpointList, UpdateKind};

fn entries(answer: &Answer) -> Vec<Entry> {
    answer
        .instances
        .iter()
        .map(|i| i.entry(&Names::default()))
        .collect()
}

/// Guards against a list that is rejected as a whole because of one invalid weight, and against weights that are lost on
/// the way to the scheduler or, in a hot restart, to the successor.
#[test]
fn weights_survive_serialization_and_invalid_ones_count_as_one() {
    let instance = |n: u32, weight: &str| {
        format!(
            r#"{{"instanceId":"s-{n}","hostPort":"10.0.0.1:9000","lifecycle":"ready"{weight}}}"#
        )
    };
    let weights = [
        r#","weight":2.5"#,
        "",
        r#","weight":null"#,
        r#","weight":"large""#,
        r#","weight":[3]"#,
    ];
    let instances: Vec<String> = weights
        .iter()
        .enumerate()
        .map(|(n, w)| instance(n as u32, w))
        .collect();
    let text = format!(
        r#"{{"generation":4,"reset":true,"instances":[{}]}}"#,
        instances.join(",")
    );
    let answer = Answer::parse(text.as_bytes()).expect("a list");
    let weights: Vec<f64> = entries(&answer).iter().map(|e| e.weight).collect();
    assert_eq!(weights, [2.5, 1.0, 1.0, 1.0, 1.0]);

    let mut list = EndpointList::default();
    list.apply(&answer, UpdateKind::Snapshot);
    let text = serde_json::to_string(&list.snapshot().expect("a list")).expect("JSON");
    let again = Answer::parse(text.as_bytes()).expect("the serialized list");
    let first = entries(&again)
        .into_iter()
        .find(|e| &*e.worker == "s-0")
        .expect("an entry for s-0");
    assert_eq!(first.weight, 2.5);
}
