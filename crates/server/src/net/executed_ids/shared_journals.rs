//! The journals of all processes of a scheduler, which share a directory.

use std::cmp::Reverse;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use super::journal::{Journal, JournalReader};
use super::record::Record;
use super::FILE_PREFIX;

/// How many journals of processes that have ended are kept at most.
const MAX_ENDED: usize = 8;

/// The journal of this process, and those of the others.
pub(super) struct SharedJournals {
    directory: PathBuf,
    own: Journal,
    others: Vec<JournalReader>,
}

impl SharedJournals {
    /// Creates this process's journal for this many records.
    pub(super) fn open(directory: &Path, capacity: usize) -> io::Result<SharedJournals> {
        Ok(SharedJournals {
            directory: directory.to_owned(),
            own: Journal::create(directory, capacity)?,
            others: Vec::new(),
        })
    }

    pub(super) fn append(&mut self, record: Record) {
        self.own.append(record);
    }

    /// Opens the journals of processes that have started since the last call, and finds out which processes have ended.
    pub(super) fn find_others(&mut self) {
        let entries = fs::read_dir(&self.directory).into_iter().flatten();
        for entry in entries.flatten() {
            let name = entry.file_name();
            let path = entry.path();
            let is_journal = name.to_string_lossy().starts_with(FILE_PREFIX);
            let is_known = path == self.own.path() || self.others.iter().any(|o| o.path() == path);
            if is_journal && !is_known {
                self.others.extend(JournalReader::open(&path));
            }
        }
        for other in &mut self.others {
            other.check_owner();
        }
    }

    /// Whether a process that shares the directory was running when that was last found out.
    pub(super) fn is_other_running(&self) -> bool {
        self.others.iter().any(|other| !other.has_owner_ended())
    }

    /// The records that other processes have written since the last call.
    pub(super) fn read_others(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for other in &mut self.others {
            other.read_new(&mut records);
        }
        records
    }

    /// Closes the journals of processes that had ended before the last records were read. Removes those that have
    /// expired, and the older ones of very many processes that ended one after the other.
    pub(super) fn close_ended(&mut self) {
        self.others.sort_by_key(|other| Reverse(other.newest()));
        let mut ended = 0;
        self.others.retain_mut(|other| {
            if !other.has_owner_ended() {
                return true;
            }
            ended += 1;
            other.close();
            let is_kept = ended <= MAX_ENDED && !other.has_expired();
            if !is_kept {
                _ = fs::remove_file(other.path());
            }
            is_kept
        });
    }
}
