//! A UDP proxy between a real process and one of its parents, which forwards datagrams and counts them.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often an idle proxy checks whether it is to end.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of the size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Datagrams and bytes between one process and all its parents.
#[derive(Default)]
pub struct TrafficCount {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl TrafficCount {
    /// Bytes and datagrams counted so far, in both directions.
    pub fn read(&self) -> (u64, u64) {
        (self.bytes.load(Ordering::Relaxed), self.messages.load(Ordering::Relaxed))
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// A running proxy. It ends when this is dropped.
pub struct CountingProxy {
    /// The address that the process is configured with as its parent's.
    pub at: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl CountingProxy {
    /// Starts a proxy to this parent, with its two sockets on the address `own`.
    pub fn new(own: &str, parent: SocketAddr, count: &Arc<TrafficCount>) -> io::Result<CountingProxy> {
        let (child_socket, parent_socket) = (UdpSocket::bind((own, 0))?, UdpSocket::bind((own, 0))?);
        let (at, ended) = (child_socket.local_addr()?, Arc::new(AtomicBool::new(false)));
        // The child's address is learned from the datagrams that it sends.
        let child = Arc::new(Mutex::new(None));
        let from_child = child.clone();
        forward(&child_socket, &parent_socket, &ended, count, move |from| {
            *from_child.lock().unwrap_or_else(PoisonError::into_inner) = Some(from);
            Some(parent)
        })?;
        forward(&parent_socket, &child_socket, &ended, count, move |_| {
            *child.lock().unwrap_or_else(PoisonError::into_inner)
        })?;
        Ok(CountingProxy { at, ended })
    }
}

impl Drop for CountingProxy {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn forward(
    from: &UdpSocket,
    to: &UdpSocket,
    ended: &Arc<AtomicBool>,
    count: &Arc<TrafficCount>,
    destination: impl Fn(SocketAddr) -> Option<SocketAddr> + Send + 'static,
) -> io::Result<()> {
    let (from, to) = (from.try_clone()?, to.try_clone()?);
    let (ended, count) = (ended.clone(), count.clone());
    from.set_read_timeout(Some(SHUTDOWN_POLL_INTERVAL))?;
    thread::spawn(move || {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        while !ended.load(Ordering::Relaxed) {
            let Ok((size, sender)) = from.recv_from(&mut bytes) else { continue };
            if let Some(destination) = destination(sender) {
                count.add(size);
                // A datagram lost here is like one lost on any link.
                let _ = to.send_to(&bytes[..size], destination);
            }
        }
    });
    Ok(())
}
