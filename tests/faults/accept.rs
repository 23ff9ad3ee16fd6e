//! `accept` fails at one of the listeners.

use crate::rig::*;
use crate::{ENFILE, MOMENTARY, faulty, is_served, plain};
use lab::faults::{ALWAYS, Call};
use serde_json::json;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// The same at the second front's socket.
#[test]
fn a_caller_of_the_second_front_is_answered_after_accept_failed() {
    let worker = Worker::agent();
    let operator =
        |folder: &Folder| format!("[jsonrpc]\nsocket = \"{}\"\n", folder.at("calls.sock").display());
    let daemon = Daemon::faulty(&[&worker], settings(), None, operator, 0);
    for errno in MOMENTARY {
        daemon.faults().fail(Call::Accept, errno, 1).unwrap();
        let mut client = Rpc::connect(&daemon.folder.at("calls.sock"));
        client.send(r#"{"jsonrpc":"2.0","id":1,"method":"ready"}"#);
        assert_eq!(client.next()["result"]["ready"], json!(true), "errno {errno}");
    }
}

/// A client that is taken after `accept` failed for long is served too.
#[test]
fn clients_are_taken_once_accept_works_again() {
    let worker = Worker::agent();
    let daemon = faulty(&[&worker], settings());
    worker.serve(echo);
    daemon.faults().fail(Call::Accept, ENFILE, ALWAYS).unwrap();
    let mut client = Frames(TcpStream::connect(daemon.listen).unwrap());
    client.0.set_read_timeout(Some(LONG)).unwrap();
    client.send(&plain(1));
    thread::sleep(Duration::from_millis(300));
    daemon.faults().clear(Call::Accept).unwrap();
    is_served(&mut client, 1);
}
