//! Clients that read their answers slowly: they are not late while they still read, and nothing of theirs is lost.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Body of a long answer in base64: 225,000 bytes.
const LONG_BODY_BASE64_BYTES: usize = 300_000;
/// Function whose answers are long.
const LONG: &str = "00000000000000ff";
/// Calls with long answers: more than the system's buffers take, on TCP some 4 MB.
const LONG_CALLS: u32 = 30;

/// Serves calls of [`LONG`] with long answers and echoes the others.
fn serve_long_answers(received: &ReceivedLine) -> Option<(&'static str, String)> {
    let text = received.line.to_string();
    if received.verb() == "go" && text.contains(LONG) {
        return Some(("200", "A".repeat(LONG_BODY_BASE64_BYTES)));
    }
    echo(received)
}

fn operator(folder: &Folder) -> String {
    format!("[jsonrpc]\nsocket = {:?}\nmax_clients = 2\n", folder.at("calls.sock"))
}

fn start(memory_mb: u64) -> Daemon {
    let worker = Worker::over_tcp();
    let limits = json!({"sockets": 256, "memory_mb": memory_mb});
    let daemon = Daemon::start_with_limits(&[&worker], settings(), limits, None, operator);
    worker.serve(serve_long_answers);
    daemon
}

/// Starts a daemon on whose site a worker answers a call of a function that is not loaded with a miss.
fn start_with_misses() -> Daemon {
    let worker = Worker::over_tcp();
    let mut settings = settings();
    settings["familyInfo"]["notLoaded"] = json!("miss");
    let daemon = Daemon::start_with(&[&worker], settings, None, operator);
    worker.serve(load_new_functions);
    daemon
}

fn connect(daemon: &Daemon) -> RpcClient {
    RpcClient::connect(&daemon.folder.at("calls.sock"))
}

fn rpc_line(id: u32, function: &str) -> String {
    let mut line = rpc_call(&json!(id), "practice-check", &format!("{id:016x}"), 20_000, "eA==");
    line["params"]["function"] = json!(function);
    format!("{line}\n")
}

fn frame_call(stream: u32, function: &str) -> Vec<u8> {
    let reference = format!("{stream:016x}");
    let fields = [
        ("service", "practice-check"),
        ("ref", reference.as_str()),
        ("allow", "20000"),
        ("lookup", function),
        ("spec", "memory_mb:512;lanes:2;load_ms:640"),
    ];
    frame(0, stream, &request(&fields, b"x"))
}

/// Reads at this rate until so many bytes have been read or the stream ends, and returns them.
fn read_slowly(stream: &mut impl Read, bytes_per_second: usize, most: usize) -> Vec<u8> {
    let start = Instant::now();
    let mut read = vec![];
    let mut chunk = vec![0; 32 << 10];
    while read.len() < most {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => read.extend_from_slice(&chunk[..count]),
        }
        let due = Duration::from_secs_f64(read.len() as f64 / bytes_per_second as f64);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
    read
}

/// The streams and answer codes of the frames in these bytes.
fn answered_streams(mut bytes: &[u8]) -> Vec<(u32, u8)> {
    let mut streams = vec![];
    while let Some(head) = bytes.first_chunk::<4>() {
        let length = u32::from_be_bytes(*head) as usize;
        let Some(rest) = bytes.get(4..4 + length) else { break };
        if rest[0] == 1 {
            streams.push((u32::from_be_bytes(rest[1..5].try_into().unwrap()), rest[5]));
        }
        bytes = &bytes[4 + length..];
    }
    streams.sort_unstable();
    streams
}

fn served(streams: impl Iterator<Item = u32>) -> Vec<(u32, u8)> {
    streams.map(|stream| (stream, 79)).collect()
}

/// Bytes of the frames of long answers.
const fn frame_bytes(answers: u32) -> usize {
    answers as usize * (LONG_BODY_BASE64_BYTES / 4 * 3 + 11)
}

/// Guards against review case 8: a line that its client completed in time was taken for one without an end, because the
/// client was not read while its answers were unread; the connection was closed with calls open.
#[test]
fn json_rpc_line_in_pieces_of_a_client_with_unread_answers_is_served() {
    let daemon = start(96);
    let mut client = connect(&daemon);
    let last = rpc_line(LONG_CALLS, FUNCTION);
    let (first_half, second_half) = last.split_at(last.len() / 2);
    let calls: String = (0..LONG_CALLS).map(|id| rpc_line(id, LONG)).collect();
    let stream = client.0.get_mut();
    stream.write_all(format!("{calls}{first_half}").as_bytes()).unwrap();
    daemon.wait_counter("served", u64::from(LONG_CALLS));
    stream.write_all(second_half.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    let mut served = 0;
    for _ in 0..=LONG_CALLS {
        served += u32::from(client.next()["result"]["body"].is_string());
    }
    assert_eq!((served, daemon.counter("malformed")), (LONG_CALLS + 1, 0));
}

/// The same on the binary front (review case 6).
#[test]
fn frame_in_pieces_of_a_client_with_unread_answers_is_served() {
    let daemon = start(96);
    let mut client = FrameClient::connect(daemon.listen);
    let last = frame_call(LONG_CALLS + 1, FUNCTION);
    let (first_half, second_half) = last.split_at(last.len() / 2);
    for stream in 1..=LONG_CALLS {
        client.send(&frame_call(stream, LONG));
    }
    client.send(first_half);
    daemon.wait_counter("served", u64::from(LONG_CALLS));
    client.send(second_half);
    std::thread::sleep(Duration::from_secs(3));
    let streams = (0..=LONG_CALLS).map(|_| client.next().expect("every call is answered").1);
    let mut streams: Vec<u32> = streams.collect();
    streams.sort_unstable();
    assert_eq!(streams, (1..=LONG_CALLS + 1).collect::<Vec<_>>());
    assert_eq!(daemon.counter("malformed"), 0);
}

/// Guards against review case 7: a client that still read its answers was closed as idle, with answers unwritten.
#[test]
fn client_that_still_reads_its_answers_is_not_idle() {
    let daemon = start(96);
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=LONG_CALLS {
        client.send(&frame_call(stream, LONG));
    }
    let bytes = read_slowly(&mut client.0, 400_000, frame_bytes(LONG_CALLS));
    assert_eq!(answered_streams(&bytes), served(1..=LONG_CALLS));
}

/// A client whose connection ends with an error still reads the answers written before it, at its own speed.
#[test]
fn answers_before_the_error_that_ends_a_connection_are_read_slowly() {
    let daemon = start(96);
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=LONG_CALLS {
        client.send(&frame_call(stream, LONG));
    }
    daemon.wait_counter("served", u64::from(LONG_CALLS));
    client.send(&frame(44, 99, b""));
    let bytes = read_slowly(&mut client.0, 600_000, usize::MAX);
    let mut expected = served(1..=LONG_CALLS);
    expected.insert(0, (0, 69));
    assert_eq!(answered_streams(&bytes), expected, "the error is on stream 0");
}

/// A client that leaves its answers unread gives way after a while; one that reads them does not.
#[test]
fn json_rpc_client_with_unread_answers_keeps_its_place_while_it_reads() {
    let daemon = start(96);
    let mut reading = connect(&daemon);
    let mut idle = connect(&daemon);
    let calls: String = (0..8).map(|id| rpc_line(id, LONG)).collect();
    reading.0.get_mut().write_all(calls.as_bytes()).unwrap();
    daemon.wait_counter("served", 8);
    idle.0.get_mut().write_all(rpc_line(99, FUNCTION).as_bytes()).unwrap();
    assert!(idle.next()["result"]["body"].is_string());
    let mut newcomer = connect(&daemon);
    newcomer.0.get_mut().write_all(rpc_line(100, FUNCTION).as_bytes()).unwrap();
    assert!(newcomer.next()["result"]["body"].is_string(), "the idle client gives way");
    let mut ids: Vec<Value> = (0..8).map(|_| reading.next()["id"].take()).collect();
    ids.sort_by_key(Value::as_u64);
    assert_eq!(ids, (0..8).map(|id| json!(id)).collect::<Vec<_>>());
}

/// A client that takes none of its answers is closed in the end, and its memory is freed.
#[test]
fn client_that_takes_no_output_is_closed() {
    let daemon = start(96);
    let mut stalled = FrameClient::connect(daemon.listen);
    for stream in 1..=LONG_CALLS {
        stalled.send(&frame_call(stream, LONG));
    }
    daemon.wait_counter("closed_clogged", 1);
}

/// Guards against review case 3: with little memory for unread answers, connections with open calls were closed. Now
/// every call has an answer; one that finds no memory is a failure.
#[test]
fn calls_of_slow_readers_are_answered_when_memory_for_answers_is_short() {
    const CLIENTS: u32 = 12;
    let daemon = start(32);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = FrameClient::connect(daemon.listen);
            std::thread::spawn(move || {
                for stream in 1..=LONG_CALLS {
                    let reference = number * 1000 + stream;
                    let fields = [
                        ("service", "practice-check"),
                        ("ref", &format!("{reference:016x}")),
                        ("allow", "20000"),
                        ("lookup", LONG),
                    ];
                    client.send(&frame(0, stream, &request(&fields, b"x")));
                }
                let mut streams = vec![];
                while streams.len() < LONG_CALLS as usize {
                    let Some((_, stream, payload)) = client.next() else { break };
                    streams.push((stream, payload[0]));
                    std::thread::sleep(Duration::from_millis(payload.len() as u64 / 1000));
                }
                streams
            })
        })
        .collect();
    for client in clients {
        let mut streams: Vec<u32> = client.join().unwrap().into_iter().map(|(stream, _)| stream).collect();
        streams.sort_unstable();
        assert_eq!(streams, (1..=LONG_CALLS).collect::<Vec<_>>());
    }
    assert_eq!(daemon.counter("closed_clogged"), 0);
}

/// A client that reads slowly has all its answers from a scheduler that was sent SIGTERM, as long as nobody kills it.
#[test]
fn slow_reader_has_its_answers_after_sigterm() {
    let mut daemon = start(96);
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=LONG_CALLS {
        client.send(&frame_call(stream, LONG));
    }
    daemon.wait_counter("served", u64::from(LONG_CALLS));
    daemon.signal("TERM");
    let bytes = read_slowly(&mut client.0, 600_000, usize::MAX);
    assert_eq!(answered_streams(&bytes), served(1..=LONG_CALLS));
    assert!(daemon.ends());
}

/// Serves as [`serve_long_answers`] does, but the functions of [`NEW`] are missing and take a while to load.
fn load_new_functions(received: &ReceivedLine) -> Option<(&'static str, String)> {
    let text = received.line.to_string();
    match received.verb() {
        "go" if NEW.iter().any(|function| text.contains(function)) => Some(("404", String::new())),
        "stage" if NEW.iter().any(|function| text.contains(function)) => {
            std::thread::sleep(Duration::from_millis(800));
            Some(("200", String::new()))
        }
        _ => serve_long_answers(received),
    }
}

/// Functions that are not loaded, one for each front.
const NEW: [&str; 2] = ["0000000000000abc", "0000000000000abd"];

/// Guards against review case 9: a cancellation stayed unseen while its client's answers were unread, and the call was
/// sent to a worker after it.
#[test]
fn cancelled_call_of_a_client_with_unread_answers_is_not_sent() {
    let daemon = start_with_misses();
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=LONG_CALLS {
        client.send(&frame_call(stream, LONG));
    }
    daemon.wait_counter("served", u64::from(LONG_CALLS));
    client.send(&frame_call(LONG_CALLS + 1, NEW[0]));
    daemon.wait_counter("attempts", u64::from(LONG_CALLS) + 1);
    client.send(&frame(2, LONG_CALLS + 1, &[]));
    daemon.wait_counter("withdrawn", 1);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(daemon.counter("attempts"), u64::from(LONG_CALLS) + 1, "no attempt follows a cancellation");
    for _ in 0..LONG_CALLS {
        assert_eq!(client.next().unwrap().2[0], 79);
    }
}

/// The same on the JSON-RPC front.
#[test]
fn cancelled_json_rpc_call_of_a_client_with_unread_answers_is_not_sent() {
    let daemon = start_with_misses();
    let mut client = connect(&daemon);
    let calls: String = (0..LONG_CALLS).map(|id| rpc_line(id, LONG)).collect();
    client.0.get_mut().write_all(calls.as_bytes()).unwrap();
    daemon.wait_counter("served", u64::from(LONG_CALLS));
    client.0.get_mut().write_all(rpc_line(999, NEW[1]).as_bytes()).unwrap();
    daemon.wait_counter("attempts", u64::from(LONG_CALLS) + 1);
    client.send(r#"{"jsonrpc":"2.0","method":"cancel","params":{"id":999}}"#);
    daemon.wait_counter("withdrawn", 1);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(daemon.counter("attempts"), u64::from(LONG_CALLS) + 1, "no attempt follows a cancellation");
    for _ in 0..LONG_CALLS {
        assert!(client.next()["result"]["body"].is_string());
    }
}
