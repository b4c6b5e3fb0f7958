//! In-memory directory with injected disk faults, for tests.
//!
//! It models the weakest guarantees that the operating system allows. A crash may lose or tear unsynced
//! writes, any call may fail with or without taking effect, the disk may fill up, and stored bytes may be
//! corrupted. All randomness comes from generators that the caller seeds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use fastrand::Rng;

use crate::log::LogDirectory;

/// Size in bytes of the unit that the disk writes as a whole.
const SECTOR: usize = 512;
/// Linux error number of a device error.
const EIO: i32 = 5;
/// Linux error number of a full disk.
const ENOSPC: i32 = 28;

#[derive(Default)]
struct FileContents {
    /// The bytes that survive a crash.
    durable: Vec<u8>,
    /// The bytes that a read returns, as in the page cache.
    cached: Vec<u8>,
    /// Ranges written since the last sync.
    dirty: Vec<(usize, usize)>,
}

impl FileContents {
    /// Makes each unsynced sector durable with probability one half. Afterwards no sector counts as unsynced.
    fn write_back_random_sectors(&mut self, rng: &mut Rng) {
        for (from, to) in std::mem::take(&mut self.dirty) {
            for sector in from / SECTOR..to.div_ceil(SECTOR) {
                if rng.bool() {
                    let start = (sector * SECTOR).max(from);
                    let end = ((sector + 1) * SECTOR).min(to);
                    self.durable[start..end].copy_from_slice(&self.cached[start..end]);
                }
            }
        }
    }
}

type FileTable = BTreeMap<String, Rc<RefCell<FileContents>>>;

/// An operation that an outage can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// [`LogDirectory::list`].
    List,
    /// [`LogDirectory::open`].
    Open,
    /// [`LogDirectory::read`].
    Read,
    /// [`LogDirectory::create`].
    Create,
    /// [`LogDirectory::write`].
    Write,
    /// [`LogDirectory::sync`].
    Sync,
    /// [`LogDirectory::rename`].
    Rename,
    /// [`LogDirectory::remove`].
    Remove,
}

impl Operation {
    /// All operations.
    pub const ALL: [Operation; 8] = [
        Operation::List,
        Operation::Open,
        Operation::Read,
        Operation::Create,
        Operation::Write,
        Operation::Sync,
        Operation::Rename,
        Operation::Remove,
    ];
}

/// A period in which operations fail at random.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The operations that may fail.
    pub operations: Vec<Operation>,
    /// Failure probability of such an operation, in thousandths.
    pub per_mille: u32,
    /// Decides which operations fail, and how much of a failed one takes effect.
    pub rng: Rng,
}

#[derive(Default)]
struct State {
    files: FileTable,
    /// The directory before the failed changes since the last successful one. A crash may revert to it.
    revert_to: Option<FileTable>,
    /// Number of files that can still be created; `None` for any number.
    capacity: Option<usize>,
    fail_sync: bool,
    outage: Option<Outage>,
    /// Number of operations that outages have failed.
    faults: u64,
    /// Number of operations until the machine stops, which it has at 0; `None` if it does not stop.
    operations_left: Option<u32>,
}

/// An in-memory directory with injected faults. Clones share its files, as successive processes would.
#[derive(Clone, Default)]
pub struct FaultyDirectory(Rc<RefCell<State>>);

impl FaultyDirectory {
    /// Simulates a crash and restart of the machine. Each unsynced sector survives with probability one half;
    /// with the same probability the directory reverts to its state before the failed changes.
    pub fn crash(&self, rng: &mut Rng) {
        let state = &mut *self.0.borrow_mut();
        state.fail_sync = false;
        state.operations_left = None;
        if let Some(before) = state.revert_to.take() {
            if rng.bool() {
                state.files = before;
            }
        }
        for file in state.files.values() {
            let file = &mut *file.borrow_mut();
            file.write_back_random_sectors(rng);
            file.cached.clone_from(&file.durable);
        }
    }

    /// Makes the next sync fail. The data that it should have written is lost and no later sync writes it, as
    /// on Linux.
    pub fn fail_next_sync(&self) {
        self.0.borrow_mut().fail_sync = true;
    }

    /// Sets the outage, or ends it with `None`, and returns the previous one.
    ///
    /// During an outage a failed write takes effect in part. A failed sync makes a random subset of the
    /// sectors durable, and no later sync writes the others. A failed change of the directory may take
    /// effect, a failed `create` with a partial file, and a crash may revert it.
    #[allow(
        clippy::must_use_candidate,
        reason = "most callers do not need the previous outage"
    )]
    pub fn set_outage(&self, outage: Option<Outage>) -> Option<Outage> {
        std::mem::replace(&mut self.0.borrow_mut().outage, outage)
    }

    /// Returns the number of operations that outages have failed.
    #[must_use]
    pub fn faults(&self) -> u64 {
        self.0.borrow().faults
    }

    /// Stops the machine after the given number of modifying operations. All later ones fail until
    /// [`FaultyDirectory::crash`].
    pub fn stop_after(&self, operations: u32) {
        self.0.borrow_mut().operations_left = Some(operations);
    }

    /// Returns whether the machine has stopped.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        self.0.borrow().operations_left == Some(0)
    }

    /// Counts a modifying operation, and fails if the machine has stopped.
    fn count_operation(&self) -> io::Result<()> {
        match &mut self.0.borrow_mut().operations_left {
            Some(0) => Err(io::Error::other("the machine has stopped")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Sets the number of files that can still be created; `None` for any number.
    pub fn set_capacity(&self, capacity: Option<usize>) {
        self.0.borrow_mut().capacity = capacity;
    }

    /// Corrupts one byte.
    pub fn corrupt_byte(&self, name: &str, at: usize) {
        if let Some(file) = self.0.borrow().files.get(name) {
            let file = &mut *file.borrow_mut();
            file.durable[at] ^= 0x55;
            file.cached[at] = file.durable[at];
        }
    }
}

impl State {
    /// Decides whether the outage fails an operation. If so, returns the error and the generator that decides
    /// how much of the operation takes effect.
    fn inject_fault(&mut self, operation: Operation) -> Option<(io::Error, &mut Rng)> {
        let outage = self.outage.as_mut()?;
        let fails =
            outage.operations.contains(&operation) && outage.rng.u32(0..1_000) < outage.per_mille;
        if !fails {
            return None;
        }
        self.faults += 1;
        let takes_space = matches!(operation, Operation::Create | Operation::Write);
        let error_number = if takes_space && outage.rng.bool() {
            ENOSPC
        } else {
            EIO
        };
        Some((io::Error::from_raw_os_error(error_number), &mut outage.rng))
    }

    /// Changes the directory. If the outage fails the operation, the change is made with probability one half,
    /// and a crash may revert it.
    fn change_directory(
        &mut self,
        operation: Operation,
        change: impl FnOnce(&mut FileTable),
    ) -> io::Result<()> {
        let Some((error, rng)) = self.inject_fault(operation) else {
            change(&mut self.files);
            self.revert_to = None;
            return Ok(());
        };
        let takes_effect = rng.bool();
        if takes_effect {
            let before = self.files.clone();
            self.revert_to.get_or_insert(before);
            change(&mut self.files);
        }
        Err(error)
    }
}

fn not_found() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

impl LogDirectory for FaultyDirectory {
    type File = FileHandle;

    fn list(&self) -> io::Result<Vec<String>> {
        let state = &mut *self.0.borrow_mut();
        if let Some((error, _)) = state.inject_fault(Operation::List) {
            return Err(error);
        }
        Ok(state.files.keys().cloned().collect())
    }

    fn open(&self, name: &str) -> io::Result<Self::File> {
        let state = &mut *self.0.borrow_mut();
        if let Some((error, _)) = state.inject_fault(Operation::Open) {
            return Err(error);
        }
        let file = state.files.get(name).cloned().ok_or_else(not_found)?;
        Ok(FileHandle(file))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = &mut *self.0.borrow_mut();
        if let Some((error, _)) = state.inject_fault(Operation::Read) {
            return Err(error);
        }
        let file = state.files.get(name).cloned().ok_or_else(not_found)?;
        let bytes = file.borrow().cached.clone();
        Ok(bytes)
    }

    fn create(&self, name: &str, size: usize) -> io::Result<()> {
        self.count_operation()?;
        let state = &mut *self.0.borrow_mut();
        if let Some(capacity) = &mut state.capacity {
            *capacity = capacity.checked_sub(1).ok_or(io::ErrorKind::StorageFull)?;
        }
        // A failed creation may leave a partial file.
        let partial_size = state
            .outage
            .as_mut()
            .map_or(size, |outage| outage.rng.usize(0..=size));
        let zeros = |size| FileContents {
            durable: vec![0; size],
            cached: vec![0; size],
            dirty: Vec::new(),
        };
        let created = state.change_directory(Operation::Create, |files| {
            files.insert(name.to_owned(), Rc::new(RefCell::new(zeros(partial_size))));
        });
        if created.is_ok() {
            state
                .files
                .insert(name.to_owned(), Rc::new(RefCell::new(zeros(size))));
        }
        created
    }

    fn write(&self, file: &Self::File, offset: usize, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        let state = &mut *self.0.borrow_mut();
        let fault = state.inject_fault(Operation::Write);
        let (result, length) = match fault {
            Some((error, rng)) => (Err(error), rng.usize(0..=bytes.len())),
            None => (Ok(()), bytes.len()),
        };
        let file = &mut *file.0.borrow_mut();
        file.cached[offset..offset + length].copy_from_slice(&bytes[..length]);
        file.dirty.push((offset, offset + length));
        result
    }

    fn sync(&self, file: &Self::File) -> io::Result<()> {
        self.count_operation()?;
        let state = &mut *self.0.borrow_mut();
        let file = &mut *file.0.borrow_mut();
        if std::mem::take(&mut state.fail_sync) {
            file.dirty.clear();
            return Err(io::Error::other("the sync failed"));
        }
        if let Some((error, rng)) = state.inject_fault(Operation::Sync) {
            file.write_back_random_sectors(rng);
            return Err(error);
        }
        for (from, to) in std::mem::take(&mut file.dirty) {
            file.durable[from..to].copy_from_slice(&file.cached[from..to]);
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.count_operation()?;
        let state = &mut *self.0.borrow_mut();
        let file = state.files.get(from).cloned().ok_or_else(not_found)?;
        state.change_directory(Operation::Rename, |files| {
            files.remove(from);
            files.insert(to.to_owned(), file);
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.count_operation()?;
        let state = &mut *self.0.borrow_mut();
        let existed = state.files.contains_key(name);
        state.change_directory(Operation::Remove, |files| _ = files.remove(name))?;
        if let Some(capacity) = state.capacity.as_mut().filter(|_| existed) {
            *capacity += 1;
        }
        Ok(())
    }
}

/// An open file of [`FaultyDirectory`].
pub struct FileHandle(Rc<RefCell<FileContents>>);
