//! The wire formats that workers send: the lines of a job stream, and load reports.
//!
//! This module only parses; it depends on no other part of the server.

use std::borrow::Cow;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use oakshed_core::facade::Report;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The size limit of a line of a job stream. No body on the platform is longer.
pub(super) const MAX_LINE_BYTES: usize = 64 << 10;

static SRV_LOAD: HeaderName = HeaderName::from_static("srv-load");

/// One line of a job stream.
#[derive(Deserialize)]
pub(super) struct Line<'a> {
    #[serde(borrow)]
    pub(super) id: Cow<'a, str>,
    #[serde(borrow)]
    pub(super) state: Cow<'a, str>,
    #[serde(borrow)]
    pub(super) result: Option<&'a RawValue>,
    pub(super) load: Option<LoadForm>,
}

/// The bytes of a result: the contents of a JSON string, or the JSON text of any other value.
pub(super) fn result_bytes(result: &RawValue) -> Option<Bytes> {
    let text = result.get();
    if !text.starts_with('"') {
        return Some(Bytes::copy_from_slice(text.as_bytes()));
    }
    serde_json::from_str::<String>(text).ok().map(Bytes::from)
}

/// The JSON form of a load report. Every field is optional.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct LoadForm {
    #[serde(alias = "outstanding")]
    inflight: Option<f64>,
    #[serde(alias = "backlog")]
    queue: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

impl From<LoadForm> for Report {
    fn from(form: LoadForm) -> Report {
        let LoadForm {
            inflight: outstanding,
            queue: backlog,
            x0: free_slots,
            x1: free_memory,
        } = form;
        Report {
            free_slots,
            free_memory,
            outstanding,
            backlog,
        }
    }
}

/// Parses the text form of a load report: `TEXT inflight=7, queue=2`. Unknown names and values that are not numbers are
/// ignored.
pub(super) fn parse_load(text: &str) -> Report {
    let mut form = LoadForm::default();
    for (name, value) in text
        .split([' ', ','])
        .filter_map(|field| field.split_once('='))
    {
        let value = value.parse().ok();
        match name {
            "inflight" | "outstanding" => form.inflight = value,
            "queue" | "backlog" => form.queue = value,
            "x0" => form.x0 = value,
            "x1" => form.x1 = value,
            _ => {}
        }
    }
    form.into()
}

/// The load report of the `srv-load` header.
pub(super) fn load_from_headers(headers: &HeaderMap) -> Option<Report> {
    headers.get(&SRV_LOAD)?.to_str().ok().map(parse_load)
}
