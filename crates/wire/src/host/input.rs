//! Input lines of the simulator's protocol: their JSON format and conversion to scheduler events.
//!
//! An invalid line results in an error that names the field at fault.

use oakshed_core::interface::{Ending, Event, Job, ListKind, Report, RequestId, Row};
use oakshed_core::names::worker_id;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use super::LineError;
use crate::settings::ms_to_micros;

/// One input line, with the fields of all kinds of lines. Fields that a line does not have are `None`.
#[derive(Deserialize)]
pub(super) struct Line<'a> {
    #[serde(borrow)]
    pub(super) what: &'a str,
    #[serde(rename = "clock-ms")]
    pub(super) clock: Option<f64>,
    #[serde(borrow)]
    pub(super) scheduler: Option<&'a str>,
    #[serde(borrow)]
    pub(super) req: Option<&'a str>,
    #[serde(borrow)]
    pub(super) worker: Option<&'a str>,
    pub(super) class: Option<u32>,
    #[serde(default, deserialize_with = "lenient")]
    pub(super) tenant: Option<u32>,
    #[serde(rename = "cores-needed", default, deserialize_with = "lenient")]
    pub(super) slots: Option<f64>,
    #[serde(rename = "mem-needed", default, deserialize_with = "lenient")]
    pub(super) memory: Option<f64>,
    #[serde(rename = "partition-key", default, deserialize_with = "lenient")]
    pub(super) key: Option<u64>,
    #[serde(rename = "estimate-ms", default, deserialize_with = "lenient")]
    pub(super) hint: Option<f64>,
    #[serde(rename = "remaining-ms")]
    pub(super) remaining: Option<f64>,
    pub(super) trial: Option<u32>,
    #[serde(borrow)]
    pub(super) ending: Option<&'a str>,
    pub(super) finished: Option<bool>,
    pub(super) feedback: Option<Feedback>,
    pub(super) topic: Option<u32>,
    #[serde(borrow)]
    pub(super) kind: Option<&'a str>,
    pub(super) slot: Option<usize>,
    #[serde(borrow, rename = "rows-in")]
    pub(super) rows: Option<&'a RawValue>,
    #[serde(rename = "rng-seed")]
    pub(super) seed: Option<u64>,
    #[serde(borrow, rename = "boot-info")]
    pub(super) boot: Option<&'a RawValue>,
}

/// A worker's load report. `x0` and `x1` are free slots and free memory.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct Feedback {
    pub(super) x0: Option<f64>,
    pub(super) x1: Option<f64>,
    pub(super) outstanding: Option<f64>,
    pub(super) backlog: Option<f64>,
}

/// One entry of an endpoint list. `hall`, `model` and `block` are the zone, machine kind and cell.
#[derive(Deserialize)]
pub(super) struct WireRow<'a> {
    #[serde(borrow)]
    pub(super) worker: &'a str,
    #[serde(default)]
    pub(super) hall: u32,
    #[serde(default)]
    pub(super) model: u32,
    #[serde(default)]
    pub(super) block: u32,
    #[serde(borrow)]
    pub(super) condition: &'a str,
    #[serde(default, rename = "power-hint", deserialize_with = "lenient")]
    pub(super) weight: Option<f64>,
    #[serde(default, rename = "online-since-ms")]
    pub(super) online_since: f64,
}

/// Deserializes an optional field and treats a value of the wrong type as absent.
///
/// # Errors
/// Fails only if the input is not well-formed.
pub fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    from: D,
) -> Result<Option<T>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Lenient<T> {
        Value(T),
        Other(serde::de::IgnoredAny),
    }
    Ok(match Lenient::deserialize(from)? {
        Lenient::Value(value) => Some(value),
        Lenient::Other(_) => None,
    })
}

/// Parses a request id as written in the protocol: 32 lower-case hex digits in groups of 8-4-4-4-12.
#[must_use]
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let bytes = text.as_bytes();
    if bytes.len() != 36 {
        return None;
    }
    let mut value = 0u128;
    for (i, &b) in bytes.iter().enumerate() {
        let digit = match (i, b) {
            (8 | 13 | 18 | 23, b'-') => continue,
            (8 | 13 | 18 | 23, _) => return None,
            (_, b'0'..=b'9') => b - b'0',
            (_, b'a'..=b'f') => b - b'a' + 10,
            _ => return None,
        };
        value = value << 4 | u128::from(digit);
    }
    Some(RequestId(value))
}

fn parse_ending(text: &str) -> Option<Ending> {
    Some(match text {
        "delivered" => Ending::Delivered,
        "app_error" => Ending::Error,
        "shed" => Ending::Declined,
        "expired" => Ending::Expired,
        "dial_failed" => Ending::DialFailed,
        "dropped" => Ending::Dropped,
        "revoked" => Ending::Revoked,
        "unused" => Ending::Unused,
        _ => return None,
    })
}

/// The error for a line in which a field is missing or invalid.
pub(super) fn missing_field(line: &Line, field: &'static str) -> LineError {
    LineError::Missing {
        what: line.what.to_owned(),
        field,
    }
}

impl Line<'_> {
    fn request_id(&self) -> Result<RequestId, LineError> {
        self.req
            .and_then(parse_request_id)
            .ok_or_else(|| missing_field(self, "req"))
    }

    fn attempt(&self) -> Result<u32, LineError> {
        self.trial.ok_or_else(|| missing_field(self, "trial"))
    }

    fn ending(&self) -> Result<Ending, LineError> {
        self.ending
            .and_then(parse_ending)
            .ok_or_else(|| missing_field(self, "ending"))
    }

    fn report(&self) -> Option<Report> {
        self.feedback.as_ref().map(|f| Report {
            free_slots: f.x0,
            free_memory: f.x1,
            outstanding: f.outstanding,
            backlog: f.backlog,
        })
    }

    fn job(&self) -> Result<Job, LineError> {
        let no_remaining = || missing_field(self, "remaining-ms");
        Ok(Job {
            class: self.class.ok_or_else(|| missing_field(self, "class"))?,
            tenant: self.tenant,
            slots: self.slots,
            memory: self.memory,
            key: self.key,
            hint: self.hint.map(ms_to_micros).filter(|&h| h > 0),
            remaining: ms_to_micros(self.remaining.ok_or_else(no_remaining)?),
        })
    }
}

/// Converts a line to an event. Returns `None` for messages between peers and for unknown events.
pub(super) fn read_event<'a>(
    line: &Line,
    directories: &'a [Vec<Row>],
) -> Result<Option<Event<'a>>, LineError> {
    let event = match line.what {
        "TOPOLOGY" => read_list(line, directories)?,
        "INBOUND" => Event::Request {
            id: line.request_id()?,
            job: line.job()?,
            earlier: &[],
        },
        "INTERIM" => match line.topic {
            Some(1) => Event::Started {
                id: line.request_id()?,
                attempt: line.attempt()?,
            },
            Some(2) => Event::Progress {
                id: line.request_id()?,
                attempt: line.attempt()?,
            },
            _ => return Ok(None),
        },
        "SETTLED" => Event::Settled {
            id: line.request_id()?,
            attempt: line.attempt()?,
            ending: line.ending()?,
            finished: line.finished.unwrap_or(false),
            report: line.report(),
        },
        "ACK_FIRST" => Event::Streaming {
            id: line.request_id()?,
        },
        "LAPSED" => Event::Cancelled {
            id: line.request_id()?,
        },
        "STATUS_BACK" => Event::Probed {
            worker: worker_id(line.worker.ok_or_else(|| missing_field(line, "worker"))?),
            ending: line.ending()?,
            report: line.report(),
        },
        "TICK_DUE" => Event::Timer,
        _ => return Ok(None),
    };
    Ok(Some(event))
}

/// Converts a `TOPOLOGY` line, whose rows an earlier `DIRECTORY` line has stored in a slot.
pub(super) fn read_list<'a>(
    line: &Line,
    directories: &'a [Vec<Row>],
) -> Result<Event<'a>, LineError> {
    let kind = match line.kind {
        Some("changes") => ListKind::Delta,
        Some("all") => ListKind::Snapshot,
        Some("remembered") => ListKind::Cached,
        Some("refused") => ListKind::Failed,
        _ => return Err(missing_field(line, "kind")),
    };
    let rows = match kind {
        ListKind::Failed | ListKind::Overloaded => &[][..],
        _ => directories
            .get(line.slot.unwrap_or(0))
            .ok_or_else(|| missing_field(line, "slot"))?,
    };
    Ok(Event::List { kind, rows })
}
