//! Reloads the configuration on SIGHUP.

use std::rc::Rc;

use tokio::signal::unix::Signal;
use tracing::{info, warn};

use super::Net;
use crate::config::{self, Config};

/// Reads the configuration file again on each SIGHUP and applies the address of discovery, the only setting that can
/// change while requests are open. An address in the environment applies at startup only, so it is ignored here.
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
        let restart_notice = if unchanged {
            ""
        } else {
            "; other changes need a restart"
        };
        info!(discovery = %new.discovery, "reload: discovery {}{restart_notice}", new.discovery);
        net.discovery.set_address(new.discovery);
    }
}
