//! The state machine of durable jobs: what is written, and what may be done once it is on disk.
//!
//! It owns each job from its client's order to its one final answer, the leases of its attempts, and
//! what is in doubt. Whether and where a job is sent stays the decision module's: the machine drives the
//! [`Facade`] that it is handed, and tells it of what may have run. It must never do I/O, read a clock,
//! or let out an effect before the records that it rests on are durable.
//!
//! # Use
//!
//! Feed it what happens (`submit`, `on_started`, `on_ended`, `on_fenced`, `on_list`, `tick`), then take
//! [`records`](Jobs::records) to the log and [`effects`](Jobs::effect) to the network, and tell it of
//! each sync by `on_synced`.
//!
//! # Time
//!
//! `now` is the caller's clock, the facade's too. Records carry *logical* time, which never falls over
//! all lives: while the machine has not been booted anew it goes on with the up-time, whatever was done
//! to the wall clock. After a boot nobody knows how long it was off: the logical clock goes on from where
//! it was, so that no answer is forgotten early; what a client still has of its time is reckoned by the
//! wall clock; and every window counts as over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::task::{Poll, Wake, Waker};

use oakshed_core::facade::{Ending, Facade, Job as Wanted, Micros, Report, Req, Seen, Step};
use rustc_hash::FxHashMap;

use crate::record::{Answer, JobId, Lease, Order, Outcome, Record, HEARSAY};

/// The first gap between two fences of the same attempt, and the longest.
const FENCE_AGAIN: Micros = 100_000;
const LONGEST_FENCE_GAP: Micros = 60_000_000;
/// How much older than its lease a worker that the list says started "long ago" must say that its memory
/// is: more than any jump of a clock that is to be survived.
const LONG_AGO_MS: u64 = 2 * 3_600_000;
/// When an attempt was sent of which nobody knows when: every window since is over.
const LONG_AGO: Micros = 0;
/// How long workers are asked, after a start, what became of a job whose client's time is over.
const GRACE: Micros = 2_000_000;
/// Records by which the log's old end moves on at least.
const TRIM_STEP: u64 = 64;
/// Workers' starts that are remembered.
const STARTS_KEPT: usize = 8_192;
/// Finished jobs that are forgotten at one call, so that none takes long.
const FORGET: usize = 256;

/// What bounds the machine. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Workers speak leases.
    pub leases: bool,
    /// How long a lease holds without a sign of life.
    pub lease: Micros,
    /// How long answers are kept.
    pub keep: Micros,
    /// Jobs that are open or in doubt.
    pub open: usize,
    /// Jobs in all.
    pub kept: usize,
    /// Bytes of orders and answers.
    pub bytes: usize,
}

/// Names by the settings' places.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants.
    pub tenants: Vec<String>,
}

/// What a client's order came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// It is taken on, or was before and is not over: its answer comes as [`Effect::Answer`].
    Open,
    /// It is over.
    Over(Answer),
    /// The name belongs to a job with another payload.
    Conflict,
    /// There is no room, or the store is failing.
    Busy,
}

/// Something to carry out. None comes out before what it rests on is durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The job is durable.
    Accepted(JobId),
    /// Start an attempt: report it by `on_ended`, whatever becomes of it.
    Fetch {
        /// The job.
        id: JobId,
        /// The attempt's token.
        token: u64,
        /// Where to.
        worker: Rc<str>,
        /// When it has timed out.
        until: Micros,
        /// What to send.
        order: Rc<Order>,
    },
    /// Give an attempt's connection up; nothing more need be reported of it.
    Stop {
        /// The job.
        id: JobId,
        /// The attempt's token.
        token: u64,
    },
    /// Ask a worker to let no token up to this one start, and what it knows: report it by `on_fenced`.
    Fence {
        /// The job.
        id: JobId,
        /// The token.
        token: u64,
        /// Whom.
        worker: Rc<str>,
        /// Its address is from a fresh list; to be handed back with what it says.
        sure: bool,
    },
    /// Tell a worker that the result is safe; nothing is lost where that does not arrive.
    Safe {
        /// The job.
        id: JobId,
        /// The token.
        token: u64,
        /// Whom.
        worker: Rc<str>,
    },
    /// The job has its answer, for all who wait for it.
    Answer(JobId, Answer),
    /// Records before this number are not needed any more.
    Trim(u64),
}

/// What a worker says to a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// It has not started, and no token up to the one named will.
    Never,
    /// It runs.
    Running,
    /// It has ended with this result.
    Done(Vec<u8>),
    /// It started, and no result will come.
    Failed,
}

/// How an attempt ended, as its connection tells it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With a result.
    Result(Vec<u8>),
    /// Otherwise; never [`Ending::Delivered`].
    Other(Ending),
}

/// What is to be seen of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Its answer, once it is over and that is durable.
    pub answer: Option<Answer>,
    /// Attempts that were made, as far as they are still of interest.
    pub attempts: usize,
    /// Those of which nobody knows whether they ran, once the job is over.
    pub doubt: Vec<Lease>,
    /// What was found out of these.
    pub outcome: Option<Outcome>,
}

/// Which boot of the machine this is, and for how long it has been up: what a changed wall clock cannot
/// touch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Boot {
    /// The boot's number.
    pub id: u128,
    /// The up-time, in microseconds.
    pub uptime: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    /// Its connection is open, or will be once its lease is durable.
    Out,
    /// Its connection is lost, and its worker is asked.
    Asked,
    /// It may have run, and nobody can say.
    Doubt,
    /// It never ran.
    Unsent,
    /// It ended at its worker.
    Ended,
}

struct Attempt {
    lease: Lease,
    worker: Rc<str>,
    /// Its number at the facade, in this life.
    fetch: Option<usize>,
    stand: Stand,
    /// Its bytes may leave: the lease is durable.
    let_out: bool,
    alive_until: Micros,
    /// When to ask next, and after what gap again.
    ask_at: Micros,
    gap: Micros,
    result: Option<Vec<u8>>,
}

impl Attempt {
    fn new(lease: Lease, stand: Stand) -> Attempt {
        let worker = lease.worker.as_str().into();
        let (fetch, result) = (None, None);
        Attempt {
            lease,
            worker,
            fetch,
            stand,
            let_out: false,
            alive_until: 0,
            ask_at: 0,
            gap: FENCE_AGAIN,
            result,
        }
    }

    fn open(&self) -> bool {
        matches!(self.stand, Stand::Out | Stand::Asked)
    }

    fn may_have_run(&self) -> bool {
        self.stand != Stand::Unsent
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// Not yet durable, or of a past life and not yet taken up.
    Waiting,
    /// The decisions have it.
    Held(Req),
    /// It has its answer, durable once the second is.
    Over(Answer, u64),
}

struct Job {
    print: u128,
    order: Rc<Order>,
    deadline: Micros,
    wait: Micros,
    detached: bool,
    late: bool,
    stage: Stage,
    attempts: Vec<Attempt>,
    outcome: Option<Outcome>,
    /// The oldest record that is needed of it, and when that was written.
    number: u64,
    written: Micros,
    due: Micros,
    bytes: usize,
}

impl Job {
    fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Over(..))
    }

    fn in_doubt(&self) -> bool {
        self.attempts.iter().any(|a| matches!(a.stand, Stand::Doubt | Stand::Asked))
    }

    /// Whether it is over and listed until someone says what became of it. What was refused may run again
    /// anyway, and its doubts go with it.
    fn stays(&self) -> bool {
        matches!(self.stage, Stage::Over(Answer::Failed, _)) && self.in_doubt()
    }

    fn req(&self) -> Option<Req> {
        if let Stage::Held(req) = self.stage {
            Some(req)
        } else {
            None
        }
    }

    fn doubt(&self) -> Vec<Lease> {
        let open = self.attempts.iter().filter(|a| a.open() || a.stand == Stand::Doubt);
        open.map(|a| a.lease.clone()).collect()
    }
}

/// Jobs that have a step to take, filled by the facade's wakers.
#[derive(Default)]
struct Woken {
    jobs: Mutex<Vec<JobId>>,
    outer: Mutex<Option<Waker>>,
}

struct JobWaker(JobId, Arc<Woken>);

impl Wake for JobWaker {
    fn wake(self: Arc<Self>) {
        if let Ok(mut jobs) = self.1.jobs.lock() {
            jobs.push(self.0);
        }
        let outer = self.1.outer.lock().ok().and_then(|mut outer| outer.take());
        outer.into_iter().for_each(Waker::wake);
    }
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs taken on, and orders that found theirs.
    pub taken: u64,
    /// Orders that came again.
    pub again: u64,
    /// Orders turned away: another payload, no room.
    pub conflicts: u64,
    /// No room, or a failing store.
    pub busy: u64,
    /// Fences sent, and what came back.
    pub fences: u64,
    /// Attempts in doubt when their job ended.
    pub doubts: u64,
    /// Of these, settled since.
    pub settled: u64,
    /// What must not be; asserted in debug builds.
    pub broken: u64,
}

/// The logical time, the wall clock and the boot at a life's beginning.
type Anchor = (Micros, Micros, Boot);

enum Pending {
    LetOut(JobId, u64),
    Forget(JobId),
    Effect(Effect),
}

/// All durable jobs of one scheduler.
pub struct Jobs {
    limits: Limits,
    names: Names,
    boot: Boot,
    /// Logical time less the caller's.
    shift: i64,
    jobs: FxHashMap<JobId, Job>,
    /// Over and settled: the first is forgotten first.
    finished: VecDeque<(Micros, u64, JobId)>,
    /// Open, by the oldest record needed; and over but in doubt.
    open: BTreeMap<u64, JobId>,
    doubtful: BTreeMap<u64, JobId>,
    due: BTreeSet<(Micros, JobId)>,
    records: Vec<Record>,
    next: u64,
    synced: u64,
    pending: VecDeque<(u64, Pending)>,
    ready: VecDeque<Effect>,
    woken: Arc<Woken>,
    opened: u64,
    trimmed: u64,
    /// Some list has named workers, be it the one remembered from before the start.
    listed: bool,
    /// The director itself has been heard in this life.
    fresh: bool,
    failed: bool,
    full: bool,
    bytes: usize,
    counts: Counts,
    now: Micros,
    starts: FxHashMap<Rc<str>, u64>,
    /// The order of a job that is over.
    nothing: Rc<Order>,
    /// The caller's clock at the start.
    born: Micros,
}

impl Jobs {
    /// Takes up what a past life has left. `wall` is the caller's clock, which will also be passed as
    /// `now`; `next` the number of the next record.
    pub fn restore(
        limits: Limits,
        names: Names,
        past: impl IntoIterator<Item = (u64, Record)>,
        next: u64,
        wall: Micros,
        boot: Boot,
    ) -> Jobs {
        let mut jobs = Jobs {
            limits,
            names,
            boot,
            shift: 0,
            jobs: FxHashMap::default(),
            finished: VecDeque::new(),
            open: BTreeMap::new(),
            doubtful: BTreeMap::new(),
            due: BTreeSet::new(),
            records: Vec::new(),
            next,
            synced: next.saturating_sub(1),
            pending: VecDeque::new(),
            ready: VecDeque::new(),
            woken: Arc::default(),
            opened: next,
            trimmed: 0,
            listed: false,
            fresh: false,
            failed: false,
            full: false,
            bytes: 0,
            counts: Counts::default(),
            now: wall,
            starts: FxHashMap::default(),
            nothing: Rc::default(),
            born: wall,
        };
        let (mut last, mut anchor) = (0, None::<Anchor>);
        for (number, record) in past {
            last = last.max(jobs.replay(number, record, &mut anchor));
        }
        let same_boot = anchor.filter(|(_, _, before)| before.id == boot.id && boot.id != 0);
        let logical = match (same_boot, anchor) {
            (Some((at, _, before)), _) => at + boot.uptime.saturating_sub(before.uptime),
            (None, Some(_)) => last,
            (None, None) => wall,
        };
        let logical = logical.max(last);
        let off = match (same_boot, anchor) {
            (None, Some((at, then, _))) => wall.saturating_sub(then + (last - at)),
            _ => 0,
        };
        jobs.shift = logical.wrapping_sub(wall) as i64;
        jobs.write(Record::Opened { at: logical, wall, boot: boot.id, uptime: boot.uptime });
        if same_boot.is_none() {
            jobs.forget_when();
        }
        jobs.take_up(logical, off);
        jobs
    }

    fn replay(&mut self, number: u64, record: Record, anchor: &mut Option<Anchor>) -> Micros {
        match record {
            Record::Opened { at, wall, boot, uptime } => {
                if anchor.is_some_and(|(_, _, before)| before.id != boot || boot == 0) {
                    self.forget_when();
                }
                *anchor = Some((at, wall, Boot { id: boot, uptime }));
                at
            }
            Record::Taken { at, id, print, order, deadline, wait, detached, leases } => {
                let attempts = leases.into_iter().map(|l| Attempt::new(l, Stand::Asked)).collect();
                let bytes = order.size();
                let job = Job {
                    print,
                    order: Rc::new(order),
                    deadline,
                    wait,
                    detached,
                    late: false,
                    stage: Stage::Waiting,
                    attempts,
                    outcome: None,
                    number,
                    written: at,
                    due: Micros::MAX,
                    bytes,
                };
                self.jobs.insert(id, job);
                at
            }
            Record::Leased { id, lease } => {
                let at = lease.sent;
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.attempts.push(Attempt::new(lease, Stand::Asked));
                }
                at
            }
            Record::Unsent { id, token } => {
                let job = self.jobs.get_mut(&id);
                let attempts = job.into_iter().flat_map(|j| &mut j.attempts);
                attempts.filter(|a| a.lease.token == token).for_each(|a| a.stand = Stand::Unsent);
                0
            }
            Record::Finished { at, id, print, answer, doubt, outcome } => {
                let (order, bytes) = (self.nothing.clone(), size_of(&answer));
                let job = Job {
                    print,
                    order,
                    deadline: at,
                    wait: 0,
                    detached: false,
                    late: false,
                    stage: Stage::Over(answer, number),
                    attempts: doubt.into_iter().map(|l| Attempt::new(l, Stand::Doubt)).collect(),
                    outcome,
                    number,
                    written: at,
                    due: Micros::MAX,
                    bytes,
                };
                self.jobs.insert(id, job);
                at
            }
            Record::Dropped { id } => {
                self.jobs.remove(&id);
                0
            }
        }
    }

    /// The machine was booted anew: nobody knows how long ago anything was sent.
    fn forget_when(&mut self) {
        self.jobs.values_mut().flat_map(|j| &mut j.attempts).for_each(|a| a.lease.sent = LONG_AGO);
    }

    /// The jobs of a past life, in the order in which they were written; `off` is for how long the
    /// machine was off, beyond the logical clock.
    fn take_up(&mut self, logical: Micros, off: Micros) {
        let mut order: Vec<(u64, JobId)> = self.jobs.iter().map(|(id, job)| (job.number, *id)).collect();
        order.sort_unstable();
        for (number, id) in order {
            let now = self.now;
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            // From the logical clock to the caller's.
            job.written = now.saturating_sub(logical.saturating_sub(job.written));
            for a in &mut job.attempts {
                if a.lease.sent != LONG_AGO {
                    a.lease.sent = now.saturating_sub(logical.saturating_sub(a.lease.sent));
                }
                a.ask_at = now;
                if a.stand == Stand::Asked && !self.limits.leases {
                    a.stand = Stand::Doubt;
                }
            }
            self.bytes += job.bytes;
            if job.is_over() {
                match job.stays() {
                    true => _ = self.doubtful.insert(number, id),
                    false => self.finished.push_back((job.written, number, id)),
                }
                self.plan(id);
                continue;
            }
            // Where the clock has gone back, a job has no more time than its client gave it.
            let left = job.deadline.saturating_sub(logical.saturating_add(off)).min(job.wait);
            job.deadline = now + left;
            // Its client's time was over while nobody served: nothing new is sent, but a worker that can
            // still say what became of it gets a moment to.
            job.late = left == 0;
            if job.late && job.attempts.iter().any(|a| a.stand == Stand::Asked) {
                job.deadline = now + GRACE;
            }
            // Its client may be gone with the connection: what becomes of it is kept.
            job.detached = true;
            self.open.insert(number, id);
            self.plan(id);
        }
    }

    // ---- Clients ----

    /// A client's order. `wait` is how long it is ready to wait from now on.
    pub fn submit(
        &mut self,
        now: Micros,
        id: JobId,
        order: Order,
        wait: Micros,
        detached: bool,
        facade: &mut Facade,
    ) -> Submitted {
        self.now = now;
        let print = order.print();
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.print != print {
                self.counts.conflicts += 1;
                return Submitted::Conflict;
            }
            self.counts.again += 1;
            job.detached |= detached;
            match &job.stage {
                // A refusal was no answer to the job: its client tries again.
                Stage::Over(Answer::Refused(_), number) if *number <= self.synced => {}
                Stage::Over(answer, number) if *number <= self.synced => {
                    return Submitted::Over(answer.clone())
                }
                _ => return Submitted::Open,
            }
        }
        let again = self.jobs.contains_key(&id);
        let room = self.open.len() < self.limits.open
            && (again || self.jobs.len() < self.limits.kept)
            && self.bytes + order.size() <= self.limits.bytes;
        if self.failed || self.full || !room {
            self.counts.busy += 1;
            return Submitted::Busy;
        }
        self.counts.taken += 1;
        let attempts = match self.jobs.remove(&id) {
            Some(old) => {
                self.bytes -= old.bytes;
                self.due.remove(&(old.due, id));
                self.unlist(old.number);
                // Their numbers at the facade were those of the earlier try.
                let ran = old.attempts.into_iter().filter(Attempt::may_have_run);
                ran.map(|a| Attempt { fetch: None, ..a }).collect()
            }
            None => Vec::new(),
        };
        let (bytes, deadline, order) = (order.size(), now + wait, Rc::new(order));
        let stage = Stage::Waiting;
        let job = Job {
            print,
            order,
            deadline,
            wait,
            detached,
            late: false,
            stage,
            attempts,
            outcome: None,
            number: 0,
            written: now,
            due: Micros::MAX,
            bytes,
        };
        self.bytes += bytes;
        self.jobs.insert(id, job);
        self.write_taken(id);
        self.pend(Pending::Effect(Effect::Accepted(id)));
        // The decisions may have it at once: what they come to waits for its record with the order's, and
        // so costs no sync of its own.
        self.look(id, facade);
        self.pump(now, facade);
        Submitted::Open
    }

    /// Withdraws a job that was never sent; tells whether it was withdrawn, or nothing where it is not known.
    pub fn cancel(&mut self, now: Micros, id: JobId, facade: &mut Facade) -> Option<bool> {
        self.now = now;
        let job = self.jobs.get(&id)?;
        if job.is_over() || job.attempts.iter().any(Attempt::may_have_run) {
            return Some(false);
        }
        self.finish(id, Answer::Cancelled, facade);
        self.pump(now, facade);
        Some(true)
    }

    /// What is to be seen of a job.
    pub fn view(&self, id: JobId) -> Option<View> {
        let job = self.jobs.get(&id)?;
        let answer = match &job.stage {
            Stage::Over(answer, number) if *number <= self.synced => Some(answer.clone()),
            _ => None,
        };
        let doubt = if job.is_over() { job.doubt() } else { Vec::new() };
        Some(View { answer, attempts: job.attempts.len(), doubt, outcome: job.outcome })
    }

    /// The jobs that are not over.
    pub fn open(&self) -> Vec<JobId> {
        self.open.values().copied().collect()
    }

    /// The jobs that are over and in doubt.
    pub fn in_doubt(&self) -> Vec<JobId> {
        self.doubtful.values().copied().collect()
    }

    /// An operator says what became of a job in doubt; tells whether there was such a one.
    pub fn settle(&mut self, now: Micros, id: JobId, outcome: Outcome) -> bool {
        self.now = now;
        let doubtful = self.jobs.get_mut(&id).filter(|job| job.stays());
        let Some(job) = doubtful else { return false };
        let stand = if outcome == Outcome::Ran { Stand::Ended } else { Stand::Unsent };
        let open = job.attempts.iter_mut().filter(|a| matches!(a.stand, Stand::Doubt | Stand::Asked));
        open.for_each(|a| a.stand = stand);
        self.note_outcome(id, outcome);
        true
    }

    // ---- The network ----

    /// The list has come, or changed; `starts` tells when each worker named in it has started. Where it
    /// is not `fresh` it was remembered from before the start: its starts may be older than the workers'
    /// own, its addresses may be others' by now.
    pub fn on_list<'a>(
        &mut self,
        now: Micros,
        starts: impl Iterator<Item = (&'a Rc<str>, u64)>,
        fresh: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        // Guards against a fleet whose machines are replaced for months. A start that is forgotten counts
        // as long ago: its worker is believed less.
        if self.starts.len() > STARTS_KEPT {
            self.starts.clear();
        }
        self.starts.extend(starts.map(|(worker, start)| (worker.clone(), start)));
        // One that was remembered and is empty tells nothing.
        let listed = fresh || !self.starts.is_empty();
        if (listed && !self.listed) || (fresh && !self.fresh) {
            let first_fresh = fresh && !self.fresh;
            (self.listed, self.fresh) = (true, fresh || self.fresh);
            let past: Vec<JobId> = self.open.values().chain(self.doubtful.values()).copied().collect();
            for id in past {
                let attempts = self.jobs.get_mut(&id).into_iter().flat_map(|job| &mut job.attempts);
                // Who was asked at a remembered address is asked again: only now is `never` worth anything.
                for a in attempts.filter(|a| first_fresh && matches!(a.stand, Stand::Asked | Stand::Doubt)) {
                    (a.ask_at, a.gap) = (now, FENCE_AGAIN);
                }
                self.look(id, facade);
            }
        }
        self.pump(now, facade);
    }

    /// An attempt's worker gave a sign of life: its job started, or goes on.
    pub fn on_alive(&mut self, now: Micros, id: JobId, token: u64, started: bool, facade: &mut Facade) {
        self.now = now;
        let lease = self.limits.lease;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let req = job.req();
        let Some(a) = job.attempts.iter_mut().find(|a| a.lease.token == token && a.stand == Stand::Out)
        else {
            return;
        };
        (a.alive_until, a.gap) = (now + lease, FENCE_AGAIN);
        if let (Some(req), Some(fetch)) = (req, a.fetch) {
            facade.report(now, if started { Seen::Started(req, fetch) } else { Seen::Progress(req, fetch) });
        }
        self.pump(now, facade);
    }

    /// An attempt's connection has ended.
    pub fn on_ended(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        end: End,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        self.now = now;
        let leases = self.limits.leases;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (deadline, over) = (job.deadline, job.is_over());
        let Some(a) = job.attempts.iter_mut().find(|a| a.lease.token == token && a.stand == Stand::Out)
        else {
            return;
        };
        match end {
            End::Result(result) => self.take_result(id, token, result, load, facade),
            End::Other(how @ (Ending::Shed | Ending::DialFailed | Ending::Unused)) => {
                self.never_ran(id, token, how, load, facade)
            }
            End::Other(Ending::Error) => {
                self.end_attempt(id, token, Stand::Ended, Ending::Error, load, facade)
            }
            // Its worker may know: it is asked, for as long as the client waits.
            End::Other(_) if leases && now < deadline && !over => {
                (a.stand, a.ask_at) = (Stand::Asked, now);
                self.look(id, facade);
            }
            End::Other(how) => {
                let how = if how == Ending::Delivered { Ending::Dropped } else { how };
                self.end_attempt(id, token, Stand::Doubt, how, load, facade);
            }
        }
        self.pump(now, facade);
    }

    /// What a worker said to a fence: `since_ms` is since when its memory is whole, in Unix time
    /// milliseconds. `None`: it said nothing. `sure` is as the fence had it.
    pub fn on_fenced(
        &mut self,
        now: Micros,
        id: JobId,
        token: u64,
        word: Option<(Word, u64)>,
        sure: bool,
        facade: &mut Facade,
    ) {
        self.now = now;
        // Guards against a stranger at a remembered address, who truly never saw the job: it is asked
        // again. All other words tell of this very job, whoever says them.
        let word = word.filter(|(word, _)| sure || *word != Word::Never);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let over = job.is_over();
        let known = |a: &&mut Attempt| {
            a.lease.token == token && matches!(a.stand, Stand::Out | Stand::Asked | Stand::Doubt)
        };
        let Some(a) = job.attempts.iter_mut().find(known) else { return };
        // `never` counts only from a memory that reaches back to the process that was sent to.
        let whole = |since: u64| match a.lease.start_ms {
            0 => since.saturating_add(LONG_AGO_MS) <= a.lease.sent / 1_000,
            HEARSAY => false,
            start => since <= start,
        };
        // These words end the attempt: its connection is of no use any more.
        if a.stand == Stand::Out && matches!(word, Some((Word::Done(_) | Word::Never | Word::Failed, _))) {
            self.ready.push_back(Effect::Stop { id, token });
        }
        match word {
            Some((Word::Done(result), _)) => {
                let worker = a.worker.clone();
                if over {
                    self.settle_one(id, token, Outcome::Ran);
                    // A refusal is no answer to the job: this is.
                    if let Some(Stage::Over(Answer::Refused(_), _)) =
                        self.jobs.get(&id).map(|j| j.stage.clone())
                    {
                        self.close(id, Answer::Served(result));
                    }
                    self.pend(Pending::Effect(Effect::Safe { id, token, worker }));
                } else {
                    self.take_result(id, token, result, None, facade);
                }
            }
            Some((Word::Running, since)) if whole(since) => {
                let again = now + self.limits.lease;
                (a.alive_until, a.ask_at, a.gap) = (again, again, FENCE_AGAIN);
                self.plan(id);
            }
            Some((Word::Never, since)) if whole(since) => {
                if over {
                    self.settle_one(id, token, Outcome::Never);
                } else {
                    self.never_ran(id, token, Ending::Unused, None, facade);
                }
            }
            // Its memory does not reach back: nobody will ever know.
            Some((Word::Never, _)) if !over => {
                self.end_attempt(id, token, Stand::Doubt, Ending::Dropped, None, facade);
            }
            Some((Word::Failed, _)) => {
                if over {
                    self.settle_one(id, token, Outcome::Ran);
                } else {
                    self.end_attempt(id, token, Stand::Ended, Ending::Error, None, facade);
                }
            }
            _ => {
                a.ask_at = now + a.gap;
                a.gap = (a.gap * 2).min(LONGEST_FENCE_GAP);
                self.plan(id);
            }
        }
        self.pump(now, facade);
    }

    // ---- The store ----

    /// The records since the last call, and the first one's number.
    pub fn records(&mut self) -> (u64, Vec<Record>) {
        let records = std::mem::take(&mut self.records);
        (self.next - records.len() as u64, records)
    }

    /// All records up to this number are durable.
    pub fn on_synced(&mut self, now: Micros, number: u64, facade: &mut Facade) {
        self.now = now;
        self.must(number < self.next, "a sync of what was never written");
        self.synced = self.synced.max(number);
        while self.pending.front().is_some_and(|p| p.0 <= self.synced) {
            match self.pending.pop_front() {
                Some((_, Pending::Effect(effect))) => self.ready.push_back(effect),
                Some((_, Pending::Forget(id))) => {
                    if let Some(job) = self.jobs.remove(&id) {
                        self.bytes -= job.bytes;
                        self.due.remove(&(job.due, id));
                    }
                }
                Some((_, Pending::LetOut(id, token))) => self.let_out(id, token, facade),
                None => {}
            }
        }
        self.pump(now, facade);
    }

    /// The store has failed, and nothing more will be durable: nothing new is begun. What a worker has
    /// delivered is answered where a later life would come to the same answer, all else at its deadline.
    pub fn on_failed(&mut self, now: Micros) {
        (self.now, self.failed) = (now, true);
        for (_, pending) in std::mem::take(&mut self.pending) {
            if let Pending::Effect(Effect::Answer(id, answer)) = pending {
                if self.stands_without_store(&answer) {
                    self.ready.push_back(Effect::Answer(id, answer));
                }
            }
        }
    }

    /// Whether the disk has room for a further file: where not, no new jobs.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    fn stands_without_store(&self, answer: &Answer) -> bool {
        self.limits.leases && matches!(answer, Answer::Served(_))
    }

    /// Whether a job is known and on disk.
    pub fn is_durable(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.number <= self.synced)
    }

    // ---- Time ----

    /// Does what is due, and tells when to call again. The waker is woken when that is sooner.
    pub fn tick(&mut self, now: Micros, facade: &mut Facade, waker: &Waker) -> Option<Micros> {
        self.now = now;
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, id));
            if let Some(job) = self.jobs.get_mut(&id) {
                job.due = Micros::MAX;
            }
            self.look(id, facade);
        }
        let mut left = FORGET;
        while left > 0 && self.finished.front().is_some_and(|f| f.0 + self.limits.keep <= now) {
            left -= 1;
            if let Some((_, _, id)) = self.finished.pop_front() {
                if let Some(job) = self.jobs.remove(&id) {
                    self.bytes -= job.bytes;
                    self.due.remove(&(job.due, id));
                }
            }
        }
        self.trim();
        self.pump(now, facade);
        if let Ok(mut outer) = self.woken.outer.lock() {
            *outer = Some(waker.clone());
        }
        let keep = self.limits.keep;
        let forget = self.finished.front().map(|f| (f.0 + keep).max(now + 1_000));
        self.due.first().map(|d| d.0).into_iter().chain(forget).min()
    }

    /// The next thing to carry out.
    pub fn effect(&mut self) -> Option<Effect> {
        self.ready.pop_front()
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many jobs are open, in doubt, and kept in all; and the bytes of their orders and answers.
    pub fn sizes(&self) -> (usize, usize, usize, usize) {
        (self.open.len(), self.doubtful.len(), self.jobs.len(), self.bytes)
    }

    // ---- Inside ----

    fn must(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        self.counts.broken += u64::from(!holds);
    }

    fn logical(&self, at: Micros) -> Micros {
        at.wrapping_add_signed(self.shift)
    }

    fn write(&mut self, record: Record) -> u64 {
        self.records.push(record);
        self.next += 1;
        self.next - 1
    }

    /// Lets something happen once all that was written so far is durable.
    fn pend(&mut self, what: Pending) {
        if !self.failed {
            self.pending.push_back((self.next - 1, what));
        }
    }

    fn logical_lease(&self, lease: &Lease) -> Lease {
        let sent = if lease.sent == LONG_AGO { LONG_AGO } else { self.logical(lease.sent) };
        Lease { sent, ..lease.clone() }
    }

    fn write_taken(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let may = job.attempts.iter().filter(|a| a.may_have_run());
        let record = Record::Taken {
            at: self.logical(self.now),
            id,
            print: job.print,
            order: (*job.order).clone(),
            deadline: self.logical(job.deadline),
            wait: job.wait,
            detached: job.detached,
            leases: may.map(|a| self.logical_lease(&a.lease)).collect(),
        };
        let (number, now) = (self.write(record), self.now);
        if let Some(job) = self.jobs.get_mut(&id) {
            let old = std::mem::replace(&mut job.number, number);
            job.written = now;
            self.open.remove(&old);
        }
        self.open.insert(number, id);
    }

    /// Takes a job out of the list that it is in, by its number. Guards against a second entry of one that
    /// is closed again, which would later forget it early, or forget what has its name by then.
    fn unlist(&mut self, number: u64) {
        if self.open.remove(&number).or_else(|| self.doubtful.remove(&number)).is_none() {
            if let Ok(at) = self.finished.binary_search_by_key(&number, |f| f.1) {
                self.finished.remove(at);
            }
        }
    }

    /// Sets the moment at which to look at a job again.
    fn plan(&mut self, id: JobId) {
        let (leases, listed) = (self.limits.leases, self.listed);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let asks = job.attempts.iter().filter_map(|a| match a.stand {
            Stand::Out if leases && a.let_out => Some(a.alive_until.max(a.ask_at)),
            Stand::Asked => Some(a.ask_at),
            Stand::Doubt if leases && job.is_over() => Some(a.ask_at),
            _ => None,
        });
        let ask = asks.min().filter(|_| listed);
        let deadline = (!job.is_over()).then_some(job.deadline);
        let due = ask.into_iter().chain(deadline).min().unwrap_or(Micros::MAX);
        if due != job.due {
            self.due.remove(&(job.due, id));
            job.due = due;
            if due != Micros::MAX {
                self.due.insert((due, id));
            }
        }
    }

    /// Does what is due for a job: begins it, asks workers, ends it at its deadline.
    fn look(&mut self, id: JobId, facade: &mut Facade) {
        let (now, leases) = (self.now, self.limits.leases);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let over = job.is_over();
        if !over && now >= job.deadline {
            return self.give_up(id, facade);
        }
        let mut asks = Vec::new();
        for a in job.attempts.iter_mut().filter(|_| leases && self.listed) {
            let due = match a.stand {
                Stand::Out => a.let_out && now >= a.alive_until.max(a.ask_at),
                Stand::Asked => now >= a.ask_at,
                Stand::Doubt => over && now >= a.ask_at,
                Stand::Unsent | Stand::Ended => false,
            };
            if due {
                // Until the answer, or its absence, says otherwise.
                a.ask_at = now + a.gap.max(self.limits.lease);
                let (token, worker, sure) = (a.lease.token, a.worker.clone(), self.fresh);
                asks.push(Effect::Fence { id, token, worker, sure });
            }
        }
        let begins = job.stage == Stage::Waiting && !job.attempts.iter().any(Attempt::open);
        // What was never sent needs no more than the decisions do, and they take a remembered list. What
        // may have run waits for a fresh one: to whom it may go again depends on where it ran.
        let ran = job.attempts.iter().any(Attempt::may_have_run);
        let may = (self.fresh || self.listed && !ran) && !self.failed;
        self.counts.fences += asks.len() as u64;
        self.ready.extend(asks);
        if begins && may {
            self.begin(id, facade);
        }
        self.plan(id);
    }

    fn begin(&mut self, id: JobId, facade: &mut Facade) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let order = job.order.clone();
        let Some(class) = self.names.classes.iter().position(|c| *c == order.class) else {
            // The settings have changed between two lives.
            let ran = job.attempts.iter().any(Attempt::may_have_run);
            return self.finish(id, if ran { Answer::Failed } else { Answer::Refused(None) }, facade);
        };
        let tenant = order.owner.as_ref().and_then(|o| self.names.tenants.iter().position(|t| t == o));
        let wanted = Wanted {
            class: class as u32,
            tenant: tenant.map(|t| t as u32),
            slots: order.slots,
            memory: order.memory,
            key: order.key,
            hint: None,
            remaining: if job.late { 0 } else { job.deadline.saturating_sub(now) },
        };
        let ran: Vec<&mut Attempt> = job.attempts.iter_mut().filter(|a| a.may_have_run()).collect();
        let mut earlier = Vec::new();
        for a in ran {
            a.fetch = Some(earlier.len());
            earlier.push((a.worker.clone(), now.saturating_sub(a.lease.sent)));
        }
        let req = facade.take_again(now, &wanted, &earlier);
        job.stage = Stage::Held(req);
        if let Ok(mut jobs) = self.woken.jobs.lock() {
            jobs.push(id);
        }
    }

    /// Takes the steps that the decisions have for jobs.
    pub fn pump(&mut self, now: Micros, facade: &mut Facade) {
        self.now = now;
        loop {
            let woken = self.woken.jobs.lock().map(|mut jobs| std::mem::take(&mut *jobs)).unwrap_or_default();
            if woken.is_empty() {
                return;
            }
            for id in woken {
                self.step(id, facade);
            }
        }
    }

    fn step(&mut self, id: JobId, facade: &mut Facade) {
        while let Some(req) = self.jobs.get(&id).and_then(Job::req) {
            let waker = Waker::from(Arc::new(JobWaker(id, self.woken.clone())));
            let Poll::Ready(step) = facade.pick(req, &waker) else { return };
            match step {
                Step::Fetch { fetch, backend, until } => self.lease(id, fetch, backend, until),
                Step::Serve { fetch } => {
                    let job = self.jobs.get_mut(&id);
                    let a = job.and_then(|j| j.attempts.iter_mut().find(|a| a.fetch == Some(fetch)));
                    let result = a.and_then(|a| a.result.take());
                    self.must(result.is_some(), "a served attempt has its result");
                    self.finish(id, result.map_or(Answer::Failed, Answer::Served), facade);
                }
                Step::Synthetic { retry_after } => self.finish(id, Answer::Refused(retry_after), facade),
                Step::Fail => self.finish(id, Answer::Failed, facade),
                Step::Drop { fetch } => {
                    let job = self.jobs.get_mut(&id);
                    let a = job.and_then(|j| j.attempts.iter_mut().find(|a| a.fetch == Some(fetch)));
                    if let Some(a) = a.filter(|a| a.open()) {
                        let sent = a.let_out || a.stand == Stand::Asked;
                        a.stand = if sent { Stand::Doubt } else { Stand::Unsent };
                        let token = a.lease.token;
                        self.ready.push_back(Effect::Stop { id, token });
                    }
                    facade.report(self.now, Seen::Ended(req, fetch, Ending::Revoked, None));
                }
            }
        }
    }

    /// An attempt is decided on: its lease is written, and it leaves once that is durable.
    fn lease(&mut self, id: JobId, fetch: usize, worker: Rc<str>, until: Micros) {
        let listed = self.starts.get(&worker).copied().unwrap_or(0);
        let start_ms = if self.fresh { listed } else { HEARSAY };
        let (now, hold) = (self.now, self.limits.lease);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let token = self.next;
        let lease = Lease { token, worker: worker.to_string(), start_ms, sent: now };
        let mut a = Attempt::new(lease.clone(), Stand::Out);
        (a.fetch, a.worker, a.alive_until) = (Some(fetch), worker, until.min(now + hold));
        job.attempts.push(a);
        let lease = self.logical_lease(&lease);
        self.write(Record::Leased { id, lease });
        self.pend(Pending::LetOut(id, token));
    }

    fn let_out(&mut self, id: JobId, token: u64, facade: &mut Facade) {
        let (now, hold) = (self.now, self.limits.lease);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let (order, until) = (job.order.clone(), job.deadline);
        let Some(a) = job.attempts.iter_mut().find(|a| a.lease.token == token) else { return };
        if a.stand != Stand::Out {
            return;
        }
        if now >= until {
            return self.never_ran(id, token, Ending::Unused, None, facade);
        }
        (a.let_out, a.alive_until) = (true, now + hold);
        let worker = a.worker.clone();
        self.ready.push_back(Effect::Fetch { id, token, worker, until, order });
        self.plan(id);
    }

    fn never_ran(&mut self, id: JobId, token: u64, how: Ending, load: Option<Report>, facade: &mut Facade) {
        self.write(Record::Unsent { id, token });
        self.end_attempt(id, token, Stand::Unsent, how, load, facade);
    }

    /// An attempt is over: the decisions hear of it, or, in a job of a past life, it is taken up if
    /// this was the last one open.
    fn end_attempt(
        &mut self,
        id: JobId,
        token: u64,
        stand: Stand,
        how: Ending,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let req = job.req();
        let Some(a) = job.attempts.iter_mut().find(|a| a.lease.token == token) else { return };
        (a.stand, a.ask_at) = (stand, self.now);
        match (req, a.fetch) {
            (Some(req), Some(fetch)) => facade.report(self.now, Seen::Ended(req, fetch, how, load)),
            _ => self.look(id, facade),
        }
    }

    fn take_result(
        &mut self,
        id: JobId,
        token: u64,
        result: Vec<u8>,
        load: Option<Report>,
        facade: &mut Facade,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let req = job.req();
        let Some(a) = job.attempts.iter_mut().find(|a| a.lease.token == token) else { return };
        a.stand = Stand::Ended;
        match (req, a.fetch) {
            (Some(req), Some(fetch)) => {
                a.result = Some(result);
                facade.report(self.now, Seen::Ended(req, fetch, Ending::Delivered, load));
            }
            _ => self.finish(id, Answer::Served(result), facade),
        }
    }

    /// The client's time is over: what is out may have run, and the decisions say what that comes to.
    fn give_up(&mut self, id: JobId, facade: &mut Facade) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let req = job.req();
        for a in job.attempts.iter_mut().filter(|a| a.open()) {
            let sent = a.stand == Stand::Asked || a.let_out;
            a.stand = if sent { Stand::Doubt } else { Stand::Unsent };
            if a.let_out {
                self.ready.push_back(Effect::Stop { id, token: a.lease.token });
            }
            if let (Some(req), Some(fetch)) = (req, a.fetch) {
                let how = if sent { Ending::Expired } else { Ending::Unused };
                facade.report(now, Seen::Ended(req, fetch, how, None));
            }
        }
        if req.is_none() {
            self.begin(id, facade);
        }
        self.step(id, facade);
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_over()) else { return };
        let ran = job.attempts.iter().any(Attempt::may_have_run);
        self.finish(id, if ran { Answer::Failed } else { Answer::Refused(None) }, facade);
    }

    /// The job has its final answer, which is given once it is durable.
    fn finish(&mut self, id: JobId, answer: Answer, facade: &mut Facade) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.is_over() {
            return self.must(false, "a second final answer");
        }
        if let Some(req) = job.req() {
            facade.leave(now, req);
            // Where attempts may not be cancelled, the decisions wait for their ends.
            for a in job.attempts.iter().filter(|a| a.open()) {
                if let Some(fetch) = a.fetch {
                    facade.report(now, Seen::Ended(req, fetch, Ending::Revoked, None));
                }
            }
        }
        let served = matches!(answer, Answer::Served(_));
        let mut safe = Vec::new();
        for a in &mut job.attempts {
            if a.stand == Stand::Out {
                self.ready.push_back(Effect::Stop { id, token: a.lease.token });
            }
            match a.stand {
                // Not let out, and never will be.
                Stand::Out if !a.let_out => a.stand = Stand::Unsent,
                Stand::Out | Stand::Asked => {
                    a.stand = Stand::Doubt;
                    a.ask_at = now;
                }
                Stand::Ended if served && self.limits.leases => {
                    safe.push(Effect::Safe { id, token: a.lease.token, worker: a.worker.clone() });
                }
                _ => {}
            }
            // What came of others is of no interest once the job is served.
            if served && a.stand == Stand::Doubt {
                a.stand = Stand::Ended;
            }
        }
        // A refusal of what never ran ends all interest in the job, unless someone will come and ask.
        let gone = matches!(answer, Answer::Refused(_))
            && !job.detached
            && !job.attempts.iter().any(Attempt::may_have_run);
        // Refused, though it may have run: its client's next try goes on from there.
        let parked = matches!(answer, Answer::Refused(_));
        self.counts.doubts +=
            job.attempts.iter().filter(|a| a.stand == Stand::Doubt && !parked).count() as u64;
        if gone {
            let number = self.write(Record::Dropped { id });
            let Some(job) = self.jobs.get_mut(&id) else { return };
            // Known until that is durable: an order that comes meanwhile is the same try, and gets the
            // same refusal.
            job.stage = Stage::Over(answer.clone(), number);
            let old = job.number;
            self.open.remove(&old);
            self.plan(id);
        } else {
            self.close(id, answer.clone());
        }
        if self.failed && self.stands_without_store(&answer) {
            return self.ready.push_back(Effect::Answer(id, answer));
        }
        self.pend(Pending::Effect(Effect::Answer(id, answer)));
        safe.into_iter().for_each(|effect| self.pend(Pending::Effect(effect)));
        if gone {
            self.pend(Pending::Forget(id));
        }
    }

    /// Writes what is kept of a job that is over, and lists it by whether it is in doubt.
    fn close(&mut self, id: JobId, answer: Answer) {
        let now = self.now;
        let Some(job) = self.jobs.get(&id) else { return };
        // What was refused may be tried again: all that may have run still counts then.
        let parked = matches!(answer, Answer::Refused(_));
        let kept = |a: &&Attempt| if parked { a.may_have_run() } else { a.stand == Stand::Doubt };
        let doubt = job.attempts.iter().filter(kept).map(|a| self.logical_lease(&a.lease)).collect();
        let (print, outcome) = (job.print, job.outcome);
        let at = self.logical(now);
        let number = self.write(Record::Finished { at, id, print, answer: answer.clone(), doubt, outcome });
        self.unlist(self.jobs.get(&id).map_or(0, |job| job.number));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.bytes -= job.bytes;
        job.order = self.nothing.clone();
        job.bytes = size_of(&answer);
        job.stage = Stage::Over(answer, number);
        (job.number, job.written) = (number, now);
        self.bytes += job.bytes;
        if job.stays() {
            self.doubtful.insert(number, id);
        } else {
            self.finished.push_back((now, number, id));
        }
        self.plan(id);
    }

    fn settle_one(&mut self, id: JobId, token: u64, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let stand = if outcome == Outcome::Ran { Stand::Ended } else { Stand::Unsent };
        job.attempts.iter_mut().filter(|a| a.lease.token == token).for_each(|a| a.stand = stand);
        // One that ran is what counts of several.
        let outcome = if job.outcome == Some(Outcome::Ran) { Outcome::Ran } else { outcome };
        self.note_outcome(id, outcome);
    }

    fn note_outcome(&mut self, id: JobId, outcome: Outcome) {
        self.counts.settled += 1;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome = Some(outcome);
        if let Stage::Over(answer, _) = job.stage.clone() {
            self.close(id, answer);
        }
    }

    /// Lets the log's old end go: what alone still needs it is written anew, once in each span of
    /// `keep`.
    fn trim(&mut self) {
        if self.failed {
            return;
        }
        let keep = self.limits.keep;
        let old = |list: &BTreeMap<u64, JobId>| list.first_key_value().map(|(_, id)| *id);
        loop {
            let oldest = [old(&self.open), old(&self.doubtful)];
            let due = |id: &JobId| {
                let job = self.jobs.get(id);
                job.filter(|j| j.written + keep <= self.now && j.number <= self.synced).is_some()
            };
            let Some(id) = oldest.into_iter().flatten().find(due) else { break };
            match self.jobs.get(&id).map(|job| job.stage.clone()) {
                Some(Stage::Over(answer, _)) => self.close(id, answer),
                _ => self.write_taken(id),
            }
        }
        let first = |list: &BTreeMap<u64, JobId>| list.first_key_value().map(|(n, _)| *n);
        let needed = [first(&self.open), first(&self.doubtful)];
        let low =
            needed.into_iter().flatten().chain(self.finished.front().map(|f| f.1)).min().unwrap_or(self.next);
        if low > self.opened && low > self.trimmed + TRIM_STEP {
            let at = self.logical(self.now);
            let Boot { id, uptime } = self.boot;
            // The up-time goes on as the caller's clock does.
            let uptime = uptime + (self.now - self.born);
            self.opened = self.write(Record::Opened { at, wall: self.now, boot: id, uptime });
        }
        let low = low.min(self.opened);
        if low > self.trimmed + TRIM_STEP {
            self.trimmed = low;
            self.pend(Pending::Effect(Effect::Trim(low)));
        }
    }
}

fn size_of(answer: &Answer) -> usize {
    match answer {
        Answer::Served(result) => result.len() + 64,
        _ => 64,
    }
}
