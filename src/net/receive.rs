//! Reads from TCP streams, with the time at which the kernel received what is read.

use crate::interface::Timestamp;
use mio::net::TcpStream;
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{ControlMessageOwned, MsgFlags, RecvMsg, recvmsg, setsockopt};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};

/// Asks the kernel to tell when it received what is read from a socket, or from those that a listener accepts. Without it
/// [`receive`] works all the same.
pub fn enable_timestamps(socket: &impl AsFd) {
    if let Err(error) = setsockopt(socket, ReceiveTimestampns, &true) {
        tracing::debug!(why = %error, "no receive timestamps");
    }
}

/// Reads what there is, up to the buffer's size: how many bytes, and when the last of them came by the wall clock, if the
/// kernel tells.
///
/// # Errors
/// As `recvmsg(2)`.
pub fn receive(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<(usize, Option<Timestamp>)> {
    let mut parts = [IoSliceMut::new(buffer)];
    let mut control = nix::cmsg_space!(TimeSpec);
    let message: RecvMsg<()> =
        recvmsg(stream.as_raw_fd(), &mut parts, Some(&mut control), MsgFlags::empty())?;
    let stamp = message.cmsgs()?.find_map(|part| match part {
        ControlMessageOwned::ScmTimestampns(time) => unix_time(time),
        _ => None,
    });
    Ok((message.bytes, stamp))
}

fn unix_time(time: TimeSpec) -> Option<Timestamp> {
    let nanoseconds = time.tv_sec().checked_mul(1_000_000_000)?.checked_add(time.tv_nsec())?;
    u64::try_from(nanoseconds).ok().map(Timestamp)
}
