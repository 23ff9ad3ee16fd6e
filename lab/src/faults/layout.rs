//! Layout of the control file through which a test controls the preloaded library: 64-bit words in native byte order.
//! Used by both sides.

/// Environment variable with the path of the control file.
pub const CONTROL_FILE_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// Index of the word with the wall clock's offset, in nanoseconds, as a signed number.
pub const WALL_OFFSET: usize = 0;
/// Index of the first word of the first fault.
const FIRST_FAULT: usize = 1;
/// Number of words per fault: the errno, how often the call is still to fail, how often it failed, how many calls
/// pass first, and whether those transfer only one byte.
const WORDS_PER_FAULT: usize = 5;
/// Size of the control file, in words.
pub const FILE_WORDS: usize = FIRST_FAULT + WORDS_PER_FAULT * Call::ALL.len();
/// Instead of an errno: reads and writes transfer one byte, and new sockets get the smallest send buffer.
pub const SHORT_TRANSFER: u64 = 4_095;
/// Instead of a number of failures: the call fails until it is cleared.
pub const UNTIL_CLEARED: u64 = u64::MAX;

/// A system call, or a group of system calls, that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    /// `accept4`.
    Accept,
    /// `socket`.
    Socket,
    /// `connect`.
    Connect,
    /// Reads of connected stream sockets.
    Read,
    /// Writes to connected stream sockets.
    Write,
    /// `recvfrom` of datagram sockets.
    ReceiveDatagram,
    /// `sendto` of datagram sockets.
    SendDatagram,
    /// `epoll_wait`.
    Wait,
    /// Writes to regular files.
    WriteFile,
    /// `rename`.
    Rename,
    /// `fsync` and `fdatasync`.
    Sync,
}

impl Call {
    /// All calls, in the order of the control file.
    pub const ALL: [Call; 11] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::Read,
        Call::Write,
        Call::ReceiveDatagram,
        Call::SendDatagram,
        Call::Wait,
        Call::WriteFile,
        Call::Rename,
        Call::Sync,
    ];

    /// Index of the word with the errno; 0 means that no fault is set.
    pub const fn errno(self) -> usize {
        FIRST_FAULT + WORDS_PER_FAULT * self as usize
    }

    /// Index of the word with the number of failures still to come.
    pub const fn remaining(self) -> usize {
        self.errno() + 1
    }

    /// Index of the word that counts the failures.
    pub const fn injected(self) -> usize {
        self.errno() + 2
    }

    /// Index of the word with the number of calls that pass before the first failure.
    pub const fn passing(self) -> usize {
        self.errno() + 3
    }

    /// Index of the word that is nonzero if the calls that pass first transfer only one byte.
    pub const fn passing_short(self) -> usize {
        self.errno() + 4
    }
}
