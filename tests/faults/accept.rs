//! Failures of `accept` at one of the listeners.

use crate::rig::*;
use crate::{
    ECONNABORTED, EINTR, ENETDOWN, ENETUNREACH, ENFILE, EPROTO, TRANSIENT_ERRNOS, assert_served,
    faulty_daemon, plain_call,
};
use lab::faults::{Call, UNTIL_CLEARED};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::thread;
use std::time::Duration;

/// `accept` fails once at the second front's socket: the client is answered all the same.
#[test]
fn a_client_of_the_second_front_is_answered_after_accept_failed() {
    let worker = Worker::over_tcp();
    let operator =
        |folder: &Folder| format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display());
    let daemon = Daemon::with_faults(&[&worker], settings(), None, operator, 0);
    for errno in TRANSIENT_ERRNOS {
        daemon.faults().fail(Call::Accept, errno, 1).unwrap();
        let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
        client.send(r#"{"jsonrpc":"2.0","id":1,"method":"ready"}"#);
        assert_eq!(client.next()["result"]["ready"], json!(true), "errno {errno}");
    }
}

/// `accept` fails for a while: a client that waits meanwhile is accepted and served afterwards.
#[test]
fn clients_are_accepted_once_accept_works_again() {
    let worker = Worker::over_tcp();
    let daemon = faulty_daemon(&[&worker], settings());
    worker.serve(echo);
    daemon.faults().fail(Call::Accept, ENFILE, UNTIL_CLEARED).unwrap();
    let mut client = FrameClient(TcpStream::connect(daemon.listen).unwrap());
    client.0.set_read_timeout(Some(LONG)).unwrap();
    client.send(&plain_call(1));
    thread::sleep(Duration::from_millis(300));
    daemon.faults().clear(Call::Accept).unwrap();
    assert_served(&mut client, 1);
}

/// `accept` fails once with each of these errors at the second address: the request is answered all the same.
#[test]
fn a_request_at_the_second_address_is_answered_after_accept_failed() {
    let worker = Worker::over_tcp();
    let daemon = faulty_daemon(&[&worker], settings());
    for errno in TRANSIENT_ERRNOS {
        daemon.faults().fail(Call::Accept, errno, 1).unwrap();
        let (status, _) = daemon.operate("GET", "/api/ready");
        assert_eq!(status, 200, "errno {errno}");
    }
    assert_eq!(daemon.faults().injected(Call::Accept).unwrap(), TRANSIENT_ERRNOS.len() as u64);
}

/// `accept` fails once at the socket on which a running process waits for a new one: the new one is accepted all the same.
#[test]
fn a_handover_peer_is_accepted_after_accept_failed() {
    let worker = Worker::over_tcp();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = faulty_daemon(&[&worker], settings());
    let mut old = first.spawn_beside(&listener);
    old.serves();
    for errno in TRANSIENT_ERRNOS {
        old.faults().fail(Call::Accept, errno, 1).unwrap();
        // The close that answers an invalid message shows that the peer was accepted.
        let mut peer = UnixStream::connect(old.folder.at("mintgate-n0.sock")).unwrap();
        peer.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        peer.write_all(&[255; 8]).unwrap();
        assert_eq!(peer.read(&mut [0]).unwrap_or(1), 0, "errno {errno}: not accepted");
    }
}

/// An error other than a lack of descriptors or memory closes no connection.
#[test]
fn an_idle_client_stays_connected_when_accept_fails_for_another_reason() {
    let worker = Worker::over_tcp();
    let daemon = faulty_daemon(&[&worker], settings());
    worker.serve(echo);
    let mut idle = FrameClient::connect(daemon.listen);
    idle.send(&plain_call(1));
    assert_served(&mut idle, 1);
    for errno in [ECONNABORTED, EPROTO, ENETDOWN, ENETUNREACH, EINTR] {
        daemon.faults().fail(Call::Accept, errno, 1).unwrap();
        let mut other = FrameClient::connect(daemon.listen);
        other.send(&plain_call(1));
        assert_served(&mut other, 1);
    }
    idle.send(&plain_call(2));
    assert_served(&mut idle, 2);
}
