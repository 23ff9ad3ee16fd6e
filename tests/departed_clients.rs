//! Clients that close their connection or cancel with much of their input unread: nothing of theirs is sent to a worker
//! afterwards.

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
use std::net::TcpListener;
use std::time::Duration;

/// Calls of a client that leaves.
const CALLS: u32 = 30;
/// Messages without effect between the calls and their client's last word: much more than one turn handles.
const MESSAGES_BETWEEN: u32 = 200_000;

fn start() -> Daemon {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start_with(&[&worker], settings(), None, |folder| {
        format!("[jsonrpc]\nsocket = {:?}\n", folder.at("calls.sock"))
    });
    worker.serve(echo);
    // Connections to the worker are open when the calls come, so that these can be written at once.
    let mut client = FrameClient::connect(daemon.listen);
    for stream in 1..=CALLS {
        client.send(&frame(0, stream, &call("practice-check", &format!("{stream:016x}"), 5_000, b"x")));
    }
    for _ in 0..CALLS {
        assert_eq!(client.next().unwrap().2, [79, 0, b'x']);
    }
    daemon
}

/// Stops the daemon while `client` acts and for a while after, so that all that it wrote lies unread. Returns how many
/// attempts the daemon had written for it when another client was served.
fn attempts_after(daemon: &Daemon, client: impl FnOnce()) -> u64 {
    let before = daemon.counter("sent");
    daemon.signal("STOP");
    client();
    std::thread::sleep(Duration::from_millis(300));
    daemon.signal("CONT");
    daemon.wait_counter("taken", 2 * u64::from(CALLS));
    let mut other = FrameClient::connect(daemon.listen);
    other.send(&frame(0, 1, &call("practice-check", "00000000000000ff", 5_000, b"x")));
    assert_eq!(other.next(), Some((1, 1, vec![79, 0, b'x'])));
    daemon.counter("sent") - before - 1
}

fn call_frames() -> Vec<u8> {
    let call =
        |stream| frame(0, stream, &call("practice-check", &format!("{:016x}", 0xa00 + stream), 20_000, b"x"));
    (1..=CALLS).flat_map(call).collect()
}

fn frames_without_effect() -> Vec<u8> {
    (1..=MESSAGES_BETWEEN).flat_map(|stream| frame(2, CALLS + stream, &[])).collect()
}

fn call_lines() -> String {
    let line = |id| {
        rpc_call(&json!(id), "practice-check", &format!("{:016x}", 0xb00 + id), 20_000, "eA==").to_string()
    };
    (1..=CALLS).map(|id| line(id) + "\n").collect()
}

/// Blank lines, as many as the system's buffers take.
fn lines_without_effect() -> String {
    "\n".repeat(MESSAGES_BETWEEN as usize / 4)
}

/// Guards against picture (c) of issue 52: calls were sent on after their client had closed its connection, because only
/// a part of what lay before the close was read in one turn. Binary front.
#[test]
fn calls_of_a_client_that_closed_with_much_unread_are_not_sent() {
    let daemon = start();
    let mut client = FrameClient::connect(daemon.listen);
    let sent = attempts_after(&daemon, || {
        client.send(&[call_frames(), frames_without_effect()].concat());
        drop(client);
    });
    assert_eq!(sent, 0);
}

/// The same on the JSON-RPC front.
#[test]
fn json_rpc_calls_of_a_client_that_closed_with_much_unread_are_not_sent() {
    let daemon = start();
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    let sent = attempts_after(&daemon, || {
        client.0.get_mut().write_all((call_lines() + &lines_without_effect()).as_bytes()).unwrap();
        drop(client);
    });
    assert_eq!(sent, 0);
}

/// Calls were sent on whose cancellation lay unread behind much else. Binary front.
#[test]
fn calls_cancelled_behind_much_unread_input_are_not_sent() {
    let daemon = start();
    let mut client = FrameClient::connect(daemon.listen);
    let sent = attempts_after(&daemon, || {
        let cancels = (1..=CALLS).flat_map(|stream| frame(2, stream, &[])).collect();
        client.send(&[call_frames(), frames_without_effect(), cancels].concat());
    });
    assert_eq!(sent, 0);
}

/// The same on the JSON-RPC front.
#[test]
fn json_rpc_calls_cancelled_behind_much_unread_input_are_not_sent() {
    let daemon = start();
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    let sent = attempts_after(&daemon, || {
        let cancel =
            |id| json!({"jsonrpc": "2.0", "method": "cancel", "params": {"id": id}}).to_string() + "\n";
        let cancels: String = (1..=CALLS).map(cancel).collect();
        let text = call_lines() + &lines_without_effect() + &cancels;
        client.0.get_mut().write_all(text.as_bytes()).unwrap();
    });
    assert_eq!(sent, 0);
}

/// Settings whose second class must never run twice.
fn settings_with_a_fragile_class() -> serde_json::Value {
    let mut settings = settings();
    settings["classes"][1]["effect"] = json!("fragile");
    settings
}

/// Guards against picture (c) of issue 52: a request whose client had left was run again when its id came again.
#[test]
fn an_id_that_comes_again_after_its_client_left_does_not_run_twice() {
    let worker = Worker::over_tcp();
    let daemon = Daemon::start_with(&[&worker], settings_with_a_fragile_class(), None, |folder| {
        format!("[jsonrpc]\nsocket = {:?}\n", folder.at("calls.sock"))
    });
    let request = frame(0, 1, &call("credit-submit", "00000000000000a1", 20_000, b"x"));
    let mut left = FrameClient::connect(daemon.listen);
    left.send(&request);
    assert_eq!(worker.next().verb(), "go");
    drop(left);
    daemon.wait_counter("withdrawn", 1);
    let mut again = FrameClient::connect(daemon.listen);
    again.send(&request);
    assert_eq!(again.next(), Some((1, 1, vec![69, 0])), "failed, as it may have run");
    let mut lines = RpcClient::connect(&daemon.folder.at("calls.sock"));
    lines.send(&rpc_call(&json!(1), "credit-submit", "00000000000000a1", 20_000, "eA==").to_string());
    assert_eq!(lines.next()["error"]["code"], -32002);
    assert_eq!(daemon.counter("sent"), 1);
}

/// The same if it comes again at the other process of an upgrade, while it is open at the first one or after it has ended
/// there.
#[test]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice() {
    let worker = Worker::over_tcp();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = Daemon::start_with(&[&worker], settings_with_a_fragile_class(), None, |_| String::new());
    let mut old = first.spawn_beside(&listener);
    old.serves();
    drop(first);
    let request = |id: &str| frame(0, 1, &call("credit-submit", id, 20_000, b"x"));
    let mut waiting = FrameClient::connect(old.listen);
    waiting.send(&request("00000000000000b1"));
    let mut ended = FrameClient::connect(old.listen);
    ended.send(&request("00000000000000b2"));
    for _ in 0..2 {
        assert_eq!(worker.next().verb(), "go");
    }
    drop(ended);
    old.wait_counter("withdrawn", 1);
    let mut new = old.spawn_beside(&listener);
    new.serves();
    old.wait_log("listener=closed");
    for id in ["00000000000000b1", "00000000000000b2"] {
        let mut again = FrameClient::connect(new.listen);
        again.send(&request(id));
        assert_eq!(again.next(), Some((1, 1, vec![69, 0])), "{id} may have run");
    }
    assert_eq!((new.counter("taken"), new.counter("sent")), (2, 0));
}
