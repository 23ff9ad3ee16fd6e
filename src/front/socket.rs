//! Unix socket files: created with their final mode, and removed only by the process that created them.

use std::fs::{self, DirBuilder, Permissions};
use std::io;
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// A socket file that this process created; removed when dropped.
#[derive(Debug)]
pub struct SocketFile {
    path: PathBuf,
    identity: (u64, u64),
}

/// Listens at a path in place of the process that listens there now, which keeps the connections it has received.
///
/// # Errors
/// The path exists and is not a socket, or the system refuses a step.
pub fn replace(path: &Path, mode: u32) -> io::Result<(UnixListener, SocketFile)> {
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            Err(io::Error::new(io::ErrorKind::AlreadyExists, "the path exists and is not a socket"))
        }
        _ => create(path, mode),
    }
}

/// Listens at a path. A stale socket file, at which no process listens, is replaced. A socket at which a process
/// listens, or anything that is not a socket, is left unchanged and is an error.
///
/// # Errors
/// A process listens at the path, the path exists and is not a socket, or the system refuses a step.
pub fn bind(path: &Path, mode: u32) -> io::Result<(UnixListener, SocketFile)> {
    match fs::symlink_metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(e),
        Ok(found) if !found.file_type().is_socket() => {
            return Err(io::Error::new(io::ErrorKind::AlreadyExists, "the path exists and is not a socket"));
        }
        Ok(_) => match UnixStream::connect(path) {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
            Ok(_) => return Err(io::Error::new(io::ErrorKind::AddrInUse, "another process listens there")),
        },
    }
    create(path, mode)
}

fn create(path: &Path, mode: u32) -> io::Result<(UnixListener, SocketFile)> {
    // The socket is created in a folder that is closed to other users, given its mode, then renamed into place, so that
    // it is never reachable with the mode that the umask happens to give.
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let folder = path.with_file_name(format!(".{name}.{}", std::process::id()));
    DirBuilder::new().mode(0o700).create(&folder)?;
    let temporary_path = folder.join("s");
    let created = UnixListener::bind(&temporary_path).and_then(|listener| {
        fs::set_permissions(&temporary_path, Permissions::from_mode(mode))?;
        let identity = fs::symlink_metadata(&temporary_path).map(|m| (m.dev(), m.ino()))?;
        fs::rename(&temporary_path, path)?;
        Ok((listener, SocketFile { path: path.to_owned(), identity }))
    });
    let _ = fs::remove_file(&temporary_path);
    let _ = fs::remove_dir(&folder);
    created
}

impl SocketFile {
    /// Changes the mode of the file.
    ///
    /// # Errors
    /// The system refuses the change.
    pub fn set_mode(&self, mode: u32) -> io::Result<()> {
        fs::set_permissions(&self.path, Permissions::from_mode(mode))
    }
}

impl Drop for SocketFile {
    /// Removes the file, unless a later process has put its own socket in its place.
    fn drop(&mut self) {
        let current = fs::symlink_metadata(&self.path).map(|m| (m.dev(), m.ino()));
        if current.is_ok_and(|identity| identity == self.identity) {
            let _ = fs::remove_file(&self.path);
        }
    }
}
