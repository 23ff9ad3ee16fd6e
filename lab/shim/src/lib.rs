//! A library for `LD_PRELOAD` that makes system calls of the process under test fail in ways that Linux documents,
//! and steps its wall clock. A control file, mapped into the process, says which calls fail, with which errno and how
//! often; without `FAULT_SHIM_CONTROL` in the environment nothing changes.
//!
//! Every function here replaces the C library's function of the same name. The calls themselves are made with
//! `syscall`, so nothing has to be looked up at run time.

#[path = "../../src/faults/layout.rs"]
#[allow(dead_code)]
mod layout;

use layout::{Call, SHORT_TRANSFER, WALL_OFFSET};
use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::{CStr, CString};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// The mapped control file.
static CONTROL_FILE: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();

fn words() -> Option<&'static [AtomicU64]> {
    *CONTROL_FILE.get_or_init(map_control_file)
}

/// Maps the control file; `None` if the environment names none or it cannot be mapped.
fn map_control_file() -> Option<&'static [AtomicU64]> {
    let name = CString::new(layout::CONTROL_FILE_VARIABLE).ok()?;
    // SAFETY: the environment is only read; the process under test sets none of its own variables.
    let path = unsafe { libc::getenv(name.as_ptr()) };
    if path.is_null() {
        return None;
    }
    let size = layout::FILE_WORDS * size_of::<u64>();
    // SAFETY: `path` is a C string of the environment; the mapping is shared, of the file's own size, and kept for as
    // long as the process lives, so that a slice of atomics over it is valid.
    unsafe {
        let file = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let at = libc::mmap(
            std::ptr::null_mut(),
            size,
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file,
            0,
        );
        libc::close(file);
        if at == libc::MAP_FAILED {
            return None;
        }
        Some(std::slice::from_raw_parts(at.cast::<AtomicU64>(), layout::FILE_WORDS))
    }
}

/// The errno with which this call has to fail now, if any; counts the failure.
fn next_fault(call: Call) -> Option<u64> {
    let words = words()?;
    let errno = words[call.errno()].load(Ordering::Acquire);
    if errno == 0 {
        return None;
    }
    let pass = |left: u64| left.checked_sub(1);
    if words[call.passing()].fetch_update(Ordering::AcqRel, Ordering::Acquire, pass).is_ok() {
        let short = words[call.passing_short()].load(Ordering::Acquire) != 0;
        return short.then_some(SHORT_TRANSFER);
    }
    let take = |left: u64| match left {
        0 => None,
        layout::UNTIL_CLEARED => Some(layout::UNTIL_CLEARED),
        left => Some(left - 1),
    };
    words[call.remaining()].fetch_update(Ordering::AcqRel, Ordering::Acquire, take).ok()?;
    words[call.injected()].fetch_add(1, Ordering::AcqRel);
    Some(errno)
}

/// Whether a fault is set, without counting it.
fn is_fault_set(call: Call) -> bool {
    words().is_some_and(|words| words[call.errno()].load(Ordering::Acquire) != 0)
}

fn set_errno(errno: u64) -> c_int {
    // SAFETY: errno's location is always valid for the calling thread.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}

/// The file type of a descriptor, as one of the `S_IF` constants.
fn file_type(descriptor: c_int) -> libc::mode_t {
    // SAFETY: `stat` is plain old data that the call fills in.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        match libc::syscall(libc::SYS_fstat, descriptor, &raw mut stat) {
            0 => stat.st_mode & libc::S_IFMT,
            _ => 0,
        }
    }
}

/// Whether a socket belongs to the IPv4 family: socket pairs and signal pipes of the process itself are left alone.
fn is_internet(descriptor: c_int) -> bool {
    let (mut family, mut size): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
    // SAFETY: both out parameters live on this stack frame and have the stated sizes.
    let done = unsafe {
        libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            libc::SO_DOMAIN,
            (&raw mut family).cast::<c_void>(),
            &raw mut size,
        )
    };
    done == 0 && family == libc::AF_INET
}

/// How many bytes a read or write may transfer, or the errno with which it has to fail.
fn allowed_bytes(call: Call, descriptor: c_int, count: size_t) -> Result<size_t, u64> {
    if !is_fault_set(call) || count == 0 {
        return Ok(count);
    }
    let applies = match call {
        Call::WriteFile => file_type(descriptor) == libc::S_IFREG,
        _ => file_type(descriptor) == libc::S_IFSOCK && is_internet(descriptor),
    };
    if !applies {
        return Ok(count);
    }
    match next_fault(call) {
        None => Ok(count),
        Some(SHORT_TRANSFER) => Ok(1),
        Some(errno) => Err(errno),
    }
}

/// Adds the control file's offset to the wall clock; all other clocks are unchanged.
///
/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's pointer is passed on, and read only after success.
    unsafe {
        let done = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
        if done == 0 && clock == libc::CLOCK_REALTIME {
            add_offset(&mut *time);
        }
        done
    }
}

/// Adds the control file's offset to a Unix time.
fn add_offset(time: &mut timespec) {
    let offset = words().map_or(0, |words| words[WALL_OFFSET].load(Ordering::Acquire) as i64);
    let total = time.tv_nsec + offset % NANOSECONDS_PER_SECOND;
    time.tv_sec += offset / NANOSECONDS_PER_SECOND + total.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = total.rem_euclid(NANOSECONDS_PER_SECOND);
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match next_fault(Call::Accept) {
        Some(errno) => set_errno(errno),
        // SAFETY: the caller's arguments are passed on.
        None => unsafe { libc::syscall(libc::SYS_accept4, socket, address, size, flags) as c_int },
    }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let fault = next_fault(Call::Socket);
    if let Some(errno) = fault
        && errno != SHORT_TRANSFER
    {
        return set_errno(errno);
    }
    // SAFETY: the caller's arguments are passed on.
    let made = unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int };
    if fault == Some(SHORT_TRANSFER) && made >= 0 {
        limit_send_buffer(made);
    }
    made
}

/// Gives a socket the smallest possible send buffer.
fn limit_send_buffer(socket: c_int) {
    let least: c_int = 1;
    // SAFETY: the option's value lives on this stack frame and has the stated size.
    unsafe {
        let value = (&raw const least).cast::<c_void>();
        libc::setsockopt(socket, libc::SOL_SOCKET, libc::SO_SNDBUF, value, size_of::<c_int>() as socklen_t);
    }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, size: socklen_t) -> c_int {
    if is_fault_set(Call::Connect)
        && is_internet(socket)
        && let Some(errno) = next_fault(Call::Connect)
    {
        return set_errno(errno);
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, size) as c_int }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, bytes: *mut c_void, count: size_t, flags: c_int) -> ssize_t {
    match allowed_bytes(Call::Read, socket, count) {
        Err(errno) => set_errno(errno) as ssize_t,
        // SAFETY: no more than the caller's count is read into its buffer.
        Ok(count) => unsafe {
            let (none, size) = (std::ptr::null_mut::<sockaddr>(), std::ptr::null_mut::<socklen_t>());
            libc::syscall(libc::SYS_recvfrom, socket, bytes, count, flags, none, size) as ssize_t
        },
    }
}

/// Adds the offset to the kernel's receive times, as to the wall clock.
///
/// # Safety
/// As `recvmsg(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvmsg(socket: c_int, message: *mut libc::msghdr, flags: c_int) -> ssize_t {
    // SAFETY: the caller's message is valid for the call; its first buffer is shortened for as long as the call lasts.
    unsafe {
        let mut none = libc::iovec { iov_base: std::ptr::null_mut(), iov_len: 0 };
        let part = if (*message).msg_iovlen == 0 { &raw mut none } else { (*message).msg_iov };
        let full_length = (*part).iov_len;
        match allowed_bytes(Call::Read, socket, full_length) {
            Err(errno) => set_errno(errno) as ssize_t,
            Ok(count) => {
                (*part).iov_len = count;
                let received = libc::syscall(libc::SYS_recvmsg, socket, message, flags) as ssize_t;
                (*part).iov_len = full_length;
                if received >= 0 {
                    step_receive_times(&*message);
                }
                received
            }
        }
    }
}

/// # Safety
/// The message is one that `recvmsg(2)` has filled in.
unsafe fn step_receive_times(message: &libc::msghdr) {
    // SAFETY: the control messages are walked as cmsg(3) says; the kernel has written a complete `timespec` into each
    // one of this type, which need not be aligned.
    unsafe {
        let mut part = libc::CMSG_FIRSTHDR(message);
        while !part.is_null() {
            if (*part).cmsg_level == libc::SOL_SOCKET && (*part).cmsg_type == libc::SCM_TIMESTAMPNS {
                let at = libc::CMSG_DATA(part).cast::<timespec>();
                let mut time = at.read_unaligned();
                add_offset(&mut time);
                at.write_unaligned(time);
            }
            part = libc::CMSG_NXTHDR(message, part);
        }
    }
}

/// # Safety
/// As `read(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(descriptor: c_int, bytes: *mut c_void, count: size_t) -> ssize_t {
    match allowed_bytes(Call::Read, descriptor, count) {
        Err(errno) => set_errno(errno) as ssize_t,
        // SAFETY: no more than the caller's count is read into its buffer.
        Ok(count) => unsafe { libc::syscall(libc::SYS_read, descriptor, bytes, count) as ssize_t },
    }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, bytes: *const c_void, count: size_t, flags: c_int) -> ssize_t {
    match allowed_bytes(Call::Write, socket, count) {
        Err(errno) => set_errno(errno) as ssize_t,
        // SAFETY: no more than the caller's count is written from its buffer.
        Ok(count) => unsafe {
            let none = std::ptr::null::<sockaddr>();
            libc::syscall(libc::SYS_sendto, socket, bytes, count, flags, none, 0) as ssize_t
        },
    }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, count: size_t) -> ssize_t {
    let allowed = allowed_bytes(Call::Write, descriptor, count)
        .and_then(|count| allowed_bytes(Call::WriteFile, descriptor, count));
    match allowed {
        Err(errno) => set_errno(errno) as ssize_t,
        // SAFETY: no more than the caller's count is written from its buffer.
        Ok(count) => unsafe { libc::syscall(libc::SYS_write, descriptor, bytes, count) as ssize_t },
    }
}

/// # Safety
/// As `recvfrom(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recvfrom(
    socket: c_int,
    bytes: *mut c_void,
    count: size_t,
    flags: c_int,
    from: *mut sockaddr,
    size: *mut socklen_t,
) -> ssize_t {
    if let Some(errno) = next_fault(Call::ReceiveDatagram) {
        return set_errno(errno) as ssize_t;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { libc::syscall(libc::SYS_recvfrom, socket, bytes, count, flags, from, size) as ssize_t }
}

/// # Safety
/// As `sendto(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sendto(
    socket: c_int,
    bytes: *const c_void,
    count: size_t,
    flags: c_int,
    to: *const sockaddr,
    size: socklen_t,
) -> ssize_t {
    if let Some(errno) = next_fault(Call::SendDatagram) {
        return set_errno(errno) as ssize_t;
    }
    // SAFETY: the caller's arguments are passed on.
    unsafe { libc::syscall(libc::SYS_sendto, socket, bytes, count, flags, to, size) as ssize_t }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    poll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = next_fault(Call::Wait) {
        return set_errno(errno);
    }
    let (no_mask, no_size): (*const libc::sigset_t, size_t) = (std::ptr::null(), 0);
    // SAFETY: the caller's arguments are passed on, without a signal mask.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, poll, events, most, timeout, no_mask, no_size) as c_int }
}

/// # Safety
/// As `rename(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const libc::c_char, to: *const libc::c_char) -> c_int {
    if let Some(errno) = next_fault(Call::Rename) {
        return set_errno(errno);
    }
    // SAFETY: the caller's C strings are passed on.
    unsafe {
        let (from, to) = (CStr::from_ptr(from), CStr::from_ptr(to));
        let folder = libc::AT_FDCWD;
        libc::syscall(libc::SYS_renameat2, folder, from.as_ptr(), folder, to.as_ptr(), 0) as c_int
    }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    match next_fault(Call::Sync) {
        Some(errno) => set_errno(errno),
        // SAFETY: the descriptor is passed on.
        None => unsafe { libc::syscall(libc::SYS_fsync, descriptor) as c_int },
    }
}

/// # Safety
/// As `fdatasync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    match next_fault(Call::Sync) {
        Some(errno) => set_errno(errno),
        // SAFETY: the descriptor is passed on.
        None => unsafe { libc::syscall(libc::SYS_fdatasync, descriptor) as c_int },
    }
}
