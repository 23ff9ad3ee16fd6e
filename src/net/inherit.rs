//! A listening socket inherited from the parent process, identified by its descriptor number.

use nix::sys::socket::{ControlMessage, MsgFlags, sendmsg};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg, sockopt};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsRawFd, OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

/// Returns an owned duplicate of the listening TCP socket with this descriptor number. A bare number cannot be told from
/// a descriptor that this process opened itself, so the descriptor is passed over a socket pair, which yields an owned
/// one. The original stays open until the process exits.
///
/// # Errors
/// The number is not an open descriptor, or not that of a listening TCP socket.
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    let (near, far) = UnixStream::pair()?;
    let bytes = [IoSlice::new(&[0])];
    sendmsg::<()>(
        near.as_raw_fd(),
        &bytes,
        &[ControlMessage::ScmRights(&[number])],
        MsgFlags::empty(),
        None,
    )?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    recvmsg(&far, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let passed = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    let passed: OwnedFd = passed.ok_or_else(|| io::Error::other("the descriptor was not passed back"))?;
    let listens = sockopt::socket_acceptconn(&passed).unwrap_or(false);
    let listener = TcpListener::from(passed);
    match listener.local_addr() {
        Ok(_) if listens => Ok(listener),
        _ => Err(io::Error::new(io::ErrorKind::InvalidInput, "not a listening TCP socket")),
    }
}

#[cfg(test)]
mod tests;
