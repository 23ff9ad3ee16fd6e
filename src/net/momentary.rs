//! Failures of system calls that pass by themselves, as Linux documents them.

use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// How long a process that starts waits for what it needs, and how often it asks.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// Whether the same call may well succeed a moment later: descriptors, memory, ports or routes are short, or it was
/// interrupted. An address that is in use is none of these: it belongs to somebody.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::ADDRNOTAVAIL
                | Errno::NETUNREACH
                | Errno::NETDOWN
                | Errno::CONNABORTED
        )
    )
}

/// Does what a process needs in order to start, again and again while it fails for a moment. Nothing else is done
/// meanwhile: this is for processes that do not serve yet.
///
/// # Errors
/// The last failure, once it is none that passes or the time for retries is over.
pub fn retry_while_transient<T>(mut what: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let limit = Instant::now() + PATIENCE;
    loop {
        match what() {
            Err(e) if is_transient(&e) && Instant::now() < limit => thread::sleep(PAUSE),
            done => return done,
        }
    }
}

#[cfg(test)]
mod tests;
