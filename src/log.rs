//! Log lines: `tracing` events, to standard error, one line each: as operators read them, or as JSON on request.

use std::fmt::{self, Write};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// `mintgate: what happened key=value ...`
    #[default]
    Lines,
    /// One JSON object a line, with time and level.
    Json,
}

/// From now on events of this process are written.
pub fn start(form: Form) {
    let all = tracing_subscriber::fmt().with_max_level(Level::INFO).with_writer(std::io::stderr);
    // A second start in one process changes nothing: the first one writes.
    let _ = match form {
        Form::Lines => all.event_format(Lines).try_init(),
        Form::Json => all.json().flatten_event(true).with_target(false).try_init(),
    };
}

struct Lines;

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut line = Line { what: String::new(), fields: String::new() };
        event.record(&mut line);
        writeln!(out, "mintgate: {}{}", line.what, line.fields)
    }
}

struct Line {
    what: String,
    fields: String,
}

impl Line {
    fn put(&mut self, name: &str, text: &str) {
        let _ = match text.contains([' ', '"']) || text.is_empty() {
            true => write!(self.fields, " {name}=\"{}\"", text.replace('"', "'")),
            false => write!(self.fields, " {name}={text}"),
        };
    }
}

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.put(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => drop(write!(self.what, "{value:?}")),
            name => self.put(name, &format!("{value:?}")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io;
    use std::sync::{Arc, Mutex};

    #[derive(Clone, Default)]
    struct Kept(Arc<Mutex<Vec<u8>>>);

    impl io::Write for Kept {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.lock().unwrap().extend_from_slice(bytes);
            Ok(bytes.len())
        }
        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Operators' tools read these lines: words as they are, texts in quotes.
    #[test]
    fn lines_are_written_as_the_on_call_page_shows_them() {
        let kept = Kept::default();
        let writer = kept.clone();
        let lines =
            tracing_subscriber::fmt().event_format(Lines).with_writer(move || writer.clone()).finish();
        tracing::subscriber::with_default(lines, || {
            let none: Option<u64> = None;
            tracing::info!(name = "n0", offset = 7, mgmt = none, at = %"127.0.0.1:9", "serving");
            tracing::warn!(why = "not \"from\" a peer", state = ?Level::INFO, "vrrp dropped");
        });
        let text = String::from_utf8(kept.0.lock().unwrap().clone()).unwrap();
        let expected = "mintgate: serving name=n0 offset=7 at=127.0.0.1:9\n\
                        mintgate: vrrp dropped why=\"not 'from' a peer\" state=Level(Info)\n";
        assert_eq!(text, expected);
    }
}
