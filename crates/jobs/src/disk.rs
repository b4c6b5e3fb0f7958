//! The log's directory on disk, and the settlement files that operators leave in it.
//!
//! A lock file keeps a second process out, and segments get their disk blocks when they are created.
//! Creating, renaming and removing a file sync the directory before they return.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use rustix::fs::{fallocate, flock, FallocateFlags, FlockOperation};
use rustix::io::Errno;

use crate::log::LogDirectory;
use crate::record::{JobId, Outcome};

/// A log directory, either locked by this process or opened read-only.
pub struct Disk {
    path: PathBuf,
    /// The open directory, which is synced after its entries change.
    directory: File,
    /// The open lock file; closing it releases the lock.
    _lock: Option<File>,
}

impl Disk {
    /// Locks a directory for this process, and creates the directory if it does not exist.
    ///
    /// # Errors
    /// Fails when the directory cannot be created, opened or synced, and with
    /// [`io::ErrorKind::ResourceBusy`] when another process has it locked.
    pub fn lock(path: &Path) -> io::Result<Disk> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .mode(0o600)
            .open(path.join("lock"))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(lock_error)?;
        let directory = File::open(path)?;
        directory.sync_all()?;
        Ok(Disk {
            path: path.to_owned(),
            directory,
            _lock: Some(lock),
        })
    }

    /// Opens a directory read-only, without locking it.
    ///
    /// # Errors
    /// Fails when the directory cannot be opened.
    pub fn open_read_only(path: &Path) -> io::Result<Disk> {
        Ok(Disk {
            path: path.to_owned(),
            directory: File::open(path)?,
            _lock: None,
        })
    }
}

fn lock_error(errno: Errno) -> io::Error {
    match errno {
        Errno::WOULDBLOCK => io::Error::new(
            io::ErrorKind::ResourceBusy,
            "the directory is locked by another process",
        ),
        errno => errno.into(),
    }
}

impl LogDirectory for Disk {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().into_string().unwrap_or_default()));
        names.collect()
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).open(self.path.join(name))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str, size: usize) -> io::Result<()> {
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .mode(0o600)
            .open(path)?;
        match fallocate(&file, FallocateFlags::empty(), 0, size as u64) {
            Err(Errno::OPNOTSUPP | Errno::NOSYS) => {
                let zeros = vec![0; 1 << 20];
                for offset in (0..size).step_by(zeros.len()) {
                    file.write_all_at(&zeros[..zeros.len().min(size - offset)], offset as u64)?;
                }
            }
            result => result?,
        }
        file.sync_all()?;
        self.directory.sync_all()
    }

    fn write(&self, file: &File, offset: usize, bytes: &[u8]) -> io::Result<()> {
        file.write_all_at(bytes, offset as u64)
    }

    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.directory.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            result => result?,
        }
        // Needed for an absent file too: an earlier call may have removed it and then failed to sync.
        self.directory.sync_all()
    }
}

/// Returns the machine's boot identifier and uptime. If the boot identifier cannot be read it is 0, and
/// every process start counts as a new boot.
pub fn boot() -> crate::machine::Boot {
    let boot_id = fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: String = boot_id.chars().filter(char::is_ascii_hexdigit).collect();
    let uptime = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    crate::machine::Boot {
        id: u128::from_str_radix(&digits, 16).unwrap_or(0),
        uptime: uptime.tv_sec as u64 * 1_000_000 + uptime.tv_nsec as u64 / 1_000,
    }
}

/// Writes an operator's settlement of an indeterminate job as a file, which the process that has locked the
/// directory picks up. Returns the file's path.
///
/// # Errors
/// Fails when the file cannot be created or synced.
pub fn write_settlement(dir: &Path, id: JobId, outcome: Outcome) -> io::Result<PathBuf> {
    let suffix = match outcome {
        Outcome::Ran => "ran",
        Outcome::Never => "never",
    };
    let path = dir.join(format!("settle-{id}-{suffix}"));
    File::create(&path)?.sync_all()?;
    File::open(dir)?.sync_all()?;
    Ok(path)
}

/// An operator's settlement of an indeterminate job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// The settlement file, which can be removed once the settlement is durable in the log.
    pub path: PathBuf,
    /// The settled job.
    pub id: JobId,
    /// Whether the job ran.
    pub outcome: Outcome,
}

impl Settlement {
    /// Parses the name of a settlement file, `settle-<job id>-<ran|never>`.
    fn parse(path: PathBuf) -> Option<Settlement> {
        let name = path.file_name()?.to_str()?;
        let (id, suffix) = name.strip_prefix("settle-")?.split_once('-')?;
        let outcome = match suffix {
            "ran" => Outcome::Ran,
            "never" => Outcome::Never,
            _ => return None,
        };
        let id = id.parse().ok()?;
        Some(Settlement { path, id, outcome })
    }
}

/// Returns the settlements that operators have written to a directory. Other files are ignored, and a
/// directory that cannot be read has none.
#[must_use]
pub fn settlements(dir: &Path) -> Vec<Settlement> {
    let Ok(entries) = fs::read_dir(dir) else {
        return Vec::new();
    };
    entries
        .flatten()
        .filter_map(|entry| Settlement::parse(entry.path()))
        .collect()
}
