//! Exact lines of the trace: some of their keys and values are names from the source code, and operators search for
//! them.

use super::admission::RejectReason;
use super::*;
use std::io;
use std::sync::{Arc, Mutex};

const SITE_SETTINGS: &str = r#"{"classes": [{"name": "safe", "deadlineNs": 3000000000, "effect": "retryable",
    "objectiveNs": 1000000000}], "bounds": {"mostTries": 9, "mayCancel": true},
  "contract": {"coldFrom": 0.2, "coldNs": 9000000000, "fallMultiple": 3, "fallNs": 2000000000},
  "familyInfo": {"keepNs": 9000000000, "notLoaded": "load", "loadSpanNs": 0}}"#;

#[derive(Clone, Default)]
struct CapturedOutput(Arc<Mutex<Vec<u8>>>);

impl io::Write for CapturedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The log lines written while `action` runs.
fn logged(action: impl FnOnce()) -> String {
    let captured = CapturedOutput::default();
    let writer = captured.clone();
    let lines = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::DEBUG)
        .with_target(false)
        .with_ansi(false)
        .without_time()
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(lines, action);
    String::from_utf8(captured.0.lock().unwrap().clone()).unwrap()
}

fn core() -> Core {
    Core::new(crate::settings::read_site(SITE_SETTINGS.as_bytes()).unwrap(), 7)
}

#[test]
fn rejections_are_traced_with_these_words() {
    let all = [
        RejectReason::Full,
        RejectReason::Ending,
        RejectReason::Late,
        RejectReason::Class,
        RejectReason::Shed,
        RejectReason::Unplaced,
    ];
    let text = logged(|| all.into_iter().for_each(|why| core().count_rejection("a", why)));
    let expected = ["Full", "Ending", "Late", "Class", "Shed", "Unplaced"];
    let expected: String =
        expected.iter().map(|why| format!("DEBUG refused reference=\"a\" why={why}\n")).collect();
    assert_eq!(text, expected);
}
