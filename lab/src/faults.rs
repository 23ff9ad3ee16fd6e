//! Failing system calls and a stepped wall clock in a process under test, through the library `fault-shim` that is
//! loaded in front of the C library.

pub mod layout;

pub use layout::{Call, SHORT_TRANSFER, UNTIL_CLEARED};

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Steers what one process meets.
#[derive(Debug)]
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// Makes a control file, with nothing armed.
    pub fn new(path: &Path) -> io::Result<Faults> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len((layout::LENGTH * size_of::<u64>()) as u64)?;
        Ok(Faults { path: path.to_owned(), file })
    }

    /// Has the program of this command meet them.
    pub fn preload(&self, command: &mut Command) -> io::Result<()> {
        command.env("LD_PRELOAD", library()?).env(layout::CONTROL, &self.path);
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

    /// From now on the wall clock is off by so many milliseconds.
    pub fn step_wall_clock(&self, milliseconds: i64) -> io::Result<()> {
        self.set(layout::WALL_OFFSET, (milliseconds * 1_000_000) as u64)
    }

    /// The next `times` of these calls fail with this errno; [`UNTIL_CLEARED`] until [`Faults::clear`].
    pub fn fail(&self, call: Call, errno: u64, times: u64) -> io::Result<()> {
        self.fail_after(call, 0, errno, times)
    }

    /// The same, once so many calls have passed.
    pub fn fail_after(&self, call: Call, passing: u64, errno: u64, times: u64) -> io::Result<()> {
        self.arm(call, passing, false, errno, times)
    }

    /// The same, where those that pass first move one byte each.
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

    /// The call fails no longer.
    pub fn clear(&self, call: Call) -> io::Result<()> {
        self.set(call.errno(), 0)
    }

    /// How often the call has failed so far.
    pub fn injected(&self, call: Call) -> io::Result<u64> {
        self.get(call.injected())
    }
}

/// The built library, which cargo leaves beside the dependencies of this program.
fn library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(2);
    let names =
        folders.flat_map(|folder| [folder.join("deps/libfault_shim.so"), folder.join("libfault_shim.so")]);
    let found = names.into_iter().find(|name| name.exists());
    found.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "libfault_shim.so was not built"))
}
