//! Tests of the wire adapter: batches of events in, actions out, and the settings that schedulers start with.

mod edits;

use std::io::Cursor;

use edits::{CLASS_EDITS, FAMILY_EDITS, FLEET_EDITS, LIMIT_EDITS};
use oakshed_wire::{parse_request_id, serve, settings};

/// Settings of a scheduler, including a key that the adapter does not know.
const BOOT_INFO: &str = r#"{"az":0,"balancers":1,"categories":[{"aim-ms":400.0,"give-up-ms":6000.0,
"idempotency":"free","importance":12.0},{"aim-ms":500,"give-up-ms":6000,"idempotency":"single_shot",
"importance":1}],"family-info":{"tells-start":true,"class-stretch":[2.5,1.75]},"limits":{"max-attempts":6},
"obligations":{"cold-share":0.3,"fall-ms":3000.0,"fall-multiple":3.0,"ramp-time-ms":8900.0},"unknown-key":[1]}"#;
const ID: &str = "5d3a91c4-2910-4c73-a26b-c7d7430875c9";

/// Serves the lines as input and returns the output.
fn run(lines: &[String]) -> Result<String, String> {
    let mut out = Vec::new();
    let input = lines.join("\n") + "\n";
    serve(Cursor::new(input), &mut out).map_err(|error| error.to_string())?;
    Ok(String::from_utf8(out).expect("valid UTF-8"))
}

/// Returns a batch that starts a scheduler with one worker.
fn startup_batch() -> Vec<String> {
    let boot = BOOT_INFO.replace('\n', "");
    vec![
        r#"{"what":"BATCH","clock-ms":1000.5}"#.into(),
        format!(r#"{{"what":"SPAWN","scheduler":"scheduler-0","rng-seed":7,"boot-info":{boot}}}"#),
        r#"{"what":"DIRECTORY","slot":3,"rows-in":[{"worker":"10.0.0.1:5000","hall":0,"model":0,"block":0,"condition":"active","power-hint":1}]}"#.into(),
        r#"{"what":"TOPOLOGY","scheduler":"scheduler-0","kind":"remembered","revision":4,"slot":3}"#.into(),
        r#"{"what":"OVER_TO_YOU"}"#.into(),
    ]
}

/// Returns a batch of events at a time in milliseconds.
fn batch(at_ms: f64, events: &[&str]) -> Vec<String> {
    let mut lines = vec![format!(r#"{{"what":"BATCH","clock-ms":{at_ms}}}"#)];
    lines.extend(events.iter().map(|e| e.to_string()));
    lines.push(r#"{"what":"OVER_TO_YOU"}"#.into());
    lines
}

#[test]
fn a_request_is_sent_and_its_id_comes_back_unchanged() {
    let mut lines = startup_batch();
    let inbound = format!(
        r#"{{"what":"INBOUND","scheduler":"scheduler-0","req":"{ID}","class":0,"cores-needed":1,"remaining-ms":6000}}"#
    );
    lines.extend(batch(
        1001.0,
        &[
            &inbound,
            r#"{"what":"UNKNOWN_EVENT","scheduler":"scheduler-0","x":{}}"#,
        ],
    ));
    let out = run(&lines).expect("served");
    let sent = format!(
        r#"{{"what":"FORWARD","scheduler":"scheduler-0","req":"{ID}","worker":"10.0.0.1:5000"}}"#
    );
    assert!(out.contains(&sent), "{out}");
    assert_eq!(out.matches(r#"{"what":"OK"}"#).count(), 2);
}

#[test]
fn every_ending_and_a_crash_are_accepted() {
    for ending in [
        "delivered",
        "app_error",
        "shed",
        "expired",
        "dial_failed",
        "dropped",
        "revoked",
        "unused",
    ] {
        let mut lines = startup_batch();
        let inbound = format!(
            r#"{{"what":"INBOUND","scheduler":"scheduler-0","req":"{ID}","class":1,"cores-needed":1,"remaining-ms":6000}}"#
        );
        lines.extend(batch(1001.0, &[&inbound]));
        let settled = format!(
            r#"{{"what":"SETTLED","scheduler":"scheduler-0","req":"{ID}","trial":0,"worker":"10.0.0.1:5000","ending":"{ending}","spent-ms":18.5,"finished":{},"feedback":{{"x0":0.4,"latency":1}}}}"#,
            ending == "delivered"
        );
        lines.extend(batch(
            1100.0,
            &[
                &settled,
                r#"{"what":"CRASH_NOW","scheduler":"scheduler-0"}"#,
            ],
        ));
        lines.extend(batch(
            1200.0,
            &[r#"{"what":"TICK_DUE","scheduler":"scheduler-0","tag":0}"#],
        ));
        assert!(run(&lines).is_ok(), "{ending}");
    }
}

#[test]
fn malformed_lines_are_reported() {
    let cases = [
        ("{malformed", "line 7"),
        (
            r#"{"what":"INBOUND","scheduler":"scheduler-0","class":0,"remaining-ms":5}"#,
            "'req'",
        ),
        (
            r#"{"what":"SETTLED","scheduler":"scheduler-0","req":"x","trial":0,"ending":"shed"}"#,
            "'req'",
        ),
        (
            r#"{"what":"TOPOLOGY","scheduler":"scheduler-0","kind":"unknown","slot":3}"#,
            "'kind'",
        ),
        (
            r#"{"what":"SPAWN","scheduler":"scheduler-1","rng-seed":1}"#,
            "boot-info",
        ),
        (r#"{"what":"DIRECTORY","slot":99,"rows-in":[]}"#, "slot"),
    ];
    for (line, expected) in cases {
        let mut lines = startup_batch();
        lines.extend(batch(1001.0, &[line]));
        let error = run(&lines).expect_err(line);
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn settings_are_read_with_absent_and_unknown_keys() {
    let read = settings(BOOT_INFO).expect("usable");
    assert_eq!(read.classes.len(), 2);
    assert_eq!(read.classes[0].latency_objective.as_micros(), 400_000);
    assert_eq!(read.classes[1].stretch, 1.75);
    assert!(read.reports_start);
    assert!(!read.may_probe);
}

/// Invalid settings could violate an invariant or overflow a sum of times. Each must be rejected with a message of one
/// line that identifies the key.
#[test]
fn invalid_settings_are_rejected_with_their_key() {
    let edits = [CLASS_EDITS, FAMILY_EDITS, FLEET_EDITS, LIMIT_EDITS];
    for &(from, to, key) in edits.into_iter().flatten() {
        assert!(BOOT_INFO.contains(from), "{from}");
        let error = settings(&BOOT_INFO.replacen(from, to, 1))
            .expect_err(to)
            .to_string();
        assert!(
            error.contains(key) && error.lines().count() == 1,
            "{to}: {error}"
        );
    }
    let no_classes = r#"{"balancers":1,"categories":[],"limits":{"max-attempts":6},"obligations":{"cold-share":0.3,"fall-ms":3000,"fall-multiple":3,"ramp-time-ms":8900}}"#;
    assert!(settings(no_classes)
        .expect_err("no classes")
        .to_string()
        .contains("classes"));
    let duplicate_name =
        BOOT_INFO.replace(r#""importance":12.0"#, r#""importance":12.0,"name":"a""#);
    let duplicate_name =
        duplicate_name.replace("\"importance\":1}", "\"importance\":1,\"name\":\"a\"}");
    assert!(settings(&duplicate_name)
        .expect_err("a duplicate name")
        .to_string()
        .contains("categories"));
}

#[test]
fn only_the_wire_format_of_an_id_is_accepted() {
    assert!(parse_request_id(ID).is_some());
    for invalid in [
        "",
        "5D3A91C4-2910-4c73-a26b-c7d7430875c9",
        "5d3a91c4_2910-4c73-a26b-c7d7430875c9",
    ] {
        assert!(parse_request_id(invalid).is_none(), "{invalid}");
    }
}

#[test]
fn malformed_optional_fields_of_a_request_are_ignored() {
    let output = |fields: &str| {
        let mut lines = startup_batch();
        let inbound = format!(
            r#"{{"what":"INBOUND","scheduler":"scheduler-0","req":"{ID}","class":0,"remaining-ms":6000{fields}}}"#
        );
        lines.extend(batch(1001.0, &[&inbound]));
        run(&lines).expect("served")
    };
    let without_fields = output("");
    assert!(without_fields.contains("FORWARD"), "{without_fields}");
    for fields in [
        r#","estimate-ms":"soon""#,
        r#","estimate-ms":-4"#,
        r#","estimate-ms":null"#,
        r#","partition-key":-1"#,
        r#","partition-key":[2]"#,
        r#","tenant":"orchard""#,
        r#","tenant":77"#,
        r#","mem-needed":{"gb":1}"#,
        r#","mem-needed":-2"#,
        r#","cores-needed":"many""#,
        r#","cores-needed":-1"#,
    ] {
        assert_eq!(output(fields), without_fields, "{fields}");
    }
}

/// Returns a batch that starts two schedulers, `s-0` and `s-1`, with different settings and endpoint lists.
fn two_schedulers() -> Vec<String> {
    let boot = BOOT_INFO.replace('\n', "");
    let other = boot
        .replace("400.0", "60.0")
        .replace("6000", "900")
        .replace("single_shot", "guarded")
        .replace(
            r#""balancers":1"#,
            r#""balancers":40,"tenants":[{"name":"t","quota-rps":30}]"#,
        )
        .replace(r#""cold-share":0.3"#, r#""cold-share":0.6"#);
    let mut lines = vec![r#"{"what":"BATCH","clock-ms":1000}"#.to_owned()];
    for (n, (boot, condition)) in [(&boot, "active"), (&other, "leaving")]
        .into_iter()
        .enumerate()
    {
        let row = |w: usize, condition| {
            format!(
                r#"{{"worker":"10.0.0.{w}:5000","hall":{n},"model":0,"block":{w},"condition":"{condition}","online-since-ms":{}}}"#,
                900 * w
            )
        };
        let rows = [row(1, "active"), row(2, condition), row(3, "active")].join(",");
        lines.extend([
            format!(r#"{{"what":"DIRECTORY","slot":{n},"rows-in":[{rows}]}}"#),
            format!(r#"{{"what":"SPAWN","scheduler":"s-{n}","rng-seed":{n},"boot-info":{boot}}}"#),
            format!(r#"{{"what":"TOPOLOGY","scheduler":"s-{n}","kind":"remembered","slot":{n}}}"#),
        ]);
    }
    lines.push(r#"{"what":"OVER_TO_YOU"}"#.into());
    lines
}

/// Returns the batch of one step for one of the two schedulers: a request, the start and end of an earlier one, and a
/// timer. `random` determines the scheduler and the details.
fn random_batch(step: u32, random: u32) -> Vec<String> {
    let (n, class, wait) = (random >> 30 & 1, random >> 29 & 1, random >> 20 & 63);
    let event = |what: &str, step: u32| {
        format!(
            r#"{{"what":"{what}","scheduler":"s-{n}","req":"00000000-0000-0000-0000-{step:012x}""#
        )
    };
    let ending = ["delivered", "delivered", "shed", "dropped"][(random >> 18 & 3) as usize];
    let finished = ending == "delivered";
    let request = format!(
        r#"{},"class":{class},"tenant":0,"remaining-ms":900}}"#,
        event("INBOUND", step)
    );
    // The earlier request may be one of the other scheduler, which is unknown to this one.
    let earlier = step.saturating_sub(1 + (random >> 16 & 3));
    let start = format!(r#"{},"trial":0,"topic":1}}"#, event("INTERIM", earlier));
    let end = format!(
        r#"{},"trial":0,"ending":"{ending}","finished":{finished}}}"#,
        event("SETTLED", earlier)
    );
    let tick = format!(r#"{{"what":"TICK_DUE","scheduler":"s-{n}","tag":0}}"#);
    batch(
        1001.0 + f64::from(step * 40 + wait % 40),
        &[&request, &start, &end, &tick],
    )
}

/// Returns the output lines of scheduler `n`.
fn lines_of(n: u32, out: &str) -> Vec<String> {
    let own = format!(r#""scheduler":"s-{n}""#);
    out.lines()
        .filter(|l| l.contains(&own))
        .map(str::to_owned)
        .collect()
}

/// Schedulers in one process must not share state. The output for each must be identical to the output when it is the
/// only one.
#[test]
fn schedulers_of_one_process_share_nothing() {
    let mut lines = two_schedulers();
    let mut random = 7u32;
    for step in 0..600u32 {
        // A linear congruential generator, for the same sequence in each run.
        random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        lines.extend(random_batch(step, random));
    }
    let both = run(&lines).expect("served");
    for n in 0..2 {
        let other = format!(r#""scheduler":"s-{}""#, 1 - n);
        let alone: Vec<String> = lines
            .iter()
            .filter(|l| !l.contains(&other))
            .cloned()
            .collect();
        let alone = lines_of(n, &run(&alone).expect("served"));
        let together = lines_of(n, &both);
        assert!(
            alone.len() > 300 && alone.iter().any(|l| l.contains("SAY_NO")),
            "too few lines or no rejection in {} lines",
            alone.len()
        );
        assert_eq!(
            alone, together,
            "s-{n} acts differently beside another scheduler"
        );
    }
}
