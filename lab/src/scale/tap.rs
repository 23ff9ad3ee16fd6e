//! A tap between a real process and one of its parents: it passes datagrams on and counts them.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a tap that hears nothing looks whether it is to end.
const LOOK: Duration = Duration::from_millis(200);
/// The largest datagram that there can be.
const LARGEST: usize = 65_536;

/// Datagrams and their bytes, of one process with all its parents.
#[derive(Default)]
pub struct Count {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl Count {
    /// Bytes and datagrams so far, in both directions.
    pub fn read(&self) -> (u64, u64) {
        (self.bytes.load(Ordering::Relaxed), self.messages.load(Ordering::Relaxed))
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// See the module's page. It ends with this.
pub struct Tap {
    /// What the process is told that its parent is at.
    pub at: SocketAddr,
    over: Arc<AtomicBool>,
}

impl Tap {
    /// A tap on the way to this parent, with its two sockets on an address of its own.
    pub fn new(own: &str, parent: SocketAddr, count: &Arc<Count>) -> io::Result<Tap> {
        let (near, far) = (UdpSocket::bind((own, 0))?, UdpSocket::bind((own, 0))?);
        let (at, over) = (near.local_addr()?, Arc::new(AtomicBool::new(false)));
        // The child is where its datagrams come from.
        let child = Arc::new(Mutex::new(None));
        let from_child = child.clone();
        pass(&near, &far, &over, count, move |from| {
            *from_child.lock().unwrap_or_else(PoisonError::into_inner) = Some(from);
            Some(parent)
        })?;
        pass(&far, &near, &over, count, move |_| *child.lock().unwrap_or_else(PoisonError::into_inner))?;
        Ok(Tap { at, over })
    }
}

impl Drop for Tap {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

fn pass(
    from: &UdpSocket,
    to: &UdpSocket,
    over: &Arc<AtomicBool>,
    count: &Arc<Count>,
    whom: impl Fn(SocketAddr) -> Option<SocketAddr> + Send + 'static,
) -> io::Result<()> {
    let (from, to) = (from.try_clone()?, to.try_clone()?);
    let (over, count) = (over.clone(), count.clone());
    from.set_read_timeout(Some(LOOK))?;
    thread::spawn(move || {
        let mut bytes = vec![0; LARGEST];
        while !over.load(Ordering::Relaxed) {
            let Ok((size, sender)) = from.recv_from(&mut bytes) else { continue };
            if let Some(whom) = whom(sender) {
                count.add(size);
                // One that is lost here is lost as on any link.
                let _ = to.send_to(&bytes[..size], whom);
            }
        }
    });
    Ok(())
}
