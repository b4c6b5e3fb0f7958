//! The reload of the configuration at SIGHUP.
//!
//! It owns what of a new configuration is taken over while requests are open: discovery's address alone.

use std::rc::Rc;

use tokio::signal::unix::Signal;
use tracing::{info, warn};

use super::Net;
use crate::config::{self, Config};

/// Reads the configuration again at each SIGHUP and takes over discovery's address, which is all
/// that can change while requests are open. The environment's address is that of the start: the file
/// counts now.
pub(super) async fn reload_on_signal(net: Rc<Net>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        let var = |name: &str| {
            std::env::var(name)
                .ok()
                .filter(|_| name != config::DISCOVERY)
        };
        let new = match Config::read(var, None) {
            Ok(new) => new,
            Err(why) => {
                warn!(error = %why, "reload: {why}; the previous configuration stays in force");
                continue;
            }
        };
        let old = &net.config;
        let limits = |c: &Config| (c.listen, c.admin, c.sockets, c.memory);
        let settings = |c: &Config| (c.name.clone(), c.names.clone(), c.settings.clone());
        let unchanged = limits(&new) == limits(old) && settings(&new) == settings(old);
        let rest = if unchanged {
            ""
        } else {
            "; other changes need a restart"
        };
        info!(discovery = %new.discovery, "reload: discovery {}{rest}", new.discovery);
        net.discovery.set_address(new.discovery);
    }
}
