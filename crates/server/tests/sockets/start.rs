//! The start: settings and operator files are checked, and an invalid one is reported in one line and stops it.

use std::process::Command;

use oakshed_standin::*;

use super::readiness::is_ready;
use super::starting::StartingProcess;

#[test]
fn invalid_value_is_named_in_one_line() {
    let path = config(
        "127.0.0.1:9".parse().expect("invalid address"),
        "null",
        1024,
    );
    let run = |name: &str, value: &str| {
        let mut command = Command::new(Program::binary());
        let out = command
            .arg("check")
            .env("ROUTER_CONFIG", &path)
            .env(name, value)
            .output()
            .expect("failed to run");
        (
            out.status.code(),
            String::from_utf8(out.stderr).expect("not UTF-8"),
        )
    };
    assert_eq!(run("ROUTER_NAME", "n7").0, Some(0));
    for (name, value) in [
        ("ROUTER_LISTEN", "here"),
        ("ROUTER_DISCOVERY", "10.2.0.1"),
        ("ROUTER_CONFIG", "/nowhere.json"),
    ] {
        let (code, error) = run(name, value);
        assert_eq!((code, error.lines().count()), (Some(1), 1), "{error}");
        assert!(error.contains(name), "{error}");
    }
    _ = std::fs::remove_file(path);
}

/// Unusable settings stop the start, and the error says where they are. A value must not overflow: 2^44 MB would be 0
/// bytes in 64 bits.
#[test]
fn invalid_configuration_is_rejected_with_its_place() {
    let path = config(
        "127.0.0.1:9".parse().expect("invalid address"),
        "null",
        1024,
    );
    let text = std::fs::read_to_string(&path).expect("failed to read the configuration");
    let check = |text: &str, command: &str| {
        std::fs::write(&path, text).expect("failed to write");
        let mut program = Command::new(Program::binary());
        let out = program
            .arg(command)
            .env("ROUTER_CONFIG", &path)
            .output()
            .expect("failed to run");
        (
            out.status.code(),
            String::from_utf8(out.stderr).expect("not UTF-8"),
        )
    };
    let cases = [
        (
            r#""memory_mb":192"#,
            r#""memory_mb":17592186044416"#,
            "memory_mb",
        ),
        (r#""memory_mb":192"#, r#""memory_mb":0"#, "memory_mb"),
        (r#""memory_mb":192"#, r#""memory_mb":-1"#, "line 2"),
        (
            r#""memory_mb":192"#,
            r#""memory_mb":192,"memory_mb":64"#,
            "memory_mb",
        ),
        (r#""sockets":1024"#, r#""sockets":63"#, "sockets"),
        (r#""sockets":1024"#, r#""sockets":1e99"#, "line 2"),
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"soon""#, "seed"),
        (
            r#""known":null"#,
            r#""known":{"generation":1,"instances":[7]}"#,
            "known",
        ),
        (r#""known":null"#, r#""known":7"#, "known"),
        (
            r#""listen":"127.0.0.1:0""#,
            r#""listen":"127.0.0.1\nhere""#,
            "listen",
        ),
        (r#""name":"transfer""#, r#""name":"""#, "categories"),
        (r#""name":"transfer""#, r#""name":"ready""#, "categories"),
        (r#""name":"transfer""#, r#""name":"a/b""#, "categories"),
        (
            r#""name":"transfer""#,
            r#""name":"new-plate""#,
            "categories",
        ),
        (
            r#""cold-share":0.32"#,
            r#""cold-share":-0.32"#,
            "cold_share",
        ),
        (
            r#""ramp-time-ms":9000"#,
            r#""ramp-time-ms":-9000"#,
            "ramp-time-ms",
        ),
        (r#""categories":["#, r#""categories":[],"x":["#, "classes"),
    ];
    for (from, to, place) in cases {
        assert!(text.contains(from), "{from}");
        for command in ["check", "serve"] {
            let (code, error) = check(&text.replacen(from, to, 1), command);
            assert_eq!(
                (code, error.lines().count()),
                (Some(1), 1),
                "{command} with {to}: {error}"
            );
            assert!(error.contains(place), "{command} with {to}: {error}");
        }
    }
    assert_eq!(check(&text, "check").0, Some(0));
    _ = std::fs::remove_file(path);
}

/// The process must survive when the reading end of its log is closed. Reporting that on standard error would end it.
#[test]
fn process_survives_the_closing_of_its_json_log() {
    let worker = good();
    let discovery = Discovery::new(&[("s-1", worker.address)]);
    let path = config(discovery.peer.address, "null", 1024);
    let mut process = StartingProcess::start(&path, &["--log-format", "json"]);
    let line = &process.first_line;
    assert!(
        line.starts_with('{') && line.contains(r#""sockets":1024"#),
        "{line}"
    );
    process.close_log();
    process.until_ready();
    discovery.set("s-1", "draining");
    until("the update, which is logged", || !is_ready(process.address));
    process.signal("-TERM");
    assert!(process.wait().success());
}

#[test]
fn invalid_operator_file_stops_the_start() {
    let path = std::env::temp_dir().join(format!("oakshed-operator-{}.json", std::process::id()));
    std::fs::write(&path, r#"{"jobs":{"dir":"/x","lease_ms":1},"jbos":1}"#)
        .expect("failed to write");
    let output = Command::new(Program::binary())
        .args([
            "check",
            "--operator",
            path.to_str().expect("not a UTF-8 path"),
        ])
        .env_remove("ROUTER_CONFIG")
        .output()
        .expect("failed to run");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(
        text.contains("/jobs/lease_ms") && text.contains("jbos"),
        "{text}"
    );
    _ = std::fs::remove_file(path);
}

/// The limits on schedulers must allow a fleet of a thousand, both for the addresses in `join` and for the default of
/// `members`.
#[test]
fn operator_file_may_list_a_thousand_schedulers() {
    let path = std::env::temp_dir().join(format!("oakshed-thousand-{}.json", std::process::id()));
    let join: Vec<String> = (0..1_024)
        .map(|n| format!("\"10.0.{}.{}:7000\"", n / 250, n % 250 + 1))
        .collect();
    let text = format!(
        r#"{{"peers":{{"listen":"127.0.0.1:7000","join":[{}]}}}}"#,
        join.join(",")
    );
    std::fs::write(&path, text).expect("failed to write");
    let config = config(
        "127.0.0.1:9".parse().expect("invalid address"),
        "null",
        1024,
    );
    let output = Command::new(Program::binary())
        .args([
            "check",
            "--operator",
            path.to_str().expect("not a UTF-8 path"),
        ])
        .env("ROUTER_CONFIG", &config)
        .output()
        .expect("failed to run");
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let schema = Command::new(Program::binary())
        .arg("schema")
        .output()
        .expect("failed to run")
        .stdout;
    let schema: serde_json::Value = serde_json::from_slice(&schema).expect("not JSON");
    let default_members = &schema["$defs"]["Peers"]["properties"]["members"]["default"];
    assert!(default_members.as_u64() >= Some(1_024), "{default_members}");
    std::fs::remove_file(path)
        .and_then(|()| std::fs::remove_file(config))
        .expect("failed to remove");
}
