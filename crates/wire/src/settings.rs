//! The reader of the settings in the simulator's form (`boot-info`), which the platform's configuration
//! holds too. It owns the form and its units, and must never guess what a setting that it needs is.

use std::io;

use oakshed_core::interface::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Boot {
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
    tells_start: bool,
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
    #[serde(default)]
    second_copies: bool,
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
    handshake: f64,
    cross_zone: f64,
}

/// Milliseconds on the wire to microseconds; what is not a positive number counts as 0.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

pub(crate) fn bad(what: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// The names of what the settings hold by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants.
    pub tenants: Vec<String>,
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the machine kinds.
    pub kinds: Vec<String>,
}

/// Reads `boot-info` as settings.
pub fn settings(boot_info: &str) -> io::Result<Settings> {
    Ok(settings_and_names(boot_info)?.0)
}

/// Reads `boot-info` as settings, and the names that go with them.
pub fn settings_and_names(boot_info: &str) -> io::Result<(Settings, Names)> {
    let boot: Boot = serde_json::from_str(boot_info).map_err(|e| bad(format_args!("boot-info: {e}")))?;
    let family = &boot.family_info;
    let class = |(i, c): (usize, &Category)| -> io::Result<Class> {
        let effect = match c.idempotency.as_str() {
            "free" => Effect::Safe,
            "guarded" => Effect::Keyed,
            "single_shot" => Effect::Unsafe,
            other => return Err(bad(format_args!("boot-info: unknown idempotency '{other}'"))),
        };
        // An unknown scope is read as the narrowest, which can break no rule.
        let scope = match c.dedup_scope.as_str() {
            "all" => Scope::All,
            "zone" => Scope::Zone,
            _ => Scope::Cell,
        };
        Ok(Class {
            aim: micros(c.aim_ms),
            stretch: family.class_stretch.get(i).copied().unwrap_or(c.aim_stretch),
            deadline: micros(c.give_up_ms),
            worth: c.importance,
            priority: family.class_priority.get(i).copied().unwrap_or(0),
            effect,
            scope,
            window: micros(c.memory_span_ms),
            kind: family.class_kind.get(i).and_then(|&k| u32::try_from(k).ok()),
        })
    };
    let settings = Settings {
        dispatchers: boot.balancers,
        zone: boot.az,
        classes: boot.categories.iter().enumerate().map(class).collect::<io::Result<_>>()?,
        tenants: boot.tenants.iter().map(|t| t.quota_rps).collect(),
        list_on_request: boot.membership_mode == "on_request",
        ask_every: micros(boot.obligations.ask_every_ms),
        tells_start: family.tells_start,
        in_order: boot.family_info.queue_order == "fifo",
        progress_every: micros(family.progress_ms),
        reports: match boot.load_info.how.as_str() {
            "answers" => Reports::Answers,
            "probe" => Reports::Probe,
            _ => Reports::None,
        },
        may_probe: boot.limits.may_probe,
        may_cancel: boot.limits.cancelling,
        second_copies: boot.limits.second_copies,
        retry_after: boot.limits.retry_after,
        max_retry_after: micros(boot.limits.max_retry_after_ms),
        max_attempts: boot.limits.max_attempts,
        idle_close: micros(boot.limits.idle_close_ms),
        connect_timeout: micros(boot.limits.connect_timeout_ms),
        handshake_price: boot.prices.handshake,
        cross_price: boot.prices.cross_zone,
        tick: micros(boot.resolution_ms),
        cold_share: boot.obligations.cold_share,
        ramp: micros(boot.obligations.ramp_time_ms),
        fall_multiple: boot.obligations.fall_multiple,
        fall_span: micros(boot.obligations.fall_ms),
    };
    let names = Names {
        classes: boot.categories.into_iter().map(|c| c.name).collect(),
        tenants: boot.tenants.into_iter().map(|t| t.name).collect(),
        zones: boot.azs,
        kinds: boot.machine_types,
    };
    Ok((settings, names))
}
