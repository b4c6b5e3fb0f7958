//! The log beneath the jobs: records in files of one size, appended in groups, read back at a start.
//!
//! It owns the file format, the cut of a torn tail, and the old files' removal. It must never call a
//! record durable before its sync, retry a sync that failed, or pass over damage.
//!
//! # Format, version 1
//!
//! Files are named `<first record's number, 20 digits>.log`, and are made at their full size ahead of
//! their use (`spare.log`), so that an append neither meets a full disk nor changes a file's length. A
//! file begins with [`MAGIC`], whose last byte is the version, and the first record's number (u64). Then
//! frames: length of the payload (u32), CRC-32 of all that follows (u32), number (u64), the number up
//! to which all was synced when this was written (u64), payload (a [`Record`] in postcard's form). All
//! numbers are little-endian; a length of 0 ends the file.
//!
//! # Torn, or damaged
//!
//! Writes that no sync has confirmed may be there in part after a crash, in any order. A frame that
//! cannot be read is *torn* if nothing readable after it says that it had been synced; then it and all
//! after it was never promised, and is cut. Otherwise it is *damage*, and the start is refused.

use std::fmt;
use std::io;

use crate::record::Record;

mod frames;

pub use frames::{encode, encode_all, LONGEST, MAGIC};
use frames::{scan, HEAD};

/// The file that is ready for use next.
const SPARE: &str = "spare.log";

/// What the log needs of a directory. Everything is as durable as its last `sync`, but `create`,
/// `rename` and `remove`, which are durable when they return.
pub trait Files {
    /// An open file.
    type File;
    /// The names in the directory.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Opens a file to write to it.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes a file of zeros, with its blocks taken on the disk.
    fn create(&self, name: &str, size: usize) -> io::Result<()>;
    /// Writes bytes at a place.
    fn write(&self, file: &Self::File, at: usize, bytes: &[u8]) -> io::Result<()>;
    /// Makes all writes to the file durable.
    fn sync(&self, file: &Self::File) -> io::Result<()>;
    /// Gives a file another name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// Why a log cannot be used.
#[derive(Debug)]
pub enum Trouble {
    /// The system said no.
    Io(String, io::Error),
    /// A file is of a format that this program does not know.
    Newer {
        /// The file.
        file: String,
        /// Its version.
        version: u8,
    },
    /// Something that had been synced cannot be read.
    Damage {
        /// The file.
        file: String,
        /// Where in it.
        offset: usize,
        /// What is wrong.
        why: String,
    },
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Io(what, e) => write!(f, "{what}: {e}"),
            Trouble::Newer { file, version } => {
                write!(f, "{file} is of format version {version}; this program reads version {}", MAGIC[7])
            }
            Trouble::Damage { file, offset, why } => write!(f, "{file} is damaged at offset {offset}: {why}"),
        }
    }
}

impl std::error::Error for Trouble {}

/// What was read back.
#[derive(Debug, Default)]
pub struct Recovered {
    /// The records, with their numbers.
    pub records: Vec<(u64, Record)>,
    /// Where a torn tail was cut, in which file.
    pub cut: Option<(String, usize)>,
}

/// The log, open for writing.
pub struct Log<F: Files> {
    files: F,
    size: usize,
    /// The files' first numbers, oldest first.
    segments: Vec<u64>,
    current: F::File,
    at: usize,
    next: u64,
    spare: bool,
    failed: bool,
}

fn name(first: u64) -> String {
    format!("{first:020}.log")
}

fn told(what: String) -> impl FnOnce(io::Error) -> Trouble {
    move |e| Trouble::Io(what, e)
}

/// Reads all files of a log without changing anything. The second value tells, file by file, what could
/// not be read; what was readable is there all the same.
pub fn read_all(files: &impl Files) -> Result<(Recovered, Vec<Trouble>), Trouble> {
    let mut firsts: Vec<u64> = list(files)?;
    firsts.sort_unstable();
    let (mut recovered, mut troubles) = (Recovered::default(), Vec::new());
    for (i, &first) in firsts.iter().enumerate() {
        let file = name(first);
        let bytes = files.read(&file).map_err(told(format!("reading {file}")))?;
        let mut part = scan(&file, &bytes, first)?;
        let next = part.records.last().map_or(first, |(n, _)| n + 1);
        // A head is durable before its file has its name, and a file before the next one begins: only
        // in the last file, behind its head, can anything be torn.
        let after = firsts.get(i + 1);
        if part.wrong.is_none() && after.is_some_and(|&after| after != next) {
            part.wrong = Some(format!("record {next} is missing"));
        }
        recovered.records.append(&mut part.records);
        if let Some(why) = part.wrong {
            let torn = part.end >= HEAD && after.is_none() && part.synced < next;
            match torn {
                true => recovered.cut = Some((file, part.end)),
                false => troubles.push(Trouble::Damage { file, offset: part.end, why }),
            }
        }
    }
    Ok((recovered, troubles))
}

fn list(files: &impl Files) -> Result<Vec<u64>, Trouble> {
    let names = files.list().map_err(told("listing the directory".into()))?;
    let number = |n: &String| n.strip_suffix(".log").filter(|n| n.len() == 20)?.parse().ok();
    Ok(names.iter().filter_map(number).collect())
}

impl<F: Files> Log<F> {
    /// Opens the log in a directory, or begins one. What was torn is cut; damage is an error.
    pub fn open(files: F, size: usize) -> Result<(Log<F>, Recovered), Trouble> {
        let (recovered, troubles) = read_all(&files)?;
        if let Some(trouble) = troubles.into_iter().next() {
            return Err(trouble);
        }
        let io = |what: &str| told(what.to_owned());
        let mut segments = list(&files)?;
        segments.sort_unstable();
        // A new life begins a new file. One that holds nothing would have the same name.
        let last = segments.last().copied().unwrap_or(1);
        let next = recovered.records.last().map_or(last, |(n, _)| (n + 1).max(last));
        if segments.last() == Some(&next) {
            files.remove(&name(next)).map_err(io("removing an empty file"))?;
            segments.pop();
        } else if let Some(&last) = segments.last() {
            // What was read may be in the system's cache only, and after a failed sync a further sync
            // would confirm it without writing. So it is written again; what was torn goes, lest it is
            // taken for damage once a file follows.
            let file = name(last);
            let mut bytes = files.read(&file).map_err(io("reading the last file"))?;
            let end = recovered.cut.as_ref().map_or(bytes.len(), |cut| cut.1);
            bytes[end..].fill(0);
            let open = files.open(&file).map_err(io("opening the last file"))?;
            files.write(&open, 0, &bytes).map_err(io("writing the last file again"))?;
            files.sync(&open).map_err(io("writing the last file again"))?;
        }
        if files.list().map_err(io("listing the directory"))?.iter().any(|n| n == SPARE) {
            files.remove(SPARE).map_err(io("removing an old spare file"))?;
        }
        files.create(SPARE, size).map_err(io("making a file"))?;
        let current = begin(&files, next).map_err(io("making a file"))?;
        segments.push(next);
        let mut log = Log { files, size, segments, current, at: HEAD, next, spare: false, failed: false };
        log.make_spare();
        Ok((log, recovered))
    }

    /// The number that the next record gets.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether a further file is ready: where not, the disk has no room for one.
    pub fn has_room(&self) -> bool {
        self.spare
    }

    /// How many bytes the files take.
    pub fn bytes(&self) -> usize {
        (self.segments.len() + usize::from(self.spare)) * self.size
    }

    /// Tries to have a further file ready; tells whether there is one.
    pub fn make_spare(&mut self) -> bool {
        if !self.spare {
            self.spare = self.files.create(SPARE, self.size).is_ok();
            if !self.spare {
                _ = self.files.remove(SPARE);
            }
        }
        self.spare
    }

    /// Appends frames, whose lengths are given, and makes them durable. After an error nothing more is
    /// ever written: what the system has dropped at a failed sync cannot be known.
    pub fn append(&mut self, frames: &[u8], lengths: &[usize]) -> Result<(), Trouble> {
        if self.failed {
            return Err(Trouble::Io("appending".into(), io::Error::other("the log has failed before")));
        }
        let outcome = self.write(frames, lengths);
        self.failed = outcome.is_err();
        outcome
    }

    fn write(&mut self, frames: &[u8], lengths: &[usize]) -> Result<(), Trouble> {
        let (mut from, mut to) = (0, 0);
        let mut written = 0;
        for &length in lengths {
            if self.at + (to - from) + length > self.size {
                self.put(&frames[from..to], written)?;
                (from, written) = (to, 0);
                self.rotate()?;
            }
            to += length;
            written += 1;
        }
        self.put(&frames[from..to], written)
    }

    fn put(&mut self, bytes: &[u8], records: u64) -> Result<(), Trouble> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.files.write(&self.current, self.at, bytes).map_err(told("writing records".into()))?;
        self.files.sync(&self.current).map_err(told("syncing records".into()))?;
        self.at += bytes.len();
        self.next += records;
        Ok(())
    }

    fn rotate(&mut self) -> Result<(), Trouble> {
        if !self.make_spare() {
            let full = io::Error::new(io::ErrorKind::StorageFull, "no room for a further file");
            return Err(Trouble::Io("beginning a file".into(), full));
        }
        self.spare = false;
        self.current = begin(&self.files, self.next).map_err(told("beginning a file".into()))?;
        self.segments.push(self.next);
        self.at = HEAD;
        self.make_spare();
        Ok(())
    }

    /// Removes the files that hold only records before a number.
    pub fn trim(&mut self, low: u64) -> Result<usize, Trouble> {
        let mut removed = 0;
        while self.segments.len() > 1 && self.segments[1] <= low {
            let file = name(self.segments[0]);
            self.files.remove(&file).map_err(told(format!("removing {file}")))?;
            self.segments.remove(0);
            removed += 1;
        }
        Ok(removed)
    }
}

/// Takes the spare file into use: its head is durable before it has its name.
fn begin<F: Files>(files: &F, first: u64) -> io::Result<F::File> {
    let file = files.open(SPARE)?;
    let mut head = MAGIC.to_vec();
    head.extend_from_slice(&first.to_le_bytes());
    files.write(&file, 0, &head)?;
    files.sync(&file)?;
    files.rename(SPARE, &name(first))?;
    Ok(file)
}
