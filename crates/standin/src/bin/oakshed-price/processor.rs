//! The forwarder's process, and the processor time of a process.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// This program as the bare forwarder, in a process of its own; killed when dropped. Where this process
/// ends without a chance to, its standard input ends, and it with that.
pub struct Forwarder {
    pub child: Child,
    pub address: SocketAddr,
}

impl Forwarder {
    pub fn start(workers: &[SocketAddr]) -> io::Result<Forwarder> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("--forward")
            .args(workers.iter().map(SocketAddr::to_string));
        let child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut forwarder = Forwarder {
            child,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let mut line = String::new();
        let output = forwarder.child.stdout.take().map(BufReader::new);
        output
            .ok_or_else(|| io::Error::other("no output"))?
            .read_line(&mut line)?;
        forwarder.address = line.trim().parse().map_err(io::Error::other)?;
        Ok(forwarder)
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// User and system time of all threads of a process so far.
pub fn used(pid: u32) -> io::Result<Duration> {
    let mut all = Duration::ZERO;
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        // The first figure is the time on a processor, in nanoseconds: finer than the ticks of `stat`.
        let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
        let time = text.split(' ').next().and_then(|t| t.parse().ok());
        all += Duration::from_nanos(time.ok_or_else(|| io::Error::other("no schedstat"))?);
    }
    Ok(all)
}
