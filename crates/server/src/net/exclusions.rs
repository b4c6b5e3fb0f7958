//! Persistence of manual worker exclusions, for both processes of a hot restart and for the next startup.
//!
//! The facade holds the exclusions in force. Each is recorded as an empty file, named after the worker's id, in a
//! directory that the processes share: one process cannot overwrite what another has recorded, and each picks up the
//! other's changes by reading the directory at intervals. An exclusion is in force before it is confirmed to the
//! operator, whether or not it could be recorded.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashSet;
use thiserror::Error;
use tracing::{info, warn};

use super::hot_restart::SharedDirectory;
use super::Net;
use oakshed_core::facade::{Facade, Micros};

/// The interval at which the directory is read; an exclusion must be in force in both processes within 300 ms.
const RELOAD_PERIOD: Duration = Duration::from_millis(100);
/// How many times reading the directory is attempted at startup.
const STARTUP_READ_ATTEMPTS: u32 = 6;
/// The most files that are read from the directory, and the most exclusions that are recorded.
const MAX_EXCLUSIONS: usize = 4_096;
/// The longest worker id that is recorded, in bytes: a file name has at most 255 bytes, and uses two per byte of the
/// id.
const MAX_ID_BYTES: usize = 120;
/// The name of the directory on disk, which is shared with other versions of the program.
const DIRECTORY: &str = "bans";

/// The exclusions recorded in the directory.
#[derive(Default)]
pub(crate) struct Exclusions {
    /// `None` if the processes of this scheduler have no shared directory.
    directory: RefCell<Option<PathBuf>>,
    /// The ids that the directory contained when it was last read, and those recorded since.
    recorded: RefCell<FxHashSet<String>>,
    /// The ids excluded in this process that could not be written yet; writing is retried.
    unwritten: RefCell<FxHashSet<String>>,
}

/// Why recording an exclusion failed.
#[derive(Debug, Error)]
enum RecordError {
    /// An I/O error; recording is retried.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The exclusion cannot be recorded at all, so there is no retry.
    #[error(transparent)]
    Unrecordable(#[from] Unrecordable),
}

/// Why an exclusion cannot be recorded at all.
#[derive(Debug, Error)]
enum Unrecordable {
    #[error("there is no shared directory")]
    NoDirectory,
    #[error("its id is too long for a file name")]
    IdTooLong,
    #[error("the limit of {MAX_EXCLUSIONS} exclusions is reached")]
    TooMany,
}

/// Why an operator's command failed; the text is sent to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum ExclusionError {
    /// Discovery has never listed a worker with this id.
    #[error("no worker with this id was ever listed")]
    NeverListed,
    /// The file that records the exclusion cannot be removed.
    #[error("its recorded exclusion cannot be removed; see the log")]
    NotRemoved,
}

impl Exclusions {
    /// Excludes a worker; returns the confirmation for the operator.
    pub(super) fn exclude(
        &self,
        facade: &mut Facade,
        now: Micros,
        id: &str,
    ) -> Result<&'static str, ExclusionError> {
        if !facade.exclude(now, id) {
            return Err(ExclusionError::NeverListed);
        }
        match self.record(id) {
            Ok(()) => {
                info!(worker = id, "worker {id} excluded");
                Ok("it gets nothing new")
            }
            Err(RecordError::Io(e)) => {
                self.unwritten.borrow_mut().insert(id.to_owned());
                warn!(
                    worker = id,
                    error = %e,
                    "worker {id} excluded, but not recorded: {e}; retrying, until then a hot restart loses it"
                );
                Ok("it gets nothing new from this process; not on disk yet, which is tried again")
            }
            Err(RecordError::Unrecordable(why)) => {
                warn!(
                    worker = id,
                    error = %why,
                    "worker {id} excluded, but cannot be recorded: {why}; a hot restart loses it"
                );
                Ok("it gets nothing new from this process; not on disk, an upgrade would lose it")
            }
        }
    }

    /// Ends a worker's exclusion; returns the confirmation for the operator.
    pub(super) fn include(
        &self,
        facade: &mut Facade,
        now: Micros,
        id: &str,
    ) -> Result<&'static str, ExclusionError> {
        self.unwritten.borrow_mut().remove(id);
        // The file is removed first; otherwise the next reload would restore the exclusion.
        if let Some(directory) = &*self.directory.borrow() {
            match fs::remove_file(directory.join(file_name_of(id))) {
                Err(e) if e.kind() != io::ErrorKind::NotFound && facade.is_excluded(id) => {
                    warn!(
                        worker = id,
                        error = %e,
                        "worker {id}: recorded exclusion cannot be removed: {e}"
                    );
                    return Err(ExclusionError::NotRemoved);
                }
                _ => {}
            }
        }
        self.recorded.borrow_mut().remove(id);
        if !facade.include(now, id) {
            return Err(ExclusionError::NeverListed);
        }
        info!(worker = id, "worker {id} included");
        Ok("it is used again")
    }

    fn record(&self, id: &str) -> Result<(), RecordError> {
        let directory = self.directory.borrow();
        let directory = directory.as_ref().ok_or(Unrecordable::NoDirectory)?;
        if id.len() > MAX_ID_BYTES {
            return Err(Unrecordable::IdTooLong.into());
        }
        if self.recorded.borrow().len() + self.unwritten.borrow().len() >= MAX_EXCLUSIONS {
            return Err(Unrecordable::TooMany.into());
        }
        // A missing directory is not created again here: the next reload would end all exclusions that it had recorded.
        File::create(directory.join(file_name_of(id)))?;
        self.recorded.borrow_mut().insert(id.to_owned());
        Ok(())
    }

    /// Retries to record the exclusions that could not be written.
    fn retry_unwritten(&self) {
        let ids: Vec<String> = self.unwritten.take().into_iter().collect();
        for id in ids {
            match self.record(&id) {
                Ok(()) => info!(worker = id, "worker {id}: exclusion recorded after a retry"),
                Err(RecordError::Io(_)) => _ = self.unwritten.borrow_mut().insert(id),
                Err(RecordError::Unrecordable(why)) => {
                    warn!(
                        worker = id,
                        error = %why,
                        "worker {id}: exclusion cannot be recorded: {why}"
                    );
                }
            }
        }
    }

    /// Applies the exclusions that another process has recorded or removed.
    fn reload(&self, facade: &mut Facade, now: Micros) -> io::Result<()> {
        let Some(directory) = &*self.directory.borrow() else {
            return Ok(());
        };
        let found = read(directory)?;
        let mut recorded = self.recorded.borrow_mut();
        for id in found.difference(&recorded) {
            facade.resume_exclusion(now, id);
        }
        // Exclusions that were never recorded stay in force.
        for id in recorded.difference(&found) {
            facade.include(now, id);
        }
        *recorded = found;
        Ok(())
    }
}

/// Applies the recorded exclusions before anything is forwarded, and starts the task that reloads them.
pub(super) fn start(net: &Rc<Net>, directory: &SharedDirectory) {
    let path = directory.path(DIRECTORY);
    net.exclusions.directory.replace(Some(path.clone()));
    let mut created = false;
    if let Err(e) = read_at_start(net, &path, &mut created) {
        warn!(
            error = %e,
            "{}: {e}; exclusions are unknown until it can be read",
            path.display()
        );
    }
    let net = net.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(RELOAD_PERIOD).await;
            created = created || create_directory(&path).is_ok();
            net.exclusions.retry_unwritten();
            // If the directory cannot be read, the exclusions stay as they are.
            _ = net
                .exclusions
                .reload(&mut net.facade.borrow_mut(), net.clock.now());
        }
    });
}

/// Creates the directory if it does not exist.
fn create_directory(directory: &Path) -> io::Result<()> {
    match fs::create_dir(directory) {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => Err(e),
        _ => Ok(()),
    }
}

/// Reads the exclusions at startup, with retries: requests would be forwarded to a worker whose exclusion was missed.
fn read_at_start(net: &Net, directory: &Path, created: &mut bool) -> io::Result<()> {
    let mut outcome = Ok(());
    for _ in 0..STARTUP_READ_ATTEMPTS {
        let creation = create_directory(directory);
        *created = creation.is_ok();
        outcome = creation.and_then(|()| {
            net.exclusions
                .reload(&mut net.facade.borrow_mut(), net.clock.now())
        });
        if outcome.is_ok() {
            break;
        }
        std::thread::sleep(RELOAD_PERIOD / 2);
    }
    outcome
}

/// Returns the ids of the workers that are excluded according to the directory. Other files in it are ignored.
fn read(directory: &Path) -> io::Result<FxHashSet<String>> {
    let mut found = FxHashSet::default();
    for entry in fs::read_dir(directory)?.take(MAX_EXCLUSIONS) {
        found.extend(entry?.file_name().to_str().and_then(id_of_file));
    }
    Ok(found)
}

/// The file name for a worker's id: its bytes in hexadecimal, as an id may contain any character.
fn file_name_of(id: &str) -> String {
    id.bytes().map(|b| format!("{b:02x}")).collect()
}

/// The worker's id for a file name, unless the file is not one of an exclusion.
fn id_of_file(file_name: &str) -> Option<String> {
    let digits = |at: usize| {
        file_name
            .get(at..at + 2)
            .and_then(|two| u8::from_str_radix(two, 16).ok())
    };
    let bytes: Option<Vec<u8>> = (0..file_name.len()).step_by(2).map(digits).collect();
    // Accepts only the form that `file_name_of` produces, so that each id has one file name.
    String::from_utf8(bytes?)
        .ok()
        .filter(|id| !id.is_empty() && file_name_of(id) == file_name)
}
