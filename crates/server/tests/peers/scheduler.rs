//! A scheduler process that has peers: its files, its log and its signals.

use std::io::{BufRead as _, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use oakshed_fault_injection::Faults;
use oakshed_standin::*;

/// A scheduler process and its log; killed when dropped.
pub(super) struct Scheduler {
    pub(super) name: String,
    pub(super) child: Child,
    pub(super) log: Arc<Mutex<String>>,
}

/// A directory with a key file, for the files of one test; removed when dropped.
pub(super) struct TestFolder(pub(super) PathBuf);

impl TestFolder {
    pub(super) fn new(name: &str) -> TestFolder {
        let path =
            std::env::temp_dir().join(format!("oakshed-peers-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        let key = path.join("key");
        std::fs::write(&key, "a key that only its owner reads\n").expect("written");
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).expect("set");
        TestFolder(path)
    }

    /// Writes the operator's file of the member with number `i`, and returns its path. The first three members are
    /// listed in `join`.
    pub(super) fn operator_file(&self, i: usize, peer_addresses: &[SocketAddr]) -> PathBuf {
        let path = self.0.join(format!("operator-{i}.json"));
        let join: Vec<String> = peer_addresses
            .iter()
            .take(3)
            .map(|address| format!("\"{address}\""))
            .collect();
        let text = format!(
            r#"{{"peers":{{"listen":"{}","join":[{}],"installation":"test","key_file":"{}","dir":"{}"}}}}"#,
            peer_addresses[i],
            join.join(","),
            self.0.join("key").display(),
            self.0.display(),
        );
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns distinct unused UDP addresses: all of them are bound before any is released.
pub(super) fn unused_addresses(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..n)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().expect("its address"))
        .collect()
}

impl Scheduler {
    pub(super) fn start(
        folder: &TestFolder,
        discovery: SocketAddr,
        i: usize,
        peer_addresses: &[SocketAddr],
    ) -> Scheduler {
        Scheduler::start_with(folder, discovery, i, peer_addresses, None)
    }

    pub(super) fn start_with(
        folder: &TestFolder,
        discovery: SocketAddr,
        i: usize,
        peer_addresses: &[SocketAddr],
        faults: Option<&Faults>,
    ) -> Scheduler {
        let name = format!("p{i}");
        let config = config(discovery, "null", 1024);
        let config_path = folder.0.join(format!("config-{i}.json"));
        std::fs::rename(&config, &config_path)
            .or_else(|_| std::fs::copy(&config, &config_path).map(drop))
            .expect("moved");
        let mut command = Command::new(Program::binary());
        command
            .args(["serve", "--log-format", "json", "--operator"])
            .arg(folder.operator_file(i, peer_addresses))
            .env("ROUTER_CONFIG", config_path)
            .env("ROUTER_NAME", &name)
            .env_remove("TMPDIR")
            .stderr(Stdio::piped());
        if let Some(faults) = faults {
            faults.apply(&mut command);
        }
        let mut child = command.spawn().expect("started");
        let log = Arc::new(Mutex::new(String::new()));
        let (copy, reader) = (
            log.clone(),
            BufReader::new(child.stderr.take().expect("piped")),
        );
        std::thread::spawn(move || {
            reader
                .lines()
                .map_while(Result::ok)
                .for_each(|line| *copy.lock().unwrap() += &(line + "\n"));
        });
        Scheduler { name, child, log }
    }

    /// Counts the log lines of an event in which a field has this value.
    pub(super) fn count_events(&self, event: &str, field: &str, value: &str) -> usize {
        let log = self.log.lock().unwrap();
        let (event, field) = (
            format!("\"event\":\"{event}\""),
            format!("\"{field}\":\"{value}\""),
        );
        log.lines()
            .filter(|line| line.contains(&event) && line.contains(&field))
            .count()
    }

    /// The address for clients, from the log.
    pub(super) fn address(&self) -> SocketAddr {
        let mut address = None;
        until("the address in the log", || {
            let log = self.log.lock().unwrap();
            address = log
                .split("listens on ")
                .nth(1)
                .and_then(|rest| rest.split(',').next()?.parse().ok());
            address.is_some()
        });
        address.expect("logged")
    }

    pub(super) fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        // SIGKILL ends a process that is stopped, too.
        _ = self.child.kill();
        _ = self.child.wait();
    }
}
