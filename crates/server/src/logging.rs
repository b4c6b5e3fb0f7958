//! Logging: structured events on standard error, as text or JSON.
//!
//! A text line is `oakshed:` and the message, without a timestamp, which the log collector adds. A JSON line has the
//! time, the level, the message and the fields of the event. A closed standard error loses events, and never ends the
//! program.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One line for each event: `oakshed:` and the message.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// The name of an unknown log format.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("'{0}' is neither text nor json")]
pub struct UnknownFormat(String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, UnknownFormat> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(UnknownFormat(text.to_owned())),
        }
    }
}

struct TextFormat;

/// Writes the message of an event without its fields, whose values the message contains already.
struct MessageVisitor<'a>(Writer<'a>, fmt::Result);

impl Visit for MessageVisitor<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "oakshed: {value:?}");
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static>
    FormatEvent<S, N> for TextFormat
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut visitor = MessageVisitor(writer.by_ref(), Ok(()));
        event.record(&mut visitor);
        visitor.1?;
        writeln!(writer)
    }
}

/// Starts logging to standard error. A second call has no effect.
pub fn init(format: Format) {
    // With `log_internal_errors`, a failed write to standard error would be reported by `eprintln!`, which then panics.
    let builder = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    _ = match format {
        Format::Text => {
            tracing::subscriber::set_global_default(builder.event_format(TextFormat).finish())
        }
        Format::Json => tracing::subscriber::set_global_default(
            builder
                .json()
                .flatten_event(true)
                .with_target(false)
                .finish(),
        ),
    };
}
