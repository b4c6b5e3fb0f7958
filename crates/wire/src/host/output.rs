//! Output lines of the simulator's protocol, written from a scheduler's actions.

use std::io::{self, Write};

use oakshed_core::interface::{Action, Micros, RequestId, WorkerId};
use rustc_hash::FxHashMap;

/// The longest timer that is sent: the protocol limits timers to just under 71 minutes.
const MAX_WAKE: Micros = 70 * 60 * 1_000_000;

/// Writes a request id as 32 lower-case hex digits in groups of 8-4-4-4-12.
fn write_request_id(out: &mut impl Write, id: RequestId) -> io::Result<()> {
    let mut text = [b'-'; 36];
    let mut shift = 128;
    for (i, byte) in text.iter_mut().enumerate() {
        if !matches!(i, 8 | 13 | 18 | 23) {
            shift -= 4;
            *byte = b"0123456789abcdef"[(id.0 >> shift) as usize & 15];
        }
    }
    out.write_all(&text)
}

/// Writes the line for an action of the scheduler with this name.
pub(super) fn write_action(
    out: &mut impl Write,
    scheduler: &str,
    action: &Action,
    worker_names: &FxHashMap<WorkerId, String>,
) -> io::Result<()> {
    let line_start = |out: &mut dyn Write, what: &str| {
        out.write_all(b"{\"what\":\"")?;
        out.write_all(what.as_bytes())?;
        out.write_all(b"\",\"scheduler\":\"")?;
        out.write_all(scheduler.as_bytes())?;
        out.write_all(b"\"")
    };
    let worker_name = |w: WorkerId| worker_names.get(&w).map_or("", String::as_str);
    let request_line_start = |out: &mut dyn Write, what: &str, id: RequestId| {
        line_start(out, what)?;
        out.write_all(b",\"req\":\"")?;
        write_request_id(&mut &mut *out, id)?;
        out.write_all(b"\"")
    };
    let to_ms = |t: Micros| t as f64 / 1000.0;
    match *action {
        Action::Send { id, worker, .. } => {
            request_line_start(out, "FORWARD", id)?;
            write!(out, ",\"worker\":\"{}\"", worker_name(worker))?;
        }
        Action::Reject { id, retry_after } => {
            request_line_start(out, "SAY_NO", id)?;
            if let Some(after) = retry_after {
                write!(out, ",\"backoff-ms\":{}", to_ms(after))?;
            }
        }
        Action::Fail { id } => request_line_start(out, "LOSE", id)?,
        Action::Cancel { id, attempt } => {
            request_line_start(out, "RECALL", id)?;
            write!(out, ",\"trial\":{attempt}")?;
        }
        Action::Probe { worker } => {
            line_start(out, "INSPECT")?;
            write!(out, ",\"worker\":\"{}\"", worker_name(worker))?;
        }
        Action::Subscribe => {
            line_start(out, "OBSERVE")?;
            out.write_all(b",\"want\":true")?;
        }
        Action::Wake { after } => {
            line_start(out, "WAKE_ME")?;
            write!(out, ",\"tag\":0,\"in-ms\":{}", to_ms(after.min(MAX_WAKE)))?;
        }
    }
    out.write_all(b"}\n")
}
