//! The layout of the control file through which a test steers the preloaded library: 64-bit words in the machine's own
//! byte order. Used by both sides.

/// Names the control file in the environment of the process under test.
pub const CONTROL: &str = "FAULT_SHIM_CONTROL";
/// The word with the offset of the wall clock, in nanoseconds, as a signed number.
pub const WALL_OFFSET: usize = 0;
/// The first word of the first fault.
const FIRST_FAULT: usize = 1;
/// Words of one fault: the errno, how often it is still to come, how often it came, how many calls pass before it, and
/// whether those move one byte only.
const WORDS: usize = 5;
/// The size of the control file in words.
pub const LENGTH: usize = FIRST_FAULT + WORDS * Call::ALL.len();
/// An errno that stands for no failure: reads and writes move one byte, and new sockets have the least room for what
/// they send.
pub const SHORT_TRANSFER: u64 = 4_095;
/// Comes until it is cleared.
pub const UNTIL_CLEARED: u64 = u64::MAX;

/// A system call, or a group of them, that can be made to fail.
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
    /// All of them, in the order of the file.
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

    /// The word with its errno, 0 for none.
    pub const fn errno(self) -> usize {
        FIRST_FAULT + WORDS * self as usize
    }

    /// The word that says how often it is still to fail.
    pub const fn remaining(self) -> usize {
        self.errno() + 1
    }

    /// The word that counts how often it failed.
    pub const fn injected(self) -> usize {
        self.errno() + 2
    }

    /// The word that says how many calls are to pass before one fails.
    pub const fn passing(self) -> usize {
        self.errno() + 3
    }

    /// The word that is not 0 where the calls that pass first move one byte only.
    pub const fn passing_short(self) -> usize {
        self.errno() + 4
    }
}
