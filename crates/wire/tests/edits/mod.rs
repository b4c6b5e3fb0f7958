//! Edits that make valid settings invalid, each with a text that the error message must contain.

/// Text in the settings, its replacement, and a part of the error message that identifies the invalid key.
pub type Edit = (&'static str, &'static str, &'static str);

/// Invalid settings of a class.
pub const CLASS_EDITS: &[Edit] = &[
    (
        r#""single_shot""#,
        r#""unknown""#,
        "categories[1].idempotency",
    ),
    (
        r#""single_shot""#,
        r#""guarded","dedup-scope":"All""#,
        "categories[1].dedup-scope",
    ),
    (
        r#""single_shot""#,
        r#""guarded","memory-span-ms":-1"#,
        "categories[1].memory-span-ms",
    ),
    (
        r#""aim-ms":400.0"#,
        r#""aim-ms":-400.0"#,
        "categories[0].aim-ms",
    ),
    (r#""aim-ms":400.0"#, r#""aim-ms":0"#, "aim"),
    (r#""aim-ms":400.0"#, r#""aim-ms":"soon""#, "line 1"),
    (r#""aim-ms":400.0"#, r#""aim-ms":1e999"#, "out of range"),
    (
        r#""aim-ms":400.0"#,
        r#""aim-ms":400,"aim-ms":500"#,
        "aim-ms",
    ),
    (
        r#""give-up-ms":6000.0"#,
        r#""give-up-ms":-6000"#,
        "categories[0].give-up-ms",
    ),
    (
        r#""give-up-ms":6000.0"#,
        r#""give-up-ms":1e300"#,
        "categories[0].give-up-ms",
    ),
    (
        r#""give-up-ms":6000.0"#,
        r#""give-up-ms":0.0001"#,
        "deadline",
    ),
    (
        r#""importance":12.0"#,
        r#""importance":-12.0"#,
        "priority weight (importance)",
    ),
];

/// Invalid settings that are given by class, and invalid references between lists.
pub const FAMILY_EDITS: &[Edit] = &[
    ("[2.5,1.75]", "[2.5,-1.75]", "stretch"),
    ("[2.5,1.75]", "[2.5,1e9]", "stretch"),
    ("[2.5,1.75]", "[2.5]", "family-info.class-stretch"),
    (
        "[2.5,1.75]",
        r#"[2.5,1.75],"class-priority":[1,2,3]"#,
        "family-info.class-priority",
    ),
    (
        "[2.5,1.75]",
        r#"[2.5,1.75],"class-kind":[0]"#,
        "family-info.class-kind",
    ),
    (
        "[2.5,1.75]",
        r#"[2.5,1.75],"class-kind":[0,-2]"#,
        "family-info.class-kind",
    ),
    (r#""az":0"#, r#""az":2,"azs":["a","b"]"#, "az 2"),
    (
        "[2.5,1.75]",
        r#"[2.5,1.75],"queue-order":"FIFO""#,
        "family-info.queue-order",
    ),
    (
        "[2.5,1.75]",
        r#"[2.5,1.75],"progress-ms":-1"#,
        "family-info.progress-ms",
    ),
    (
        r#""importance":12.0}"#,
        r#""importance":12.0,"name":"a"},{"aim-ms":4,"give-up-ms":6,"idempotency":"free","importance":1,"name":"a"}"#,
        "2 values for 3 classes",
    ),
];

/// Invalid settings of the fleet.
pub const FLEET_EDITS: &[Edit] = &[
    (r#""balancers":1"#, r#""balancers":0"#, "schedulers"),
    (
        r#""balancers":1"#,
        r#""balancers":1,"weight-kind":"guessed""#,
        "weight-kind",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"membership-mode":"on-request""#,
        "membership-mode",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"membership-mode":"on_request""#,
        "ask_every",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"load-info":{"how":"probes"}"#,
        "load-info.how",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"resolution-ms":-4"#,
        "resolution-ms",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"azs":["a","b","a"]"#,
        "azs",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"machine-types":["m","m"]"#,
        "machine-types",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"tenants":[{"name":"t","quota-rps":1},{"name":"t","quota-rps":1}]"#,
        "tenants",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"tenants":[{"name":"t","quota-rps":-1}]"#,
        "tenants",
    ),
    (
        r#""balancers":1"#,
        r#""balancers":1,"prices":{"cross-zone":-1}"#,
        "cross_price",
    ),
];

/// Invalid limits and obligations.
pub const LIMIT_EDITS: &[Edit] = &[
    (r#""max-attempts":6"#, r#""max-attempts":0"#, "max_attempts"),
    (
        r#""max-attempts":6"#,
        r#""max-attempts":6,"idle-close-ms":-5"#,
        "limits.idle-close-ms",
    ),
    (
        r#""max-attempts":6"#,
        r#""max-attempts":6,"connect-timeout-ms":-5"#,
        "limits.connect-timeout-ms",
    ),
    (
        r#""max-attempts":6"#,
        r#""max-attempts":6,"max-retry-after-ms":-5"#,
        "limits.max-retry-after-ms",
    ),
    (r#""cold-share":0.3"#, r#""cold-share":1.2"#, "cold_share"),
    (r#""cold-share":0.3"#, r#""cold-share":-0.3"#, "cold_share"),
    (
        r#""cold-share":0.3"#,
        r#""ask-every-ms":-1,"cold-share":0.3"#,
        "obligations.ask-every-ms",
    ),
    (
        r#""fall-ms":3000.0"#,
        r#""fall-ms":-3000"#,
        "obligations.fall-ms",
    ),
    (
        r#""fall-multiple":3.0"#,
        r#""fall-multiple":-3"#,
        "fall_multiple",
    ),
    (r#""fall-multiple":3.0,"#, "", "fall-multiple"),
    (
        r#""ramp-time-ms":8900.0"#,
        r#""ramp-time-ms":-8900"#,
        "obligations.ramp-time-ms",
    ),
];
