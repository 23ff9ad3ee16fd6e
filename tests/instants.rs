//! Races between pairs of events, tested on the whole program: signals, discovery, descriptors, settings and upgrades.
//! `docs/acceptance.md` lists them all; races within a single component are tested in `tests/crossings.rs`.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use rig::*;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::Command as Program;
use std::sync::Arc;

fn request_frame(stream: u32) -> Vec<u8> {
    frame(0, stream, &call("practice-check", &format!("{stream:016x}"), 60_000, b"x"))
}

/// Suspends a process and waits until it is stopped.
fn suspend(daemon: &Daemon) {
    daemon.signal("STOP");
    let path = format!("/proc/{}/stat", daemon.child.id());
    while !std::fs::read_to_string(&path).unwrap().contains(") T ") {
        std::thread::yield_now();
    }
}

/// A worker answers twice, and the second answer arrives after the request has been sent to it again under the same id.
/// It must not be taken for the answer to the new attempt.
#[test]
fn a_second_answer_is_not_taken_for_that_of_the_next_attempt() {
    for status in ["503", "500", "404"] {
        let worker = Worker::over_tcp();
        let daemon = Daemon::start(&[&worker]);
        let mut client = FrameClient::connect(daemon.listen);
        client.send(&frame(0, 1, &call("practice-check", "9b1f03aa5c7e2d41", 60_000, b"")));
        let mut first = worker.next();
        first.answer(status, "");
        let mut again = worker.next();
        assert_eq!((again.verb(), again.request_id()), ("go", first.request_id()));
        assert_ne!(
            again.connection, first.connection,
            "{status}: on the same connection a second answer could not be told apart"
        );
        first.answer(status, "");
        // Once another request is answered, the second answer has been read.
        client.send(&frame(0, 2, &call("practice-check", "00000000000000aa", 60_000, b"")));
        let mut other = worker.next();
        assert_eq!(
            (other.verb(), other.request_id().as_str()),
            ("go", "00000000000000aa"),
            "{status}: there must be no third attempt"
        );
        other.answer("200", "eA==");
        assert_eq!(client.next(), Some((1, 2, b"\x4f\0x".to_vec())));
        again.answer("200", "eQ==");
        assert_eq!(client.next(), Some((1, 1, b"\x4f\0y".to_vec())), "{status}");
        assert!(worker.received_nothing(), "{status}");
    }
}

/// A request that arrives between the last poll of the sockets and the end of the process counts as received and is
/// answered. The daemon is suspended until a second daemon, which was told to end later, has ended.
#[test]
fn a_request_in_the_socket_buffer_at_the_end_is_answered() {
    let worker = Worker::over_tcp();
    let (mut daemon, mut other) = (Daemon::start(&[&worker]), Daemon::start(&[&worker]));
    worker.serve(echo);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&frame(6, 9, &[0]));
    assert_eq!(client.next(), Some((7, 9, vec![79, 0])));
    let waiting = TcpStream::connect(daemon.listen).unwrap();
    daemon.signal("TERM");
    assert_eq!(client.next(), Some((9, 0, vec![])));
    suspend(&daemon);
    other.signal("TERM");
    assert!(other.ends());
    client.send(&request_frame(1));
    daemon.signal("CONT");
    loop {
        match client.next() {
            Some((9, ..)) => {}
            answer => {
                break assert_eq!(answer.map(|(_, stream, payload)| (stream, payload[0])), Some((1, 66)));
            }
        }
    }
    drop(waiting);
    assert!(daemon.ends());
}

/// SIGHUP while the files are read at the start does not end the process; the files are read again.
#[test]
fn sighup_while_the_configuration_is_first_read_reloads_it() {
    let worker = Worker::over_tcp();
    let template = Daemon::start(&[&worker]);
    let folder = Arc::new(Folder::new());
    let path = folder.at("config.json");
    assert!(Program::new("mkfifo").arg(&path).status().unwrap().success());
    let mut daemon = Daemon::spawn(folder.clone(), template.config.clone(), None);
    // Opening blocks until the daemon opens the pipe; the daemon then waits for its contents.
    let mut pipe = std::fs::File::options().write(true).open(&path).unwrap();
    std::fs::write(folder.at("new.json"), template.config.to_string()).unwrap();
    std::fs::rename(folder.at("new.json"), &path).unwrap();
    daemon.signal("HUP");
    pipe.write_all(template.config.to_string().as_bytes()).unwrap();
    drop(pipe);
    daemon.serves();
    daemon.wait_log("mintgate: reloaded");
}

/// Discovery skips an event: the missing one is requested once. If it is skipped again, it does not exist.
#[test]
fn an_event_that_discovery_skips_is_requested() {
    let (first, second, bus) = (Worker::over_tcp(), Worker::over_tcp(), Bus::new());
    let daemon =
        Daemon::start_with(&[&first], rig::settings(), Some(bus.0.local_addr().unwrap()), |_| String::new());
    let (mut feed, offset) = bus.accept();
    assert_eq!(offset, 1);
    feed.write_all(&[event(2, 2, &second, 0), event(4, 1, &first, 1)].concat()).unwrap();
    let (mut feed, offset) = bus.accept();
    assert_eq!(offset, 2, "the last event without a gap");
    feed.write_all(&[event(3, 2, &second, 1), event(4, 1, &first, 1), event(7, 2, &second, 0)].concat())
        .unwrap();
    let (mut feed, offset) = bus.accept();
    assert_eq!(offset, 4);
    feed.write_all(&event(7, 2, &second, 0)).unwrap();
    daemon.wait_counter("list_events", 5);
    let lines = second.serve(echo);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!(count_by_verb(&lines)["go"], 1);
    assert!(first.received_nothing(), "it is draining");
}

/// Idle clients use every descriptor available to clients while discovery is down. The daemon still connects to
/// discovery, applies its events and reaches the worker that it lists.
#[test]
fn discovery_and_workers_are_reached_while_clients_use_all_their_descriptors() {
    let (worker, at) = (Worker::over_tcp(), TcpListener::bind("127.0.0.78:0").unwrap().local_addr().unwrap());
    let mut daemon = {
        let folder = Folder::new();
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "seed": "7",
            "settings": rig::settings(), "limits": {"sockets": 96}, "bus": at.to_string()});
        std::fs::write(folder.at("config.json"), config.to_string()).unwrap();
        Daemon::spawn(Arc::new(folder), config, None)
    };
    daemon.serves();
    let mut idle: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(daemon.listen).unwrap()).collect();
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&frame(6, 9, &[0]));
    assert_eq!(client.next(), Some((7, 9, vec![79, 0])), "ready nevertheless");
    let bus = Bus(TcpListener::bind(at).unwrap());
    let (mut feed, _) = bus.accept();
    idle.extend((0..200).map(|_| TcpStream::connect(daemon.listen).unwrap()));
    feed.write_all(&event(1, 1, &worker, 0)).unwrap();
    daemon.wait_counter("list_events", 1);
    worker.serve(echo);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    let held = std::fs::read_dir(format!("/proc/{}/fd", daemon.child.id())).unwrap().count();
    assert!(held <= 96, "{held} descriptors");
}

/// `accept` fails for lack of descriptors while clients wait, and epoll reports those clients only once. They are
/// accepted as soon as a descriptor is free, even if no other client connects.
#[test]
fn a_client_that_found_no_descriptor_is_accepted_later() {
    let worker = Worker::over_tcp();
    let template = Daemon::start(&[&worker]);
    worker.serve(echo);
    let mut daemon = template.spawn_with_descriptor_limit(40);
    daemon.serves();
    let mut clients: Vec<FrameClient> = (0..60).map(|_| FrameClient::connect(daemon.listen)).collect();
    daemon.wait_log("accept failed");
    let last = clients.last_mut().unwrap();
    last.send(&request_frame(1));
    assert_eq!(last.next(), Some((1, 1, vec![79, 0, b'x'])));
}

/// A client sends a malformed frame: its connection ends, and its open requests are cancelled at once.
#[test]
fn requests_on_a_connection_with_malformed_input_are_cancelled() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start(&[&worker]);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    assert_eq!(worker.next().verb(), "go");
    client.send(&[0; 4]);
    assert_eq!(client.next(), Some((1, 0, vec![69, 0])));
    assert_eq!(daemon.counter("withdrawn"), 1, "before the client has closed the connection");
    assert_eq!(worker.next().verb(), "halt");
}

/// A cancel frame (type 2) for a stream that was never opened, has been answered or was already cancelled has no
/// effect.
#[test]
fn an_unneeded_cancel_has_no_effect() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start(&[&worker]);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&[frame(2, 7, &[]), request_frame(1)].concat());
    worker.next().answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    client.send(
        &[frame(2, 1, &[]), request_frame(2), frame(2, 2, &[]), frame(2, 2, &[]), request_frame(3)].concat(),
    );
    let mut received = worker.next();
    assert_eq!(received.request_id(), format!("{:016x}", 3), "the second request was never sent");
    received.answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 3, vec![79, 0, b'x'])));
    assert_eq!(daemon.counter("withdrawn"), 1);
}

/// A request and the end of its client's connection arrive in one read: the request is not sent to a worker, on either
/// front.
#[test]
fn a_request_read_together_with_its_clients_close_is_not_sent() {
    let worker = Worker::over_tcp();
    let operator = |folder: &Folder| format!("[jsonrpc]\nsocket = {:?}\n", folder.at("rpc.sock"));
    let daemon = Daemon::start_with(&[&worker], rig::settings(), None, operator);
    let mut client = FrameClient::connect(daemon.listen);
    suspend(&daemon);
    client.send(&request_frame(1));
    drop(client);
    let mut rpc = RpcClient::connect(&daemon.folder.at("rpc.sock"));
    rpc.send(&rpc_call(&json!(1), "practice-check", "00000000000000aa", 60_000, "eA==").to_string());
    drop(rpc);
    daemon.signal("CONT");
    daemon.wait_counter("withdrawn", 2);
    assert_eq!((daemon.counter("taken"), daemon.counter("sent")), (2, 0));
    assert!(worker.received_nothing());
}

/// A new configuration is loaded between the attempts of a request. The request keeps the class under which it was
/// accepted, whose deduplication window has passed; a request that arrives later has the new class.
#[test]
fn a_request_keeps_the_class_under_which_it_was_accepted() {
    let worker = Worker::over_tcp();
    let mut settings = rig::settings();
    settings["classes"][1]["repeatWindowNs"] = json!(1);
    let daemon = Daemon::start_with(&[&worker], settings, None, |_| String::new());
    let mut client = FrameClient::connect(daemon.listen);
    let keyed =
        |stream: u32| frame(0, stream, &call("credit-submit", &format!("{stream:016x}"), 60_000, b"x"));
    client.send(&keyed(1));
    let first = worker.next();
    let mut config = daemon.config.clone();
    config["settings"]["classes"][1]["effect"] = json!("retryable");
    assert_eq!(daemon.reload(&config.to_string()), "offset=1");
    client.send(&keyed(2));
    let second = worker.next();
    first.end();
    assert_eq!(
        client.next().map(|(_, stream, payload)| (stream, payload[0])),
        Some((1, 66)),
        "the first request is not retried"
    );
    second.end();
    let mut again = worker.next();
    assert_eq!(
        (again.verb(), again.request_id()),
        ("go", second.request_id()),
        "the second request may be retried"
    );
    again.answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'x'])));
}

/// A worker is replaced by another at the same address while connections to the old one are still open. Nothing new is
/// sent on those, and requests open there are still answered.
#[test]
fn a_new_worker_at_an_old_address_gets_new_connections() {
    let (worker, bus) = (Worker::over_tcp(), Bus::new());
    let daemon =
        Daemon::start_with(&[&worker], rig::settings(), Some(bus.0.local_addr().unwrap()), |_| String::new());
    let (mut feed, _) = bus.accept();
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    worker.next().answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    client.send(&request_frame(2));
    let mut old = worker.next();
    // A complete list without the old worker, while a request is in flight there.
    let mut list = event(2, 9, &worker, 0);
    list[12] = 1;
    feed.write_all(&list).unwrap();
    daemon.wait_counter("list_events", 2);
    client.send(&request_frame(3));
    let mut new = worker.next();
    assert!(new.connection > old.connection, "on a new connection");
    new.answer("200", "eg==");
    assert_eq!(client.next(), Some((1, 3, vec![79, 0, b'z'])));
    old.answer("200", "eQ==");
    assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'y'])));
}

/// The old and the new process of an upgrade are one scheduler with one rate limit on load requests. A load request
/// that the old process sent after it has handed over its state would be missing from the new one's count.
#[test]
fn both_processes_of_an_upgrade_share_one_load_rate_limit() {
    let worker = Worker::over_tcp();
    let mut settings = rig::settings();
    settings["familyInfo"]["notLoaded"] = json!("miss");
    settings["familyInfo"]["loadPart"] = json!(0.0);
    settings["familyInfo"]["loadSpanNs"] = json!(600_000_000_000u64);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Arc::new(Folder::new());
    let config = json!({"name": "n0", "listen": listener.local_addr().unwrap().to_string(), "mgmt": "127.0.0.1:0", "seed": "7",
        "settings": settings, "limits": {"sockets": 256}, "known": {"offset": 1, "batch": [
            {"offset": 1, "topology": {"rev": 1, "all": true, "targets": [worker_record(1, worker.address(), "SERVING")]}}]}});
    std::fs::write(folder.at("config.json"), config.to_string()).unwrap();
    let mut old = Daemon::spawn(folder, config, Some(&listener));
    old.serves();
    // Each function is answered with a miss until it has been loaded.
    let staged = std::sync::Mutex::new(std::collections::BTreeSet::new());
    let lines = worker.serve(move |received| {
        let name = received.line["attrs"]["name"].as_str().unwrap_or_default().to_owned();
        match received.verb() {
            "stage" => {
                staged.lock().unwrap().insert(name);
                Some(("200", String::new()))
            }
            "go" if staged.lock().unwrap().contains(&name) => Some(("200", "eA==".into())),
            "go" => Some(("404", String::new())),
            _ => None,
        }
    });
    let send_and_wait = |client: &mut FrameClient, stream: u32| {
        let (reference, function) = (format!("{stream:016x}"), format!("{:016x}", 0xf0 + stream));
        let list =
            [("service", "practice-check"), ("ref", &reference), ("allow", "2000"), ("lookup", &function)];
        client.send(&frame(0, stream, &request(&list, b"x")));
        client.next().unwrap().2[0]
    };
    let mut client = FrameClient::connect(listener.local_addr().unwrap());
    assert_eq!(send_and_wait(&mut client, 1), 79);
    let mut new = old.spawn_beside(&listener);
    new.serves();
    old.wait_log("upgrade listener=closed");
    let old_verdicts = [2, 3].map(|stream| send_and_wait(&mut client, stream));
    let mut client = FrameClient::connect(listener.local_addr().unwrap());
    let new_verdicts = [4, 5, 6].map(|stream| send_and_wait(&mut client, stream));
    assert!(
        count_by_verb(&lines)["stage"] <= 3,
        "the site allows three loads: {old_verdicts:?} {new_verdicts:?}"
    );
    assert_eq!(new_verdicts, [79, 79, 66], "the new process may use what is left of the limit");
}

/// A worker closes an idle connection while a request is written to it. The request may have run and is retried on a
/// new connection inside its deduplication window, in whichever order the daemon sees the two events.
#[test]
fn a_request_written_while_its_worker_closes_is_retried() {
    for close_first in [true, false] {
        let worker = Worker::over_tcp();
        let daemon = Daemon::start(&[&worker]);
        let mut client = FrameClient::connect(daemon.listen);
        let keyed =
            |stream: u32| frame(0, stream, &call("credit-submit", &format!("{stream:016x}"), 2900, b"x"));
        client.send(&keyed(1));
        let mut received = worker.next();
        received.answer("200", "eA==");
        assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
        suspend(&daemon);
        if close_first {
            received.end();
        }
        client.send(&keyed(2));
        if !close_first {
            received.end();
        }
        daemon.signal("CONT");
        let mut again = worker.next();
        assert!(again.connection > received.connection);
        again.answer("200", "eQ==");
        assert_eq!(client.next(), Some((1, 2, vec![79, 0, b'y'])), "close first: {close_first}");
        assert!(worker.received_nothing());
    }
}

/// SIGTERM, SIGHUP and another SIGTERM arrive while one request is in flight, one is half read, one is about to be
/// retried and one has not arrived yet: each is answered.
#[test]
fn requests_received_before_the_end_are_all_answered() {
    let worker = Worker::over_tcp();
    let mut daemon = Daemon::start(&[&worker]);
    let [mut out, mut half, mut again, mut late] = [(); 4].map(|()| FrameClient::connect(daemon.listen));
    for client in [&mut half, &mut again, &mut late] {
        client.send(&frame(6, 9, &[0]));
        assert_eq!(client.next(), Some((7, 9, vec![79, 0])));
    }
    out.send(&request_frame(1));
    let mut first = worker.next();
    let whole = request_frame(2);
    half.send(&whole[..20]);
    again.send(&request_frame(3));
    let mut third = worker.next();
    ["TERM", "HUP", "TERM"].into_iter().for_each(|name| daemon.signal(name));
    for client in [&mut out, &mut half, &mut again, &mut late] {
        assert_eq!(client.next(), Some((9, 0, vec![])));
    }
    third.answer("503", "");
    half.send(&whole[20..]);
    late.send(&request_frame(4));
    let mut later = FrameClient::connect(daemon.listen);
    later.send(&request_frame(5));
    for _ in 0..4 {
        worker.next().answer("200", "eA==");
        // The order does not matter.
    }
    first.answer("200", "eQ==");
    assert_eq!(out.next(), Some((1, 1, vec![79, 0, b'y'])));
    for (client, stream) in [(&mut half, 2), (&mut again, 3), (&mut late, 4), (&mut later, 5)] {
        assert_eq!(client.next(), Some((1, stream, vec![79, 0, b'x'])));
    }
    assert!(daemon.ends());
    assert!(daemon.wait_log("mintgate: ended").contains(" served=5 "));
}

/// Discovery sends half a frame and stops, closes several connections, and repeats an earlier event. Each time the
/// daemon reconnects and requests what follows the last complete event; a repeated event is ignored.
#[test]
fn discovery_is_requested_from_the_last_complete_event() {
    let (first, second, bus) = (Worker::over_tcp(), Worker::over_tcp(), Bus::new());
    let daemon =
        Daemon::start_with(&[&first], rig::settings(), Some(bus.0.local_addr().unwrap()), |_| String::new());
    let (mut feed, _) = bus.accept();
    let half = event(3, 1, &first, 1);
    feed.write_all(&[&event(2, 2, &second, 0)[..], &half[..half.len() - 1]].concat()).unwrap();
    // The connection stays open, but nothing more is sent.
    let (mut next, offset) = bus.accept();
    assert_eq!(offset, 2);
    next.write_all(&event(1, 2, &second, 2)).unwrap();
    drop(next);
    for _ in 0..5 {
        let (closed, offset) = bus.accept();
        assert_eq!(offset, 2);
        drop(closed);
    }
    let (mut last, offset) = bus.accept();
    assert_eq!(offset, 2);
    last.write_all(&half).unwrap();
    daemon.wait_counter("list_events", 3);
    let lines = second.serve(echo);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'x'])));
    assert_eq!(
        count_by_verb(&lines)["go"],
        1,
        "the repeated event removed no worker, and the first one is draining"
    );
    drop(feed);
}

/// A client that still sends requests after all clients have been told to leave is rejected at once, so that no new
/// request could be left unanswered by SIGKILL.
#[test]
fn requests_after_all_clients_were_told_to_leave_are_rejected() {
    let worker = Worker::over_tcp();
    let mut daemon = Daemon::start(&[&worker]);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    let mut received = worker.next();
    daemon.signal("TERM");
    assert_eq!(client.next(), Some((9, 0, vec![])));
    let mut late = FrameClient::connect(daemon.listen);
    late.send(&request_frame(2));
    worker.next().answer("200", "eA==");
    assert_eq!(late.next(), Some((1, 2, vec![79, 0, b'x'])), "it arrived soon enough");
    assert_eq!(late.next(), Some((9, 0, vec![])));
    late.send(&request_frame(3));
    assert_eq!(late.next().map(|(_, stream, payload)| (stream, payload[0])), Some((3, 66)));
    assert!(worker.received_nothing());
    received.answer("200", "eQ==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'y'])), "the outstanding request is still answered");
    assert!(daemon.ends());
}

/// After SIGTERM, the connection breaks under a keyed request that may have run and whose deduplication window has
/// passed. It is not retried, and its client is answered before the process ends.
#[test]
fn a_keyed_request_that_may_have_run_is_answered_before_the_end() {
    let worker = Worker::over_tcp();
    let mut settings = rig::settings();
    settings["classes"][1]["repeatWindowNs"] = json!(1);
    let mut daemon = Daemon::start_with(&[&worker], settings, None, |_| String::new());
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&frame(0, 1, &call("credit-submit", "00000000000000aa", 60_000, b"x")));
    let received = worker.next();
    daemon.signal("TERM");
    assert_eq!(client.next(), Some((9, 0, vec![])));
    received.end();
    assert_eq!(client.next().map(|(_, stream, payload)| (stream, payload[0])), Some((1, 66)));
    assert!(daemon.ends());
    assert!(worker.received_nothing());
}

/// A new configuration allows fewer descriptors than are in use: clients with open requests keep their connections, and
/// new clients are accepted.
#[test]
fn limits_below_the_descriptors_in_use_close_no_active_connection() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start(&[&worker]);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&request_frame(1));
    let mut received = worker.next();
    let _idle: Vec<TcpStream> = (0..120).map(|_| TcpStream::connect(daemon.listen).unwrap()).collect();
    let mut config = daemon.config.clone();
    config["limits"]["sockets"] = json!(64);
    assert_eq!(daemon.reload(&config.to_string()), "offset=1");
    let mut other = FrameClient::connect(daemon.listen);
    other.send(&request_frame(2));
    worker.next().answer("200", "eA==");
    assert_eq!(other.next(), Some((1, 2, vec![79, 0, b'x'])));
    received.answer("200", "eQ==");
    assert_eq!(client.next(), Some((1, 1, vec![79, 0, b'y'])));
}

/// A request is in the socket buffer while the daemon is suspended: the worker is given the time that its client has
/// left, and a request that has expired by then is not started.
#[test]
fn a_request_from_the_socket_buffer_has_no_more_time_than_its_client() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start(&[&worker]);
    let mut client = FrameClient::connect(daemon.listen);
    client.send(&frame(0, 1, &call("practice-check", "00000000000000aa", 3_000, b"x")));
    worker.next().answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, b"\x4f\0x".to_vec())));
    suspend(&daemon);
    let sent = std::time::Instant::now();
    client.send(&frame(0, 2, &call("practice-check", "00000000000000bb", 3_000, b"x")));
    client.send(&frame(0, 3, &call("practice-check", "00000000000000cc", 500, b"x")));
    std::thread::sleep(std::time::Duration::from_millis(800));
    // At least this much time has passed, however busy the machine is.
    let left = 3_000 - sent.elapsed().as_millis() as u64;
    daemon.signal("CONT");
    let mut received = worker.next();
    let ttl_ms = received.line["attrs"]["ttl"].as_u64().unwrap();
    assert_eq!(received.request_id(), "00000000000000bb");
    assert!(ttl_ms <= left + 150, "ttl {ttl_ms} ms, {left} ms left");
    received.answer("200", "eA==");
    let mut answers = [client.next().unwrap(), client.next().unwrap()];
    answers.sort();
    assert_eq!((answers[0].1, answers[0].2[0]), (2, 79));
    assert_eq!((answers[1].1, answers[1].2[0]), (3, 66), "its client no longer waits for it");
    assert!(worker.received_nothing());
}

/// The same for a client that connects while the daemon is suspended.
#[test]
fn a_request_on_a_connection_that_waited_for_accept_has_no_more_time_than_its_client() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start(&[&worker]);
    suspend(&daemon);
    let mut client = FrameClient::connect(daemon.listen);
    let sent = std::time::Instant::now();
    client.send(&frame(0, 1, &call("practice-check", "00000000000000bb", 3_000, b"x")));
    std::thread::sleep(std::time::Duration::from_millis(800));
    // At least this much time has passed, however busy the machine is.
    let left = 3_000 - sent.elapsed().as_millis() as u64;
    daemon.signal("CONT");
    let mut received = worker.next();
    let ttl_ms = received.line["attrs"]["ttl"].as_u64().unwrap();
    assert!(ttl_ms <= left + 150, "ttl {ttl_ms} ms, {left} ms left");
    received.answer("200", "eA==");
    assert_eq!(client.next(), Some((1, 1, b"\x4f\0x".to_vec())));
}

/// The opposite case: a client that has been connected for a long time has its full time from when it sends a request.
#[test]
fn a_request_sent_late_on_a_connection_has_its_full_time() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start(&[&worker]);
    let mut client = FrameClient::connect(daemon.listen);
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    client.send(&frame(0, 1, &call("practice-check", "00000000000000bb", 3_000, b"x")));
    let ttl_ms = worker.next().line["attrs"]["ttl"].as_u64().unwrap();
    assert!(ttl_ms > 2_700, "ttl {ttl_ms} ms of 3,000");
}

/// Clients wait on a listening socket that outlives its process until another process takes it over. How long they have
/// waited is unknown, so their requests are rejected, and no worker is given time that may have passed.
#[test]
fn requests_that_waited_on_the_listener_of_a_dead_process_are_rejected() {
    let worker = Worker::over_tcp();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = Daemon::start(&[&worker]);
    let mut old = first.spawn_beside(&listener);
    old.serves();
    old.signal("KILL");
    assert!(!old.ends());
    let mut waits = FrameClient::connect(listener.local_addr().unwrap());
    waits.send(&frame(0, 1, &call("practice-check", "00000000000000bb", 3_000, b"x")));
    let mut idle = FrameClient::connect(listener.local_addr().unwrap());
    std::thread::sleep(std::time::Duration::from_millis(500));
    let mut new = first.spawn_beside(&listener);
    new.serves();
    assert_eq!(waits.next().map(|(kind, stream, payload)| (kind, stream, payload[0])), Some((1, 1, 66)));
    // A client that had only connected is served like any other.
    idle.send(&frame(0, 1, &call("practice-check", "00000000000000cc", 3_000, b"x")));
    let mut received = worker.next();
    assert_eq!(received.request_id(), "00000000000000cc", "the other request was not sent to the worker");
    assert!(received.line["attrs"]["ttl"].as_u64().unwrap() > 2_500);
    received.answer("200", "eA==");
    assert_eq!(idle.next(), Some((1, 1, b"\x4f\0x".to_vec())));
}
