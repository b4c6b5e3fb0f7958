//! Parser of scheduler settings in the simulator's JSON format (`boot-info`), which the platform's configuration
//! uses too.
//!
//! It converts units and rejects invalid values. Required settings have no default: parsing fails if one is
//! missing.

mod error;

use std::collections::BTreeSet;

use oakshed_core::interface::{Class, Effect, Micros, Reports, Scope, Settings, Span, Weights};
use serde::Deserialize;

pub use error::BootInfoError;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BootInfo {
    #[serde(default)]
    az: u32,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    machine_types: Vec<String>,
    balancers: u32,
    categories: Vec<Category>,
    #[serde(default)]
    membership_mode: String,
    #[serde(default)]
    family_info: FamilyInfo,
    limits: Limits,
    #[serde(default)]
    load_info: LoadInfo,
    obligations: Obligations,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    resolution_ms: f64,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    weight_kind: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Category {
    #[serde(default)]
    name: String,
    aim_ms: f64,
    give_up_ms: f64,
    idempotency: String,
    importance: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    memory_span_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Tenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct FamilyInfo {
    class_kind: Vec<i64>,
    class_priority: Vec<i64>,
    class_stretch: Vec<f64>,
    queue_order: String,
    progress_ms: f64,
    #[serde(rename = "tells-start")]
    reports_start: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    connect_timeout_ms: f64,
    #[serde(default)]
    idle_close_ms: f64,
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_ms: f64,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LoadInfo {
    how: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Obligations {
    #[serde(default)]
    ask_every_ms: f64,
    cold_share: f64,
    fall_ms: f64,
    fall_multiple: f64,
    ramp_time_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
}

/// The longest time that a setting may hold: one year. A longer one is a mistake, and sums of such times would
/// overflow.
const MAX_TIME_MS: f64 = 366.0 * 86_400_000.0;

/// Values of `membership-mode`: whether the endpoint list is sent only on request.
const MEMBERSHIP_MODES: [(&str, bool); 3] = [("", false), ("pushed", false), ("on_request", true)];

/// Values of `family-info.queue-order`: whether workers start jobs in the order of arrival.
const QUEUE_ORDERS: [(&str, bool); 4] = [
    ("", false),
    ("fifo", true),
    ("backfill", false),
    ("priority", false),
];

/// Values of `weight-kind`.
const WEIGHT_KINDS: [(&str, Weights); 5] = [
    ("", Weights::None),
    ("none", Weights::None),
    ("nominal", Weights::Size),
    ("rough", Weights::Size),
    ("live", Weights::Live),
];

/// Values of `load-info.how`.
const LOAD_REPORTS: [(&str, Reports); 4] = [
    ("", Reports::None),
    ("none", Reports::None),
    ("answers", Reports::Answers),
    ("probe", Reports::Probe),
];

/// Values of a category's `idempotency`.
const EFFECTS: [(&str, Effect); 3] = [
    ("free", Effect::Safe),
    ("guarded", Effect::Keyed),
    ("single_shot", Effect::Unsafe),
];

/// Values of a category's `dedup-scope`. If absent, the narrowest scope is used, as the safe choice.
const SCOPES: [(&str, Scope); 4] = [
    ("", Scope::Cell),
    ("all", Scope::All),
    ("zone", Scope::Zone),
    ("cell", Scope::Cell),
];

/// Converts a time in the settings. Rejects a negative one, which would otherwise be taken as 0.
fn parse_span(path: &str, ms: f64) -> Result<Span, BootInfoError> {
    if (0.0..=MAX_TIME_MS).contains(&ms) {
        Ok(Span::from_micros(ms_to_micros(ms)))
    } else {
        Err(BootInfoError::Time {
            path: path.to_owned(),
            ms,
        })
    }
}

/// Looks up the meaning of a setting that has a fixed set of values. An absent setting is an empty string.
fn parse_choice<T: Copy>(path: &str, given: &str, known: &[(&str, T)]) -> Result<T, BootInfoError> {
    let unknown_value = || BootInfoError::Choice {
        path: path.to_owned(),
        known: known
            .iter()
            .map(|&(value, _)| value.to_owned())
            .filter(|value| !value.is_empty())
            .collect(),
        given: given.to_owned(),
    };
    known
        .iter()
        .find(|(value, _)| *value == given)
        .map(|(_, meaning)| *meaning)
        .ok_or_else(unknown_value)
}

/// Rejects two entries with the same name: an edit meant for the second would be applied to the first.
fn check_unique<'a>(
    path: &'static str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), BootInfoError> {
    let mut seen = BTreeSet::new();
    match names.filter(|n| !n.is_empty()).find(|n| !seen.insert(*n)) {
        Some(name) => Err(BootInfoError::Duplicate {
            path,
            name: name.clone(),
        }),
        None => Ok(()),
    }
}

/// Rejects a per-class list that is neither empty nor as long as the list of classes: its values would be used
/// for the wrong classes.
fn check_length(path: &'static str, values: usize, classes: usize) -> Result<(), BootInfoError> {
    if values == 0 || values == classes {
        return Ok(());
    }
    Err(BootInfoError::Length {
        path,
        values,
        classes,
    })
}

/// Converts milliseconds to microseconds; a value that is not a positive number counts as 0.
#[must_use]
pub fn ms_to_micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

/// Names of the items to which [`Settings`] refers by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
}

/// Parses settings from `boot-info`.
///
/// # Errors
/// See [`settings_and_names`].
pub fn settings(boot_info: &str) -> Result<Settings, BootInfoError> {
    Ok(settings_and_names(boot_info)?.0)
}

/// Parses settings and the names that belong to them from `boot-info`.
///
/// # Errors
/// Returns an error if a field is absent, malformed, out of range or inconsistent. Its message is a single line
/// that names the field.
pub fn settings_and_names(boot_info: &str) -> Result<(Settings, Names), BootInfoError> {
    let boot: BootInfo = serde_json::from_str(boot_info)?;
    check_references(&boot)?;
    let settings = convert_settings(&boot)?;
    settings.check()?;
    let names = Names {
        classes: boot.categories.into_iter().map(|c| c.name).collect(),
        tenants: boot.tenants.into_iter().map(|t| t.name).collect(),
        zones: boot.azs,
        kinds: boot.machine_types,
    };
    Ok((settings, names))
}

fn convert_settings(boot: &BootInfo) -> Result<Settings, BootInfoError> {
    let (family, limits, obligations) = (&boot.family_info, &boot.limits, &boot.obligations);
    Ok(Settings {
        schedulers: boot.balancers,
        zone: boot.az,
        classes: boot
            .categories
            .iter()
            .enumerate()
            .map(|(index, category)| convert_class(index, category, family))
            .collect::<Result<_, _>>()?,
        tenants: boot.tenants.iter().map(|t| t.quota_rps).collect(),
        list_on_request: parse_choice("membership-mode", &boot.membership_mode, &MEMBERSHIP_MODES)?,
        poll_interval: parse_span("obligations.ask-every-ms", obligations.ask_every_ms)?,
        weights: parse_choice("weight-kind", &boot.weight_kind, &WEIGHT_KINDS)?,
        reports_start: family.reports_start,
        fifo_workers: parse_choice(
            "family-info.queue-order",
            &family.queue_order,
            &QUEUE_ORDERS,
        )?,
        progress_every: parse_span("family-info.progress-ms", family.progress_ms)?,
        reports: parse_choice("load-info.how", &boot.load_info.how, &LOAD_REPORTS)?,
        may_probe: limits.may_probe,
        may_cancel: limits.cancelling,
        retry_after: limits.retry_after,
        max_retry_after: parse_span("limits.max-retry-after-ms", limits.max_retry_after_ms)?,
        max_attempts: limits.max_attempts,
        idle_close: parse_span("limits.idle-close-ms", limits.idle_close_ms)?,
        connect_timeout: parse_span("limits.connect-timeout-ms", limits.connect_timeout_ms)?,
        cross_zone_cost: boot.prices.cross_zone,
        tick: parse_span("resolution-ms", boot.resolution_ms)?,
        cold_share: obligations.cold_share,
        ramp: parse_span("obligations.ramp-time-ms", obligations.ramp_time_ms)?,
        fall_multiple: obligations.fall_multiple,
        fall_span: parse_span("obligations.fall-ms", obligations.fall_ms)?,
    })
}

/// Rejects lists of the wrong length, indices out of range, and duplicate names.
fn check_references(boot: &BootInfo) -> Result<(), BootInfoError> {
    let family = &boot.family_info;
    let classes = boot.categories.len();
    for (path, values) in [
        ("family-info.class-kind", family.class_kind.len()),
        ("family-info.class-priority", family.class_priority.len()),
        ("family-info.class-stretch", family.class_stretch.len()),
    ] {
        check_length(path, values, classes)?;
    }
    let kinds = boot.machine_types.len() as i64;
    if let Some(&kind) = family
        .class_kind
        .iter()
        .find(|&&k| k < -1 || kinds > 0 && k >= kinds)
    {
        return Err(BootInfoError::Kind { kind, kinds });
    }
    if !boot.azs.is_empty() && boot.az as usize >= boot.azs.len() {
        return Err(BootInfoError::Zone {
            zone: boot.az,
            zones: boot.azs.len(),
        });
    }
    check_unique("categories", boot.categories.iter().map(|c| &c.name))?;
    check_unique("tenants", boot.tenants.iter().map(|t| &t.name))?;
    check_unique("azs", boot.azs.iter())?;
    check_unique("machine-types", boot.machine_types.iter())
}

/// Converts the class with this index; `family` holds the settings that are lists by class.
fn convert_class(
    index: usize,
    category: &Category,
    family: &FamilyInfo,
) -> Result<Class, BootInfoError> {
    let path = |field: &str| format!("categories[{index}].{field}");
    let effect = parse_choice(&path("idempotency"), &category.idempotency, &EFFECTS)?;
    let scope = parse_choice(&path("dedup-scope"), &category.dedup_scope, &SCOPES)?;
    Ok(Class {
        latency_objective: parse_span(&path("aim-ms"), category.aim_ms)?,
        stretch: family
            .class_stretch
            .get(index)
            .copied()
            .unwrap_or(category.aim_stretch),
        deadline: parse_span(&path("give-up-ms"), category.give_up_ms)?,
        priority_weight: category.importance,
        priority: family.class_priority.get(index).copied().unwrap_or(0),
        effect,
        scope,
        window: parse_span(&path("memory-span-ms"), category.memory_span_ms)?,
        kind: family
            .class_kind
            .get(index)
            .and_then(|&k| u32::try_from(k).ok()),
    })
}
