//! Durable jobs on sockets: what clients are promised, and real processes killed at random points.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use oakshed_standin::*;

/// A directory that goes with its test.
struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Dir {
        let path = std::env::temp_dir().join(format!("oakshed-{name}-{}", std::process::id()));
        _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("made");
        Dir(path)
    }

    fn operator(&self, leases: bool) -> String {
        let dir = self.0.join("store");
        format!(r#"{{"jobs":{{"dir":"{}","leases":{leases},"lease_ms":300,"segment_mb":1}}}}"#, dir.display())
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn keyed(class: &str, id: &str, key: &str, more: &str) -> String {
    let text = req(class, id).replace("Idempotency-Key: 5c0f\r\n", "");
    text.replace("Content-Length", &format!("Idempotency-Key: {key}\r\n{more}Content-Length"))
}

fn text_of(message: &Message) -> String {
    String::from_utf8_lossy(&message.body).into_owned()
}

/// Asks until it is not told to come again: a worker that has just started is given little.
fn insist(program: &Program, text: &str) -> Message {
    let mut answer = program.ask(text);
    until("an answer that is final", || {
        if answer.status() == 503 {
            answer = program.ask(text);
        }
        answer.status() != 503
    });
    answer
}

#[test]
fn a_key_names_a_job_for_good() {
    let dir = Dir::new("key");
    let ledger = dir.0.join("ledger");
    let options = WorkerOptions { ledger: Some(ledger.clone()), ..WorkerOptions::default() };
    let worker = Worker::start(options).expect("a worker");
    let director = Director::new(&[("s-1", worker.address)]);
    director.started("s-1", worker.since_ms);
    let program = Program::start_durable(&director, &dir.operator(true));
    let first = insist(&program, &keyed("transfer", "id-1", "k-1", ""));
    assert_eq!(first.status(), 200, "{}", program.log());
    let again = program.ask(&keyed("transfer", "id-2", "k-1", ""));
    assert_eq!((again.status(), &again.body), (200, &first.body), "the same job, the same answer");
    let other = program.ask(&keyed("transfer", "id-3", "k-1", "").replace("body", "BODY"));
    assert_eq!(other.status(), 422, "another payload");
    let third = insist(&program, &req("transfer", "id-4"));
    assert_eq!((third.status(), program.ask(&req("transfer", "id-4")).body), (200, third.body));
    // Without waiting.
    let look = |place: &str| format!("GET {place} HTTP/1.1\r\nHost: x\r\nPrefer: wait=10\r\n\r\n");
    let (mut place, mut seen) = (String::new(), String::new());
    until("a job that was not refused", || {
        let accepted = program.ask(&keyed("transfer", "id-5", "k-5", "Prefer: respond-async\r\n"));
        assert_eq!(accepted.status(), 202);
        place = accepted.field("location").expect("a place").to_owned();
        seen = text_of(&program.ask(&look(&place)));
        !seen.contains("refused")
    });
    assert!(seen.contains(r#""state":"served""#) && seen.contains("made"), "{seen}");
    let gone = program.ask(&format!("DELETE {place} HTTP/1.1\r\nHost: x\r\n\r\n"));
    assert_eq!(gone.status(), 409, "it is over");
    assert_eq!(program.ask(&look("/jobs/0123456789abcdef0123456789abcdef")).status(), 404);
    assert_eq!(program.ask(&look("/jobs/x")).status(), 404);
    // All of it outlives the program.
    drop(program);
    let jobs = |more: &[&str]| {
        let dir = dir.0.join("store");
        let out = Command::new(Program::binary()).arg("jobs").args(more).arg("--dir").arg(dir).output();
        let out = out.expect("run");
        (out.status.code(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let (status, told) = jobs(&["verify"]);
    assert!(status == Some(0) && told.contains("records can be read"), "{told}");
    assert_eq!(jobs(&["export"]).1.matches(r#""answer":"served""#).count(), 3);
    assert_eq!(jobs(&["list"]).1, "");
    let program = Program::start_durable(&director, &dir.operator(true));
    assert_eq!(program.ask(&keyed("transfer", "id-6", "k-1", "")).body, first.body);
    assert!(text_of(&program.ask(&look(&place))).contains("served"));
    let starts = Ledger::starts([ledger.as_path()]).expect("read");
    assert_eq!((starts.len(), starts.values().sum::<usize>()), (3, 3), "{starts:?}");
}

/// The worker speaks no leases and breaks off: nobody can say whether the job ran.
#[test]
fn a_job_in_doubt_stays_listed_until_it_is_settled() {
    let dir = Dir::new("doubt");
    let backend = Peer::new(|_, _| false);
    let director = Director::new(&[("s-1", backend.address)]);
    let program = Program::start_durable(&director, &dir.operator(false));
    assert_eq!(program.ask(&keyed("transfer", "id-1", "k-1", "")).status(), 502);
    let place = format!("GET /jobs/{} HTTP/1.1\r\nHost: x\r\n\r\n", job_id("k-1"));
    assert!(text_of(&program.ask(&place)).contains(r#""worker":"s-1""#));
    let jobs = |more: &[&str]| {
        let dir = dir.0.join("store");
        let out = Command::new(Program::binary()).arg("jobs").args(more).arg("--dir").arg(dir).output();
        String::from_utf8_lossy(&out.expect("run").stdout).into_owned()
    };
    assert!(jobs(&["list", "--in-doubt"]).contains(&job_id("k-1")));
    assert!(jobs(&["settle", &job_id("k-1"), "--ran"]).contains("left for the process"));
    until("its word", || text_of(&program.ask(&place)).contains(r#""outcome":"ran""#));
    until("the list without it", || jobs(&["list", "--in-doubt"]).is_empty());
    let again = program.ask(&keyed("transfer", "id-2", "k-1", ""));
    assert_eq!((again.status(), backend.count()), (502, 1), "its answer stays, and it is not sent again");
}

/// Guards against a client's leave, or a stop, that leaves something taken or the store locked; and against
/// a next life that sends again what may have run.
#[test]
fn a_stopped_scheduler_gives_all_back_and_the_next_one_sends_nothing_twice() {
    let dir = Dir::new("stop");
    let backend = Peer::new(|_, _| true); // it takes jobs, and says nothing
    let director = Director::new(&[("s-1", backend.address)]);
    let mut program = Program::start_durable(&director, &dir.operator(false));
    let order = |key: &str, more: &str| {
        keyed("transfer", &format!("id-{key}"), key, more).replace("Ms: 5000", "Ms: 1500")
    };
    let mut clients = Vec::new();
    for (n, key) in ["k-gone", "k-waits"].iter().enumerate() {
        let mut client = program.connect();
        client.write_all(order(key, "").as_bytes()).expect("written");
        until("the fetch", || backend.count() == n + 1);
        clients.push(client);
    }
    drop(clients.remove(0)); // its job goes on
    program.signal("-TERM");
    program.signal("-TERM");
    let answer = Message::read(&mut std::io::BufReader::new(clients.remove(0))).expect("an answer");
    assert_eq!((answer.status(), program.wait().code()), (502, Some(0)), "{}", program.log());
    until("the log's last counts", || program.log().contains("stopped"));
    let log = program.log();
    let last = log.lines().rfind(|l| l.contains("stopped")).expect("its counts");
    assert!(
        last.contains("Open { reqs: 0, held: 0, attempts: 0, slots: 0, ids: 0, body_bytes: 0,"),
        "{last}"
    );
    assert!(last.contains("in_doubt: 2"), "{last}");
    let next = Program::start_durable(&director, &dir.operator(false));
    for key in ["k-gone", "k-waits"] {
        assert_eq!(next.ask(&order(key, "")).status(), 502, "its answer stays");
        let look = format!("GET /jobs/{} HTTP/1.1\r\nHost: x\r\n\r\n", job_id(key));
        assert!(text_of(&next.ask(&look)).contains(r#""worker":"s-1""#), "and its doubt is listed");
    }
    assert_eq!(backend.count(), 2, "nothing was sent again");
}

#[test]
fn a_second_process_and_a_damaged_store_are_told() {
    let dir = Dir::new("damage");
    let director = Director::new(&[("s-1", "127.0.0.1:9".parse().expect("an address"))]);
    let program = Program::start_durable(&director, &dir.operator(true));
    let path = config(director.peer.address, "null", 1024);
    let operator = dir.0.join("operator.json");
    std::fs::write(&operator, dir.operator(true)).expect("written");
    let start = || {
        let mut command = Command::new(Program::binary());
        command.args(["serve", "--operator"]).arg(&operator).env("ROUTER_CONFIG", &path);
        let out = command.stdin(Stdio::null()).output().expect("run");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let (status, told) = start();
    assert!(status == Some(1) && told.contains("another process"), "{told}");
    drop(program);
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(dir.0.join("store")).expect("there").map(|f| f.expect("one").path()).collect();
    files.retain(|f| f.file_name().is_some_and(|n| n.len() == 24));
    files.sort();
    // Its head names the first record: nothing in it can be believed.
    let mut bytes = std::fs::read(&files[0]).expect("read");
    bytes[9] ^= 1;
    std::fs::write(&files[0], bytes).expect("written");
    let (status, told) = start();
    let name = files[0].file_name().and_then(|n| n.to_str()).expect("a name");
    assert!(status == Some(1) && told.contains("damaged at offset 0") && told.contains(name), "{told}");
    _ = std::fs::remove_file(path);
}

// ---- Killed at random points ----

/// A process that is killed and started again.
struct Mortal {
    child: Option<Child>,
    start: Box<dyn Fn() -> Child + Send>,
}

impl Mortal {
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    fn revive(&mut self) {
        self.child = Some((self.start)());
    }
}

impl Drop for Mortal {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_port() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("its address")
}

fn worker(at: SocketAddr, ledger: &Path) -> Box<dyn Fn() -> Child + Send> {
    let (program, ledger) = (Program::binary().with_file_name("oakshed-standin"), ledger.to_owned());
    Box::new(move || {
        let mut command = Command::new(&program);
        command.args(["--listen", &at.to_string(), "--service-ms", "15", "--ledger"]).arg(&ledger);
        let quiet = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        quiet.spawn().expect("cargo test for the whole workspace builds it")
    })
}

/// Kills that the tests do; `OAKSHED_KILLS=N` does others, `OAKSHED_KILL_SEED` in another order.
fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or)
}

#[test]
fn killed_at_random_points_nothing_runs_twice_and_all_are_answered() {
    let kills = number("OAKSHED_KILLS", 150);
    let mut rng = number("OAKSHED_KILL_SEED", 7);
    let mut random = move |below: u64| {
        // Numerical Recipes' generator: kept here, as the crate has no other need of one.
        rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (rng >> 33) % below
    };
    let dir = Dir::new("kills");
    let names = ["s-0", "s-1", "s-2"];
    let ledgers: Vec<PathBuf> = names.iter().map(|n| dir.0.join(n)).collect();
    let places: Vec<SocketAddr> = names.iter().map(|_| free_port()).collect();
    let mut mortals: Vec<Mortal> =
        (0..names.len()).map(|n| Mortal { child: None, start: worker(places[n], &ledgers[n]) }).collect();
    let listed: Vec<(&str, SocketAddr)> = names.iter().copied().zip(places.iter().copied()).collect();
    let director = Director::new(&listed);
    let at = free_port();
    let path = config(director.peer.address, "null", 1024);
    let operator = dir.0.join("operator.json");
    std::fs::write(&operator, dir.operator(true)).expect("written");
    let log = dir.0.join("log");
    let (p, o, d) = (path.clone(), operator.clone(), director.peer.address);
    mortals.push(Mortal {
        child: None,
        start: Box::new(move || {
            let log = std::fs::OpenOptions::new().create(true).append(true).open(&log).expect("a log");
            Command::new(Program::binary())
                .args(["serve", "--operator"])
                .arg(&o)
                .env("ROUTER_CONFIG", &p)
                .env("ROUTER_LISTEN", at.to_string())
                .env("ROUTER_DISCOVERY", d.to_string())
                .stdin(Stdio::null())
                .stderr(log)
                .spawn()
                .expect("started")
        }),
    });
    mortals.iter_mut().for_each(Mortal::revive);
    for (n, name) in names.iter().enumerate() {
        until("a worker", || std::fs::read_to_string(&ledgers[n]).is_ok_and(|t| t.contains("since")));
        let text = std::fs::read_to_string(&ledgers[n]).expect("read");
        let since = text.split(r#""ms":"#).nth(1).and_then(|t| t.split('}').next()?.parse().ok());
        director.started(name, since.expect("its beginning"));
    }
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(0));
    let answers: Mutex<HashMap<u64, (u16, Vec<u8>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let class = if n % 4 == 0 { "new-plate" } else { "transfer" };
                    let start = Instant::now();
                    // A client that comes back with its key until it has an answer that is final.
                    for retry in 0.. {
                        let text = keyed(class, &format!("r-{n}-{retry}"), &format!("k-{n}"), "");
                        match ask(at, &text).map(|m| (m.status(), m.body)) {
                            Some(answer @ (200 | 502, _)) => {
                                answers.lock().expect("whole").insert(n, answer);
                                break;
                            }
                            Some((503 | 504, _)) | None => std::thread::sleep(Duration::from_millis(20)),
                            Some(other) => panic!("job {n}: {other:?}"),
                        }
                        assert!(start.elapsed() < Duration::from_secs(60), "job {n} has no answer");
                    }
                }
            });
        }
        for _ in 0..kills {
            std::thread::sleep(Duration::from_millis(10 + random(90)));
            let who = match random(3) {
                0 => random(3) as usize,
                _ => names.len(),
            };
            mortals[who].kill();
            std::thread::sleep(Duration::from_millis(random(20)));
            mortals[who].revive();
        }
        stop.store(true, Ordering::SeqCst);
    });
    // Whoever asks again gets the same.
    let answers = answers.into_inner().expect("whole");
    let served = answers.values().filter(|a| a.0 == 200).count();
    until("ready", || ask(at, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").is_some_and(|m| m.status() == 200));
    for (n, first) in &answers {
        let class = if n % 4 == 0 { "new-plate" } else { "transfer" };
        let again = ask(at, &keyed(class, &format!("again-{n}"), &format!("k-{n}"), "")).expect("an answer");
        assert_eq!((again.status(), &again.body), (first.0, &first.1), "job {n} of seed");
    }
    let mut twice = 0;
    for (job, starts) in Ledger::starts(ledgers.iter().map(PathBuf::as_path)).expect("read") {
        // Which jobs are transfers: those whose keys say so.
        let transfers = (0..next.load(Ordering::SeqCst)).filter(|n| n % 4 != 0);
        if starts > 1 {
            let is_transfer = transfers.map(|n| job_id(&format!("k-{n}"))).any(|id| id == job);
            twice += usize::from(is_transfer);
        }
    }
    println!("{kills} kills, {} jobs, {served} served, {twice} transfers ran twice", answers.len());
    assert_eq!(twice, 0, "OAKSHED_KILL_SEED replays the order of the kills");
    assert!(served * 2 > answers.len(), "{served} of {} served", answers.len());
    drop(mortals);
    _ = std::fs::remove_file(path);
}

/// A job's name as workers see it.
fn job_id(key: &str) -> String {
    oakshed_jobs::record::JobId::of(b"storholt-bilar", oakshed_jobs::record::Key::Idempotency(key.as_bytes()))
        .to_string()
}
