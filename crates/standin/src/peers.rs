//! Small fakes of the parties around the program: backends, a director and clients, on loopback
//! ports that the system picks. They wait for conditions, never for a moment.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);
const SETTINGS: &str = r#"{"az":0,"azs":["hofdi","selfoss"],"balancers":1,"machine-types":["fast-7"],
"categories":[{"name":"transfer","aim-ms":120,"give-up-ms":5000,"idempotency":"single_shot","importance":10},
{"name":"new-plate","aim-ms":150,"give-up-ms":5000,"idempotency":"guarded","dedup-scope":"all",
"memory-span-ms":7500,"importance":30}],
"family-info":{"class-stretch":[2.0,2.5],"tells-start":true,"progress-ms":1000},"membership-mode":"on_request",
"limits":{"cancelling":true,"connect-timeout-ms":200,"idle-close-ms":5000,"max-attempts":4,
"max-retry-after-ms":2000,"retry-after":true,"second-copies":false},"resolution-ms":4,
"obligations":{"ask-every-ms":10000,"cold-share":0.32,"fall-ms":2000,"fall-multiple":3,"ramp-time-ms":9000},
"tenants":[{"name":"storholt-bilar","quota-rps":5000}]}"#;

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message as it came.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }

    /// Reads one message; nothing where the connection has ended.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut first = String::new();
        from.read_line(&mut first).ok().filter(|n| *n > 0)?;
        let mut fields = Vec::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            match line.trim_end().split_once(": ") {
                Some((name, value)) => fields.push((name.to_owned(), value.to_owned())),
                None => break,
            }
        }
        let mut message = Message { first: first.trim_end().to_owned(), fields, body: Vec::new() };
        let length = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body.resize(length, 0);
        std::io::Read::read_exact(from, &mut message.body).ok()?;
        Some(message)
    }
}

/// Serves connections with a script, one thread each, and keeps what came.
pub struct Peer {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections that have ended.
    pub ended: Arc<AtomicUsize>,
}

impl Peer {
    /// `script` answers a message; where it says no, the connection ends.
    pub fn new(script: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (seen, ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let (script, keep, ends) = (Arc::new(script), seen.clone(), ended.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (script, keep, ends) = (script.clone(), keep.clone(), ends.clone());
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    let mut stream = stream;
                    while let Some(message) = Message::read(&mut reader) {
                        keep.lock().unwrap().push(message.clone());
                        if !script(&message, &mut stream) {
                            break;
                        }
                    }
                    drop((reader, stream));
                    ends.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Peer { address, seen, ended }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// Writes one chunk of a job's stream; the first opens the answer.
pub fn chunk(stream: &mut TcpStream, first: bool, text: &str) {
    let head = if first { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" } else { "" };
    _ = stream.write_all(format!("{head}{:x}\r\n{text}\r\n", text.len()).as_bytes());
}

/// A whole job that ends with a result.
pub fn done(message: &Message, stream: &mut TcpStream, result: &str) -> bool {
    let id = message.field("req-id").expect("an id").to_owned();
    chunk(stream, true, &format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"started\"}}\n"));
    chunk(
        stream,
        false,
        &format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"{result}\"}}\n"),
    );
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// A backend that serves everything.
pub fn good() -> Peer {
    Peer::new(|message, stream| done(message, stream, "made"))
}

/// Answers with a status and fields, and no body.
pub fn status(stream: &mut TcpStream, line: &str) -> bool {
    stream.write_all(format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n").as_bytes()).is_ok()
}

/// An edit of the configuration that gives the program an operators' address, which the system picks.
pub const ADMIN: (&str, &str) = (r#""seed":"#, r#""admin":"127.0.0.1:0","seed":"#);

/// What the director has to tell: the list by name, and its number.
type Told = (u64, Vec<(String, SocketAddr, &'static str, u64)>);

pub struct Director {
    pub peer: Peer,
    told: Arc<(Mutex<Told>, Condvar)>,
    /// What the next calls are answered with instead.
    pub spoilt: Arc<Mutex<Vec<&'static str>>>,
}

impl Director {
    pub fn new(backends: &[(&str, SocketAddr)]) -> Director {
        let entries = backends.iter().map(|(name, at)| (name.to_string(), *at, "ready", 0)).collect();
        let told = Arc::new((Mutex::new((1, entries)), Condvar::new()));
        let spoilt = Arc::new(Mutex::new(Vec::<&str>::new()));
        let (shared, spoil) = (told.clone(), spoilt.clone());
        let peer = Peer::new(move |message, stream| {
            let (told, changed) = &*shared;
            let asked = |name: &str| {
                let text = message.first.split(name).nth(1)?;
                text.split(['&', ' ']).next()?.parse::<u64>().ok()
            };
            let from = asked("from=");
            let spoilt = || !spoil.lock().unwrap().is_empty();
            let mut told = told.lock().unwrap();
            // As long as it is told to: guards against tests that pass on an answer that no director gives.
            let end = Instant::now() + Duration::from_millis(asked("hold_ms=").unwrap_or(0));
            while from == Some(told.0) && !spoilt() && Instant::now() < end {
                told = changed.wait_timeout(told, Duration::from_millis(20)).unwrap().0;
            }
            if spoilt() {
                let raw = spoil.lock().unwrap().remove(0);
                return stream.write_all(raw.as_bytes()).is_ok();
            }
            let fresh = from == Some(told.0);
            let body = list(&told, !fresh, fresh);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).is_ok()
        });
        Director { peer, told, spoilt }
    }

    /// The list that it tells now, as the platform hands it to a start.
    pub fn known(&self) -> String {
        list(&self.told.0.lock().unwrap(), true, false)
    }

    /// The number of the list that it tells now.
    pub fn number(&self) -> u64 {
        self.told.0.lock().unwrap().0
    }

    /// The backend is at another address from now on.
    pub fn move_to(&self, name: &str, at: SocketAddr) {
        let mut told = self.told.0.lock().unwrap();
        told.1.iter_mut().filter(|b| b.0 == name).for_each(|b| b.1 = at);
        told.0 += 1;
        self.told.1.notify_all();
    }

    /// The backend has started at that time, in Unix time milliseconds.
    pub fn started(&self, name: &str, at_ms: u64) {
        let mut told = self.told.0.lock().unwrap();
        told.1.iter_mut().filter(|b| b.0 == name).for_each(|b| b.3 = at_ms);
        told.0 += 1;
        self.told.1.notify_all();
    }

    pub fn set(&self, name: &str, lifecycle: &'static str) {
        let mut told = self.told.0.lock().unwrap();
        told.1.iter_mut().filter(|b| b.0 == name).for_each(|b| b.2 = lifecycle);
        told.0 += 1;
        self.told.1.notify_all();
    }
}

fn list((number, list): &Told, whole: bool, empty: bool) -> String {
    let entry = |(name, at, state, started): &(String, SocketAddr, &str, u64)| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"hofdi","machineType":"fast-7","cell":0,"lifecycle":"{state}","weight":1.0,"startedAtMs":{started}}}"#
        )
    };
    let entries: Vec<String> = list.iter().filter(|_| !empty).map(entry).collect();
    format!(r#"{{"generation":{number},"reset":{whole},"instances":[{}]}}"#, entries.join(","))
}

/// Where one scheduler's processes live, one after the other; removed when dropped.
pub struct Place {
    pub folder: std::path::PathBuf,
    pub listen: SocketAddr,
}

impl Place {
    pub fn new() -> Place {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("oakshed-place-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        // A port that is free now: the program takes it in a moment.
        let listen = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address");
        Place { folder, listen }
    }

    /// The folder that the processes share.
    pub fn shared(&self) -> std::path::PathBuf {
        self.folder.join(format!("oakshed-{}", self.listen))
    }
}

impl Default for Place {
    fn default() -> Place {
        Place::new()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The program under test; killed when dropped.
pub struct Program {
    pub child: Child,
    /// Its configuration file.
    pub path: std::path::PathBuf,
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
}

/// Writes a configuration that nobody else uses, and tells its path.
pub fn config(director: SocketAddr, known: &str, sockets: usize) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("oakshed-{}-{number}.json", std::process::id()));
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{director}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    );
    std::fs::write(&path, text).expect("written");
    path
}

impl Program {
    /// Where cargo puts the scheduler beside the tests that start it.
    pub fn binary() -> std::path::PathBuf {
        let test = std::env::current_exe().expect("this test's path");
        let folder = test.ancestors().find(|p| p.join("oakshed").is_file()).expect("the program is built");
        folder.join("oakshed")
    }

    pub fn start(director: &Director) -> Program {
        Program::start_with(director, 1024, &[])
    }

    /// With fewer descriptors, or with parts of the settings replaced.
    pub fn start_with(director: &Director, sockets: usize, edits: &[(&str, &str)]) -> Program {
        let known = director.known();
        Program::start_knowing(director, &known, sockets, edits)
    }

    /// With an operator's file.
    pub fn start_durable(director: &Director, operator: &str) -> Program {
        Program::start_durable_knowing(director, "null", operator)
    }

    /// The same, with something for the list as last held.
    pub fn start_durable_knowing(director: &Director, known: &str, operator: &str) -> Program {
        Program::start_from(config(director.peer.address, known, 1024), director, Some(operator), None)
    }

    /// With something else for the list as last held.
    pub fn start_knowing(
        director: &Director,
        known: &str,
        sockets: usize,
        edits: &[(&str, &str)],
    ) -> Program {
        let path = config(director.peer.address, known, sockets);
        let text = std::fs::read_to_string(&path).expect("just written");
        let edit = |text: String, (from, to): &(&str, &str)| {
            assert!(text.contains(from), "{from} is not in the settings");
            text.replace(from, to)
        };
        std::fs::write(&path, edits.iter().fold(text, edit)).expect("written");
        Program::start_from(path, director, None, None)
    }

    /// At a place of its own, a folder and a clients' address, where another process may serve already.
    pub fn start_at(place: &Place, director: &Director, sockets: usize, edits: &[(&str, &str)]) -> Program {
        let known = director.known();
        let text = std::fs::read_to_string(config(director.peer.address, &known, sockets)).expect("written");
        let text = edits.iter().fold(text, |text, (from, to)| text.replace(from, to));
        let path = place.folder.join("config.json");
        std::fs::write(&path, text).expect("written");
        Program::start_from(path, director, None, Some(place))
    }

    fn start_from(
        path: std::path::PathBuf,
        director: &Director,
        operator: Option<&str>,
        place: Option<&Place>,
    ) -> Program {
        let mut command = Command::new(Program::binary());
        command.arg("serve").env_remove("TMPDIR");
        if let Some(place) = place {
            command.env("TMPDIR", &place.folder).env("ROUTER_LISTEN", place.listen.to_string());
        }
        if let Some(operator) = operator {
            std::fs::write(path.with_extension("operator"), operator).expect("written");
            command.arg("--operator").arg(path.with_extension("operator"));
        }
        let mut child = command
            .env("ROUTER_CONFIG", &path)
            .env_remove("ROUTER_ADMIN")
            .env("ROUTER_DISCOVERY", director.peer.address.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let log = Arc::new(Mutex::new(String::new()));
        let (keep, errors) = (log.clone(), child.stderr.take().expect("its log"));
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                *keep.lock().unwrap() += &(line + "\n");
            }
        });
        let mut program = Program { child, path, address: SocketAddr::from(([127, 0, 0, 1], 0)), log };
        let told = |log: &str| log.split("listens on ").nth(1)?.split(',').next()?.parse().ok();
        until("the address in the log", || {
            told(&program.log()).map(|address| program.address = address).is_some()
        });
        until("ready", || program.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200);
        program
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Where operators call; its configuration names such an address.
    pub fn admin(&self) -> SocketAddr {
        let told = |log: &str| log.split("operators call ").nth(1)?.split_whitespace().next()?.parse().ok();
        let mut at = None;
        until("the operators' address in the log", || {
            at = told(&self.log());
            at.is_some()
        });
        at.expect("told")
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        stream
    }

    /// Sends raw text on a new connection and reads the answer.
    pub fn ask(&self, text: &str) -> Message {
        ask_on(&mut self.connect(), text)
    }

    /// Replaces a part of the configuration file, and tells the program.
    pub fn reload(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.path).expect("its configuration");
        std::fs::write(&self.path, text.replace(from, to)).expect("written");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        until("its end", || {
            ended = self.child.try_wait().expect("its state");
            ended.is_some()
        });
        ended.expect("ended")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.path);
        _ = std::fs::remove_file(self.path.with_extension("operator"));
    }
}

/// Sends raw text on a new connection; nothing where no whole answer came.
pub fn ask(address: SocketAddr, text: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

pub fn ask_on(stream: &mut TcpStream, text: &str) -> Message {
    stream.write_all(text.as_bytes()).expect("written");
    Message::read(&mut BufReader::new(stream)).expect("an answer")
}

/// Sends pieces of an operator's call and reads the answer to its end.
pub fn call_in(at: SocketAddr, pieces: &[&[u8]], end: bool) -> String {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    stream.set_nodelay(true).expect("set");
    for piece in pieces {
        _ = stream.write_all(piece);
    }
    if end {
        stream.shutdown(std::net::Shutdown::Write).expect("ended");
    }
    let mut text = Vec::new();
    _ = std::io::Read::read_to_end(&mut stream, &mut text);
    String::from_utf8(text).expect("text")
}

/// One call of an operator, and its answer.
pub fn call(at: SocketAddr, line: &str) -> String {
    call_in(at, &[line.as_bytes(), b"\n"], false)
}

/// A req in the platform's form.
pub fn req(class: &str, id: &str) -> String {
    let key = if class == "new-plate" { "Idempotency-Key: 5c0f\r\n" } else { "" };
    format!(
        "POST /{class} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: storholt-bilar\r\n\
         Req-Deadline-Ms: 5000\r\nReq-Extra: slots=1\r\n{key}Content-Length: 4\r\n\r\nbody"
    )
}
