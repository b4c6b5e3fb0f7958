//! The adapter on wire text written for these tests.

use std::io::Cursor;

use oakshed_wire::{parse_request_id, serve, settings};

const BOOT: &str = r#"{"az":0,"balancers":1,"categories":[{"aim-ms":400.0,"give-up-ms":6000.0,
"idempotency":"free","importance":12.0},{"aim-ms":500,"give-up-ms":6000,"idempotency":"single_shot",
"importance":1}],"family-info":{"tells-start":true,"class-stretch":[2.5,1.75]},"limits":{"max-attempts":6},
"obligations":{"cold-share":0.3,"fall-ms":3000.0,"fall-multiple":3.0,"ramp-time-ms":8900.0},"unheard-of":[1]}"#;
const ID: &str = "5d3a91c4-2910-4c73-a26b-c7d7430875c9";

fn run(lines: &[String]) -> Result<String, String> {
    let mut out = Vec::new();
    let input = lines.join("\n") + "\n";
    serve(Cursor::new(input), &mut out).map_err(|e| e.to_string())?;
    Ok(String::from_utf8(out).expect("text"))
}

fn opening() -> Vec<String> {
    let boot = BOOT.replace('\n', "");
    vec![
        r#"{"what":"BATCH","clock-ms":1000.5}"#.into(),
        format!(r#"{{"what":"SPAWN","scheduler":"scheduler-0","rng-seed":7,"boot-info":{boot}}}"#),
        r#"{"what":"DIRECTORY","slot":3,"rows-in":[{"worker":"10.0.0.1:5000","hall":0,"model":0,"block":0,"condition":"active","power-hint":1}]}"#.into(),
        r#"{"what":"TOPOLOGY","scheduler":"scheduler-0","kind":"remembered","revision":4,"slot":3}"#.into(),
        r#"{"what":"OVER_TO_YOU"}"#.into(),
    ]
}

fn batch(at: f64, events: &[&str]) -> Vec<String> {
    let mut lines = vec![format!(r#"{{"what":"BATCH","clock-ms":{at}}}"#)];
    lines.extend(events.iter().map(|e| e.to_string()));
    lines.push(r#"{"what":"OVER_TO_YOU"}"#.into());
    lines
}

#[test]
fn a_request_is_sent_and_its_id_comes_back_unchanged() {
    let mut lines = opening();
    let inbound = format!(
        r#"{{"what":"INBOUND","scheduler":"scheduler-0","req":"{ID}","class":0,"cores-needed":1,"remaining-ms":6000}}"#
    );
    lines.extend(batch(
        1001.0,
        &[&inbound, r#"{"what":"NEWS_OF_TOMORROW","scheduler":"scheduler-0","x":{}}"#],
    ));
    let out = run(&lines).expect("served");
    let sent =
        format!(r#"{{"what":"FORWARD","scheduler":"scheduler-0","req":"{ID}","worker":"10.0.0.1:5000"}}"#);
    assert!(out.contains(&sent), "{out}");
    assert_eq!(out.matches(r#"{"what":"OK"}"#).count(), 2);
}

#[test]
fn every_ending_and_a_crash_are_understood() {
    for ending in ["delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"]
    {
        let mut lines = opening();
        let inbound = format!(
            r#"{{"what":"INBOUND","scheduler":"scheduler-0","req":"{ID}","class":1,"cores-needed":1,"remaining-ms":6000}}"#
        );
        lines.extend(batch(1001.0, &[&inbound]));
        let settled = format!(
            r#"{{"what":"SETTLED","scheduler":"scheduler-0","req":"{ID}","trial":0,"worker":"10.0.0.1:5000","ending":"{ending}","spent-ms":18.5,"finished":{},"feedback":{{"x0":0.4,"latency":1}}}}"#,
            ending == "delivered"
        );
        lines.extend(batch(1100.0, &[&settled, r#"{"what":"CRASH_NOW","scheduler":"scheduler-0"}"#]));
        lines.extend(batch(1200.0, &[r#"{"what":"TICK_DUE","scheduler":"scheduler-0","tag":0}"#]));
        assert!(run(&lines).is_ok(), "{ending}");
    }
}

#[test]
fn malformed_lines_are_named() {
    let cases = [
        ("{nonsense", "line 7"),
        (r#"{"what":"INBOUND","scheduler":"scheduler-0","class":0,"remaining-ms":5}"#, "'req'"),
        (r#"{"what":"SETTLED","scheduler":"scheduler-0","req":"x","trial":0,"ending":"shed"}"#, "'req'"),
        (r#"{"what":"TOPOLOGY","scheduler":"scheduler-0","kind":"sideways","slot":3}"#, "'kind'"),
        (r#"{"what":"SPAWN","scheduler":"scheduler-1","rng-seed":1}"#, "boot-info"),
        (r#"{"what":"DIRECTORY","slot":99,"rows-in":[]}"#, "slot"),
    ];
    for (line, named) in cases {
        let mut lines = opening();
        lines.extend(batch(1001.0, &[line]));
        let error = run(&lines).expect_err(line);
        assert!(error.contains(named), "{error}");
    }
}

#[test]
fn settings_are_read_with_absent_and_unknown_keys() {
    let read = settings(BOOT).expect("usable");
    assert_eq!(read.classes.len(), 2);
    assert_eq!(read.classes[0].aim, 400_000);
    assert_eq!(read.classes[1].stretch, 1.75);
    assert!(!read.may_probe && !read.second_copies);
    let error = settings(&BOOT.replace("single_shot", "perhaps")).expect_err("unknown effect");
    assert!(error.to_string().contains("perhaps"));
}

#[test]
fn only_the_wires_form_of_an_id_is_taken() {
    assert!(parse_request_id(ID).is_some());
    for wrong in ["", "5D3A91C4-2910-4c73-a26b-c7d7430875c9", "5d3a91c4_2910-4c73-a26b-c7d7430875c9"] {
        assert!(parse_request_id(wrong).is_none(), "{wrong}");
    }
}

#[test]
fn malformed_extras_of_a_request_are_taken_as_absent() {
    let answer = |extras: &str| {
        let mut lines = opening();
        let inbound = format!(
            r#"{{"what":"INBOUND","scheduler":"scheduler-0","req":"{ID}","class":0,"remaining-ms":6000{extras}}}"#
        );
        lines.extend(batch(1001.0, &[&inbound]));
        run(&lines).expect("served")
    };
    let plain = answer("");
    assert!(plain.contains("FORWARD"), "{plain}");
    for extras in [
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
        assert_eq!(answer(extras), plain, "{extras}");
    }
}
