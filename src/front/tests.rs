use super::frames::{self, FrameConnection, kinds, put_frame};
use super::jsonrpc::{DEFAULT_MAX_LINE_BYTES, RpcConnection};
use super::*;
use crate::core::Core;
use crate::net::{BufferLimits, Connection, Reactor, Stream, SystemClock};
use mio::net::UnixStream;
use std::io::Write;
use std::os::unix::net::UnixStream as StdUnixStream;

/// Messages that a client sends at once.
const FLOOD_MESSAGES: usize = 1_000;

/// Sends messages on a connection of a reactor and returns how many of them the first turns of the event loop answer.
fn handled_by_turn(connection: Box<dyn Connection>, limits: BufferLimits, messages: &[u8]) -> Vec<u64> {
    let site = br#"{"fleetSize": 1, "index": 0, "classes": [], "bounds": {"mostTries": 1},
        "contract": {"coldFrom": 1, "coldNs": 1, "fallMultiple": 1, "fallNs": 1},
        "familyInfo": {"keepNs": 1, "notLoaded": "load", "loadSpanNs": 0}}"#;
    let mut core = Core::new(crate::settings::read_site(site).unwrap(), 1);
    let mut reactor = Reactor::new(SystemClock::new()).unwrap();
    let (near, mut far) = StdUnixStream::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    reactor.add(Stream::Unix(UnixStream::from_std(near)), connection, true, limits, &mut core).unwrap();
    far.write_all(messages).unwrap();
    let mut handled = vec![];
    while handled.last() != Some(&(FLOOD_MESSAGES as u64)) {
        reactor.poll_once(None, &mut core).unwrap();
        handled.push(core.counters().malformed + core.counters().turned_away_failed);
    }
    handled
}

/// No turn handles more of one connection's messages than its share, and all are handled.
fn assert_shared(handled: &[u64]) {
    let mut before = 0;
    for count in handled {
        assert!(count - before <= 2 * MAX_MESSAGES_PER_TURN as u64, "{handled:?}");
        before = *count;
    }
}

/// Guards against picture (b) of issue 52: one client with unsound messages at full speed kept the loop for 0.1 s and more,
/// so that others had their answers late. JSON-RPC front, single lines and batches.
#[test]
fn a_turn_handles_a_bounded_number_of_lines_of_one_connection() {
    let now = SystemClock::new().now();
    let limits = RpcConnection::buffer_limits(DEFAULT_MAX_LINE_BYTES);
    let connection = || Box::new(RpcConnection::new(now, DEFAULT_MAX_LINE_BYTES));
    assert_shared(&handled_by_turn(connection(), limits, "x\n".repeat(FLOOD_MESSAGES).as_bytes()));
    let batch = format!("[{}]\n", vec!["1"; 50].join(","));
    assert_shared(&handled_by_turn(connection(), limits, batch.repeat(FLOOD_MESSAGES / 50).as_bytes()));
}

/// The same on the binary front.
#[test]
fn a_turn_handles_a_bounded_number_of_frames_of_one_connection() {
    let now = SystemClock::new().now();
    let mut messages = Vec::new();
    for stream in 1..=FLOOD_MESSAGES {
        put_frame(kinds::REQUEST, stream as u32, &[&[0]], &mut messages);
    }
    let connection = Box::new(FrameConnection::new(now));
    assert_shared(&handled_by_turn(connection, frames::BUFFER_LIMITS, &messages));
}
