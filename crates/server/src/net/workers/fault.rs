//! Tells local causes of a failed connect, such as a lack of descriptors, from those at the worker or on the network.
//!
//! A cause that may lie at the worker or on the network is never classified as local.

use std::io;

use rustix::io::Errno;

/// Whether a connection could not be opened for lack of a descriptor, port or memory on this machine, or because of a
/// signal. All of these are temporary and show nothing about the peer.
pub(super) fn is_local_fault(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error().map(Errno::from_raw_os_error),
        Some(
            Errno::ADDRNOTAVAIL
                | Errno::AGAIN
                | Errno::INTR
                | Errno::MFILE
                | Errno::NFILE
                | Errno::NOBUFS
                | Errno::NOMEM
        )
    )
}
