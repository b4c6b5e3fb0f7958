//! A directory in memory that fails as disks do, for tests: what no sync has confirmed may be lost or
//! torn at a crash, syncs may fail, room may run out, bytes may rot.
//!
//! It owns a disk's promises at their weakest. All chance comes from the seed given.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use crate::log::Files;

/// The unit in which writes arrive on the disk.
const SECTOR: usize = 512;

#[derive(Default)]
struct Image {
    durable: Vec<u8>,
    present: Vec<u8>,
    /// Ranges written since the last sync.
    dirty: Vec<(usize, usize)>,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Rc<RefCell<Image>>>,
    /// Files that may be made yet.
    room: Option<usize>,
    fail_sync: bool,
    /// Operations until the machine stops; it has stopped at 0.
    left: Option<u32>,
}

/// The directory; clones share it, as lives of a program do.
#[derive(Clone, Default)]
pub struct Faulty(Rc<RefCell<State>>);

impl Faulty {
    /// The machine stops: each sector that was not synced is kept, or lost, by chance.
    pub fn crash(&self, rng: &mut fastrand::Rng) {
        self.0.borrow_mut().fail_sync = false;
        self.0.borrow_mut().left = None;
        for image in self.0.borrow().files.values() {
            let image = &mut *image.borrow_mut();
            for (from, to) in std::mem::take(&mut image.dirty) {
                for sector in from / SECTOR..to.div_ceil(SECTOR) {
                    if rng.bool() {
                        let (a, b) = ((sector * SECTOR).max(from), ((sector + 1) * SECTOR).min(to));
                        image.durable[a..b].copy_from_slice(&image.present[a..b]);
                    }
                }
            }
            image.present.clone_from(&image.durable);
        }
    }

    /// The next sync fails, and what it should have confirmed is lost, as Linux does it.
    pub fn fail_next_sync(&self) {
        self.0.borrow_mut().fail_sync = true;
    }

    /// After so many further operations the machine stops: nothing works until [`Faulty::crash`] has
    /// said what is left.
    pub fn stop_after(&self, operations: u32) {
        self.0.borrow_mut().left = Some(operations);
    }

    /// Whether it has stopped.
    pub fn has_stopped(&self) -> bool {
        self.0.borrow().left == Some(0)
    }

    fn operate(&self) -> io::Result<()> {
        match &mut self.0.borrow_mut().left {
            Some(0) => Err(io::Error::other("the machine has stopped")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// So many files can be made yet; `None`: any number.
    pub fn set_room(&self, room: Option<usize>) {
        self.0.borrow_mut().room = room;
    }

    /// Turns one byte over.
    pub fn rot(&self, name: &str, at: usize) {
        if let Some(image) = self.0.borrow().files.get(name) {
            let image = &mut *image.borrow_mut();
            image.durable[at] ^= 0x55;
            image.present[at] = image.durable[at];
        }
    }
}

fn missing() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

impl Files for Faulty {
    type File = FileHandle;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn open(&self, name: &str) -> io::Result<Self::File> {
        let image = self.0.borrow().files.get(name).cloned().ok_or_else(missing)?;
        Ok(FileHandle(image))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow().files.get(name).ok_or_else(missing)?.borrow().present.clone())
    }

    fn create(&self, name: &str, size: usize) -> io::Result<()> {
        self.operate()?;
        let mut state = self.0.borrow_mut();
        if let Some(room) = &mut state.room {
            *room = room.checked_sub(1).ok_or(io::ErrorKind::StorageFull)?;
        }
        let image = Image { durable: vec![0; size], present: vec![0; size], dirty: Vec::new() };
        state.files.insert(name.to_owned(), Rc::new(RefCell::new(image)));
        Ok(())
    }

    fn write(&self, file: &Self::File, at: usize, bytes: &[u8]) -> io::Result<()> {
        self.operate()?;
        let handle = file;
        let image = &mut *handle.0.borrow_mut();
        image.present[at..at + bytes.len()].copy_from_slice(bytes);
        image.dirty.push((at, at + bytes.len()));
        Ok(())
    }

    fn sync(&self, file: &Self::File) -> io::Result<()> {
        self.operate()?;
        let handle = file;
        let image = &mut *handle.0.borrow_mut();
        let dirty = std::mem::take(&mut image.dirty);
        if std::mem::take(&mut self.0.borrow_mut().fail_sync) {
            return Err(io::Error::other("the disk said no"));
        }
        for (from, to) in dirty {
            image.durable[from..to].copy_from_slice(&image.present[from..to]);
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.operate()?;
        let mut state = self.0.borrow_mut();
        let image = state.files.remove(from).ok_or_else(missing)?;
        state.files.insert(to.to_owned(), image);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.operate()?;
        let mut state = self.0.borrow_mut();
        state.files.remove(name).ok_or_else(missing)?;
        if let Some(room) = &mut state.room {
            *room += 1;
        }
        Ok(())
    }
}

/// An open file of [`Faulty`].
pub struct FileHandle(Rc<RefCell<Image>>);
