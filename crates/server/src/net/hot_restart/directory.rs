//! The directory in `$TMPDIR` that consecutive processes of one scheduler share.
//!
//! It is named after the listen address, and holds the Unix socket of the hot restart and the manual exclusions. A
//! process replaces that socket by `rename`, and removes only a socket whose name has its own process id, never that of
//! another process.

use std::fs::{self, DirBuilder, File};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;
use tracing::warn;

/// The length in bytes from which a Unix socket's path is too long for some systems.
const SOCKET_PATH_LIMIT: usize = 100;
/// The name of the Unix socket on which the predecessor answers.
const SOCKET_NAME: &str = "handover";

/// The directory that consecutive processes of one scheduler share.
pub(in super::super) struct SharedDirectory {
    path: PathBuf,
    /// An open descriptor of the directory, by which a socket is reached whose path is too long.
    handle: File,
}

impl SharedDirectory {
    /// Creates or opens the directory for the scheduler at this address. `None`, and thus no hot restart, if
    /// `$TMPDIR` is not set, the port is 0 or the directory cannot be opened.
    pub(in super::super) fn open(
        tmp: Option<&Path>,
        listen: SocketAddr,
    ) -> Option<SharedDirectory> {
        // With port 0, the system picks another port at each start, so there is no socket to take over.
        let path = tmp
            .filter(|_| listen.port() != 0)?
            .join(format!("oakshed-{listen}"));
        let opened = match DirBuilder::new().mode(0o700).create(&path) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => Err(e),
            _ => File::open(&path),
        };
        match opened {
            Ok(handle) => Some(SharedDirectory { path, handle }),
            Err(e) => {
                warn!(
                    error = %e,
                    "hot restart: {}: {e}; no successor can take over from this process",
                    path.display()
                );
                None
            }
        }
    }

    /// The directory's path.
    pub(in super::super) fn root(&self) -> &Path {
        &self.path
    }

    /// The path of a file in the directory.
    pub(in super::super) fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// The path of the Unix socket on which the predecessor answers.
    pub(super) fn socket_path(&self) -> PathBuf {
        self.short_path(SOCKET_NAME)
    }

    /// The path of a Unix socket in the directory, through `/proc/self/fd` if the plain path is too long.
    fn short_path(&self, name: &str) -> PathBuf {
        let path = self.path.join(name);
        match path.as_os_str().len() {
            ..SOCKET_PATH_LIMIT => path,
            _ => PathBuf::from(format!("/proc/self/fd/{}", self.handle.as_raw_fd())).join(name),
        }
    }

    /// Binds a socket of this process, and atomically replaces the present one by it.
    pub(super) fn claim(&self) -> io::Result<UnixListener> {
        let own = format!("{SOCKET_NAME}.{}", std::process::id());
        _ = fs::remove_file(self.path(&own));
        let listener = UnixListener::bind(self.short_path(&own))?;
        fs::rename(self.path(&own), self.path(SOCKET_NAME))?;
        Ok(listener)
    }
}
