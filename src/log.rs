//! Logging: writes `tracing` events to standard error, one line each, as text or as JSON.

use std::fmt::{self, Write};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// `mintgate: message key=value ...`
    #[default]
    Lines,
    /// One JSON object per line, with time and level.
    Json,
}

/// Starts to log this process's events; those of single requests and connections only if `traced`.
pub fn start(form: Form, traced: bool) {
    let level = if traced { Level::DEBUG } else { Level::INFO };
    let all = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr);
    // A second call in one process has no effect: the first subscriber stays.
    let _ = match form {
        Form::Lines => all.event_format(Lines).try_init(),
        Form::Json => all.json().flatten_event(true).with_target(false).try_init(),
    };
}

/// Formats events as [`Form::Lines`].
struct Lines;

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut line = Line { message: String::new(), fields: String::new() };
        event.record(&mut line);
        writeln!(out, "mintgate: {}{}", line.message, line.fields)
    }
}

/// The parts of a line, collected from an event's fields.
struct Line {
    message: String,
    fields: String,
}

impl Line {
    /// Adds a field, quoted if its value is empty or contains a space or a quote.
    fn add_field(&mut self, name: &str, text: &str) {
        let _ = if text.contains([' ', '"']) || text.is_empty() {
            write!(self.fields, " {name}=\"{}\"", text.replace('"', "'"))
        } else {
            write!(self.fields, " {name}={text}")
        };
    }
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.add_field(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => drop(write!(self.message, "{value:?}")),
            name => self.add_field(name, &format!("{value:?}")),
        }
    }
}

#[cfg(test)]
mod tests;
