//! The file through which a test and its child process stay in touch. Both map or write the same page:
//! what one sets, the other sees at its next call.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

/// The file's size.
pub const CONTROL_SIZE: usize = 4_096;
/// The most rows of a plan.
pub const MOST_ROWS: usize = 128;
/// Where the wall clock's offset lies, in milliseconds: an `i64`.
pub const CLOCK_OFFSET_AT: usize = 0;
/// Where the rows' switches lie, a `u64` each.
pub const SWITCHES_AT: usize = 1_024;
/// Where it is counted how often each row had its effect, a `u64` each.
pub const STRIKES_AT: usize = 2_048;

/// What decides whether a row acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Switch {
    /// Its window.
    ByWindow = 0,
    /// It acts.
    On = 1,
    /// It does not.
    Off = 2,
}

/// The test's side of the file; removed when dropped.
pub struct Control {
    path: PathBuf,
    file: File,
}

impl Control {
    /// Makes a file that nobody else uses.
    pub(crate) fn create() -> io::Result<Control> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("oakshed-faults-{}-{number}", std::process::id()));
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)?;
        file.set_len(CONTROL_SIZE as u64)?;
        Ok(Control { path, file })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn strikes(&self, row: usize) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file
            .read_exact_at(&mut bytes, (STRIKES_AT + 8 * row) as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }

    pub(crate) fn switch(&self, row: usize, switch: Switch) -> io::Result<()> {
        self.file.write_all_at(
            &(switch as u64).to_ne_bytes(),
            (SWITCHES_AT + 8 * row) as u64,
        )
    }

    pub(crate) fn set_clock_offset(&self, milliseconds: i64) -> io::Result<()> {
        self.file
            .write_all_at(&milliseconds.to_ne_bytes(), CLOCK_OFFSET_AT as u64)
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        _ = std::fs::remove_file(&self.path);
    }
}
