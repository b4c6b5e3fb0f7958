//! Samples the memory of a scheduler's processes.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(4);

/// The resident memory of a scheduler's process in KiB; 0 once it has ended. Its number may then be that of a thread of
/// the test itself, which `Tgid` and `Name` show.
fn resident_kib(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let field = |name: &str| {
        let value = status.lines().find_map(|line| line.strip_prefix(name));
        value.and_then(|value| value.split_whitespace().next())
    };
    let is_scheduler = field("Name:") == Some("oakshed")
        && field("Tgid:").and_then(|id| id.parse().ok()) == Some(process);
    let resident = field("VmRSS:").filter(|_| is_scheduler);
    resident.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

/// The size of all files below a directory in KiB.
fn files_kib(directory: &Path) -> usize {
    let Ok(entries) = std::fs::read_dir(directory) else {
        return 0;
    };
    let sizes = entries.flatten().map(|entry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => files_kib(&entry.path()),
        Ok(metadata) => (metadata.len() as usize).div_ceil(1024),
        Err(_) => 0,
    });
    sizes.sum()
}

/// Samples the processes' memory until it is dropped.
pub struct MemoryMonitor {
    processes: Arc<Mutex<Vec<u32>>>,
    peak_kib: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryMonitor {
    /// `directory` is the processes' shared directory, whose files count as memory.
    pub fn start(directory: PathBuf) -> MemoryMonitor {
        let processes = Arc::new(Mutex::new(Vec::new()));
        let peak_kib = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let (watched, peak, stopped) = (processes.clone(), peak_kib.clone(), stop.clone());
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let ids: Vec<u32> = watched.lock().expect("not poisoned").clone();
                let resident: usize = ids.into_iter().map(resident_kib).sum();
                peak.fetch_max(resident + files_kib(&directory), Ordering::SeqCst);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        MemoryMonitor {
            processes,
            peak_kib,
            stop,
            thread: Some(thread),
        }
    }

    pub fn add(&self, process: u32) {
        self.processes.lock().expect("not poisoned").push(process);
    }

    /// The most that all processes held together in one sample, in KiB.
    pub fn peak_kib(&self) -> usize {
        self.peak_kib.load(Ordering::SeqCst)
    }
}

impl Drop for MemoryMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
