//! Connections that cannot be established, calls on them that are interrupted or short, and errors that break them.

use crate::rig::*;
use crate::{
    EADDRNOTAVAIL, ECONNRESET, EHOSTUNREACH, EINTR, EIO, ENETUNREACH, ENFILE, ENOBUFS, ETIMEDOUT,
    assert_served, faulty_daemon, plain_call,
};
use lab::faults::{Call, SHORT_TRANSFER, UNTIL_CLEARED};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// No connection can be established for a while: a call made meanwhile is answered in time, and a later one is served.
#[test]
fn calls_are_answered_while_no_connection_can_be_established_and_served_afterwards() {
    for failing in [Call::Socket, Call::Connect] {
        for errno in [ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH] {
            let worker = Worker::over_tcp();
            let daemon = faulty_daemon(&[&worker], settings());
            worker.serve(echo);
            let mut client = FrameClient::connect(daemon.listen);
            daemon.faults().fail(failing, errno, UNTIL_CLEARED).unwrap();
            let started = Instant::now();
            client.send(&plain_call(1));
            let answer = client.next().expect("an answer");
            assert!(started.elapsed() < Duration::from_millis(3_050), "{failing:?} {errno}: late");
            assert_eq!((answer.0, answer.1), (1, 1), "{failing:?} {errno}");
            assert!(daemon.faults().injected(failing).unwrap() > 0, "{failing:?} {errno}");
            daemon.faults().clear(failing).unwrap();
            client.send(&plain_call(2));
            assert_served(&mut client, 2);
        }
    }
}

/// Polls are interrupted, and reads and writes transfer one byte at a time.
#[test]
fn interrupted_waits_and_short_reads_and_writes_change_nothing() {
    let worker = Worker::over_tcp();
    let daemon = faulty_daemon(&[&worker], settings());
    worker.serve(echo);
    daemon.faults().fail(Call::Wait, EINTR, 200).unwrap();
    daemon.faults().fail(Call::Read, SHORT_TRANSFER, UNTIL_CLEARED).unwrap();
    daemon.faults().fail(Call::Write, SHORT_TRANSFER, UNTIL_CLEARED).unwrap();
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=20 {
        client.send(&plain_call(stream));
        assert_served(&mut client, stream);
    }
    assert!(daemon.faults().injected(Call::Read).unwrap() > 100);
    assert!(daemon.faults().injected(Call::Write).unwrap() > 100);
    assert!(daemon.faults().injected(Call::Wait).unwrap() > 0);
}

/// Reads and writes that are interrupted are repeated.
#[test]
fn interrupted_reads_and_writes_are_repeated() {
    let worker = Worker::over_tcp();
    let daemon = faulty_daemon(&[&worker], settings());
    worker.serve(echo);
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=20 {
        daemon.faults().fail(Call::Read, EINTR, 3).unwrap();
        daemon.faults().fail(Call::Write, EINTR, 3).unwrap();
        client.send(&plain_call(stream));
        assert_served(&mut client, stream);
    }
}

/// A complete answer and an error of its connection are read in the same turn: the answer counts, whatever the error is.
#[test]
fn an_answer_that_arrived_before_its_connection_broke_is_passed_on() {
    for errno in [ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EIO] {
        let worker = Worker::over_tcp();
        let daemon = faulty_daemon(&[&worker], settings());
        let mut client = FrameClient::connect(daemon.listen);
        client.send(&plain_call(1));
        let mut command = worker.next();
        daemon.signal("STOP");
        let line =
            json!({"verb": "200", "rid": command.request_id(), "content": "eA==", "attrs": {}}).to_string();
        command.send_bytes(format!("{line}\n").as_bytes());
        thread::sleep(Duration::from_millis(20));
        daemon.faults().fail_after(Call::Read, 1, errno, 1).unwrap();
        daemon.signal("CONT");
        assert_served(&mut client, 1);
        assert_eq!(daemon.faults().injected(Call::Read).unwrap(), 1, "errno {errno}");
        assert!(
            worker.received_nothing(),
            "errno {errno}: it was sent again although its answer had arrived"
        );
    }
}

/// A worker with small socket buffers that does not read until the test allows it.
struct SlowReader {
    at: SocketAddr,
    reads: Arc<AtomicBool>,
    /// The complete lines that it reads.
    lines: Receiver<Value>,
}

impl SlowReader {
    fn start() -> SlowReader {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 4_096).unwrap();
        let (at, reads) = (listener.local_addr().unwrap(), Arc::new(AtomicBool::new(false)));
        let (send, lines) = channel();
        let may_read = reads.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, may_read, send) = (stream.unwrap(), may_read.clone(), send.clone());
                thread::spawn(move || {
                    while !may_read.load(Ordering::Acquire) {
                        thread::sleep(Duration::from_millis(1));
                    }
                    let mut answers = stream.try_clone().unwrap();
                    for line in BufReader::new(stream).split(b'\n').map_while(Result::ok) {
                        // A truncated line is not a command.
                        let Ok(line) = serde_json::from_slice::<Value>(&line) else { return };
                        let answer =
                            json!({"verb": "200", "rid": line["rid"], "content": "eA==", "attrs": {}});
                        let _ = answers.write_all(format!("{answer}\n").as_bytes());
                        if send.send(line).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        SlowReader { at, reads, lines }
    }
}

/// A command carries the time that its client had left when the command was made. If it cannot be written completely in
/// time, it is withdrawn and the call is sent again, so that no command arrives with more time than the slack allows.
#[test]
fn a_command_that_waits_for_buffer_space_does_not_arrive_with_a_stale_time_limit() {
    let (bus, slow) = (Bus::new(), SlowReader::start());
    let mut settings = settings();
    settings["fleetSize"] = json!(100);
    let daemon = Daemon::with_faults(&[], settings, Some(bus.0.local_addr().unwrap()), |_| String::new(), 0);
    daemon.faults().fail(Call::Socket, SHORT_TRANSFER, UNTIL_CLEARED).unwrap();
    let (mut bus, _) = bus.accept();
    bus.write_all(&change(2, 9, slow.at, 0, 0)).unwrap();
    daemon.wait_counter("list_events", 2);
    let mut client = FrameClient::connect(daemon.listen);
    let sent = Instant::now();
    for stream in 1..=20 {
        let reference = format!("{stream:016x}");
        client.send(&frame(0, stream, &call("practice-check", &reference, 3_000, &[7; 16 << 10])));
    }
    thread::sleep(Duration::from_millis(800));
    // These have been written to the socket and can no longer be withdrawn.
    let handed_over = daemon.counter("sent");
    assert!(handed_over < 20, "all calls were written: the worker's buffers are too large for this test");
    // The most time that a client can have left when the other calls arrive, however busy the machine is.
    let left = 3_000u64.saturating_sub(sent.elapsed().as_millis() as u64);
    slow.reads.store(true, Ordering::Release);
    let (mut read, mut late) = (0, 0);
    while let Ok(line) = slow.lines.recv_timeout(Duration::from_millis(500)) {
        read += u64::from(line["verb"] == "go");
        if line["verb"] == "go" && read > handed_over {
            late += u64::from(line["attrs"]["ttl"].as_u64().unwrap() > left + 150);
        }
    }
    for _ in 1..=20 {
        assert_eq!(client.next().map(|(kind, ..)| kind), Some(1), "an answer for each call");
    }
    assert_eq!(late, 0, "of {read} commands, {handed_over} of which had been written");
}

/// With `--trace`, the log follows one call by its reference: its arrival, each attempt, why it ended, and why
/// connections were closed.
#[test]
fn the_trace_log_follows_a_call() {
    let worker = Worker::over_tcp();
    let daemon = faulty_daemon(&[&worker], settings());
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&plain_call(1));
    worker.next().answer("500", "");
    worker.next().answer("200", "eA==");
    assert_served(&mut client, 1);
    client.send(&plain_call(2));
    worker.next();
    client.send(&frame(2, 2, &[]));
    drop(client);
    let log = daemon.wait_log("closed connection=");
    let count = |name: &str, what: &str| {
        let reference = format!("reference={name}");
        log.lines().filter(|line| line.contains(what) && line.contains(&reference)).count()
    };
    let (first, second) = ("0000000000000001", "0000000000000002");
    assert_eq!((count(first, "mintgate: accepted"), count(second, "mintgate: accepted")), (1, 1), "{log}");
    assert_eq!((count(first, "attempt written"), count(second, "attempt written")), (2, 1), "{log}");
    assert_eq!(count(first, "attempt ended"), 2, "{log}");
    assert!(count(first, "status=Error cause=answer") == 1 && count(second, "withdrawn") == 1, "{log}");
    assert!(log.contains("answered connection=") && log.contains("verdict=served"), "{log}");
    assert!(log.contains("kind=client cause=Ended"), "{log}");
}
