//! The committed operator's file and schema, and the reporting of faults.

use super::*;

#[test]
fn committed_schema_matches_the_types() {
    let committed = include_str!("../../../../deploy/oakshed.schema.json");
    assert!(
        committed == schema(),
        "outdated schema; run: oakshed schema > deploy/oakshed.schema.json"
    );
}

#[test]
fn committed_file_is_valid_and_enables_nothing() {
    let text = include_str!("../../../../deploy/oakshed.json");
    let operator = OperatorConfig::parse(text).expect("a valid file");
    assert_eq!(operator, OperatorConfig::default());
}

#[test]
fn each_fault_is_reported_with_its_location() {
    let faults = |text: &str| match OperatorConfig::parse(text).expect_err(text) {
        OperatorTextError::Values(faults) => faults.iter().map(ValueFault::to_string).collect(),
        error => vec![error.to_string()],
    };
    let three = faults(r#"{"jobs":{"dir":"/x","lease_ms":"soon","max_open":0},"jbos":1}"#);
    assert_eq!(three.len(), 3, "{three:?}");
    for pointer in ["/jobs/lease_ms", "/jobs/max_open", "jbos"] {
        assert!(
            three.iter().any(|f| f.contains(pointer)),
            "{pointer}: {three:?}"
        );
    }
    for (text, expected) in [
        ("{", "line 1"),
        (r#"{"jobs":{}}"#, "dir"),
        (r#"{"jobs":{"dir":""}}"#, "/jobs/dir"),
        (r#"{"jobs":{"dir":"/x","dir":"/y"}}"#, "duplicate"),
        (
            r#"{"jobs":{"dir":"/x","segment_mb":1.5}}"#,
            "/jobs/segment_mb",
        ),
        (r#"{"jobs":{"dir":"/x","max_open":-1}}"#, "/jobs/max_open"),
        ("[]", "/:"),
        (r#"{"peers":{}}"#, "listen"),
        (r#"{"peers":{"listen":"soon"}}"#, "line 1"),
        (r#"{"peers":{"listen":"0.0.0.0:7000"}}"#, "/peers/listen"),
        (r#"{"peers":{"listen":"127.0.0.1:0"}}"#, "/peers/listen"),
        (
            r#"{"peers":{"listen":"127.0.0.1:7000","join":["127.0.0.1:0"]}}"#,
            "/peers/join/0",
        ),
        (
            r#"{"peers":{"listen":"127.0.0.1:7000","members":1}}"#,
            "/peers/members",
        ),
        (
            r#"{"peers":{"listen":"127.0.0.1:7000","installation":""}}"#,
            "/peers/installation",
        ),
    ] {
        assert!(
            faults(text).iter().any(|f| f.contains(expected)),
            "{text}: {:?}",
            faults(text)
        );
    }
    let operator =
        OperatorConfig::parse(r#"{"jobs":{"dir":"/x"}}"#).expect("defaults for the rest");
    assert_eq!(operator.jobs.expect("enabled").lease_ms, 2_000);
}

#[test]
fn all_faults_of_a_file_are_reported_on_one_line() {
    let path = std::env::temp_dir().join(format!("oakshed-operator-{}.json", std::process::id()));
    let name = path.to_str().expect("a UTF-8 path");
    let line = |text: &str| {
        std::fs::write(&path, text).expect("written");
        OperatorConfig::read(name).expect_err(text).to_string()
    };
    for (text, expected) in [
        (
            r#"{"peers":{"listen":"0.0.0.0:7000","join":["127.0.0.1:7001","127.0.0.1:0"]}}"#,
            "/peers/listen: other schedulers cannot reach 0.0.0.0:7000; /peers/join/1: other schedulers cannot reach 127.0.0.1:0",
        ),
        (
            r#"{"jobs":{"dir":"/x","lease_ms":"soon","max_open":0}}"#,
            r#"/jobs/lease_ms: "soon" is not of type "integer"; /jobs/max_open: 0 is less than the minimum of 1"#,
        ),
        ("[]", r#"/: [] is not of type "object""#),
        ("{", "EOF while parsing an object at line 1 column 1"),
        (
            r#"{"peers":{"listen":"127.0.0.1:7000","key_file":"/nowhere/key"}}"#,
            "/peers/key_file: /nowhere/key: No such file or directory (os error 2)",
        ),
    ] {
        assert_eq!(line(text), format!("operator file {name}: {expected}"));
    }
    std::fs::remove_file(&path).expect("removed");
    let error = OperatorConfig::read(name)
        .expect_err("a missing file")
        .to_string();
    assert_eq!(
        error,
        format!("operator file {name}: No such file or directory (os error 2)")
    );
}
