//! What a dispatcher remembers, and the bookkeeping of it. Decisions are in decide.rs.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::figures::Members;
use crate::interface::*;

/// Places on the ring for each worker: with one each, some would be home to five times their share.
const RING_PLACES: u64 = 32;
/// Mean running times over which the rate of what leaves is counted, and that of what comes in and is done:
/// some dozens, also in a large fleet.
const LEAVING_SPAN: f64 = 4.0;
const COMING_SPAN: f64 = 16.0;
/// The share of such a span that a rate is taken to stand for at the least.
const LEAST_SEEN: f64 = 0.2;
/// Requests of a tenant that may come at once within its share: where a second brings less than one, two
/// close together are chance.
const SHARE_BURST: f64 = 4.0;
/// The most slots that a job is taken to need. Guards against a figure beside which sums of slots lose
/// all others: they would not come back to what they were when the job ends.
const MOST_SLOTS: f64 = 1_024.0;
/// Workers that are gone are remembered up to this number beside the active ones.
const GONE_KEPT: usize = 4_096;
/// The longest time that a setting may hold, a year. Guards against sums of times that run over.
const LONGEST: Micros = 366 * 24 * 3_600 * 1_000_000;
/// The most that a setting that multiplies may be.
const MOST_TIMES: f64 = 1e6;

/// One worker as this dispatcher sees it.
#[derive(Default)]
pub(crate) struct Worker {
    pub id: Option<WorkerId>,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    /// In the list, whatever its state; its process runs and wants jobs.
    pub listed: bool,
    pub active: bool,
    pub online_since: Micros,
    /// Own outstanding slots, and the same smoothed over the age of a report.
    pub out: f64,
    pub lagged_out: f64,
    pub lagged_at: Micros,
    /// Of these, slots that are not counted against the cap, as the worker is silent.
    pub aside: f64,
    /// Own attempts without an outcome: all, and how many count; those not known to have started.
    pub attempts: Vec<(RequestId, usize)>,
    pub open: u32,
    pub unstarted: u32,
    pub last_sent: Micros,
    /// The last report as it came, and when.
    pub report: Report,
    pub reported_at: Micros,
    /// Free slots kept up with own sends, the memory reported, and how old that is.
    pub free: f64,
    pub memory: Option<f64>,
    pub heard: Option<Micros>,
    /// Rounds expected free slots up or down; drawn anew with each piece of news.
    pub dither: f64,
    /// Running time against the class's mean.
    pub pace: f64,
    pub paced_at: Micros,
    /// How long own jobs waited there to start, lately, and since when that is known.
    pub wait: f64,
    pub waited_at: Micros,
    /// Errors, and jobs turned away, in a row: nothing was served, or started, in between.
    pub errors: u32,
    pub turned_away: u32,
    /// Since when own jobs are without news, trials since, and no sends before.
    pub quiet_since: Micros,
    pub watched: bool,
    pub trials: u32,
    pub shun_until: Micros,
    /// Cold budget in slot-microseconds.
    pub budget: f64,
    pub budget_at: Micros,
    /// Until when an idle connection is held.
    pub idle_until: Micros,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub worker: usize,
    pub sent: Micros,
    pub started: Option<Micros>,
    /// Last news of it.
    pub heard: Micros,
    pub open: bool,
    /// Its connection has gone silent, though its worker has not: it is not counted there.
    pub astray: bool,
    /// It was counted as one that started too late.
    pub late: bool,
    pub may_have_run: bool,
}

/// What an attempt was that has ended.
pub(crate) struct Ended {
    pub worker: usize,
    pub class: usize,
    pub slots: f64,
    pub size: f64,
    pub sent: Micros,
    pub started: Option<Micros>,
}

/// One request that is owed an answer, or has attempts without an outcome.
#[derive(Default)]
pub(crate) struct Request {
    pub class: usize,
    pub tier: usize,
    pub slots: f64,
    pub memory: f64,
    pub key: Option<u64>,
    /// Work as hinted, and how much that is against the class's mean; 1 without a hint.
    pub hint: Option<f64>,
    pub size: f64,
    pub aim_at: Micros,
    /// The last moment at which a send can still meet the aim.
    pub leave_by: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub open: u32,
    pub queued: bool,
    pub done: bool,
}

impl Request {
    /// A request just come in. Sizes that are no sizes count as absent. A job takes one slot at least:
    /// guards against jobs of none, which no cap and no cold worker's budget would count.
    pub(crate) fn new(class: u32, slots: f64, memory: f64, key: Option<u64>, hint: Option<Micros>) -> Self {
        let size = |x: f64, or: f64| if x.is_finite() && x >= 0.0 { x } else { or };
        let (slots, memory) = (size(slots, 1.0).clamp(1.0, MOST_SLOTS), size(memory, 0.0));
        let (class, hint, size) = (class as usize, hint.map(|h| h.min(LONGEST) as f64), 1.0);
        Request { class, slots, memory, key, hint, size, ..Request::default() }
    }
}

/// What was learned of a class.
#[derive(Default)]
pub(crate) struct ClassBelief {
    pub tier: usize,
    /// Running time lately, and over the whole life: the latter stands for the job's own work.
    pub run: f64,
    pub work: f64,
    pub served: f64,
    /// Mean of the hints.
    pub hinted: f64,
    pub longest_remaining: Micros,
}

impl ClassBelief {
    /// A class of which only a guess is known, worth as much as so many served jobs.
    pub(crate) fn new(tier: usize, run: f64, served: f64) -> Self {
        ClassBelief { tier, run, work: run, served, ..ClassBelief::default() }
    }

    /// How large a hint is against the mean of the hints, which it enters with a weight.
    pub(crate) fn size(&mut self, hint: f64, weight: f64) -> f64 {
        self.hinted += (hint - self.hinted) * if self.hinted > 0.0 { weight } else { 1.0 };
        (hint / self.hinted.max(1.0)).clamp(0.1, 10.0)
    }
}

/// How much comes in a microsecond, lately: what was counted fades over a span. Of a younger one the time since
/// its first count stands for the span. Guards against a fresh dispatcher that believes for seconds that hardly
/// anything comes in or is done: all together then send cold workers, where most have restarted, next to nothing.
#[derive(Default)]
pub(crate) struct Rate {
    /// As of the last count.
    pub last: f64,
    counted: f64,
    /// The share of the span that was seen.
    seen: f64,
    at: Micros,
}

impl Rate {
    fn faded(&self, now: Micros, span: f64) -> (f64, f64) {
        let kept = (-(now.saturating_sub(self.at) as f64) / span).exp();
        let seen = if self.at == 0 { 0.0 } else { 1.0 - (1.0 - self.seen) * kept };
        (self.counted * kept, seen)
    }

    fn count(&mut self, now: Micros, amount: f64, span: f64) {
        let (counted, seen) = self.faded(now, span);
        let counted = counted + amount / span;
        *self = Rate { last: counted / seen.max(LEAST_SEEN), counted, seen, at: now };
    }

    fn now(&self, now: Micros, span: f64) -> f64 {
        let (counted, seen) = self.faded(now, span);
        counted / seen.max(LEAST_SEEN)
    }
}

/// The decisions of one dispatcher.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    pub(crate) actions: Vec<Action>,
    pub(crate) classes: Vec<ClassBelief>,
    /// All workers ever listed, and those that are active and not taken out: all, and by kind.
    pub(crate) workers: Vec<Worker>,
    pub(crate) index: FxHashMap<WorkerId, usize>,
    pub(crate) live: Vec<usize>,
    /// Workers that operators have taken out. Apart from the list: nothing that it tells lifts a ban.
    pub(crate) banned: FxHashSet<WorkerId>,
    /// The active ones of the own zone.
    pub(crate) near: Vec<usize>,
    pub(crate) live_by_kind: FxHashMap<u32, Vec<usize>>,
    /// The active workers in the order of a mixture of their ids: a key's workers follow its own.
    pub(crate) ring: Vec<(u64, usize)>,
    /// The active workers, each counted for the share of its capacity that it surely has.
    pub(crate) warmth: f64,
    /// Learned means over the fleet.
    pub(crate) mean_free: f64,
    pub(crate) mean_run: f64,
    pub(crate) report_spans: f64,
    pub(crate) report_changes: f64,
    /// At which requests leave, and come in.
    pub(crate) leaving: Rate,
    pub(crate) coming: Rate,
    /// How long own jobs waited in each zone, lately, and since when that is known.
    pub(crate) zones: FxHashMap<u32, (f64, Micros)>,
    /// All requests known; those held, by tier, in the order in which they must leave.
    pub(crate) requests: FxHashMap<RequestId, Request>,
    pub(crate) tiers: Vec<BTreeSet<(Micros, RequestId)>>,
    /// Workers with own jobs, and when each was last looked at.
    pub(crate) watched: VecDeque<(Micros, usize)>,
    /// Own outstanding slots, and the cap on them; work done for it, in slots: what waits is left out.
    pub(crate) out: f64,
    pub(crate) aside: f64,
    pub(crate) done: Rate,
    /// The same for each warm worker of its time.
    pub(crate) by_warm: Rate,
    pub(crate) cap: f64,
    pub(crate) cap_dither: f64,
    pub(crate) late: f64,
    /// Processes of this scheduler that live beside this one.
    pub(crate) sharers: usize,
    pub(crate) round_until: Micros,
    /// Workers that the process before avoided, until they are listed here.
    pub(crate) told_to_shun: FxHashMap<WorkerId, (Micros, u32)>,
    /// What is left of each tenant's share here, and when that was counted.
    pub(crate) shares: FxHashMap<usize, (f64, Micros)>,
    pub(crate) wake_at: Micros,
    pub(crate) ask_at: Micros,
    pub(crate) ask_failures: u32,
    pub(crate) probes_out: u32,
}

impl Dispatcher {
    /// Puts a request into its tier's queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.queued = true;
            self.tiers[r.tier].insert((r.leave_by, id));
        }
    }

    /// Takes a request out of its tier's queue, if it is there.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.queued = false;
            self.tiers[r.tier].remove(&(r.leave_by, id));
        }
    }

    /// Nothing is owed for a request any more; it stays known until its attempts have ended.
    pub(crate) fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.done = true;
        if self.settings.may_cancel {
            let open = r.attempts.iter().enumerate().filter(|(_, a)| a.open);
            self.actions.extend(open.map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
        }
        if r.open == 0 {
            self.requests.remove(&id);
        }
    }

    /// The next worker with own jobs that was not looked at for a span.
    pub(crate) fn next_to_watch(&mut self, span: f64) -> Option<usize> {
        loop {
            let (_, w) = *self.watched.front().filter(|look| self.since(look.0) >= span.max(1.0))?;
            self.watched.pop_front();
            if self.workers[w].open > 0 {
                self.watched.push_back((self.now, w));
                return Some(w);
            }
            self.workers[w].watched = false;
        }
    }

    /// Leaves the own slots at a silent worker out of the cap's count.
    pub(crate) fn set_aside(&mut self, w: usize) {
        self.count_again(w);
        self.workers[w].aside = self.workers[w].out;
        self.aside += self.workers[w].aside;
    }

    /// Counts them again, as there is news of the worker.
    pub(crate) fn count_again(&mut self, w: usize) {
        self.aside = (self.aside - std::mem::take(&mut self.workers[w].aside)).max(0.0);
    }

    /// Counts a tenant's request against this dispatcher's part of its share, a second's worth of
    /// which may come at once; tells whether it is beyond.
    pub(crate) fn over_share(&mut self, tenant: usize) -> bool {
        let Some(share) = self.settings.tenants.get(tenant) else { return false };
        let rate = share / f64::from(self.settings.dispatchers);
        let most = rate.max(SHARE_BURST);
        let (left, at) = self.shares.get(&tenant).copied().unwrap_or((most, self.now));
        let left = (left + rate * self.since(at) / 1e6).min(most);
        self.shares.insert(tenant, (if left >= 1.0 { left - 1.0 } else { left }, self.now));
        left < 1.0
    }

    /// Counts a request that comes in.
    pub(crate) fn count_coming(&mut self) {
        self.coming.count(self.now, 1.0, COMING_SPAN * self.mean_run);
    }

    /// Counts work that was done: slots for a span.
    pub(crate) fn count_done(&mut self, work: f64) {
        let span = COMING_SPAN * self.mean_run;
        self.done.count(self.now, work, span);
        // Recounted as they warm; by the warmth of its time, as a fleet half replaced does not do more by the rest.
        if self.warmth < self.live.len() as f64 {
            self.warmth = self.live.iter().map(|&w| self.warm_share(w)).sum();
        }
        self.by_warm.count(self.now, work / self.warmth.max(1.0), span);
    }

    /// Slots that were at work for this dispatcher lately at a warm worker.
    pub(crate) fn usual(&self) -> f64 {
        self.by_warm.now(self.now, COMING_SPAN * self.mean_run)
    }

    /// Slots that were at work for this dispatcher lately.
    pub(crate) fn at_work(&self) -> f64 {
        self.done.now(self.now, COMING_SPAN * self.mean_run)
    }

    /// How many jobs are held: in total, and above the lowest tier.
    pub(crate) fn held(&self) -> (usize, usize) {
        let total: usize = self.tiers.iter().map(BTreeSet::len).sum();
        (total, total - self.tiers.last().map_or(0, BTreeSet::len))
    }

    /// Asks for a timer, unless an earlier one is set.
    pub(crate) fn wake_by(&mut self, at: Micros) {
        if at < self.wake_at {
            self.wake_at = at;
            self.actions.push(Action::Wake { after: at - self.now });
        }
    }

    /// When it wants its timer; the largest number: never.
    pub(crate) fn wake_wanted(&self) -> Micros {
        self.wake_at
    }

    /// How long ago that was.
    pub(crate) fn since(&self, at: Micros) -> f64 {
        self.now.saturating_sub(at) as f64
    }

    /// Own outstanding slots there change by `by`; known free slots go the other way.
    fn occupy(&mut self, w: usize, by: f64) {
        let keep = (-self.since(self.workers[w].lagged_at) / self.report_lag().max(1.0)).exp();
        let worker = &mut self.workers[w];
        worker.lagged_out += (worker.out - worker.lagged_out) * (1.0 - keep);
        worker.lagged_at = self.now;
        worker.out = (worker.out + by).max(0.0);
        worker.free -= by;
        let ended = worker.aside.min((-by).max(0.0));
        worker.aside -= ended;
        self.aside = (self.aside - ended).max(0.0);
        self.out = (self.out + by).max(0.0);
    }

    /// Attempts of a past life, as ended ones that may have run. A worker that is listed no more gets a
    /// place of its own, in nobody's group.
    pub(crate) fn inherit(&mut self, earlier: &[Earlier]) -> Vec<Attempt> {
        let ended = |e: &Earlier| {
            let unlisted = Row {
                worker: e.worker,
                zone: UNKNOWN,
                kind: UNKNOWN,
                cell: UNKNOWN,
                condition: Condition::Left,
                online_since: 0,
            };
            let known = self.index.get(&e.worker).copied();
            let worker = known.unwrap_or_else(|| self.enter(&unlisted).0);
            let sent = self.now.saturating_sub(e.ago);
            let (open, astray, may_have_run) = (false, false, true);
            Attempt { worker, sent, started: None, heard: sent, open, astray, late: false, may_have_run }
        };
        earlier.iter().map(ended).collect()
    }

    /// Records an attempt; tells the request's class.
    pub(crate) fn open_attempt(&mut self, id: RequestId, w: usize) -> Option<usize> {
        let r = self.requests.get_mut(&id)?;
        let (slots, class, sent) = (r.slots, r.class, self.now);
        let (started, open, astray, may_have_run) = (None, true, false, true);
        r.attempts.push(Attempt {
            worker: w,
            sent,
            started,
            heard: sent,
            open,
            astray,
            late: false,
            may_have_run,
        });
        self.workers[w].attempts.push((id, r.attempts.len() - 1));
        r.open += 1;
        let worker = &mut self.workers[w];
        if worker.open == 0 || self.settings.tells_start && worker.unstarted == 0 {
            worker.quiet_since = sent;
        }
        worker.open += 1;
        if !std::mem::replace(&mut worker.watched, true) {
            self.watched.push_back((sent, w));
        }
        worker.unstarted += u32::from(self.settings.tells_start);
        worker.last_sent = sent;
        worker.idle_until = sent + self.settings.idle_close;
        self.occupy(w, slots);
        self.leaving.count(sent, 1.0, LEAVING_SPAN * self.mean_run);
        Some(class)
    }

    /// Records that an attempt started; tells its worker, class, slots and wait, where it is news.
    pub(crate) fn start_attempt(&mut self, id: RequestId, n: usize) -> Option<(usize, usize, f64, f64)> {
        self.hear(id, n);
        let r = self.requests.get_mut(&id)?;
        let a = r.attempts.get_mut(n).filter(|a| a.open && a.started.is_none())?;
        a.started = Some(self.now);
        let (w, sent, told) = (a.worker, a.sent, (r.class, r.slots));
        self.workers[w].unstarted = self.workers[w].unstarted.saturating_sub(1);
        self.overtake(w, sent);
        Some((w, told.0, told.1, (self.now - sent) as f64))
    }

    /// Records that an attempt ended; tells what it was, unless unknown or ended before.
    pub(crate) fn close_attempt(&mut self, id: RequestId, n: usize, how: Ending) -> Option<Ended> {
        let r = self.requests.get_mut(&id)?;
        let a = r.attempts.get_mut(n).filter(|a| a.open)?;
        a.open = false;
        a.may_have_run = !matches!(how, Ending::Shed | Ending::DialFailed | Ending::Unused);
        r.open -= 1;
        let (worker, class, slots, size) = (a.worker, r.class, r.slots, r.size);
        let ended = Ended { worker, class, slots, size, sent: a.sent, started: a.started };
        let counted = !a.astray;
        self.workers[worker].attempts.retain(|known| *known != (id, n));
        if counted {
            self.count(worker, ended.started.is_none(), slots, false);
        }
        Some(ended)
    }

    /// An attempt counts at its worker from now on, or does no more.
    fn count(&mut self, w: usize, unstarted: bool, slots: f64, counts: bool) {
        let worker = &mut self.workers[w];
        let waits = u32::from(unstarted && self.settings.tells_start);
        if counts {
            (worker.open, worker.unstarted) = (worker.open + 1, worker.unstarted + waits);
        } else {
            worker.open = worker.open.saturating_sub(1);
            worker.unstarted = worker.unstarted.saturating_sub(waits);
        }
        self.occupy(w, if counts { slots } else { -slots });
    }

    /// There is news of an attempt: if it had gone astray, it counts again. Tells its worker.
    pub(crate) fn hear(&mut self, id: RequestId, n: usize) -> Option<usize> {
        let r = self.requests.get_mut(&id)?;
        let a = r.attempts.get_mut(n).filter(|a| a.open)?;
        a.heard = self.now;
        let (worker, unstarted, slots) = (a.worker, a.started.is_none(), r.slots);
        if std::mem::take(&mut a.astray) {
            self.count(worker, unstarted, slots, true);
        }
        Some(worker)
    }

    /// Guards against believing a worker full, or silent, for a connection that has gone silent on its
    /// own: until its time was up, one such attempt held slots, and kept all others from the worker.
    fn lose(&mut self, w: usize, lost: impl Fn(&Attempt) -> bool) {
        for (id, n) in self.workers[w].attempts.clone() {
            let Some(r) = self.requests.get_mut(&id) else { continue };
            let Some(a) = r.attempts.get_mut(n).filter(|a| !a.astray && lost(a)) else { continue };
            a.astray = true;
            let (unstarted, slots) = (a.started.is_none(), r.slots);
            self.count(w, unstarted, slots, false);
        }
    }

    /// An attempt sent then has started: where jobs start in order, what was sent to the worker well
    /// before it and has not started never will. A new connection may come up later than it was sent.
    fn overtake(&mut self, w: usize, sent: Micros) {
        if self.settings.in_order {
            let before = sent.saturating_sub(self.settings.connect_timeout);
            self.lose(w, |a| a.started.is_none() && a.sent < before);
        }
    }

    /// A running job tells its progress: one that has missed two reports runs no more, or unheard.
    pub(crate) fn miss_progress(&mut self, w: usize) {
        let (now, span) = (self.now, 2 * self.settings.progress_every + self.settings.connect_timeout);
        if self.settings.progress_every > 0 {
            self.lose(w, |a| a.started.is_some() && a.heard + span < now);
        }
    }

    /// Whether an attempt is counted now, for the first time, as one that starts too late: on its start, or before.
    pub(crate) fn overdue(&mut self, id: RequestId, n: usize) -> bool {
        let attempt = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(n));
        attempt.is_some_and(|a| a.open && !std::mem::replace(&mut a.late, true))
    }

    /// Keeps a report, and count of how often a worker's report changes; tells whether it is the
    /// one that came last.
    pub(crate) fn seen_before(&mut self, w: usize, report: &Report) -> bool {
        let gap = self.since(self.workers[w].reported_at);
        let worker = &mut self.workers[w];
        let same = worker.report == *report;
        if worker.reported_at > 0 && gap < self.mean_run {
            self.report_spans += 0.05 * (gap - self.report_spans);
            self.report_changes += 0.05 * (f64::from(u8::from(!same)) - self.report_changes);
        }
        worker.reported_at = self.now;
        worker.report = *report;
        same
    }

    /// Where a keyed request that may have run must stay: the scope, and a worker in the group.
    pub(crate) fn group_of(&self, r: &Request) -> Option<(Scope, usize)> {
        let c = &self.settings.classes[r.class];
        let first = r.attempts.iter().find(|a| a.may_have_run)?;
        (c.effect == Effect::Keyed).then_some((c.scope, first.worker))
    }

    /// Whether two workers drop repeats of the same keyed request. Two zones that the settings don't
    /// know have the same number, and may be two.
    pub(crate) fn same_group(&self, scope: Scope, a: usize, b: usize) -> bool {
        let (a, b) = (&self.workers[a], &self.workers[b]);
        let same_zone = a.zone == b.zone && a.zone != UNKNOWN;
        match scope {
            Scope::All => true,
            Scope::Zone => same_zone,
            Scope::Cell => same_zone && a.cell == b.cell,
        }
    }

    /// Enters a row of the list; tells the worker's place and whether it has started anew.
    pub(crate) fn enter(&mut self, row: &Row) -> (usize, bool) {
        let w = *self.index.entry(row.worker).or_insert(self.workers.len());
        if w == self.workers.len() {
            self.workers.push(Worker { id: Some(row.worker), pace: 1.0, ..Worker::default() });
        }
        let worker = &mut self.workers[w];
        (worker.zone, worker.kind, worker.cell) = (row.zone, row.kind, row.cell);
        worker.active = row.condition == Condition::Active;
        worker.listed = row.condition != Condition::Left;
        let restarted = worker.online_since != row.online_since;
        worker.online_since = row.online_since;
        if restarted {
            // What was believed of it is void.
            worker.heard = None;
            worker.trials = 0;
            worker.shun_until = 0;
            (worker.wait, worker.errors, worker.turned_away) = (0.0, 0, 0);
            worker.budget_at = self.now;
        }
        if let Some((until, trials)) = self.told_to_shun.remove(&row.worker) {
            (worker.shun_until, worker.trials) = (until, trials);
        }
        (w, restarted)
    }

    /// Where on the ring a key's workers begin; all dispatchers with the same list agree. The ring is
    /// made when first asked for after a change of the list.
    pub(crate) fn home(&mut self, key: u64) -> usize {
        if self.ring.is_empty() {
            let id = |w: usize| self.workers[w].id.map_or(0, |id| id.0);
            let places = |&w: &usize| (0..RING_PLACES).map(move |n| (mix(id(w).wrapping_add(mix(n))), w));
            self.ring = self.live.iter().flat_map(places).collect();
            self.ring.sort_unstable();
        }
        self.ring.partition_point(|place| place.0 < mix(key))
    }

    /// The share of its capacity that a worker surely has: 1 once it is warm.
    pub(crate) fn warm_share(&self, w: usize) -> f64 {
        let (s, since) = (&self.settings, self.workers[w].online_since);
        if since == 0 || self.since(since) >= s.ramp as f64 {
            return 1.0;
        }
        s.cold_share + (1.0 - s.cold_share) * self.since(since) / s.ramp as f64
    }

    /// So many processes of this scheduler live, this one included.
    pub fn share(&mut self, processes: usize) {
        self.sharers = processes.saturating_sub(1);
    }

    /// What was learned that the next process of this scheduler should know: the cap, the mean running
    /// time, and of each class its running time, its work and of how many jobs.
    pub fn learned(&self) -> (f64, f64, Vec<[f64; 3]>) {
        (self.cap, self.mean_run, self.classes.iter().map(|c| [c.run, c.work, c.served]).collect())
    }

    /// Takes that in. What is no figure, or of other classes, is left out.
    pub fn learn(&mut self, cap: f64, mean_run: f64, classes: &[[f64; 3]]) {
        let sound = |x: f64| (1e-3..LONGEST as f64).contains(&x);
        if sound(cap) {
            self.cap = cap;
        }
        if classes.len() != self.classes.len()
            || !sound(mean_run)
            || !classes.iter().flatten().all(|x| sound(*x))
        {
            return;
        }
        self.mean_run = mean_run;
        for (class, [run, work, served]) in self.classes.iter_mut().zip(classes) {
            (class.run, class.work, class.served) = (*run, *work, *served);
        }
    }

    /// Until when a worker is avoided, and after how many trials.
    pub fn shunned(&self, worker: WorkerId) -> Option<(Micros, u32)> {
        self.index.get(&worker).map(|w| (self.workers[*w].shun_until, self.workers[*w].trials))
    }

    /// Avoids a worker, once it is listed, on another process's word.
    pub fn shun_for(&mut self, worker: WorkerId, until: Micros, trials: u32) {
        if self.told_to_shun.len() < GONE_KEPT {
            self.told_to_shun.insert(worker, (until, trials));
        }
    }

    /// Whether a worker is remembered: an active one always is.
    pub fn knows(&self, worker: WorkerId) -> bool {
        self.index.contains_key(&worker)
    }

    /// Whether a worker is active, and not taken out by hand.
    pub(crate) fn usable(&self, w: usize) -> bool {
        self.workers[w].active && self.workers[w].id.is_some_and(|id| !self.banned.contains(&id))
    }

    /// Whether operators have taken a worker out.
    pub fn is_banned(&self, worker: WorkerId) -> bool {
        self.banned.contains(&worker)
    }

    /// Whether anything may go there now, whatever the job: what the pick asks, and what operators are told.
    pub(crate) fn available(&self, w: usize) -> bool {
        self.usable(w) && self.now >= self.workers[w].shun_until
    }

    /// The workers in the list, and how many of them get nothing now.
    pub fn members(&self) -> Members {
        let listed = || (0..self.workers.len()).filter(|&w| self.workers[w].listed);
        let unavailable = listed().filter(|&w| !self.available(w)).count();
        Members { listed: listed().count(), unavailable }
    }

    /// What is out or held now, for whoever wants to see that all of it is given back.
    pub fn accounts(&self) -> Accounts {
        let attempts = self.workers.iter().map(|w| w.attempts.len() + w.open as usize + w.unstarted as usize);
        Accounts {
            requests: self.requests.len(),
            held: self.held().0,
            attempts: attempts.sum(),
            slots: self.out + self.aside + self.workers.iter().map(|w| w.out + w.aside).sum::<f64>(),
            workers: self.workers.len(),
        }
    }

    /// Forgets workers that are gone and of which nothing is known that counts, where they have become
    /// many. Guards against a fleet whose machines are replaced for months, each with a new id.
    fn forget_gone(&mut self) {
        let active = self.workers.iter().filter(|w| w.active).count();
        if self.workers.len() <= 2 * active + GONE_KEPT {
            return;
        }
        let mut kept: Vec<bool> = self.workers.iter().map(|w| w.active).collect();
        self.requests.values().flat_map(|r| &r.attempts).for_each(|a| kept[a.worker] = true);
        let mut place = vec![None; kept.len()];
        for (w, worker) in std::mem::take(&mut self.workers).into_iter().enumerate().filter(|(w, _)| kept[*w])
        {
            place[w] = Some(self.workers.len());
            self.workers.push(worker);
        }
        let moved = |w: &mut usize| place[*w].inspect(|to| *w = *to).is_some();
        self.index.retain(|_, w| moved(w));
        self.watched.retain_mut(|(_, w)| moved(w));
        let attempts = self.requests.values_mut().flat_map(|r| &mut r.attempts);
        attempts.for_each(|a| _ = moved(&mut a.worker));
    }

    /// Sorts the active workers into the pools that picks draw from.
    pub(crate) fn refill_pools(&mut self) {
        self.forget_gone();
        self.live = (0..self.workers.len()).filter(|&w| self.usable(w)).collect();
        let near = |w: &usize| self.workers[*w].zone == self.settings.zone;
        self.near = self.live.iter().copied().filter(near).collect();
        self.warmth = self.live.iter().map(|&w| self.warm_share(w)).sum();
        self.live_by_kind.clear();
        for &w in &self.live {
            self.live_by_kind.entry(self.workers[w].kind).or_default().push(w);
        }
        self.ring.clear();
    }
}

/// Scatters a number; the same everywhere (the finaliser of MurmurHash3).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

impl Settings {
    /// Whether load reports are used: those in answers, and probed ones where no start is told.
    pub(crate) fn tells_load(&self) -> bool {
        match self.reports {
            Reports::Answers => true,
            Reports::Probe => self.may_probe && !self.tells_start,
            Reports::None => false,
        }
    }

    /// Names the first setting that cannot be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let sound = |x: f64| x.is_finite() && x >= 0.0;
        let times = |x: f64| (0.0..=MOST_TIMES).contains(&x);
        let class_sound = |c: &Class| sound(c.worth) && times(c.stretch);
        let class_timed =
            |c: &Class| c.aim.min(c.deadline) > 0 && c.aim.max(c.deadline).max(c.window) <= LONGEST;
        let spans = [self.ask_every, self.progress_every, self.max_retry_after, self.idle_close];
        let more_spans = [self.connect_timeout, self.tick, self.ramp, self.fall_span];
        let too_long = spans.into_iter().chain(more_spans).any(|span| span > LONGEST);
        let complaints = [
            (self.classes.is_empty(), "classes", "there must be at least one"),
            (
                !self.classes.iter().all(class_timed),
                "classes",
                "aim and deadline must be over 0, and no time over a year",
            ),
            (too_long, "times", "none may be over a year"),
            (
                self.list_on_request && self.ask_every == 0,
                "ask_every",
                "must be over 0 where the list is asked for",
            ),
            (self.dispatchers == 0, "dispatchers", "there must be at least one"),
            (self.max_attempts == 0, "max_attempts", "must be at least 1"),
            (
                !self.classes.iter().all(class_sound),
                "classes",
                "worth and stretch must be 0 or more, and stretch no more than a million",
            ),
            (!self.tenants.iter().all(|&q| sound(q)), "tenants", "shares must be 0 or more"),
            (!(0.0..=1.0).contains(&self.cold_share), "cold_share", "must be 0 to 1"),
            (!times(self.fall_multiple), "fall_multiple", "must be 0 to a million"),
            (!sound(self.handshake_price), "handshake_price", "must be 0 or more"),
            (!sound(self.cross_price), "cross_price", "must be 0 or more"),
        ];
        match complaints.into_iter().find(|c| c.0) {
            Some((_, name, why)) => Err(SettingsError { name, why }),
            None => Ok(()),
        }
    }
}
