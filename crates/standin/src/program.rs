//! The scheduler under test as a process: its configuration, its start, its log, its signals.
//!
//! The process is killed and its files are removed when the value is dropped.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

use tempfile::TempDir;

use crate::clients::{send_on, until, PATIENCE};
use crate::discovery::Discovery;
use crate::message::Message;
use crate::port::ReservedPort;

const SETTINGS: &str = r#"{"az":0,"azs":["hofdi","selfoss"],"balancers":1,"machine-types":["fast-7"],
"categories":[{"name":"transfer","aim-ms":120,"give-up-ms":5000,"idempotency":"single_shot","importance":10},
{"name":"new-plate","aim-ms":150,"give-up-ms":5000,"idempotency":"guarded","dedup-scope":"all",
"memory-span-ms":7500,"importance":30}],
"family-info":{"class-stretch":[2.0,2.5],"tells-start":true,"progress-ms":1000},"membership-mode":"on_request",
"limits":{"cancelling":true,"connect-timeout-ms":200,"idle-close-ms":5000,"max-attempts":4,
"max-retry-after-ms":2000,"retry-after":true,"second-copies":false},"resolution-ms":4,
"obligations":{"ask-every-ms":10000,"cold-share":0.32,"fall-ms":2000,"fall-multiple":3,"ramp-time-ms":9000},
"tenants":[{"name":"storholt-bilar","quota-rps":5000}]}"#;

/// An edit of the configuration that gives the program an operators' address, which the system picks.
pub const ADMIN: (&str, &str) = (r#""seed":"#, r#""admin":"127.0.0.1:0","seed":"#);

/// The folder and the address of one scheduler's successive processes; removed when dropped.
pub struct Place {
    _guard: TempDir,
    /// The folder of its configuration and data.
    pub folder: std::path::PathBuf,
    /// Where it serves clients.
    pub listen: SocketAddr,
    _port: ReservedPort,
}

impl Place {
    /// A new folder and a port that nobody else is given.
    ///
    /// # Panics
    /// Panics when the folder cannot be created or no port can be bound.
    #[must_use]
    pub fn new() -> Place {
        let guard = tempfile::Builder::new()
            .prefix("oakshed-place-")
            .tempdir()
            .expect("a folder");
        let port = ReservedPort::new();
        Place {
            folder: guard.path().to_owned(),
            listen: port.address,
            _port: port,
            _guard: guard,
        }
    }

    /// The folder that the processes share.
    #[must_use]
    pub fn shared(&self) -> std::path::PathBuf {
        self.folder.join(format!("oakshed-{}", self.listen))
    }
}

impl Default for Place {
    fn default() -> Place {
        Place::new()
    }
}

/// The program under test; killed when dropped.
pub struct Program {
    /// The process.
    pub child: Child,
    /// Its configuration file.
    pub path: std::path::PathBuf,
    /// Where it serves clients.
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
}

/// Writes a configuration that nobody else uses, and returns its path. Whoever uses it removes it.
///
/// # Panics
/// Panics when the file cannot be written.
#[must_use]
pub fn config(discovery: SocketAddr, known: &str, sockets: usize) -> std::path::PathBuf {
    let file = tempfile::Builder::new()
        .prefix("oakshed-")
        .suffix(".json")
        .tempfile()
        .expect("a file");
    let (_, path) = file.keep().expect("a file that stays");
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&path, text).expect("written");
    path
}

impl Program {
    /// Where cargo puts the scheduler beside the tests that start it.
    ///
    /// # Panics
    /// Panics when the program is not built.
    #[must_use]
    pub fn binary() -> std::path::PathBuf {
        let test = std::env::current_exe().expect("this test's path");
        let folder = test
            .ancestors()
            .find(|p| p.join("oakshed").is_file())
            .expect("the program is built");
        folder.join("oakshed")
    }

    /// Starts it with the settings of most tests.
    #[must_use]
    pub fn start(discovery: &Discovery) -> Program {
        Program::start_with(discovery, 1024, &[])
    }

    /// Starts it with fewer descriptors, or with parts of the settings replaced.
    #[must_use]
    pub fn start_with(discovery: &Discovery, sockets: usize, edits: &[(&str, &str)]) -> Program {
        let known = discovery.known();
        Program::start_knowing(discovery, &known, sockets, edits)
    }

    /// Starts it with an operator's file.
    #[must_use]
    pub fn start_durable(discovery: &Discovery, operator: &str) -> Program {
        Program::start_durable_knowing(discovery, "null", operator)
    }

    /// Starts it with an operator's file and a cached endpoint list.
    #[must_use]
    pub fn start_durable_knowing(discovery: &Discovery, known: &str, operator: &str) -> Program {
        Program::start_from(
            config(discovery.peer.address, known, 1024),
            discovery,
            Some(operator),
            None,
        )
    }

    /// Starts it with another cached endpoint list.
    ///
    /// # Panics
    /// Panics when the program cannot be started or does not become ready.
    #[must_use]
    pub fn start_knowing(
        discovery: &Discovery,
        known: &str,
        sockets: usize,
        edits: &[(&str, &str)],
    ) -> Program {
        let path = config(discovery.peer.address, known, sockets);
        let text = std::fs::read_to_string(&path).expect("just written");
        let edit = |text: String, (from, to): &(&str, &str)| {
            assert!(text.contains(from), "{from} is not in the settings");
            text.replace(from, to)
        };
        std::fs::write(&path, edits.iter().fold(text, edit)).expect("written");
        Program::start_from(path, discovery, None, None)
    }

    /// Starts it at a folder and a clients' address of its own, where another process may serve already.
    ///
    /// # Panics
    /// Panics when the program cannot be started or does not become ready.
    #[must_use]
    pub fn start_at(
        place: &Place,
        discovery: &Discovery,
        sockets: usize,
        edits: &[(&str, &str)],
    ) -> Program {
        let known = discovery.known();
        let text = std::fs::read_to_string(config(discovery.peer.address, &known, sockets))
            .expect("written");
        let text = edits
            .iter()
            .fold(text, |text, (from, to)| text.replace(from, to));
        let path = place.folder.join("config.json");
        std::fs::write(&path, text).expect("written");
        Program::start_from(path, discovery, None, Some(place))
    }

    fn start_from(
        path: std::path::PathBuf,
        discovery: &Discovery,
        operator: Option<&str>,
        place: Option<&Place>,
    ) -> Program {
        let mut command = Command::new(Program::binary());
        command.arg("serve").env_remove("TMPDIR");
        if let Some(place) = place {
            command
                .env("TMPDIR", &place.folder)
                .env("ROUTER_LISTEN", place.listen.to_string());
        }
        if let Some(operator) = operator {
            std::fs::write(path.with_extension("operator"), operator).expect("written");
            command
                .arg("--operator")
                .arg(path.with_extension("operator"));
        }
        command.env("ROUTER_DISCOVERY", discovery.peer.address.to_string());
        let program = Program::run(
            command
                .env("ROUTER_CONFIG", &path)
                .env_remove("ROUTER_ADMIN"),
            path,
        );
        program.wait_until_ready();
        program
    }

    /// The status of its readiness answer.
    #[must_use]
    pub fn ready_status(&self) -> u16 {
        self.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status()
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&self) {
        until("ready", || self.ready_status() == 200);
    }

    /// Starts it by a command of the test's own, with a configuration at a path, without waiting until it is ready.
    ///
    /// # Panics
    /// Panics when the program cannot be started.
    pub fn run(command: &mut Command, path: std::path::PathBuf) -> Program {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("started");
        let log = Arc::new(Mutex::new(String::new()));
        let copy = log.clone();
        let errors = child.stderr.take().expect("its log");
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                *copy.lock().unwrap() += &(line + "\n");
            }
        });
        let mut program = Program {
            child,
            path,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            log,
        };
        until("the address in the log", || {
            let address = address_after(&program.log(), "listens on ");
            program.address = address.unwrap_or(program.address);
            address.is_some()
        });
        program
    }

    /// What it has logged so far.
    ///
    /// # Panics
    /// Panics when the thread that reads the log has panicked.
    #[must_use]
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// The operators' address, which its configuration must have.
    ///
    /// # Panics
    /// Panics when the log names no such address in time.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        let mut address = None;
        until("the operators' address in the log", || {
            address = address_after(&self.log(), "operators' address: listening on ");
            address.is_some()
        });
        address.expect("an address")
    }

    /// Opens a connection as a client.
    ///
    /// # Panics
    /// Panics when the connection cannot be made.
    #[must_use]
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        stream
    }

    /// Sends raw text on a new connection and reads the answer.
    #[must_use]
    pub fn send(&self, text: &str) -> Message {
        send_on(&mut self.connect(), text)
    }

    /// Replaces a part of the configuration file, and signals the program to reload it.
    ///
    /// # Panics
    /// Panics when the configuration cannot be read or written, or the signal cannot be sent.
    pub fn reload(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.path).expect("its configuration");
        std::fs::write(&self.path, text.replace(from, to)).expect("written");
        self.signal("-HUP");
    }

    /// Sends a signal, by its option of `kill`.
    ///
    /// # Panics
    /// Panics when the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Whether it stands still, as after SIGSTOP.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        let stat = format!("/proc/{}/stat", self.child.id());
        std::fs::read_to_string(stat).is_ok_and(|text| text.contains(") T "))
    }

    /// Stops it, does something, and has it go on: all that comes meanwhile is before it at once.
    ///
    /// # Panics
    /// Panics when it cannot be signalled, or does not stop.
    pub fn while_stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        until("it stands still", || self.is_stopped());
        let result = meanwhile();
        self.signal("-CONT");
        result
    }

    /// Waits for its end.
    ///
    /// # Panics
    /// Panics when it does not end in time.
    pub fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        until("its end", || {
            ended = self.child.try_wait().expect("its state");
            ended.is_some()
        });
        ended.expect("ended")
    }
}

/// The address that follows a text in the log.
fn address_after(log: &str, text: &str) -> Option<SocketAddr> {
    let rest = log.split(text).nth(1)?;
    let address = rest.split([',', ' ', '\n']).next()?;
    address.parse().ok()
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.path);
        _ = std::fs::remove_file(self.path.with_extension("operator"));
    }
}
