//! Connections that cannot be made, calls on them that are interrupted or move little, and breaks of every name.

use crate::rig::*;
use crate::{EADDRNOTAVAIL, EINTR, ENETUNREACH, ENFILE, ENOBUFS, faulty, is_served, plain};
use lab::faults::{ALWAYS, Call, SHORT};
use std::time::{Duration, Instant};

/// Connections cannot be made for a while: what was called meanwhile has its answer within its time, and what is called
/// after it is served.
#[test]
fn calls_are_answered_while_no_connection_can_be_made_and_served_after_it() {
    for failing in [Call::Socket, Call::Connect] {
        for errno in [ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH] {
            let worker = Worker::agent();
            let daemon = faulty(&[&worker], settings());
            worker.serve(echo);
            let mut client = Frames::connect(daemon.listen);
            daemon.faults().fail(failing, errno, ALWAYS).unwrap();
            let begun = Instant::now();
            client.send(&plain(1));
            let answer = client.next().expect("an answer");
            assert!(begun.elapsed() < Duration::from_millis(3_050), "{failing:?} {errno}: late");
            assert_eq!((answer.0, answer.1), (1, 1), "{failing:?} {errno}");
            assert!(daemon.faults().injected(failing).unwrap() > 0, "{failing:?} {errno}");
            daemon.faults().clear(failing).unwrap();
            client.send(&plain(2));
            is_served(&mut client, 2);
        }
    }
}

/// Waits are interrupted, and reads and writes move a byte at a time.
#[test]
fn interrupted_waits_and_short_reads_and_writes_change_nothing() {
    let worker = Worker::agent();
    let daemon = faulty(&[&worker], settings());
    worker.serve(echo);
    daemon.faults().fail(Call::Wait, EINTR, 200).unwrap();
    daemon.faults().fail(Call::Read, SHORT, ALWAYS).unwrap();
    daemon.faults().fail(Call::Write, SHORT, ALWAYS).unwrap();
    let mut client = Frames::connect(daemon.listen);
    for stream in 1..=20 {
        client.send(&plain(stream));
        is_served(&mut client, stream);
    }
    assert!(daemon.faults().injected(Call::Read).unwrap() > 100);
    assert!(daemon.faults().injected(Call::Write).unwrap() > 100);
    assert!(daemon.faults().injected(Call::Wait).unwrap() > 0);
}

/// Reads that are interrupted are asked again.
#[test]
fn interrupted_reads_and_writes_are_done_again() {
    let worker = Worker::agent();
    let daemon = faulty(&[&worker], settings());
    worker.serve(echo);
    let mut client = Frames::connect(daemon.listen);
    for stream in 1..=20 {
        daemon.faults().fail(Call::Read, EINTR, 3).unwrap();
        daemon.faults().fail(Call::Write, EINTR, 3).unwrap();
        client.send(&plain(stream));
        is_served(&mut client, stream);
    }
}
