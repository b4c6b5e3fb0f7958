//! The fingerprint by which a successor knows whether its predecessor serves the same configuration.
//!
//! It is made from a text whose form is that of all versions in service: `Settings::fingerprint_form` spells the names
//! in it out, which stay when a field in the code gets another name.

use std::net::SocketAddr;

use oakshed_core::names::hash_name;

use crate::config::Config;

/// Stands for settings and discovery's address. Prevents another customer's figures and workers from being taken over:
/// a list whose number this one's discovery has reached too would be believed for good.
pub(super) fn configuration_fingerprint(config: &Config, discovery: SocketAddr) -> u64 {
    hash_name(&format!(
        "{discovery} {} {:?}",
        config.settings.fingerprint_form(),
        config.names
    ))
}
