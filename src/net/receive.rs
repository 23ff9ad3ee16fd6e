//! Reads from TCP streams with the kernel's receive timestamps.

use crate::interface::Timestamp;
use mio::net::TcpStream;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, RecvMsg, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};

/// Enables receive timestamps on a socket, or on the sockets that a listener accepts. If it fails, [`receive`] still
/// works, without timestamps.
pub fn enable_timestamps(socket: &impl AsFd) {
    if let Err(error) = setsockopt(socket, ReceiveTimestampns, &true) {
        tracing::debug!(why = %error, "no receive timestamps");
    }
}

/// Reads available bytes, up to the buffer's size. Returns their number and, if the kernel supplies it, the wall-clock
/// time at which the last of them was received.
///
/// # Errors
/// As `recvmsg(2)`.
pub fn receive(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<(usize, Option<Timestamp>)> {
    let mut parts = [IoSliceMut::new(buffer)];
    let mut control = nix::cmsg_space!(TimeSpec);
    let message: RecvMsg<()> =
        recvmsg(stream.as_raw_fd(), &mut parts, Some(&mut control), MsgFlags::empty())?;
    let timestamp = message.cmsgs()?.find_map(|part| match part {
        ControlMessageOwned::ScmTimestampns(time) => to_unix_time(time),
        _ => None,
    });
    Ok((message.bytes, timestamp))
}

fn to_unix_time(time: TimeSpec) -> Option<Timestamp> {
    let nanoseconds = time.tv_sec().checked_mul(1_000_000_000)?.checked_add(time.tv_nsec())?;
    u64::try_from(nanoseconds).ok().map(Timestamp)
}
