//! Fixture for tests that drive the state machine of durable jobs directly, with a single request class.

use oakshed_core::facade::{Facade, Micros, Settings};
use oakshed_core::interface::{Class, Effect as ClassEffect, Scope, Span};
use oakshed_jobs::machine::{Boot, Jobs, Limits, Names};
use oakshed_jobs::record::Record;

/// Time at which the tests start, in microseconds of Unix time.
pub const NOW: Micros = 1_700_000_000_000_000;
/// One second.
pub const S: Micros = 1_000_000;

/// Limits that no test reaches unless it sets others.
pub fn limits(leases: bool) -> Limits {
    Limits {
        leases,
        lease: S,
        retention: 3_600 * S,
        max_open: 10_000,
        max_jobs: 10_000,
        max_bytes: 1 << 30,
    }
}

/// Restores the state machine from a log's records, and creates a facade for it. Jobs must not run twice.
/// `next_record` is the number of the record that the state machine writes next.
pub fn restore_jobs(
    limits: Limits,
    records: Vec<(u64, Record)>,
    next_record: u64,
) -> (Jobs, Facade) {
    restore_jobs_of_class(ClassEffect::Unsafe, limits, records, next_record)
}

/// As above, for jobs of a class with another effect.
pub fn restore_jobs_of_class(
    effect: ClassEffect,
    limits: Limits,
    records: Vec<(u64, Record)>,
    next_record: u64,
) -> (Jobs, Facade) {
    let class = Class {
        latency_objective: Span::from_micros(S),
        stretch: 2.0,
        deadline: Span::from_micros(5 * S),
        priority_weight: 1.0,
        priority: 0,
        effect,
        scope: Scope::All,
        window: Span::from_micros(5 * S),
        kind: None,
    };
    let settings = Settings {
        classes: vec![class],
        ..Settings::default()
    };
    let names = Names {
        classes: vec!["transfer".into()],
        tenants: Vec::new(),
    };
    let boot = Boot { id: 1, uptime: S };
    let jobs = Jobs::restore(limits, names, records, next_record, NOW, boot);
    let facade = Facade::new(settings, 1).expect("the settings are valid");
    (jobs, facade)
}
