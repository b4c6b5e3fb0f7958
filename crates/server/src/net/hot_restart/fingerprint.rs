//! The fingerprint by which a successor checks that its predecessor serves the same configuration.
//!
//! Processes of different versions compare fingerprints, so the text that is hashed must stay the same in all versions.
//! `Settings::fingerprint_form` therefore spells out its field names, which stay when a field in the code is renamed.

use std::net::SocketAddr;

use oakshed_core::names::hash_name;

use crate::config::Config;

/// Hashes discovery's address, the settings and the names. Prevents a scheduler from taking over the estimates and
/// workers of another installation: an endpoint list from there would be kept for good once its number is one that this
/// scheduler's own discovery reaches too.
pub(super) fn configuration_fingerprint(config: &Config, discovery: SocketAddr) -> u64 {
    hash_name(&format!(
        "{discovery} {} {:?}",
        config.settings.fingerprint_form(),
        config.names
    ))
}
