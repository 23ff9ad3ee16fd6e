//! Injects failing system calls and a stepped wall clock into a process under test, through the library `fault-shim`
//! that is preloaded before the C library.

pub mod layout;

pub use layout::{Call, SHORT_TRANSFER, UNTIL_CLEARED};

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Controls the faults of one process through its control file.
#[derive(Debug)]
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// Creates a control file without faults.
    pub fn new(path: &Path) -> io::Result<Faults> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len((layout::FILE_WORDS * size_of::<u64>()) as u64)?;
        Ok(Faults { path: path.to_owned(), file })
    }

    /// Makes the command's program preload the library and use this control file.
    pub fn preload(&self, command: &mut Command) -> io::Result<()> {
        command.env("LD_PRELOAD", library_path()?).env(layout::CONTROL_FILE_VARIABLE, &self.path);
        Ok(())
    }

    fn set(&self, word: usize, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (word * size_of::<u64>()) as u64)
    }

    fn get(&self, word: usize) -> io::Result<u64> {
        let mut bytes = [0; size_of::<u64>()];
        self.file.read_exact_at(&mut bytes, (word * size_of::<u64>()) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    /// Offsets the wall clock by this many milliseconds.
    pub fn step_wall_clock(&self, milliseconds: i64) -> io::Result<()> {
        self.set(layout::WALL_OFFSET, (milliseconds * 1_000_000) as u64)
    }

    /// Makes the next `times` of these calls fail with this errno; [`UNTIL_CLEARED`] until [`Faults::clear`].
    pub fn fail(&self, call: Call, errno: u64, times: u64) -> io::Result<()> {
        self.fail_after(call, 0, errno, times)
    }

    /// Like [`Faults::fail`], after `passing` calls that succeed.
    pub fn fail_after(&self, call: Call, passing: u64, errno: u64, times: u64) -> io::Result<()> {
        self.arm(call, passing, false, errno, times)
    }

    /// Like [`Faults::fail_after`], but the calls that succeed transfer one byte each.
    pub fn fail_after_short(&self, call: Call, passing: u64, errno: u64, times: u64) -> io::Result<()> {
        self.arm(call, passing, true, errno, times)
    }

    fn arm(&self, call: Call, passing: u64, short: bool, errno: u64, times: u64) -> io::Result<()> {
        self.set(call.errno(), 0)?;
        self.set(call.remaining(), times)?;
        self.set(call.passing(), passing)?;
        self.set(call.passing_short(), u64::from(short))?;
        self.set(call.errno(), errno)
    }

    /// Stops the call from failing.
    pub fn clear(&self, call: Call) -> io::Result<()> {
        self.set(call.errno(), 0)
    }

    /// Number of times the call has failed so far.
    pub fn injected(&self, call: Call) -> io::Result<u64> {
        self.get(call.injected())
    }
}

/// Path of the built library, which cargo puts beside this program's dependencies.
fn library_path() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(2);
    let candidates =
        folders.flat_map(|folder| [folder.join("deps/libfault_shim.so"), folder.join("libfault_shim.so")]);
    let found = candidates.into_iter().find(|path| path.exists());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "libfault_shim.so was not built"))
}
