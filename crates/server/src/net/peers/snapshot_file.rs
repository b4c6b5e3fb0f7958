//! The snapshot file, which keeps the state shared with other schedulers over a restart.
//!
//! The file is written periodically and replaced atomically, so a crash or a full disk never leaves a truncated one. A
//! file that cannot be read or decoded is logged, and the start goes on without it.

use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::task::JoinError;
use tracing::{info, warn};

use super::Net;
use crate::operator::PeersConfig;
use oakshed_core::facade::Micros;
use oakshed_peers::snapshot::Snapshot;

/// The pause between two writes.
const WRITE_PERIOD: Duration = Duration::from_secs(5);
/// The pause after a failed write.
const WRITE_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// How many times a start tries to read the file.
const READ_ATTEMPTS: u32 = 10;
/// The pause between two attempts to read the file.
const READ_RETRY_PERIOD: Duration = Duration::from_millis(50);
/// The largest file that is read, in bytes.
const MAX_FILE_SIZE: u64 = 64 << 20;

/// Why a snapshot was not written.
#[derive(Debug, Error)]
enum WriteError {
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The writing thread panicked or was cancelled.
    #[error(transparent)]
    Thread(#[from] JoinError),
}

fn path(dir: &Path, settings: &PeersConfig) -> PathBuf {
    dir.join(format!("peers-{}.kept", settings.listen))
}

/// Reads the snapshot; `None` if there is no file. A file that cannot be used is logged and also gives `None`.
pub(super) fn read(
    dir: &Path,
    settings: &PeersConfig,
    now: Micros,
    skew: Micros,
) -> Option<Snapshot> {
    let path = path(dir, settings);
    let bytes = match read_file(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            warn!(
                event = "kept",
                "peers: {}: {e}; starting without the snapshot",
                path.display()
            );
            return None;
        }
    };
    match Snapshot::decode(&bytes, &settings.installation, now, skew) {
        Ok(snapshot) => {
            let owners = snapshot.owners.len();
            let age_ms = now.saturating_sub(snapshot.taken_at) / 1_000;
            info!(
                event = "kept",
                owners, age_ms, "peers: snapshot of {owners} owners, {age_ms} ms old"
            );
            Some(snapshot)
        }
        Err(error) => {
            warn!(
                event = "kept",
                "peers: {}: {error}; starting without the snapshot",
                path.display()
            );
            None
        }
    }
}

/// Replaces the file by a new one that has been synced to disk. After an error, either the old or the new file is in
/// place.
fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let outcome = write_synced(&new, bytes).and_then(|()| fs::rename(&new, path));
    if let Err(error) = outcome {
        // The disk may be full: a partly written file must not keep its space.
        _ = fs::remove_file(&new);
        return Err(error);
    }
    path.parent()
        .map_or(Ok(()), |dir| File::open(dir)?.sync_all())
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// Reads a file, with several attempts: if the start goes on without the snapshot, the next write replaces the file by
/// one with less content.
fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    for _ in 1..READ_ATTEMPTS {
        match read_once(path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                std::thread::sleep(READ_RETRY_PERIOD);
            }
            outcome => return outcome,
        }
    }
    read_once(path)
}

fn read_once(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?
        .take(MAX_FILE_SIZE)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Writes snapshots periodically, on a blocking thread, as the disk may be slow. Logs one line when writes begin to
/// fail, and one when they succeed again.
pub(super) async fn write_periodically(net: Rc<Net>, dir: PathBuf, settings: PeersConfig) {
    let path = path(&dir, &settings);
    let mut failing = false;
    while !net.shutdown.has_handed_over() && !net.shutdown.is_closing() {
        tokio::time::sleep(if failing {
            WRITE_RETRY_PERIOD
        } else {
            WRITE_PERIOD
        })
        .await;
        let Some(peers) = &net.peers else { return };
        let bytes = peers.node.borrow().snapshot(net.clock.now()).encode();
        let target = path.clone();
        let joined = tokio::task::spawn_blocking(move || write(&target, &bytes)).await;
        let outcome = match joined {
            Ok(outcome) => outcome.map_err(WriteError::from),
            Err(error) => Err(WriteError::from(error)),
        };
        match &outcome {
            Err(e) if !failing => warn!(
                event = "kept",
                "peers: cannot write the snapshot {}: {e}; retrying",
                path.display()
            ),
            Ok(()) if failing => info!(
                event = "kept",
                "peers: snapshot {} written again",
                path.display()
            ),
            _ => {}
        }
        failing = outcome.is_err();
    }
}
