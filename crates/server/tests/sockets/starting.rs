//! A scheduler process that is started without waiting until it is ready.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};

use oakshed_standin::*;

use super::readiness::{until_ready, READY};

/// The process and its configuration file. Dropping it kills the process and removes the file.
pub(super) struct StartingProcess {
    child: Child,
    path: PathBuf,
    /// The address at which it listens for clients.
    pub address: SocketAddr,
    /// The first line of its log.
    pub first_line: String,
    /// The rest of its log; held open because the process writes to it.
    log: Option<BufReader<ChildStderr>>,
}

impl StartingProcess {
    /// Starts the process with a configuration file and further arguments, and waits for the first line of its log.
    pub fn start(path: &Path, args: &[&str]) -> StartingProcess {
        let port = ReservedPort::new();
        let address = port.address;
        let mut child = Command::new(Program::binary())
            .arg("serve")
            .args(args)
            .env("ROUTER_CONFIG", path)
            .env("ROUTER_LISTEN", address.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("failed to start");
        let mut log = BufReader::new(child.stderr.take().expect("no standard error"));
        let mut first_line = String::new();
        log.read_line(&mut first_line)
            .expect("failed to read the log");
        StartingProcess {
            child,
            path: path.to_owned(),
            address,
            first_line,
            log: Some(log),
        }
    }

    /// The status of its readiness answer; `None` if there is no answer.
    pub fn readiness(&self) -> Option<u16> {
        send_raw(self.address, READY).map(|answer| answer.status())
    }

    pub fn until_ready(&self) {
        until_ready(self.address);
    }

    /// Sends a transfer and returns the status of the answer; `None` if there is no answer.
    pub fn transfer(&self, id: &str) -> Option<u16> {
        send_raw(self.address, &request("transfer", id)).map(|answer| answer.status())
    }

    /// Closes the reading end of its log.
    pub fn close_log(&mut self) {
        self.log = None;
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("failed to run kill").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("failed to wait for the process")
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.path);
    }
}
