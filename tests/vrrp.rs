//! VRRP on real sockets: the active daemon accepts new calls on the JSON-RPC front, the backup refuses them.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod rig;

use mintgate::vrrp::packet::Advertisement;
use rig::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};

const REFERENCE: &str = "9b1f03aa5c7e2d41";

/// Starts a daemon of this priority whose only peer is `peer`.
fn start(worker: &Worker, priority: u8, interval: u16, bind: &str, peer: SocketAddr) -> Daemon {
    Daemon::start_with(&[worker], settings(), None, |folder| {
        format!(
            "[jsonrpc]\nsocket = {:?}\n[vrrp]\nvrid = 7\npriority = {priority}\ninterval_cs = {interval}\nbind = \"{bind}\"\n\
             peers = [\"{peer}\"]\naddress = \"127.0.0.100\"\n",
            folder.at("calls.sock")
        )
    })
}

/// Sends an advertisement as another virtual router.
fn send_advertisement(socket: &UdpSocket, to: SocketAddr, vrid: u8, priority: u8, interval: u16) {
    let addresses = vec!["127.0.0.100".parse().unwrap()];
    socket.send_to(&Advertisement { vrid, priority, interval, addresses }.write(), to).unwrap();
}

/// Receives the next advertisement and its sender.
fn receive_advertisement(socket: &UdpSocket) -> (Advertisement, SocketAddr) {
    let mut bytes = [0; 1500];
    let (size, from) = socket.recv_from(&mut bytes).unwrap();
    (Advertisement::read(&bytes[..size]).unwrap(), from)
}

/// Sends a call and returns the error code of its answer.
fn call_error_code(rpc: &mut RpcClient, id: u32) -> Value {
    rpc.send(&rpc_call(&json!(id), "practice-check", REFERENCE, 2900, "").to_string());
    rpc.next()["error"]["code"].clone()
}

#[test]
fn only_the_active_daemon_accepts_new_calls_and_a_backup_finishes_its_own() {
    let worker = Worker::over_tcp();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(LONG)).unwrap();
    let daemon = start(&worker, 100, 10, "127.0.0.1:0", peer.local_addr().unwrap());
    let (advertisement, daemon_address) = receive_advertisement(&peer);
    assert_eq!((advertisement.vrid, advertisement.priority, advertisement.interval), (7, 100, 10));
    daemon.wait_log("state=Active was=Backup");
    let mut client = RpcClient::connect(&daemon.folder.at("calls.sock"));
    client.send(&rpc_call(&json!(1), "practice-check", REFERENCE, 2900, "").to_string());
    let mut received = worker.next();
    // Advertisements that are malformed, of another router or from an unknown sender change nothing.
    peer.send_to(b"\x31\x07\xff", daemon_address).unwrap();
    send_advertisement(&peer, daemon_address, 8, 250, 4000);
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    send_advertisement(&unknown_sender, daemon_address, 7, 250, 4000);
    daemon.wait_counter("vrrp_dropped", 3);
    assert!(!daemon.wait_log("vrrp").contains("state=Backup was=Active"));
    // A peer has a higher priority: the daemon becomes backup for three of the peer's long intervals.
    send_advertisement(&peer, daemon_address, 7, 250, 4000);
    daemon.wait_log("state=Backup was=Active");
    assert_eq!(call_error_code(&mut client, 2), -32001, "a backup refuses new calls");
    received.answer("200", "eA==");
    assert_eq!(client.next(), json!({"jsonrpc": "2.0", "id": 1, "result": {"body": "eA=="}}));
    // The peer advertises a short interval and then stops: the daemon becomes active after its skew time.
    send_advertisement(&peer, daemon_address, 7, 250, 10);
    send_advertisement(&peer, daemon_address, 7, 0, 10);
    daemon.wait_log_times("state=Active was=Backup", 2);
    client.send(&rpc_call(&json!(3), "practice-check", REFERENCE, 2900, "").to_string());
    worker.next().answer("200", "eQ==");
    assert_eq!(client.next()["result"]["body"], "eQ==");
}

#[test]
fn the_backup_becomes_active_when_the_active_daemon_shuts_down() {
    let (one, two) = (Worker::over_tcp(), Worker::over_tcp());
    // Each must know the other's port before it starts. No other test binds these addresses, so the ports that the
    // system has allocated stay free.
    let [low, high] =
        ["127.0.0.61:0", "127.0.0.62:0"].map(|at| UdpSocket::bind(at).unwrap().local_addr().unwrap());
    let backup = start(&one, 100, 50, &low.to_string(), high);
    backup.wait_log("state=Active");
    let mut active = start(&two, 200, 50, &high.to_string(), low);
    active.wait_log("state=Active");
    backup.wait_log("state=Backup was=Active");
    let mut client = RpcClient::connect(&backup.folder.at("calls.sock"));
    assert_eq!(call_error_code(&mut client, 1), -32001);
    active.signal("TERM");
    active.child.wait().unwrap();
    let log = active.wait_log("ended");
    assert!(log.contains("state=Initialize was=Active"), "{log}");
    backup.wait_log_times("state=Active was=Backup", 2);
    client.send(&rpc_call(&json!(2), "practice-check", REFERENCE, 2900, "").to_string());
    one.next().answer("200", "eA==");
    assert_eq!(client.next()["result"]["body"], "eA==");
}
