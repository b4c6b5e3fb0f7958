//! The world around the state machine: all that can go wrong does, by a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use std::task::Waker;

use fastrand::Rng;
use oakshed_core::facade::{Condition, Ending, Entry, Facade, ListKind, Micros, Seen as Told, Settings};
use oakshed_core::interface::{Class, Effect as Kind, Scope};
use oakshed_jobs::fault::Faulty;
use oakshed_jobs::log::{encode_all, Log, Trouble};
use oakshed_jobs::machine::{Boot, Effect, End, Jobs, Limits, Names, Submitted, Word};
use oakshed_jobs::record::{Answer, JobId, Key, Order, HEARSAY};

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const HOUR: Micros = 3_600 * S;
/// When the world begins: some day in Unix time.
const DAWN: Micros = 1_700_000_000 * S;
const WINDOW: Micros = 7_500 * MS;
const SEGMENT: usize = 16 << 10;

/// What happened, so that a run can tell that it proved something.
#[derive(Debug, Default)]
pub struct Seen(BTreeMap<&'static str, u64>);

const ALL: [&str; 21] = [
    "served",
    "failed",
    "refused",
    "withdrawn",
    "asked again",
    "killed",
    "booted",
    "torn",
    "clock jumped",
    "worker restarted",
    "sync failed",
    "disk full",
    "fence never",
    "fence running",
    "fence done",
    "fence lost",
    "settled",
    "trimmed",
    "old list",
    "sent to a stranger",
    "stranger asked",
];

impl Seen {
    fn note(&mut self, what: &'static str) {
        *self.0.entry(what).or_default() += 1;
    }

    pub fn add(&mut self, other: &Seen) {
        other.0.iter().for_each(|(what, n)| *self.0.entry(what).or_default() += n);
    }

    pub fn all(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        ALL.iter().map(|what| (*what, self.0.get(what).copied().unwrap_or(0)))
    }
}

/// What a worker remembers of a job.
#[derive(Clone, Default)]
struct Entrance {
    started: Option<u64>,
    running: bool,
    fenced: u64,
    result: Option<Vec<u8>>,
    by: u64,
}

struct Worker {
    name: Rc<str>,
    life: u64,
    up: bool,
    start: Micros,
    since: Micros,
    listed: Condition,
    known: HashMap<JobId, Entrance>,
}

/// A connection that carries one attempt.
struct Connection {
    worker: usize,
    worker_life: u64,
    /// The scheduler's side is open, and it hears what comes.
    open: bool,
    deaf: bool,
    /// What comes later arrives no sooner.
    last: Micros,
}

#[derive(Clone, Debug)]
enum Word2 {
    Started,
    Progress,
    End(End),
}

#[derive(Clone, Debug)]
enum Event {
    Client(usize),
    /// A client's patience ends, if it is still at that try.
    LosesPatience(usize, u32),
    Synced(u64),
    Tick(u64),
    /// A request's last byte reaches its worker.
    Arrive {
        conn: u64,
        id: JobId,
        token: u64,
        class: usize,
    },
    RunEnds {
        worker: usize,
        life: u64,
        id: JobId,
        conn: u64,
        token: u64,
    },
    Says {
        conn: u64,
        id: JobId,
        token: u64,
        word: Word2,
    },
    FenceArrives {
        life: u64,
        worker: usize,
        worker_life: u64,
        id: JobId,
        token: u64,
        sure: bool,
    },
    FenceSays {
        life: u64,
        id: JobId,
        token: u64,
        word: Option<(Word, u64)>,
        sure: bool,
    },
    Kill {
        boot: bool,
    },
    Start,
    RestartWorker(usize),
    List,
    Trouble,
}

struct Life {
    number: u64,
    facade: Facade,
    jobs: Jobs,
    log: Log<Faulty>,
    skew: i64,
    syncing: Option<(Vec<u8>, Vec<usize>, u64)>,
    failed: bool,
    waiting: HashMap<JobId, Vec<usize>>,
    conns: HashMap<(JobId, u64), u64>,
    tick_at: Micros,
    /// Who listens where an old list says that a worker does, until a fresh one comes.
    strangers: HashMap<Rc<str>, Option<usize>>,
}

struct Client {
    id: JobId,
    class: usize,
    detached: bool,
    tries: u32,
    /// Sees its answer, or has given up for good.
    done: bool,
    asked: bool,
    /// When its present wait ends.
    until: Micros,
}

/// What is known of a job from outside.
#[derive(Default)]
struct Truth {
    starts: u32,
    answer: Option<Answer>,
    /// Clients were told that it never ran, and none has asked since.
    disowned: bool,
    first_run_send: Option<Micros>,
    sends: HashMap<u64, Micros>,
}

pub struct World {
    rng: Rng,
    loud: bool,
    now: Micros,
    count: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    disk: Faulty,
    life: Option<Life>,
    lives: u64,
    boot: (u128, Micros),
    workers: Vec<Worker>,
    conns: Vec<Connection>,
    clients: Vec<Client>,
    truth: HashMap<JobId, Truth>,
    leases: bool,
    ledgers: bool,
    long_ago: bool,
    calm: bool,
    calm_at: Micros,
    wrong: Option<String>,
    seen: Seen,
    doubted: HashSet<JobId>,
}

fn settings() -> Settings {
    let class = |effect, window| Class {
        aim: 300 * MS,
        stretch: 2.0,
        deadline: 5 * S,
        worth: 1.0,
        priority: 0,
        effect,
        scope: Scope::All,
        window,
        kind: None,
    };
    Settings {
        classes: vec![class(Kind::Unsafe, 0), class(Kind::Keyed, WINDOW)],
        list_on_request: true,
        connect_timeout: 100 * MS,
        ..Settings::default()
    }
}

impl World {
    pub fn play(seed: u64, loud: bool) -> Result<Seen, String> {
        let mut rng = Rng::with_seed(seed);
        let (leases, ledgers, long_ago) = (rng.u32(0..4) > 0, rng.bool(), rng.u32(0..4) == 0);
        let start = DAWN - 10 * HOUR;
        let workers = (0..rng.usize(2..5)).map(|n| Worker {
            name: format!("s-{n}").into(),
            life: 0,
            up: true,
            start,
            since: start,
            listed: Condition::Active,
            known: HashMap::new(),
        });
        let workers = workers.collect();
        let mut world = World {
            loud,
            now: DAWN,
            count: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            disk: Faulty::default(),
            life: None,
            lives: 0,
            boot: (1, DAWN - 5 * HOUR),
            workers,
            conns: Vec::new(),
            clients: Vec::new(),
            truth: HashMap::new(),
            leases,
            ledgers,
            long_ago,
            calm: false,
            calm_at: DAWN + rng.u64(3..9) * S,
            wrong: None,
            seen: Seen::default(),
            doubted: HashSet::new(),
            rng,
        };
        world.after(0, Event::Start);
        let jobs = world.rng.usize(3..14);
        for n in 0..jobs {
            let key = [n as u8, 7];
            let client = Client {
                id: JobId::of(b"owner", Key::Idempotency(&key)),
                class: world.rng.usize(0..2),
                detached: world.rng.u32(0..4) == 0,
                tries: 0,
                done: false,
                asked: false,
                until: 0,
            };
            let at = world.rng.u64(0..4 * S);
            // Some jobs have two clients, or one that sends twice.
            for _ in 0..1 + usize::from(world.rng.u32(0..6) == 0) {
                world.clients.push(Client { ..client_copy(&client) });
                let at = at + world.rng.u64(0..200 * MS);
                world.after(at, Event::Client(world.clients.len() - 1));
            }
        }
        for _ in 0..world.rng.usize(1..8) {
            let at = world.rng.u64(0..8 * S);
            world.after(at, Event::Trouble);
        }
        let end = world.calm_at + 100 * S;
        while let Some(Reverse((at, _, place))) = world.queue.pop() {
            if at > end {
                break;
            }
            world.now = at;
            if !world.calm && at >= world.calm_at {
                world.be_calm();
            }
            let event = world.events[place].take().expect("once");
            world.handle(event);
            world.settle();
            if let Some(why) = world.wrong.take() {
                return Err(why);
            }
        }
        world.check_end()?;
        Ok(world.seen)
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.count += 1;
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + span, self.count, self.events.len() - 1)));
    }

    fn wrong(&mut self, why: String) {
        self.wrong.get_or_insert(why);
    }

    fn say(&self, what: impl FnOnce() -> String) {
        if self.loud {
            println!("{:>9.3} {}", (self.now - DAWN) as f64 / 1e6, what());
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        !self.calm && self.rng.u32(0..1_000) < per_mille
    }

    fn delay(&mut self) -> Micros {
        match self.rng.u32(0..100) {
            0..=2 if !self.calm => self.rng.u64(100 * MS..4 * S),
            3..=9 => self.rng.u64(5 * MS..60 * MS),
            _ => self.rng.u64(50..2 * MS),
        }
    }

    /// No more trouble: whatever is down comes back.
    fn be_calm(&mut self) {
        self.calm = true;
        self.disk.set_room(None);
        if self.life.as_ref().is_none_or(|l| l.failed) {
            self.handle(Event::Kill { boot: false });
        }
        for w in 0..self.workers.len() {
            self.workers[w].listed = Condition::Active;
            self.workers[w].up = true;
        }
        self.after(0, Event::List);
        // Once more when the answers are forgotten and the log's old end is gone.
        self.after(65 * S, Event::Kill { boot: false });
    }

    fn handle(&mut self, event: Event) {
        if self.loud && !matches!(event, Event::Tick(_)) {
            self.say(|| format!("{event:?}"));
        }
        match event {
            Event::Client(n) => self.client(n),
            Event::LosesPatience(n, tries) => {
                let c = &self.clients[n];
                if c.tries == tries && c.until <= self.now && !c.asked {
                    self.client(n);
                }
            }
            Event::Tick(life) => self.tick(life),
            Event::Synced(life) => self.synced(life),
            Event::Arrive { conn, id, token, class } => self.arrive(conn, id, token, class),
            Event::RunEnds { worker, life, id, conn, token } => self.run_ends(worker, life, id, conn, token),
            Event::Says { conn, id, token, word } => self.hears(conn, id, token, word),
            Event::FenceArrives { life, worker, worker_life, id, token, sure } => {
                self.fenced(life, worker, worker_life, id, token, sure)
            }
            Event::FenceSays { life, id, token, word, sure } => {
                self.seen.note(match &word {
                    Some((Word::Never, _)) => "fence never",
                    Some((Word::Running, _)) => "fence running",
                    Some((Word::Done(_), _)) => "fence done",
                    Some((Word::Failed, _)) => "fence failed",
                    None => "fence lost",
                });
                self.with(|l, now| {
                    if l.number == life {
                        l.jobs.on_fenced(now, id, token, word, sure, &mut l.facade);
                    }
                });
            }
            Event::Kill { boot } => self.kill(boot),
            Event::Start => self.start(),
            Event::RestartWorker(w) => self.restart_worker(w),
            Event::List => self.list(ListKind::All),
            Event::Trouble => self.trouble(),
        }
    }

    fn with<T>(&mut self, act: impl FnOnce(&mut Life, Micros) -> T) -> Option<T> {
        let now = self.now;
        self.life.as_mut().map(|l| {
            let now = now.wrapping_add_signed(l.skew);
            act(l, now)
        })
    }

    // ---- The scheduler ----

    fn start(&mut self) {
        if self.life.is_some() {
            return;
        }
        let skew = match self.rng.u32(0..4) {
            0 if self.lives > 0 => {
                self.seen.note("clock jumped");
                self.rng.i64(-(HOUR as i64)..HOUR as i64)
            }
            _ => 0,
        };
        let (log, recovered) = match Log::open(self.disk.clone(), SEGMENT) {
            Ok(opened) => opened,
            Err(e) => {
                if matches!(e, Trouble::Io(..)) {
                    self.disk.crash(&mut self.rng);
                    return self.after(50 * MS, Event::Start);
                }
                return self.wrong(format!("the log cannot be opened: {e}"));
            }
        };
        if self.loud {
            recovered.records.iter().for_each(|r| self.say(|| format!("  read {r:?}")));
        }
        if recovered.cut.is_some() {
            self.seen.note("torn");
        }
        self.lives += 1;
        let limits = Limits {
            leases: self.leases,
            lease: 400 * MS,
            keep: 30 * S,
            open: 50,
            kept: 200,
            bytes: 1 << 20,
        };
        let names =
            Names { classes: vec!["transfer".into(), "new-plate".into()], tenants: vec!["owner".into()] };
        let now = self.now.wrapping_add_signed(skew);
        let boot = Boot { id: self.boot.0, uptime: self.now - self.boot.1 };
        let next = log.next();
        let jobs = Jobs::restore(limits, names, recovered.records, next, now, boot);
        let facade = Facade::new(settings(), self.rng.u64(..)).expect("usable settings");
        self.life = Some(Life {
            number: self.lives,
            facade,
            jobs,
            log,
            skew,
            syncing: None,
            failed: false,
            waiting: HashMap::new(),
            conns: HashMap::new(),
            tick_at: Micros::MAX,
            strangers: HashMap::new(),
        });
        let old = self.chance(500);
        if old {
            self.old_list();
        } else {
            self.list(ListKind::Remembered);
        }
        // A watch from the remembered number is held until something changes.
        let wait = if old { self.rng.u64(0..3 * S) } else { self.delay() };
        self.after(wait, Event::List);
        self.after(0, Event::Tick(self.lives));
    }

    /// A list from long before: workers that are gone, starts of earlier processes, and at the addresses
    /// of some workers there are others by now.
    fn old_list(&mut self) {
        self.seen.note("old list");
        let shown = if self.long_ago { 0 } else { (DAWN - 10 * HOUR) / MS };
        let moved = self.rng.usize(0..self.workers.len());
        let mut names: Vec<Rc<str>> = self.workers.iter().map(|w| w.name.clone()).collect();
        let strangers: Vec<_> =
            (0..names.len()).map(|n| (names[n].clone(), Some((n + moved) % names.len()))).collect();
        names.push("s-gone".into());
        self.with(|l, now| {
            l.strangers = strangers.into_iter().chain([("s-gone".into(), None)]).collect();
            let entry = |name: &Rc<str>| Entry {
                backend: name.clone(),
                zone: 0,
                kind: 0,
                cell: 0,
                condition: Condition::Active,
                online_since: 0,
            };
            let entries: Vec<Entry> = names.iter().map(entry).collect();
            l.facade.report(now, Told::List(ListKind::Remembered, &entries));
            l.jobs.on_list(now, names.iter().map(|name| (name, shown)), false, &mut l.facade);
        });
    }

    /// Who listens where the scheduler thinks that this worker does.
    fn at(&self, worker: &str) -> Option<usize> {
        let strangers = self.life.as_ref().map(|l| &l.strangers);
        let listed = || self.workers.iter().position(|w| *w.name == *worker);
        strangers.and_then(|s| s.get(worker).copied()).unwrap_or_else(listed)
    }

    fn list(&mut self, kind: ListKind) {
        let rows: Vec<(Entry, u64)> = self
            .workers
            .iter()
            .map(|w| {
                let ms = w.start / MS;
                let shown = if self.long_ago && w.start < DAWN { 0 } else { ms };
                let entry = Entry {
                    backend: w.name.clone(),
                    zone: 0,
                    kind: 0,
                    cell: 0,
                    condition: w.listed,
                    online_since: 0,
                };
                (entry, shown)
            })
            .collect();
        self.with(|l, now| {
            let entries: Vec<Entry> = rows.iter().map(|r| r.0.clone()).collect();
            l.facade.report(now, Told::List(kind, &entries));
            let starts = rows.iter().map(|r| (&r.0.backend, r.1));
            l.strangers.clear();
            l.jobs.on_list(now, starts, kind != ListKind::Remembered, &mut l.facade);
        });
    }

    fn tick(&mut self, life: u64) {
        let now = self.now;
        if let Some(l) =
            self.life.as_mut().filter(|l| l.number == life && l.tick_at <= now || l.tick_at == Micros::MAX)
        {
            l.tick_at = Micros::MAX;
        }
    }

    /// Carries out what the machine wants, and begins a sync where there is something to write.
    fn settle(&mut self) {
        for _ in 0..1_000 {
            let Some(l) = &mut self.life else { return };
            let now = self.now.wrapping_add_signed(l.skew);
            let due = l.facade.tick(now, Waker::noop());
            let next = l.jobs.tick(now, &mut l.facade, Waker::noop());
            let at = [due.next, next].into_iter().flatten().min();
            if let Some(effect) = l.jobs.effect() {
                self.carry_out(effect);
                continue;
            }
            if l.syncing.is_none() && !l.failed {
                let (first, records) = l.jobs.records();
                if !records.is_empty() {
                    let (bytes, lengths) = encode_all(first, first - 1, &records);
                    let last = first + records.len() as u64 - 1;
                    l.syncing = Some((bytes, lengths, last));
                    let number = l.number;
                    let wait = self.rng.u64(200..8 * MS);
                    self.after(wait, Event::Synced(number));
                    continue;
                }
            }
            if let Some(at) = at {
                let at = at.max(now + 1).wrapping_add_signed(-l.skew);
                if at < l.tick_at {
                    l.tick_at = at;
                    let number = l.number;
                    let span = at - self.now;
                    self.after(span, Event::Tick(number));
                }
            }
            return;
        }
        self.wrong("it never comes to rest".into());
    }

    fn synced(&mut self, life: u64) {
        let Some(l) = self.life.as_mut().filter(|l| l.number == life) else { return };
        let Some((bytes, lengths, last)) = l.syncing.take() else { return };
        let now = self.now.wrapping_add_signed(l.skew);
        match l.log.append(&bytes, &lengths) {
            Ok(()) => l.jobs.on_synced(now, last, &mut l.facade),
            Err(_) if self.disk.has_stopped() => self.handle(Event::Kill { boot: false }),
            Err(_) => {
                l.failed = true;
                l.jobs.on_failed(now);
                self.seen.note("sync failed");
                let wait = self.rng.u64(1..2 * S);
                self.after(wait, Event::Kill { boot: false });
            }
        }
        let Some(l) = self.life.as_mut() else { return };
        let room = l.log.make_spare();
        l.jobs.set_full(!room);
        if !room {
            self.seen.note("disk full");
        }
    }

    fn kill(&mut self, boot: bool) {
        self.seen.note(if boot { "booted" } else { "killed" });
        if self.life.as_ref().is_some_and(|l| l.jobs.counts().settled > 0) {
            self.seen.note("settled");
        }
        if let Some(l) = self.life.as_ref().filter(|l| self.calm && !l.failed) {
            self.doubted = l.jobs.in_doubt().into_iter().collect();
        }
        self.life = None;
        // What a killed process wrote is in the system's cache; a failed sync, or a boot, loses it.
        if boot || self.disk.has_stopped() || self.rng.bool() {
            self.disk.crash(&mut self.rng);
        }
        if boot {
            self.boot = (self.boot.0 + 1, self.now);
        }
        for n in 0..self.clients.len() {
            if self.clients[n].until > self.now && !self.clients[n].done {
                let wait = self.rng.u64(10 * MS..S);
                self.after(wait, Event::Client(n));
            }
        }
        let down = if self.calm { 100 * MS } else { self.rng.u64(MS..7 * S) };
        self.after(down, Event::Start);
    }

    fn trouble(&mut self) {
        if self.calm {
            return;
        }
        match self.rng.u32(0..12) {
            0..=3 => self.handle(Event::Kill { boot: false }),
            4 => self.handle(Event::Kill { boot: true }),
            5 => self.disk.fail_next_sync(),
            6 => {
                let room = self.rng.usize(0..2);
                self.disk.set_room(Some(room));
            }
            7 | 8 => {
                // Somewhere among the next writes and syncs.
                let after = self.rng.u32(0..12);
                self.disk.stop_after(after);
            }
            _ => {
                let w = self.rng.usize(0..self.workers.len());
                self.workers[w].listed = [Condition::Active, Condition::Leaving][self.rng.usize(0..2)];
                self.handle(Event::RestartWorker(w));
                let wait = self.delay();
                self.after(wait, Event::List);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        self.say(|| format!("  {effect:?}"));
        match effect {
            Effect::Accepted(id) => self.answer_waiting(id, None),
            Effect::Answer(id, answer) => self.answer_waiting(id, Some(answer)),
            Effect::Trim(low) => {
                let trimmed = self.life.as_mut().map(|l| l.log.trim(low));
                if matches!(trimmed, Some(Ok(1..))) {
                    self.seen.note("trimmed");
                }
                if matches!(trimmed, Some(Err(_))) && self.disk.has_stopped() {
                    self.handle(Event::Kill { boot: false });
                }
            }
            Effect::Fetch { id, token, worker, until, order } => {
                let class = usize::from(order.class != "transfer");
                let Some(w) = self.at(&worker) else {
                    let conn = self.conns.len() as u64;
                    self.conns.push(Connection {
                        worker: 0,
                        worker_life: 0,
                        open: true,
                        deaf: false,
                        last: 0,
                    });
                    if let Some(l) = &mut self.life {
                        l.conns.insert((id, token), conn);
                    }
                    let wait = self.delay();
                    let word = Word2::End(End::Other(Ending::DialFailed));
                    return self.after(wait, Event::Says { conn, id, token, word });
                };
                if self.workers[w].name != worker {
                    self.seen.note("sent to a stranger");
                }
                self.fetch(id, token, w, until, class);
            }
            Effect::Stop { id, token } => {
                let conn = self.life.as_mut().and_then(|l| l.conns.remove(&(id, token)));
                conn.into_iter().for_each(|c| self.conns[c as usize].open = false);
            }
            Effect::Fence { id, token, worker, sure } => {
                let life = self.lives;
                let w = self.at(&worker).filter(|_| !self.chance(150));
                let Some(w) = w else {
                    let wait = self.delay() + 100 * MS;
                    return self.after(wait, Event::FenceSays { life, id, token, word: None, sure });
                };
                if self.workers[w].name != worker {
                    self.seen.note("stranger asked");
                }
                // Some arrive twice.
                for _ in 0..1 + usize::from(self.chance(50)) {
                    let (wait, worker_life) = (self.delay(), self.workers[w].life);
                    self.after(wait, Event::FenceArrives { life, worker: w, worker_life, id, token, sure });
                }
            }
            Effect::Safe { id, worker, .. } => {
                if let Some(w) = self.at(&worker).filter(|_| !self.chance(100)) {
                    self.workers[w].known.entry(id).or_default().result = Some(result_of(id));
                }
            }
        }
    }

    // ---- Workers and the network ----

    fn fetch(&mut self, id: JobId, token: u64, w: usize, until: Micros, class: usize) {
        let now = self.now;
        let truth = self.truth.entry(id).or_default();
        truth.sends.insert(token, now);
        if class == 1 && truth.first_run_send.is_some_and(|first| now > first + WINDOW + 50 * MS) {
            return self.wrong(format!("{id}: a keyed job was sent again after its window"));
        }
        if class == 0 && truth.starts > 0 {
            return self.wrong(format!("{id}: a transfer that ran is sent again"));
        }
        let conn = self.conns.len() as u64;
        self.conns.push(Connection {
            worker: w,
            worker_life: self.workers[w].life,
            open: true,
            deaf: false,
            last: now,
        });
        let Some(l) = &mut self.life else { return };
        l.conns.insert((id, token), conn);
        let left = until.saturating_sub(now.wrapping_add_signed(l.skew));
        let over = |how| Event::Says { conn, id, token, word: Word2::End(End::Other(how)) };
        self.after(left, over(Ending::Expired));
        if !self.workers[w].up || self.chance(40) {
            let wait = self.delay();
            return self.after(wait, over(Ending::DialFailed));
        }
        let wait = self.delay();
        self.after(wait, Event::Arrive { conn, id, token, class });
        if self.chance(120) {
            let wait = self.rng.u64(0..600 * MS);
            self.after(wait, over(Ending::Dropped));
        }
        self.conns[conn as usize].deaf = self.chance(80);
    }

    /// Something goes from a worker to the scheduler, in the order in which it was said.
    fn reply(&mut self, conn: u64, id: JobId, token: u64, word: Word2) {
        let at = (self.now + self.delay()).max(self.conns[conn as usize].last + 1);
        let c = &mut self.conns[conn as usize];
        c.last = at;
        if !c.deaf {
            self.after(at - self.now, Event::Says { conn, id, token, word });
        }
    }

    fn arrive(&mut self, conn: u64, id: JobId, token: u64, class: usize) {
        let c = &self.conns[conn as usize];
        let w = c.worker;
        if self.workers[w].life != c.worker_life || !self.workers[w].up {
            return;
        }
        let now = self.now;
        let known = self.workers[w].known.entry(id).or_default();
        if token <= known.fenced || known.started.is_some() || self.rng.u32(0..40) == 0 {
            return self.reply(conn, id, token, Word2::End(End::Other(Ending::Shed)));
        }
        known.started = Some(token);
        known.running = true;
        known.by = conn;
        let truth = self.truth.entry(id).or_default();
        truth.starts += 1;
        let sent = truth.sends.get(&token).copied().unwrap_or(now);
        truth.first_run_send = Some(truth.first_run_send.map_or(sent, |first| first.min(sent)));
        let (starts, disowned) = (truth.starts, truth.disowned);
        if class == 0 && starts > 1 {
            return self.wrong(format!("{id}: a transfer ran twice"));
        }
        if class == 0 && disowned {
            return self.wrong(format!("{id}: a transfer ran after its clients were told that it never did"));
        }
        self.reply(conn, id, token, Word2::Started);
        let run = match self.rng.u32(0..10) {
            0 if !self.calm => self.rng.u64(S..8 * S),
            _ => self.rng.u64(5 * MS..150 * MS),
        };
        let life = self.workers[w].life;
        let mut at = 200 * MS;
        while at < run {
            let wait = at;
            self.after(wait, Event::Says { conn, id, token, word: Word2::Progress });
            at += 200 * MS;
        }
        self.after(run, Event::RunEnds { worker: w, life, id, conn, token });
    }

    fn run_ends(&mut self, w: usize, life: u64, id: JobId, conn: u64, token: u64) {
        if self.workers[w].life != life {
            return;
        }
        let known = self.workers[w].known.entry(id).or_default();
        known.running = false;
        if self.rng.u32(0..30) == 0 {
            return self.reply(conn, id, token, Word2::End(End::Other(Ending::Error)));
        }
        known.result = Some(result_of(id));
        self.reply(conn, id, token, Word2::End(End::Result(result_of(id))));
    }

    fn hears(&mut self, conn: u64, id: JobId, token: u64, word: Word2) {
        let Some(l) = &mut self.life else { return };
        let open = l.conns.get(&(id, token)) == Some(&conn) && self.conns[conn as usize].open;
        let silent = self.conns[conn as usize].deaf && !matches!(word, Word2::End(End::Other(_)));
        if !open || silent {
            return;
        }
        let now = self.now.wrapping_add_signed(l.skew);
        match word {
            Word2::Started => l.jobs.on_alive(now, id, token, true, &mut l.facade),
            Word2::Progress => l.jobs.on_alive(now, id, token, false, &mut l.facade),
            Word2::End(end) => {
                self.conns[conn as usize].open = false;
                l.conns.remove(&(id, token));
                l.jobs.on_ended(now, id, token, end, None, &mut l.facade);
            }
        }
    }

    fn fenced(&mut self, life: u64, w: usize, worker_life: u64, id: JobId, token: u64, sure: bool) {
        let worker = &mut self.workers[w];
        if worker.life != worker_life || !worker.up {
            let wait = self.delay();
            return self.after(wait, Event::FenceSays { life, id, token, word: None, sure });
        }
        let since = worker.since / MS;
        let known = worker.known.entry(id).or_default();
        let word = match known.started.filter(|started| *started <= token) {
            Some(_) if known.running => Word::Running,
            Some(_) => known.result.clone().map_or(Word::Failed, Word::Done),
            None => {
                known.fenced = known.fenced.max(token);
                Word::Never
            }
        };
        let wait = self.delay();
        self.after(wait, Event::FenceSays { life, id, token, word: Some((word, since)), sure });
    }

    fn restart_worker(&mut self, w: usize) {
        self.seen.note("worker restarted");
        let (now, keeps) = (self.now, self.ledgers);
        let worker = &mut self.workers[w];
        worker.life += 1;
        worker.start = now;
        if keeps {
            worker.known.values_mut().for_each(|k| k.running = false);
        } else {
            worker.known.clear();
            worker.since = now;
        }
        let life = worker.life;
        let broken: Vec<(JobId, u64, u64)> = match &self.life {
            Some(l) => {
                let on = |c: &u64| {
                    self.conns[*c as usize].worker == w && self.conns[*c as usize].worker_life < life
                };
                l.conns.iter().filter(|(_, c)| on(c)).map(|((id, token), c)| (*id, *token, *c)).collect()
            }
            None => Vec::new(),
        };
        let mut broken = broken;
        broken.sort_unstable();
        for (id, token, conn) in broken {
            if !self.conns[conn as usize].deaf {
                let wait = self.delay();
                let word = Word2::End(End::Other(Ending::Dropped));
                self.after(wait, Event::Says { conn, id, token, word });
            }
        }
        let wait = self.delay();
        self.after(wait, Event::List);
    }

    // ---- Clients ----

    fn order(&self, n: usize) -> Order {
        let class = if self.clients[n].class == 0 { "transfer" } else { "new-plate" };
        Order {
            class: class.into(),
            owner: Some("owner".into()),
            target: format!("/{class}"),
            body: vec![b'x'; 40],
            ..Order::default()
        }
    }

    fn client(&mut self, n: usize) {
        if self.clients[n].done {
            return;
        }
        let (id, detached, order) = (self.clients[n].id, self.clients[n].detached, self.order(n));
        let again = self.rng.u64(20 * MS..S);
        if self.life.is_none() {
            return self.after(again, Event::Client(n));
        }
        if self.clients[n].detached && self.clients[n].asked {
            // It was told 202: it must be known as long as answers are kept.
            let view = self.with(|l, _| l.jobs.view(id)).flatten();
            let Some(view) = view else { return self.wrong(format!("{id}: accepted and forgotten")) };
            match view.answer {
                Some(answer) => self.told(n, answer),
                None => self.after(again, Event::Client(n)),
            }
            return;
        }
        self.clients[n].tries += 1;
        if let Some(l) = &mut self.life {
            // Room may have come back; a full store writes nothing that would tell.
            let room = l.log.make_spare();
            l.jobs.set_full(!room);
            if self.disk.has_stopped() {
                self.handle(Event::Kill { boot: false });
                return self.after(again, Event::Client(n));
            }
        }
        if self.chance(30) {
            let withdrawn = self.with(|l, now| l.jobs.cancel(now, id, &mut l.facade)).flatten();
            if withdrawn == Some(true) {
                self.seen.note("withdrawn");
            }
        }
        let wait = self.rng.u64(300 * MS..5 * S);
        self.clients[n].until = self.now + wait + 2 * S;
        let (span, tries) = (wait + 2 * S, self.clients[n].tries);
        self.after(span, Event::LosesPatience(n, tries));
        self.truth.entry(id).or_default().disowned = false;
        let submitted = self.with(|l, now| l.jobs.submit(now, id, order, wait, detached, &mut l.facade));
        match submitted {
            Some(Submitted::Open) => {
                if let Some(l) = &mut self.life {
                    l.waiting.entry(id).or_default().push(n);
                }
            }
            Some(Submitted::Over(answer)) => {
                self.seen.note("asked again");
                self.told(n, answer);
            }
            Some(Submitted::Conflict) => self.wrong(format!("{id}: a conflict with itself")),
            _ => self.after(again, Event::Client(n)),
        }
    }

    fn answer_waiting(&mut self, id: JobId, answer: Option<Answer>) {
        let Some(l) = &mut self.life else { return };
        let waiting = l.waiting.remove(&id).unwrap_or_default();
        if let Some(Answer::Refused(_) | Answer::Cancelled) = &answer {
            self.truth.entry(id).or_default().disowned = true;
        }
        for n in waiting {
            match &answer {
                Some(answer) => self.told(n, answer.clone()),
                None if self.clients[n].detached => {
                    self.clients[n].asked = true;
                    let again = self.rng.u64(20 * MS..S);
                    self.after(again, Event::Client(n));
                }
                None => self.life.as_mut().expect("there").waiting.entry(id).or_default().push(n),
            }
        }
    }

    /// A client sees an answer: it must be the one that all others see.
    fn told(&mut self, n: usize, answer: Answer) {
        let id = self.clients[n].id;
        let truth = self.truth.entry(id).or_default();
        match &answer {
            Answer::Served(result) => {
                self.seen.note("served");
                if *result != result_of(id) || truth.starts == 0 {
                    return self.wrong(format!("{id}: served with what no worker made"));
                }
            }
            Answer::Failed => self.seen.note("failed"),
            Answer::Cancelled => {}
            Answer::Refused(_) => {
                self.seen.note("refused");
                if self.clients[n].class == 0 && truth.starts > 0 {
                    return self.wrong(format!("{id}: refused, though it ran"));
                }
                if truth.answer.as_ref().is_some_and(|a| matches!(a, Answer::Served(_) | Answer::Failed)) {
                    return self.wrong(format!("{id}: refused after its final answer"));
                }
                self.clients[n].asked = false;
                if self.clients[n].tries < 4 && self.rng.bool() {
                    let wait = self.rng.u64(50 * MS..S);
                    self.clients[n].until = self.now;
                    return self.after(wait, Event::Client(n));
                }
                self.clients[n].done = true;
                return;
            }
        }
        // Told though it could not be kept: a later life hears of it from the worker, if that remembers
        // and answers in time.
        let kept = self.life.as_ref().is_some_and(|l| !l.failed);
        match truth.answer.clone().filter(|_| kept) {
            Some(first) if first != answer => {
                return self.wrong(format!("{id}: first {first:?}, then {answer:?}"));
            }
            _ if kept => self.truth.entry(id).or_default().answer = Some(answer),
            _ => {}
        }
        // Some come again to see whether the answer is still the same.
        if self.clients[n].tries < 3 && self.rng.u32(0..3) == 0 {
            self.clients[n].asked = false;
            let wait = self.rng.u64(MS..4 * S);
            self.clients[n].until = self.now;
            return self.after(wait, Event::Client(n));
        }
        self.clients[n].done = true;
    }

    fn check_end(&mut self) -> Result<(), String> {
        if let Some(n) = (0..self.clients.len()).find(|&n| !self.clients[n].done) {
            return Err(format!("client {n} of {} never had its answer", self.clients[n].id));
        }
        let Some(l) = &mut self.life else { return Err("no scheduler at the end".into()) };
        let (open, ..) = l.jobs.sizes();
        if open > 0 || l.facade.owed() > 0 {
            return Err(format!("{open} jobs are open, {} reqs owed", l.facade.owed()));
        }
        if l.jobs.counts().broken + l.facade.tally().broken > 0 {
            return Err("something broke that must hold".into());
        }
        if let Some(id) = self.doubted.iter().find(|id| l.jobs.view(**id).is_none()) {
            return Err(format!("{id} was in doubt, and is forgotten"));
        }
        // A worker that forgot nothing settles all doubts once it is back.
        // But where the list does not say when it started, and a boot has blurred when it was sent to.
        let blurred = self.long_ago && self.boot.0 > 1;
        // And where it was sent to on hearsay: to whom that was, nobody knows.
        let sure = |id: &JobId| {
            let doubt = l.jobs.view(*id).into_iter().flat_map(|view| view.doubt);
            doubt.into_iter().any(|lease| lease.start_ms != HEARSAY)
        };
        let doubt = l.jobs.in_doubt().iter().filter(|id| sure(id)).count();
        if self.leases && self.ledgers && doubt > 0 && !blurred {
            return Err(format!("{doubt} jobs are in doubt though no worker forgot anything"));
        }
        Ok(())
    }
}

fn client_copy(c: &Client) -> Client {
    Client { id: c.id, class: c.class, detached: c.detached, tries: 0, done: false, asked: false, until: 0 }
}

/// What workers make of a job.
fn result_of(id: JobId) -> Vec<u8> {
    format!("made {id}").into_bytes()
}
