//! The journals of all processes of a scheduler, which share a directory.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use super::journal::{Journal, JournalReader};
use super::record::Record;
use super::FILE_PREFIX;

/// The journal of this process, and those of the others.
pub(super) struct SharedJournals {
    directory: PathBuf,
    own: Journal,
    others: Vec<JournalReader>,
}

impl SharedJournals {
    /// Creates this process's journal for this many records, and opens those of the others.
    pub(super) fn open(directory: &Path, capacity: usize) -> io::Result<SharedJournals> {
        let mut journals = SharedJournals {
            directory: directory.to_owned(),
            own: Journal::create(directory, capacity)?,
            others: Vec::new(),
        };
        journals.find_others();
        Ok(journals)
    }

    pub(super) fn append(&mut self, record: Record) {
        self.own.append(record);
    }

    /// Opens the journals of processes that have started since the last call.
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
    }

    /// The records that other processes have written since the last call.
    pub(super) fn read_others(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        for other in &mut self.others {
            other.read_new(&mut records);
        }
        records
    }

    /// Removes the journals that are of no use any more to any process.
    pub(super) fn remove_obsolete(&mut self) {
        self.others.retain(|other| {
            let is_obsolete = other.is_obsolete();
            if is_obsolete {
                _ = fs::remove_file(other.path());
            }
            !is_obsolete
        });
    }
}
