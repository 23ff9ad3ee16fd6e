//! Failures of system calls, as documented for Linux: each rule holds, and once the failure is over everything recovers.
//! The tests run the real program with `fault-shim` in front of the C library.

#![allow(
    clippy::unwrap_used,
    clippy::too_many_lines,
    clippy::needless_pass_by_value,
    reason = "a test that cannot go on ends there, and is read from top to bottom"
)]

mod accept;
mod connections;
mod datagrams;
mod files;
#[path = "../rig/mod.rs"]
mod rig;
mod start;

use rig::*;
use serde_json::Value;

pub(crate) const EINTR: u64 = 4;
pub(crate) const EIO: u64 = 5;
pub(crate) const ENFILE: u64 = 23;
pub(crate) const ENOSPC: u64 = 28;
pub(crate) const EPROTO: u64 = 71;
pub(crate) const EADDRNOTAVAIL: u64 = 99;
pub(crate) const ENETDOWN: u64 = 100;
pub(crate) const ENETUNREACH: u64 = 101;
pub(crate) const ECONNABORTED: u64 = 103;
pub(crate) const ECONNRESET: u64 = 104;
pub(crate) const ENOBUFS: u64 = 105;
pub(crate) const ETIMEDOUT: u64 = 110;
pub(crate) const EHOSTUNREACH: u64 = 113;

/// Errors with which `accept`, `socket` and `connect` may fail transiently.
pub(crate) const TRANSIENT_ERRNOS: [u64; 8] =
    [ECONNABORTED, ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH, EPROTO, ENETDOWN, EINTR];

pub(crate) fn faulty_daemon(workers: &[&Worker], settings: Value) -> Daemon {
    Daemon::with_faults(workers, settings, None, |_| String::new(), 0)
}

pub(crate) fn plain_call(stream: u32) -> Vec<u8> {
    frame(0, stream, &call("practice-check", &format!("{stream:016x}"), 3_000, b"x"))
}

pub(crate) fn assert_served(client: &mut FrameClient, stream: u32) {
    assert_eq!(client.next(), Some((1, stream, vec![79, 0, b'x'])));
}
