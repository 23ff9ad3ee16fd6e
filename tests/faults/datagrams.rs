//! Failures of datagram receives.

use crate::rig::*;
use crate::{EHOSTUNREACH, EINTR, EIO, ENOBUFS};
use lab::faults::Call;
use mintgate::vrrp::packet::Advertisement;
use std::net::UdpSocket;

/// A receive fails while a datagram is queued: the datagram is received although no further one arrives.
#[test]
fn a_datagram_queued_behind_a_failed_receive_is_received() {
    let worker = Worker::over_tcp();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(LONG)).unwrap();
    let operator = |folder: &Folder| {
        format!(
            "[jsonrpc]\nsocket = {:?}\n[vrrp]\nvrid = 7\npriority = 100\ninterval_cs = 10\nbind = \"127.0.0.1:0\"\n\
             peers = [\"{}\"]\naddress = \"127.0.0.100\"\n",
            folder.at("calls.sock"),
            peer.local_addr().unwrap()
        )
    };
    let daemon = Daemon::with_faults(&[&worker], settings(), None, operator, 0);
    let (_, at) = peer.recv_from(&mut [0; 64]).unwrap();
    for (round, errno) in [ENOBUFS, EHOSTUNREACH, EIO, EINTR].into_iter().enumerate() {
        daemon.wait_log_times("state=Active", round + 1);
        daemon.faults().fail(Call::ReceiveDatagram, errno, 1).unwrap();
        // A single advertisement of a higher priority, which takes over the active role for a moment.
        let addresses = vec!["127.0.0.100".parse().unwrap()];
        let advertisement = Advertisement { vrid: 7, priority: 250, interval: 10, addresses };
        peer.send_to(&advertisement.write(), at).unwrap();
        daemon.wait_log_times("state=Backup was=Active", round + 1);
    }
}
