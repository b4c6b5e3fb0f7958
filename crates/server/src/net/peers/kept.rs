//! What is known, kept over a restart: one file, written now and then.
//!
//! It owns the file. It must never keep the program from starting, nor leave half a file in the place of
//! a whole one.

use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tracing::{info, warn};

use super::Net;
use crate::operator::Peers as Entry;
use oakshed_core::facade::Micros;
use oakshed_peers::snapshot::Snapshot;

/// Between two writes.
const EVERY: Duration = Duration::from_secs(5);
/// The largest file that is read.
const LARGEST: u64 = 64 << 20;

fn path(dir: &Path, entry: &Entry) -> PathBuf {
    dir.join(format!("peers-{}.kept", entry.listen))
}

/// What was known; nothing, and a line that says why, where that cannot be used.
pub(super) fn read(dir: &Path, entry: &Entry, now: Micros, skew: Micros) -> Option<Snapshot> {
    let path = path(dir, entry);
    let mut bytes = Vec::new();
    match File::open(&path).and_then(|file| file.take(LARGEST).read_to_end(&mut bytes)) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            warn!(event = "kept", "peers: {}: {e}; starting plain", path.display());
            return None;
        }
        Ok(_) => {}
    }
    match Snapshot::decode(&bytes, &entry.installation, now, skew) {
        Ok(old) => {
            let (owners, age_ms) = (old.owners.len(), now.saturating_sub(old.at) / 1_000);
            info!(event = "kept", owners, age_ms, "peers: {owners} owners known from {age_ms} ms ago");
            Some(old)
        }
        Err(why) => {
            warn!(event = "kept", "peers: {}: {why}; starting plain", path.display());
            None
        }
    }
}

fn write(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    path.parent().map_or(Ok(()), |dir| File::open(dir)?.sync_all())
}

/// Writes now and then, on a thread of its own as the disk may take long; one line where that begins to
/// fail.
pub(super) async fn write_on(net: Rc<Net>, dir: PathBuf, entry: Entry) {
    let path = path(&dir, &entry);
    let mut failing = false;
    while !*net.handed.borrow() && !*net.closing.borrow() {
        tokio::time::sleep(EVERY).await;
        let Some(peers) = &net.peers else { return };
        let bytes = peers.node.borrow().snapshot(net.clock.now()).encode();
        let to = path.clone();
        let wrote = tokio::task::spawn_blocking(move || write(&to, &bytes)).await;
        let wrote = wrote.map_err(io::Error::other).and_then(|wrote| wrote);
        if let (Err(e), false) = (&wrote, failing) {
            warn!(event = "kept", "peers: {}: {e}", path.display());
        }
        failing = wrote.is_err();
    }
}
