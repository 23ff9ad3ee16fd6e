use super::*;
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl io::Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Operators' tools parse these lines: values of one word are bare, others are quoted.
#[test]
fn lines_have_the_documented_format() {
    let captured = Captured::default();
    let writer = captured.clone();
    let subscriber =
        tracing_subscriber::fmt().event_format(Lines).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, || {
        let none: Option<u64> = None;
        tracing::info!(name = "n0", offset = 7, mgmt = none, at = %"127.0.0.1:9", "serving");
        tracing::warn!(why = "not \"from\" a peer", state = ?Level::INFO, "vrrp dropped");
    });
    let text = String::from_utf8(captured.0.lock().unwrap().clone()).unwrap();
    let expected = "mintgate: serving name=n0 offset=7 at=127.0.0.1:9\n\
                    mintgate: vrrp dropped why=\"not 'from' a peer\" state=Level(Info)\n";
    assert_eq!(text, expected);
}
