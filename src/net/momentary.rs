//! Transient errors of system calls, as documented for Linux.

use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// How long a starting process retries an operation that fails with a transient error.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the same call may succeed a moment later: it was interrupted, or descriptors, memory, ports or routes were
/// unavailable. An address in use does not count: another socket owns it.
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

/// Repeats an operation while it fails with a transient error. Blocks the thread, so it is only for processes that do
/// not serve yet.
///
/// # Errors
/// The last error, once it is not transient or the time for retries is over.
pub fn retry_while_transient<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let limit = Instant::now() + RETRY_TIMEOUT;
    loop {
        match operation() {
            Err(e) if is_transient(&e) && Instant::now() < limit => thread::sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
