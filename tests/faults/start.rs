//! Sockets that cannot be created for a moment while a process starts or takes over from another.

use crate::rig::*;
use crate::{EADDRNOTAVAIL, ENFILE, ENOBUFS};
use lab::faults::{Call, Faults};
use serde_json::json;
use std::net::TcpListener;
use std::sync::Arc;

fn with_socket_fault(
    folder: &Folder,
    name: &str,
    passing: u64,
    errno: u64,
    times: u64,
) -> Option<Arc<Faults>> {
    let faults = Faults::new(&folder.at(name)).unwrap();
    faults.fail_after(Call::Socket, passing, errno, times).unwrap();
    Some(Arc::new(faults))
}

/// A process starts although its first attempts to create sockets fail.
#[test]
fn a_process_starts_once_it_can_create_its_sockets() {
    let worker = Worker::over_tcp();
    let first = Daemon::start(&[&worker]);
    worker.serve(echo);
    for errno in [ENFILE, ENOBUFS, EADDRNOTAVAIL] {
        let faults = with_socket_fault(&first.folder, "faults", 0, errno, 5);
        let mut daemon = Daemon::spawn_faulty(first.folder.clone(), first.config.clone(), None, faults);
        daemon.serves();
        assert_eq!(daemon.faults().injected(Call::Socket).unwrap(), 5, "errno {errno}");
        let mut client = FrameClient::connect(daemon.listen);
        client.send(&crate::plain_call(1));
        crate::assert_served(&mut client, 1);
    }
}

/// A new process that cannot create sockets for a moment while it takes over has the old one's state, and soon
/// afterwards its handover socket, second front and virtual router.
#[test]
fn a_new_process_takes_over_every_socket_once_it_can() {
    // The first socket is that of the second address, the next one connects to the old process.
    for passing in [1, 2] {
        assert_takes_over_every_socket(passing);
    }
}

fn assert_takes_over_every_socket(passing: u64) {
    let worker = Worker::over_tcp();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let operator = |folder: &Folder| {
        format!(
            "[jsonrpc]\nsocket = {:?}\n[vrrp]\nvrid = 7\npriority = 100\ninterval_cs = 10\nbind = \"127.0.0.1:0\"\n\
             peers = []\naddress = \"127.0.0.100\"\n",
            folder.at("calls.sock")
        )
    };
    let first = Daemon::start_with(&[&worker], settings(), None, operator);
    let (folder, config) = (first.folder.clone(), first.config.clone());
    drop(first);
    let mut old = Daemon::spawn(folder.clone(), config.clone(), Some(&listener));
    old.serves();
    assert_eq!(old.operate("POST", "/api/exclude?name=s-00000001").0, 200);
    let faults = with_socket_fault(&folder, "faults", passing, ENOBUFS, 3);
    let mut new = Daemon::spawn_faulty(folder.clone(), config, Some(&listener), faults);
    new.serves();
    assert_eq!(new.figure("cluster_unhealthy"), Some(1), "the excluded worker stays excluded");
    old.signal("TERM");
    assert!(old.ends());
    new.wait_log("state=Active");
    assert_eq!(new.faults().injected(Call::Socket).unwrap(), 3);
    let mut client = RpcClient::connect(&folder.at("calls.sock"));
    client.send(r#"{"jsonrpc":"2.0","id":1,"method":"ready"}"#);
    assert_eq!(client.next()["result"]["ready"], json!(true));
    let mut next = new.spawn_beside(&listener);
    next.serves();
    new.wait_log("listener=closed");
}
